package watch

import (
	"context"
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

// Leave says that this sidecar has left, so that its upstream is gone from the
// table, and renews no more. It tells each member known until one answers that
// is in contact, as one without may tell nobody; the answer of any other counts
// if there is none.
func (c *Client) Leave(ctx context.Context) error {
	l := c.nextLease(true)
	failure := errs.New(errs.Unreachable, "no core member is known")
	told := false
	for _, address := range c.Peers() {
		answer, err := c.sendLease(ctx, address, l)
		if err != nil {
			failure = err
			continue
		}
		if answer.Contact.OK {
			return nil
		}
		told = true
	}
	if told {
		return nil
	}
	return failure
}

// keepLease renews until ctx ends, and ends it when the member fails, when a
// member of the own zone shows up, or when the watch is to be opened anew.
func (c *Client) runLease(ctx context.Context, cancel context.CancelCauseFunc, address string) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	every := renewInterval
	for {
		lost := false
		select {
		case <-ctx.Done():
			return
		case <-c.resubscribe:
			cancel(errResubscribe)
			return
		case <-c.renewNow:
		case <-c.contactLost:
			lost = true
		case <-timer.C:
		}
		l := c.nextLease(false)
		if l == nil {
			timer.Reset(every)
			continue
		}
		if lost && c.findMemberInContact(ctx, address, l) {
			cancel(errMoved)
			return
		}
		a, err := c.sendLease(ctx, address, l)
		if err != nil {
			cancel(err)
			return
		}
		if c.recordMembers(a) {
			cancel(errCloserMember)
			return
		}
		if a.Contact.OK {
			timer.Reset(every)
			continue
		}
		if !lost && c.findMemberInContact(ctx, address, l) {
			cancel(errMoved)
			return
		}
		timer.Reset(lostContactBackoff())
	}
}

// lease makes the next lease to send. It is nil once the sidecar has left.
func (c *Client) nextLease(leave bool) *registry.Lease {
	l := c.cfg.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left && !leave {
		return nil
	}
	c.left = leave
	c.leaseSequence++
	l.Node, l.Incarnation, l.Zone, l.Sequence, l.Left = c.cfg.Node, c.cfg.Incarnation, c.cfg.Zone, c.leaseSequence, leave
	return &l
}

// renew sends a lease to a member, and takes what its answer proves.
func (c *Client) sendLease(ctx context.Context, address string, l *registry.Lease) (*LeaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	answer, err := rpc.Call[registry.Lease, LeaseResponse](ctx, c.cfg.HTTP, "http://"+address+leasePath, l)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordConfirmation(asked, answer)
	return answer, nil
}

// learn takes what an answer says of the members. It reports whether a member
// of the own zone should be gone to: the answer is from another zone, and the
// own zone's member was not known as such before.
func (c *Client) recordMembers(a *LeaseResponse) (nearer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordCounts(a.Members, a.PeakMembers, a.Syncing || !a.Contact.OK)
	if !a.Contact.OK {
		c.addMembers(a.Peers)
		return false
	}
	if len(a.Peers) == 0 {
		return false
	}
	near := func(p Peer) bool { return p.Zone != "" && p.Zone == c.cfg.Zone }
	knew := slices.ContainsFunc(c.discovered, near)
	zones := map[string]string{}
	for _, p := range c.discovered {
		zones[p.Address] = p.Zone
	}
	peers := slices.Clone(a.Peers[:min(len(a.Peers), maxKnownMembers)])
	for i, p := range peers {
		if p.Zone == "" {
			peers[i].Zone = zones[p.Address]
		}
	}
	c.discovered = peers
	return !knew && a.Zone != c.cfg.Zone && slices.ContainsFunc(peers, near)
}

// learnMore adds the members that one without contact knows of: its list may be
// old, so it takes nobody away. The lock is held.
func (c *Client) addMembers(peers []Peer) {
	for _, p := range peers {
		known := slices.ContainsFunc(c.discovered, func(l Peer) bool { return l.Address == p.Address })
		if !known && len(c.discovered) < maxKnownMembers {
			c.discovered = append(c.discovered, p)
		}
	}
}

// count takes a count of the sidecars. The lock is held.
func (c *Client) recordCounts(members, largest int, young bool) {
	if young {
		members, largest = max(members, c.members), max(largest, c.peakMembers)
	}
	c.members, c.peakMembers = members, largest
}
