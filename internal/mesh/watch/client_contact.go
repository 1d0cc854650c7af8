package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
)

const (
	// lostContactRenewInterval is the longest time between two renewals at a core machine that has lost
	// contact, and so between two searches for another one. It limits the total request rate of all sidecars
	// while there is no majority.
	lostContactRenewInterval = 400 * time.Millisecond
	// probeTimeout bounds a search for another core machine while a session is open, against machines that no
	// longer run. It spans a round trip between zones. It is also how long a new watch may be without its
	// first byte before the search begins.
	probeTimeout = 400 * time.Millisecond
)

// ContactAge returns an upper bound of the age of the applied configuration: that long ago, this Client had
// applied everything that a majority had committed by then. The contact ages in responses are counted from
// the time at which the request was sent, so that network delay never makes the result too small. ok is false
// until a core machine in contact has confirmed the configuration for the first time.
func (c *Client) ContactAge() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return 0, false
	}
	return time.Since(c.confirmedAt), true
}

// recordConfirmation updates confirmedAt from a response. sentAt is when the request was sent, and applied
// the configuration version that is applied now. c.mu is held.
func (c *Client) recordConfirmation(sentAt time.Time, response *LeaseResponse, applied int64) {
	contact := response.Contact
	caughtUp := response.CaughtUp || response.Version > 0 && applied >= response.Version
	if !contact.OK || !caughtUp || contact.Age < 0 {
		return
	}
	if at := sentAt.Add(-contact.Age); at.After(c.confirmedAt) {
		c.confirmedAt = at
		c.sessions.failedSessions, c.sessions.lastFailure = 0, nil
	}
}

// findMemberInContact asks all other known core machines, seeds included, whether they have fresh contact. It
// sets the first such machine in order as the move target and reports whether there is one. It waits for at
// most timeout.
func (c *Client) findMemberInContact(
	ctx context.Context, current string, lease *registry.Lease, timeout time.Duration,
) (found bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var others []string
	for _, address := range c.Peers() {
		if address != current {
			others = append(others, address)
		}
	}
	search := &memberSearch{client: c, lease: lease, addresses: others}
	inContact := search.run(ctx, cancel)
	for _, address := range others {
		if inContact[address] {
			c.setMoveTarget(address)
			return true
		}
	}
	return false
}

// findMemberAfterFailure asks all other core machines at once after one has failed, so that machines that do
// not run or have no contact cost one timeout in total. If none has fresh contact, Run tries the core
// machines one after the other.
func (c *Client) findMemberAfterFailure(ctx context.Context, failed string) {
	lease := c.nextLease()
	if lease == nil || !c.findMemberInContact(ctx, failed, lease, slowLinkTimeout) {
		return
	}
	c.switchMember()
}

func (c *Client) setMoveTarget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moveTarget = address
}

// lostContactBackoff returns the jittered time until the next renewal at a core machine without contact.
func lostContactBackoff() time.Duration {
	return lostContactRenewInterval/2 + rand.N(lostContactRenewInterval/2)
}

// recheckContact verifies that a core machine is still in contact before a Client without a configuration
// applies its first one. It does so only if more than maxContactAge has passed since the watch was requested:
// the core machine may have been frozen before it sent the configuration, which may then be outdated.
func (c *Client) recheckContact(ctx context.Context, address string, sentAt time.Time) error {
	if c.cfg.ConfigVersion() > 0 || time.Since(sentAt) <= maxContactAge {
		return nil
	}
	lease := c.nextLease()
	if lease == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, slowLinkTimeout)
	defer cancel()
	response, err := c.sendLease(ctx, address, lease)
	if err != nil {
		return err
	}
	if !response.Contact.OK {
		return errs.New(errs.NoQuorum,
			"core machine %s sent a configuration but is not in contact with a majority", address)
	}
	return nil
}
