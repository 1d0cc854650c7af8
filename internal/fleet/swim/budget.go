package swim

import (
	"time"
)

// The byte budget bounds what a node sends. Without a budget, a node loses messages only to the
// rate limit of its link, retries the unanswered messages like all other nodes, and keeps the fleet
// overloaded: simulated fleets of 100 members either came into contact within the first seconds
// after the start or not at all.
const (
	DefaultBytesPerSecond = 2048 // default of Config.BytesPerSecond

	messageBytes = 36 // approximate size of a message without rumours, in bytes
	rumourBytes  = 21 // approximate size of each rumour in a message, in bytes

	// Minimum fill levels, as fractions of the full budget (two seconds of sending at the budgeted
	// rate), below which a node does not send the following. Acks are always sent.
	probeReserve      = 0.1 // probes
	rumourReserve     = 0.3 // one rumour per message: contact takes precedence over gossip
	extraReserve      = 0.5 // indirect probes and faster probing while out of contact
	fullGossipReserve = 0.6 // as many rumours per message as fit
)

// budget is a token bucket. A token is one byte.
type budget struct {
	rate, tokens float64 // tokens per second, tokens available
	updatedAt    time.Duration
}

// hasBudget reports whether the budget is filled to at least a fraction of its capacity, which is
// two seconds of sending.
func (n *Node) hasBudget(fraction float64) bool { return n.budget.tokens >= fraction*2*n.budget.rate }

// send sends n.outgoing to a member and charges it to the budget.
func (n *Node) send(to int) {
	n.budget.tokens = max(0, n.budget.tokens-messageBytes-rumourBytes*float64(len(n.outgoing.Rumours)))
	n.Host.Send(to, &n.outgoing)
}

// fill adds the tokens of the time since the last call, up to the capacity.
func (b *budget) fill(now time.Duration) {
	b.tokens = min(2*b.rate, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}
