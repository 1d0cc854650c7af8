package watch

import (
	"context"
	"time"

	"caperarch/internal/mesh/registry"
)

// neighbour is another member and what it has not been told yet. Of each node
// only its name waits, so that the queue is bounded by the leases held. The
// Server's lock guards it.
type gossipPeer struct {
	address string
	cancel  context.CancelFunc
	wake    chan struct{}

	zone         string
	clock        clockReading    // its clock at its last answer,
	answeredAt   time.Duration   // which came then
	dirty        map[string]bool // true: the whole lease, false: only its renewal
	reports      map[string]queuedReport
	failing      bool // the last call failed
	needsSync    bool // it is to be asked for all it holds
	awaitingSync bool // it has not answered yet since then, nor failed to
}

type queuedReport struct {
	up registry.Upstream
	at time.Duration
}

// lasts is how long the beat is worth telling: a deregistration as long as it is
// remembered, any other as long as it vouches.
func (b queuedReport) lasts() time.Duration {
	if b.up.State == registry.Deregistered {
		return registry.TombstoneTTL
	}
	return registry.LeaseTTL
}

func newGossipPeer(address string, cancel context.CancelFunc) *gossipPeer {
	n := &gossipPeer{
		address: address, cancel: cancel, wake: make(chan struct{}, 1),
		dirty: map[string]bool{}, reports: map[string]queuedReport{},
	}
	n.requestSync()
	return n
}

func (n *gossipPeer) wakeSender() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// heard notes an answer of the member.
func (n *gossipPeer) recordResponse(zone string, clock clockReading, now time.Duration) {
	n.zone, n.clock, n.answeredAt = zone, clock, now
}

func (n *gossipPeer) requestSync() {
	n.needsSync, n.awaitingSync = true, true
	n.wakeSender()
}

// mark queues a node's lease: whole and at once, or as a renewal.
func (n *gossipPeer) queueLease(node string, whole bool) {
	n.dirty[node] = n.dirty[node] || whole
	if whole {
		n.wakeSender()
	}
}

func (n *gossipPeer) queueReport(up registry.Upstream, now time.Duration) {
	if _, waits := n.reports[up.Instance]; waits || len(n.reports) < maxQueuedReports {
		n.reports[up.Instance] = queuedReport{up, now}
		n.wakeSender()
	}
}
