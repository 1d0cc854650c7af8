package swim

import "time"

// What is sent has a budget, and the node knows it. One that only had its messages dropped by the link asked again for what did not come, as all others did, and
// the fleet never came out of that: in contact in the first seconds of a start, or not at all (swimnet with Spend, 100 members).
const (
	DefaultBytesPerSecond = 2048 // a second

	messageBytes = 36 // about what a message takes, and
	rumourBytes  = 21 // each rumour on it

	// How full the budget has to be, as a part of two seconds' worth, for
	probeReserve      = 0.1 // a probe: answers to others' always go out
	rumourReserve     = 0.3 // one rumour on a message: contact goes before what is told of others
	extraReserve      = 0.5 // asking others to try, and probing more often
	fullGossipReserve = 0.6 // as many rumours as there is room for
)

// budget is a bucket of bytes.
type budget struct {
	rate, level float64
	at          time.Duration
}

func (b *budget) fill(now time.Duration) {
	b.level = min(2*b.rate, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// hasBudget says whether the budget is full to a part.
func (n *Node) hasBudget(part float64) bool { return n.budget.level >= part*2*n.budget.rate }

// send sends n.out.
func (n *Node) send(to int) {
	n.budget.level = max(0, n.budget.level-messageBytes-rumourBytes*float64(len(n.out.Rumours)))
	n.Host.Send(to, &n.out)
}
