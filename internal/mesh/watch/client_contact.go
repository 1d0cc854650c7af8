package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
)

const (
	// lostRenewEvery is the time between renewals at a member that has lost its
	// contact, and between two rounds of asking the others. It bounds what all
	// sidecars together ask while there is no majority.
	lostContactRenewInterval = 400 * time.Millisecond
	// probeTimeout bounds a question to another member meanwhile, against
	// members that are gone; it spans the way between zones and back.
	probeTimeout = 400 * time.Millisecond
	// probeGrace is how long better members, by zone, are waited for once one
	// has answered well, against members that are gone holding up a move.
	probeGrace = 50 * time.Millisecond
)

// errMoved is why a Client leaves a member that has lost its contact for one
// that has it.
var errMoved = errs.New(errs.NoQuorum, "another member is in contact with a majority")

// ContactAge says how old what this Client has applied may be: it had applied,
// that long ago, all that a majority had committed by then. The answers' ages
// are counted from when they were asked for, so that no delay on the way makes
// them too small. Ok is false until a member in contact has once confirmed it.
func (c *Client) ContactAge() (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return 0, false
	}
	return time.Since(c.confirmedAt), true
}

// confirm takes what an answer proves of the configuration applied. The lock is
// held.
func (c *Client) recordConfirmation(asked time.Time, answer *LeaseResponse) {
	if !answer.Contact.OK || !answer.CaughtUp || answer.Contact.Age < 0 {
		return
	}
	if at := asked.Add(-answer.Contact.Age); at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// seek asks all other members known, the seeds among them, for one with fresh
// contact, and notes it as the one to go to.
func (c *Client) findMemberInContact(ctx context.Context, current string, l *registry.Lease) (found bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var others []string
	for _, address := range c.Peers() {
		if address != current {
			others = append(others, address)
		}
	}
	good := make(chan string, len(others))
	for _, address := range others {
		go func() {
			answer, err := c.sendLease(ctx, address, l)
			if err != nil || !answer.Contact.fresh() {
				address = ""
			}
			good <- address
		}()
	}
	answers := map[string]bool{}
	for range others {
		address := <-good
		if address != "" && len(answers) == 0 {
			time.AfterFunc(probeGrace, cancel)
		}
		if address != "" {
			answers[address] = true
		}
	}
	for _, address := range others {
		if answers[address] {
			c.setMoveTarget(address)
			return true
		}
	}
	return false
}

// seekAfter asks all others at once after a member has failed, so that members
// that are gone or without contact cost no more than one question in time. If
// none answers well, the members are tried one after the other.
func (c *Client) findMemberAfterFailure(ctx context.Context, failed string) {
	l := c.nextLease(false)
	if l == nil || !c.findMemberInContact(ctx, failed, l) {
		return
	}
	c.keepOrMove(failed, false)
}

// setNext notes the member to go to.
func (c *Client) setMoveTarget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moveTarget = address
}

// lostPause is the jittered pause at a member without contact.
func lostContactBackoff() time.Duration {
	return lostContactRenewInterval/2 + rand.N(lostContactRenewInterval/2)
}

// confirmFirst has a Client that holds no configuration yet ask again whether
// the member is in contact, if its first one took long since the watch was
// asked for: it may have been written by a member that was frozen meanwhile.
func (c *Client) recheckContact(ctx context.Context, address string, asked time.Time) error {
	if c.cfg.ConfigVersion() > 0 || time.Since(asked) <= maxContactAge {
		return nil
	}
	l := c.nextLease(false)
	if l == nil {
		return nil
	}
	answer, err := c.sendLease(ctx, address, l)
	if err != nil {
		return err
	}
	if !answer.Contact.OK {
		return errs.New(errs.NoQuorum, "%s sent a configuration and has no contact", address)
	}
	return nil
}
