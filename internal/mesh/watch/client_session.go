package watch

import (
	"context"
	"errors"
	"sync"

	"caperarch/internal/mesh/errs"
)

// runSession keeps the lease and the watch at one core machine until either fails or ctx ends, and returns
// the reason. An empty address stands for no known core machine; the error is then of kind Unreachable.
func (c *Client) runSession(ctx context.Context, address string) error {
	if address == "" {
		return errs.New(errs.Unreachable, "no core member is known")
	}
	select {
	case <-c.searchNow: // discard a request from an earlier session
	default:
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var renewing sync.WaitGroup
	renewing.Go(func() { c.runLease(ctx, cancel, address) })
	err := c.runWatch(ctx, cancel, address)
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	cancel(nil)
	renewing.Wait()
	return err
}

// chooseNextMember chooses the core machine of the next session if the last session ended for a reason other
// than a failure of its core machine, and reports whether it did.
func (c *Client) chooseNextMember(address string, sessionErr error) (chosen bool) {
	switch {
	case errors.Is(sessionErr, errResubscribe):
		c.keepMember(address)
	case errors.Is(sessionErr, errCloserMember), errors.Is(sessionErr, errMoved):
		c.switchMember()
	default:
		return false
	}
	return true
}

// keepMember uses the same core machine for the next session. The Client counts as connected until that
// session fails.
func (c *Client) keepMember(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.moveTarget = address, ""
}

// switchMember uses the move target for the next session. If there is no move target, nextMember chooses the
// core machine. The Client counts as connected until that session fails.
func (c *Client) switchMember() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.moveTarget = c.moveTarget, ""
}

// disconnect records that the session's core machine has failed. The Client no longer counts as connected.
func (c *Client) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.moveTarget, c.connected = "", "", false
}
