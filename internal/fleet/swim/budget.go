package swim

import (
	"time"
)

// The budget of bytes that a node sends. A node that merely lost messages to the link's own limit
// repeated what was not answered, as did all others, and the fleet stayed overloaded: in contact
// within the first seconds of a start, or not at all (swimnet with Spend, 100 members).
const (
	DefaultBytesPerSecond = 2048 // a second

	messageBytes = 36 // of a message, roughly,
	rumourBytes  = 21 // and of each rumour on it

	// Fractions of the full budget (two seconds' worth) that have to be there for
	probeReserve      = 0.1 // a probe; acks are always sent
	rumourReserve     = 0.3 // one rumour on a message: contact goes before gossip
	extraReserve      = 0.5 // indirect probes and probing more often
	fullGossipReserve = 0.6 // as many rumours as fit
)

// budget is a token bucket of bytes.
type budget struct {
	rate, level float64
	at          time.Duration
}

// hasBudget reports whether the budget is filled to at least a fraction.
func (n *Node) hasBudget(fraction float64) bool { return n.budget.level >= fraction*2*n.budget.rate }

// send sends n.out.
func (n *Node) send(to int) {
	n.budget.level = max(0, n.budget.level-messageBytes-rumourBytes*float64(len(n.out.Rumours)))
	n.Host.Send(to, &n.out)
}

func (b *budget) fill(now time.Duration) {
	b.level = min(2*b.rate, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}
