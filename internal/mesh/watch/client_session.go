package watch

import (
	"context"
	"errors"
	"sync"

	"caperarch/internal/mesh/errs"
)

// runSession keeps the lease and the watch at one member until either ends, and
// returns why. An empty address is that of no member, and Unreachable.
func (c *Client) runSession(ctx context.Context, address string) error {
	if address == "" {
		return errs.New(errs.Unreachable, "no core member is known")
	}
	select {
	case <-c.lookElsewhere: // of an earlier session
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

// chooseNextMember chooses the member of the next session if the last one ended
// for another reason than a failure of its member, and says whether it did.
func (c *Client) chooseNextMember(address string, sessionErr error) (chosen bool) {
	switch {
	case errors.Is(sessionErr, errResubscribe):
		c.stay(address)
	case errors.Is(sessionErr, errCloserMember), errors.Is(sessionErr, errMoved):
		c.move()
	default:
		return false
	}
	return true
}

// stay keeps the same member for the next session. The Client counts as
// connected until that one fails.
func (c *Client) stay(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.moveTarget = address, ""
}

// move makes the move target the member of the next session, or the first member
// in order if there is none. The Client counts as connected until that fails.
func (c *Client) move() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.moveTarget = c.moveTarget, ""
}

// disconnect records that the session's member failed.
func (c *Client) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.moveTarget, c.connected = "", "", false
}
