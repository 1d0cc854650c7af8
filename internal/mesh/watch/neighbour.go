package watch

import (
	"context"
	"time"

	"caperarch/internal/mesh/registry"
)

// neighbour is another member and what it has not been told yet. Of each node
// only its name waits, so that the queue is bounded by the leases held. The
// Server's lock guards it.
type neighbour struct {
	address string
	cancel  context.CancelFunc
	wake    chan struct{}

	zone    string
	clock   clockReading    // its clock at its last answer,
	heardAt time.Duration   // which came then
	dirty   map[string]bool // true: the whole lease, false: only its renewal
	beats   map[string]waitingBeat
	failing bool // the last call failed
	asking  bool // it is to be asked for all it holds
	pending bool // it has not answered yet since then, nor failed to
}

type waitingBeat struct {
	up registry.Upstream
	at time.Duration
}

// lasts is how long the beat is worth telling: a deregistration as long as it is
// remembered, any other as long as it vouches.
func (b waitingBeat) lasts() time.Duration {
	if b.up.State == registry.Deregistered {
		return registry.TombstoneTTL
	}
	return registry.LeaseTTL
}

func newNeighbour(address string, cancel context.CancelFunc) *neighbour {
	n := &neighbour{
		address: address, cancel: cancel, wake: make(chan struct{}, 1),
		dirty: map[string]bool{}, beats: map[string]waitingBeat{},
	}
	n.ask()
	return n
}

func (n *neighbour) rouse() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// heard notes an answer of the member.
func (n *neighbour) heard(zone string, clock clockReading, now time.Duration) {
	n.zone, n.clock, n.heardAt = zone, clock, now
}

func (n *neighbour) ask() {
	n.asking, n.pending = true, true
	n.rouse()
}

// mark queues a node's lease: whole and at once, or as a renewal.
func (n *neighbour) mark(node string, whole bool) {
	n.dirty[node] = n.dirty[node] || whole
	if whole {
		n.rouse()
	}
}

func (n *neighbour) tell(up registry.Upstream, now time.Duration) {
	if _, waits := n.beats[up.Instance]; waits || len(n.beats) < maxBeats {
		n.beats[up.Instance] = waitingBeat{up, now}
		n.rouse()
	}
}
