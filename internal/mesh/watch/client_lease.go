package watch

import (
	"context"
	"math"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

// forgottenMargin is how long before the core may forget a silent sidecar the sidecar
// takes itself for forgotten. It guards against clocks that run at different rates, by
// 0.8 % here.
const forgottenMargin = time.Minute

// Leave ends the lease, so that this sidecar's upstream is removed from the
// registry, and renews no more. It notifies each member known until one answers
// that is in contact, as one without may be unable to notify the others; if there
// is none, the answer of any other counts. The error is that of the last member,
// Unreachable if none is known.
func (c *Client) Leave(ctx context.Context) error {
	lease := c.finalLease()
	failure := errs.New(errs.Unreachable, "no core member is known")
	acknowledged := false
	for _, address := range c.Peers() {
		response, err := c.sendLease(ctx, address, lease)
		if err != nil {
			failure = err
			continue
		}
		if response.Contact.OK {
			return nil
		}
		acknowledged = true
	}
	if acknowledged {
		return nil
	}
	return failure
}

// runLease renews until ctx ends, and cancels it with the reason when the member
// fails, when another one is better, or when the watch is to be opened anew.
func (c *Client) runLease(ctx context.Context, cancel context.CancelCauseFunc, address string) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		contactLost := false
		select {
		case <-ctx.Done():
			return
		case <-c.resubscribe:
			cancel(errResubscribe)
			return
		case <-c.renewNow:
		case <-c.lookElsewhere:
			contactLost = true
		case <-timer.C:
		}
		next, err := c.renewOrMove(ctx, address, contactLost)
		if err != nil {
			cancel(err)
			return
		}
		timer.Reset(next)
	}
}

// renewOrMove renews the lease at the member, and returns the time until the
// next renewal; an error says why to leave the member. At a member without
// contact it looks for another one: before the renewal if the watch has reported
// the loss, else after it.
func (c *Client) renewOrMove(
	ctx context.Context, address string, contactLost bool,
) (next time.Duration, err error) {
	lease := c.nextLease()
	if lease == nil {
		return renewInterval, nil
	}
	if contactLost && c.findMemberInContact(ctx, address, lease, probeTimeout) {
		return 0, errMoved
	}
	response, err := c.renewLease(ctx, address, lease)
	if err != nil {
		return 0, err
	}
	if c.recordMembers(response) {
		return 0, errCloserMember
	}
	if response.Contact.OK {
		return renewInterval, nil
	}
	if !contactLost && c.findMemberInContact(ctx, address, lease, probeTimeout) {
		return 0, errMoved
	}
	return lostContactBackoff(), nil
}

// renewLease sends the lease to the member and waits for its response. While that is
// late it looks for another member, and returns errMoved once there is one: where no
// other answers sooner, the sidecar's own link is slow and the response still comes.
func (c *Client) renewLease(
	ctx context.Context, address string, lease *registry.Lease,
) (*LeaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, slowLinkTimeout)
	defer cancel()
	type result struct {
		response *LeaseResponse
		err      error
	}
	done := make(chan result, 1)
	go func() {
		response, err := c.sendLease(ctx, address, lease)
		done <- result{response, err}
	}()
	late := time.NewTimer(lateRenewal)
	defer late.Stop()
	for {
		select {
		case r := <-done:
			return r.response, r.err
		case <-c.lookElsewhere:
		case <-late.C:
			late.Reset(lateRenewal)
		}
		if c.findMemberInContact(ctx, address, lease, probeTimeout) {
			cancel()
			<-done
			return nil, errMoved
		}
	}
}

// nextLease makes the next lease to send. It is nil once the sidecar has left.
func (c *Client) nextLease() *registry.Lease {
	state := c.cfg.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return nil
	}
	return c.numberLease(state)
}

// finalLease makes the lease that says that the sidecar has left.
func (c *Client) finalLease() *registry.Lease {
	state := c.cfg.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	return c.numberLease(state)
}

// numberLease completes a lease, with a sequence number of its own. c.mu is held.
func (c *Client) numberLease(state registry.Lease) *registry.Lease {
	c.leaseSequence++
	lease := &state
	lease.Node = c.cfg.Node
	lease.Incarnation = c.incarnation
	lease.Zone = c.cfg.Zone
	lease.Sequence = c.leaseSequence
	lease.Left = c.left
	return lease
}

// sendLease sends a lease to a member, and records what its response proves. The
// caller bounds ctx.
func (c *Client) sendLease(
	ctx context.Context, address string, lease *registry.Lease,
) (*LeaseResponse, error) {
	askedAt := time.Now()
	url := "http://" + address + leasePath
	request := &leaseRequest{Lease: *lease, KnownPeers: c.knownPeersDigest()}
	response, err := rpc.Call[leaseRequest, LeaseResponse](ctx, c.cfg.HTTP, url, request)
	if err != nil {
		return nil, err
	}
	applied := c.cfg.ConfigVersion()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordRenewal(askedAt, response)
	c.recordConfirmation(askedAt, response, applied)
	c.outgrow(response.NewerIncarnation)
	return response, nil
}

// recordRenewal records that a lease was answered. Only a member in contact with a
// majority counts: what one without contact knows of, the leader may not. c.mu is held.
func (c *Client) recordRenewal(askedAt time.Time, response *LeaseResponse) {
	if response.Contact.OK && askedAt.After(c.renewedAt) {
		c.renewedAt = askedAt
	}
}

// outgrow has this process count as newer than an earlier one of the same node,
// whose incarnation is the larger because the machine's clock went back between
// them. The first time it renews at once. If two processes of one node live, which
// no machine does, they outgrow each other no faster than they renew. c.mu is held.
func (c *Client) outgrow(newer registry.Incarnation) {
	if newer <= c.incarnation || newer == math.MaxUint64 {
		return
	}
	c.incarnation = newer + 1
	c.cfg.Log.Warn("incarnation raised, the clock went back before this process started")
	if !c.outgrew {
		c.outgrew = true
		signal(c.renewNow)
	}
}

// currentIncarnation is what this process counts as now.
func (c *Client) currentIncarnation() registry.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}
