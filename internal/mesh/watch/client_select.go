package watch

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

// Run keeps to a core member until ctx ends. It is called once.
func (c *Client) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		address := c.nextMember()
		began := time.Now()
		err := errs.New(errs.Unreachable, "no core member is known")
		if address != "" {
			err = c.runSession(ctx, address)
		}
		if errors.Is(err, errResubscribe) || errors.Is(err, errCloserMember) || errors.Is(err, errMoved) {
			c.keepOrMove(address, errors.Is(err, errResubscribe))
			continue
		}
		c.disconnect()
		if time.Since(began) >= stableAfter+idleTimeout {
			failures = 0
			c.attempted = map[string]bool{address: true}
		}
		failures++
		c.cfg.Log.Debug("A core member is left.", zap.String("member", address), zap.Error(err))
		sleep(ctx, c.backoff(failures))
		c.findMemberAfterFailure(ctx, address)
	}
	c.disconnect()
}

// backOff is the jittered pause before the next member is tried: none after the
// first failure, short ones within a round of the members, and one between
// rounds that grows, so that a single member that is there is found soon.
func (c *Client) backoff(failures int) time.Duration {
	c.mu.Lock()
	members := max(len(c.memberOrder()), 1)
	c.mu.Unlock()
	pause := minBackoff
	switch {
	case failures == 1:
		return 0
	case failures%members == 0:
		pause = min(minBackoff<<min(failures/members, 10), maxBackoff)
	}
	return pause/2 + rand.N(pause/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// keep notes whether the next watch goes to the same member. Until it is known
// to fail, the sidecar counts as connected.
func (c *Client) keepOrMove(address string, same bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = c.moveTarget
	if same {
		c.current = address
	}
	c.moveTarget = ""
}

// leave notes that the member failed.
func (c *Client) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current, c.moveTarget, c.connected = "", "", false
}

// next is the member to try: the one kept to, or else the first in order that
// was not tried in this round.
func (c *Client) nextMember() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != "" {
		return c.current
	}
	order := c.memberOrder()
	if len(order) == 0 {
		return ""
	}
	for _, address := range order {
		if !c.attempted[address] {
			c.attempted[address] = true
			return address
		}
	}
	c.attempted = map[string]bool{order[0]: true}
	return order[0]
}

// order lists the members known: the own zone's first, and within a zone by a
// hash with the node's name, which spreads the sidecars. The lock is held.
func (c *Client) memberOrder() []string {
	zones := map[string]string{}
	for _, address := range c.seeds {
		zones[address] = ""
	}
	for _, p := range c.discovered {
		zones[p.Address] = p.Zone
	}
	type rank struct {
		near bool
		hash uint64
	}
	ranks := make(map[string]rank, len(zones))
	order := make([]string, 0, len(zones))
	for address, zone := range zones {
		sum := fnv.New64a()
		_, _ = io.WriteString(sum, address+"|"+c.cfg.Node)
		ranks[address] = rank{zone != "" && zone == c.cfg.Zone, sum.Sum64()}
		order = append(order, address)
	}
	slices.SortFunc(order, func(a, b string) int {
		x, y := ranks[a], ranks[b]
		if x.near != y.near {
			if x.near {
				return -1
			}
			return 1
		}
		if x.hash < y.hash {
			return -1
		}
		return 1
	})
	return order
}

// attend keeps the lease and the watch at one member until either fails.
func (c *Client) runSession(ctx context.Context, address string) error {
	select {
	case <-c.contactLost: // it was another member's word
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
