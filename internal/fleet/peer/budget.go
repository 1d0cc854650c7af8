package peer

import (
	"time"
)

// Priority determines which datagrams are still sent when the send budget is nearly exhausted.
type Priority int

// The priorities, highest first.
const (
	Contact  Priority = iota // messages of swim
	Urgent                   // messages of replicatedstate for which other sidecars wait
	Decision                 // other messages of replicatedstate
	Hint                     // hints on servers that don't answer
)

// reserved is, by priority, the fraction of a full budget that datagrams of that priority must leave for higher ones.
var reserved = [...]float64{Contact: 0, Urgent: 0.1, Decision: 0.25, Hint: 0.5}

// budget is a token bucket whose tokens are bytes. It starts full. It is not safe for concurrent use.
type budget struct {
	rate     float64       // bytes per second
	tokens   float64       // bytes available at lastTake
	lastTake time.Duration // 0: take has not been called
}

// capacity returns the bucket's size in bytes: the rate of two seconds.
func (b *budget) capacity() float64 { return 2 * b.rate }

// take takes bytes from the bucket, or returns false if too few are available for the priority.
func (b *budget) take(now time.Duration, bytes int, priority Priority) bool {
	if b.lastTake == 0 {
		b.tokens = b.capacity()
	} else {
		b.tokens = min(b.capacity(), b.tokens+b.rate*(now-b.lastTake).Seconds())
	}
	b.lastTake = now
	if b.tokens-float64(bytes) < reserved[priority]*b.capacity() {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}
