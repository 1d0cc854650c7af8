package watch

import (
	"context"
	"math"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"

	"go.uber.org/zap"
)

// retentionMargin is how long before the end of registry.SilentRetention a sidecar without renewals assumes
// that the core machines have forgotten it. It covers clocks whose rates differ by up to 0.8 %.
const retentionMargin = time.Minute

// Leave ends the lease, so that this sidecar's upstream is removed from the registry, and stops all further
// renewals. It notifies the known core machines one by one until one in contact with a majority acknowledges,
// since one without contact may be unable to notify the others. If none is in contact, the acknowledgement of
// any other suffices. Otherwise the error is that of the last call; its kind is Unreachable if no core
// machine is known.
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

// runLease renews the lease until ctx ends. It cancels ctx, stating the reason, if the core machine fails, if
// another core machine should be used instead, or if the watch has to be reopened.
func (c *Client) runLease(ctx context.Context, cancel context.CancelCauseFunc, address string) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		searchRequested := false
		select {
		case <-ctx.Done():
			return
		case <-c.resubscribe:
			cancel(errResubscribe)
			return
		case <-c.renewNow:
		case <-c.searchNow:
			searchRequested = true
		case <-timer.C:
		}
		next, err := c.renewOrMove(ctx, address, searchRequested)
		if err != nil {
			cancel(err)
			return
		}
		timer.Reset(next)
	}
}

// renewOrMove renews the lease at a core machine and returns the time until the next renewal. An error states
// why to end the session. It searches for another core machine before the renewal if a search was requested,
// or after the renewal if the response reports that contact was lost.
func (c *Client) renewOrMove(
	ctx context.Context, address string, searchRequested bool,
) (next time.Duration, err error) {
	lease := c.nextLease()
	if lease == nil {
		return renewInterval, nil
	}
	if searchRequested && c.findMemberInContact(ctx, address, lease, probeTimeout) {
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
	if !searchRequested && c.findMemberInContact(ctx, address, lease, probeTimeout) {
		return 0, errMoved
	}
	return lostContactBackoff(), nil
}

// renewLease sends the lease to a core machine and waits for its response. While the response is late it
// searches for another core machine, and returns errMoved if one responds. If no other responds sooner, the
// sidecar's own link is slow and renewLease keeps waiting for the response.
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
	lateTimer := time.NewTimer(lateRenewalThreshold)
	defer lateTimer.Stop()
	for {
		select {
		case r := <-done:
			return r.response, r.err
		case <-c.searchNow:
		case <-lateTimer.C:
			lateTimer.Reset(lateRenewalThreshold)
		}
		if c.findMemberInContact(ctx, address, lease, probeTimeout) {
			cancel()
			<-done
			return nil, errMoved
		}
	}
}

// nextLease returns the next lease to send, or nil after Leave was called.
func (c *Client) nextLease() *registry.Lease {
	state := c.cfg.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return nil
	}
	return c.completeLease(state)
}

// finalLease returns the lease that reports that the sidecar has left, and stops further renewals.
func (c *Client) finalLease() *registry.Lease {
	state := c.cfg.State()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	return c.completeLease(state)
}

// completeLease adds the node, the incarnation, the zone and the next sequence number to a lease. c.mu is
// held.
func (c *Client) completeLease(state registry.Lease) *registry.Lease {
	c.leaseSequence++
	lease := &state
	lease.Node = c.cfg.Node
	lease.Incarnation = c.incarnation
	lease.Zone = c.cfg.Zone
	lease.Sequence = c.leaseSequence
	lease.Left = c.left
	return lease
}

// sendLease sends a lease to a core machine and evaluates its response. The caller sets a deadline on ctx.
func (c *Client) sendLease(
	ctx context.Context, address string, lease *registry.Lease,
) (*LeaseResponse, error) {
	return c.sendLeaseRequest(ctx, address, &leaseRequest{Lease: *lease})
}

// CheckInstance asks the current core machine whether an instance, which this sidecar is about to accept as its
// upstream, was deregistered before, and calls OnDeregistered if so. The instance's deregistration may have reached a
// core machine, or this sidecar before it restarted. Without a core machine, CheckInstance returns at once.
func (c *Client) CheckInstance(ctx context.Context, instance string) {
	address := c.connectedMember()
	if address == "" {
		return
	}
	lease := c.nextLease()
	if lease == nil {
		return
	}
	request := &leaseRequest{Lease: *lease, NewInstance: instance}
	if _, err := c.sendLeaseRequest(ctx, address, request); err != nil {
		c.cfg.Log.Info("core machine did not confirm the instance, which is accepted",
			zap.String("instance", instance), zap.String("member", address), zap.Error(err))
	}
}

// connectedMember returns the address of the core machine that serves the watch, or "" if there is none.
func (c *Client) connectedMember() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.connected {
		return ""
	}
	return c.current
}

// sendLeaseRequest sends a lease request to a core machine and evaluates its response.
func (c *Client) sendLeaseRequest(
	ctx context.Context, address string, request *leaseRequest,
) (*LeaseResponse, error) {
	sentAt := time.Now()
	url := "http://" + address + leasePath
	request.KnownPeersDigest = c.knownPeersDigest()
	response, err := rpc.Call[leaseRequest, LeaseResponse](ctx, c.cfg.HTTP, url, request)
	if err != nil {
		return nil, err
	}
	c.recordResponse(sentAt, response)
	if c.cfg.OnDeregistered != nil {
		for _, instance := range response.Deregistered {
			c.cfg.OnDeregistered(instance)
		}
	}
	return response, nil
}

// recordResponse records what a response to a lease request that was sent at sentAt reports.
func (c *Client) recordResponse(sentAt time.Time, response *LeaseResponse) {
	applied := c.cfg.ConfigVersion()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordRenewal(sentAt, response)
	c.recordConfirmation(sentAt, response, applied)
	c.raiseIncarnation(response.NewerIncarnation)
}

// recordRenewal records the time of a renewal that was answered. Only a response of a core machine in contact
// with a majority counts: the leader may not know of a lease that a machine without contact holds. c.mu is
// held.
func (c *Client) recordRenewal(sentAt time.Time, response *LeaseResponse) {
	if response.Contact.OK && sentAt.After(c.renewedAt) {
		c.renewedAt = sentAt
	}
}

// raiseIncarnation makes this process count as newer than an earlier process of the same node, whose
// incarnation is larger because the machine's clock went back between the two starts. The first time, the
// lease is renewed at once. If two processes of one node ran at a time, which should not happen, they would
// raise their incarnations in turn, but no faster than they renew. c.mu is held.
func (c *Client) raiseIncarnation(newer registry.Incarnation) {
	if newer <= c.incarnation || newer == math.MaxUint64 {
		return
	}
	c.incarnation = newer + 1
	c.cfg.Log.Warn("incarnation raised, the clock went back before this process started")
	if !c.incarnationRaised {
		c.incarnationRaised = true
		signal(c.renewNow)
	}
}

// currentIncarnation returns the incarnation that this process uses now.
func (c *Client) currentIncarnation() registry.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}
