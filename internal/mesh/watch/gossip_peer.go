package watch

import (
	"context"
	"time"

	"caperarch/internal/mesh/registry"
)

// maxQueuedReports bounds the direct heartbeats that wait for a peer, against
// memory taken while it is away. Upstreams repeat their heartbeats.
const maxQueuedReports = 1024

// syncState says how far this member is with fetching all that a peer knows.
type syncState uint8

const (
	// syncPending means that the peer has neither answered nor failed since the
	// sync was requested.
	syncPending syncState = iota
	// syncFailed means that the peer was not reached; it is asked again.
	syncFailed
	// syncDone means that its answer has been merged.
	syncDone
)

// leaseUpdate is what of a node's lease has to be sent to a peer.
type leaseUpdate uint8

const (
	renewalOnly leaseUpdate = iota
	fullLease
)

// queuedReport is a direct heartbeat, or a deregistration, that waits for a peer.
type queuedReport struct {
	up registry.Upstream
	at time.Duration // when it arrived here
}

// ttl is how long the report is worth sending: a deregistration as long as it
// is remembered, a heartbeat as long as it keeps the upstream from going stale.
func (r queuedReport) ttl() time.Duration {
	if r.up.State == registry.Deregistered {
		return registry.TombstoneTTL
	}
	return registry.LeaseTTL
}

// gossipPeer is another core machine and what has not been sent to it yet. Of
// each changed lease only the node's name is queued, so that the queue is
// bounded by the number of leases. The Server's lock guards it, but for
// address, cancel and wake, which do not change.
type gossipPeer struct {
	address string
	cancel  context.CancelFunc // ends the goroutine that gossips with it
	wake    chan struct{}

	zone       string
	clock      clockReading  // its clock in its last response
	answeredAt time.Duration // when that response arrived
	leases     map[string]leaseUpdate
	reports    map[string]queuedReport // by instance
	failing    bool                    // the last call failed
	sync       syncState
}

func newGossipPeer(address string, cancel context.CancelFunc) *gossipPeer {
	p := &gossipPeer{
		address: address,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		leases:  map[string]leaseUpdate{},
		reports: map[string]queuedReport{},
	}
	p.requestSync()
	return p
}

// recordResponse records the clock of a response that arrived now.
func (p *gossipPeer) recordResponse(zone string, clock clockReading, now time.Duration) {
	p.zone, p.clock, p.answeredAt = zone, clock, now
}

// requestSync schedules a fetch of all that the peer knows, at once.
func (p *gossipPeer) requestSync() {
	p.sync = syncPending
	signal(p.wake)
}

// queueLease queues a node's lease. A full lease is sent at once, a renewal
// with the next message.
func (p *gossipPeer) queueLease(node string, update leaseUpdate) {
	p.leases[node] = max(p.leases[node], update)
	if update == fullLease {
		signal(p.wake)
	}
}

// queueReport queues a direct heartbeat or a deregistration, to be sent at once.
func (p *gossipPeer) queueReport(up registry.Upstream, now time.Duration) {
	_, queued := p.reports[up.Instance]
	if !queued && len(p.reports) >= maxQueuedReports {
		return
	}
	p.reports[up.Instance] = queuedReport{up: up, at: now}
	signal(p.wake)
}
