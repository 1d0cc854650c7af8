package watch

import (
	"context"
	"time"

	"caperarch/internal/mesh/registry"
)

// maxQueuedReports is the maximum number of heartbeats and deregistrations queued for one peer; it bounds the
// memory used while the peer is unreachable. Upstreams repeat their heartbeats.
const maxQueuedReports = 1024

// syncState is the state of fetching a peer's complete member list.
type syncState uint8

const (
	// syncPending means that the peer has neither responded nor failed since the sync was requested.
	syncPending syncState = iota
	// syncFailed means that the last fetch failed. The next gossip exchange with the peer repeats it.
	syncFailed
	// syncDone means that the peer's response has been merged into the table.
	syncDone
)

// leaseUpdate states which form of a node's lease a peer needs.
type leaseUpdate uint8

const (
	renewalOnly leaseUpdate = iota
	fullLease
)

// queuedReport is a heartbeat or a deregistration of an upstream that is queued for a peer.
type queuedReport struct {
	upstream registry.Upstream
	queuedAt time.Duration // when the report was queued, by the Server's clock
}

// ttl returns how long the report is worth sending: a deregistration as long as tables remember it, a
// heartbeat as long as it keeps the upstream from becoming stale.
func (r queuedReport) ttl() time.Duration {
	if r.upstream.State == registry.Deregistered {
		return registry.TombstoneTTL
	}
	return registry.LeaseTTL
}

// gossipPeer is another core machine, with the updates that have not been sent to it yet. For a changed lease
// only the node's name is queued, so that the queue is bounded by the number of leases. address, cancel and
// wake do not change; the Server's mu guards the other fields.
type gossipPeer struct {
	address string
	cancel  context.CancelFunc // stops the goroutine that gossips with this peer
	wake    chan struct{}

	zone       string
	clock      clockReading  // the peer's clock as its last response stated it
	answeredAt time.Duration // when the last response arrived
	leases     map[string]leaseUpdate
	reports    map[string]queuedReport // keyed by instance
	failing    bool                    // true if the last call to this peer failed
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

// recordResponse records the zone and the clock that a response stated; the response arrived at now.
func (p *gossipPeer) recordResponse(zone string, clock clockReading, now time.Duration) {
	p.zone, p.clock, p.answeredAt = zone, clock, now
}

// requestSync requests a fetch of the peer's complete member list and wakes the goroutine that performs it.
func (p *gossipPeer) requestSync() {
	p.sync = syncPending
	signal(p.wake)
}

// queueLease queues a node's lease for the peer. A full lease wakes the gossip goroutine, a renewal is sent
// with the next message.
func (p *gossipPeer) queueLease(node string, update leaseUpdate) {
	p.leases[node] = max(p.leases[node], update)
	if update == fullLease {
		signal(p.wake)
	}
}

// queueReport queues a heartbeat or a deregistration of an upstream and wakes the gossip goroutine. A report
// of another instance is dropped if the queue is full.
func (p *gossipPeer) queueReport(upstream registry.Upstream, now time.Duration) {
	_, queued := p.reports[upstream.Instance]
	if !queued && len(p.reports) >= maxQueuedReports {
		return
	}
	p.reports[upstream.Instance] = queuedReport{upstream: upstream, queuedAt: now}
	signal(p.wake)
}
