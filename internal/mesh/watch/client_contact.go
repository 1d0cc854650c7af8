package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
)

const (
	// lostContactRenewInterval is the longest time between renewals at a member
	// that has lost its contact, and so between two rounds of asking the others.
	// It bounds the requests of all sidecars together while there is no majority.
	lostContactRenewInterval = 400 * time.Millisecond
	// probeTimeout bounds the search for another member meanwhile, against members
	// that no longer run; it spans a round trip between zones.
	probeTimeout = 400 * time.Millisecond
)

// ContactAge returns how old what this Client has applied may be: that long ago,
// it had applied all that a majority had committed by then. The ages in responses
// are counted from when the request was sent, so that no delay on the way makes
// them too small. ok is false until a member in contact has confirmed it once.
func (c *Client) ContactAge() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return 0, false
	}
	return time.Since(c.confirmedAt), true
}

// recordConfirmation records what a response proves of the configuration
// applied, which has the version given by now. c.mu is held.
func (c *Client) recordConfirmation(askedAt time.Time, response *LeaseResponse, applied int64) {
	contact := response.Contact
	caughtUp := response.CaughtUp || response.Version > 0 && applied >= response.Version
	if !contact.OK || !caughtUp || contact.Age < 0 {
		return
	}
	if at := askedAt.Add(-contact.Age); at.After(c.confirmedAt) {
		c.confirmedAt = at
		c.record.failedSessions, c.record.lastFailure = 0, nil
	}
}

// findMemberInContact asks all other members known, the seeds among them, for
// one with fresh contact, and makes the first of them in order the move target. It
// waits no longer than the time given.
func (c *Client) findMemberInContact(
	ctx context.Context, current string, lease *registry.Lease, longest time.Duration,
) (found bool) {
	ctx, cancel := context.WithTimeout(ctx, longest)
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

// findMemberAfterFailure asks all others at once after a member has failed, so
// that members that no longer run or have no contact cost one timeout together.
// If none has fresh contact, the members are tried one after the other.
func (c *Client) findMemberAfterFailure(ctx context.Context, failed string) {
	lease := c.nextLease()
	if lease == nil || !c.findMemberInContact(ctx, failed, lease, slowLinkTimeout) {
		return
	}
	c.move()
}

func (c *Client) setMoveTarget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moveTarget = address
}

// lostContactBackoff is the jittered time between renewals at a member without
// contact.
func lostContactBackoff() time.Duration {
	return lostContactRenewInterval/2 + rand.N(lostContactRenewInterval/2)
}

// recheckContact asks again whether the member is in contact, for a Client that
// has no configuration yet, if the first one took long since the watch was
// requested: a member that was frozen meanwhile may have written it.
func (c *Client) recheckContact(ctx context.Context, address string, askedAt time.Time) error {
	if c.cfg.ConfigVersion() > 0 || time.Since(askedAt) <= maxContactAge {
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
		return errs.New(errs.NoQuorum, "%s sent a configuration and has no contact", address)
	}
	return nil
}
