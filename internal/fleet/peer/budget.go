package peer

import (
	"time"
)

// Priority decides what is sent first when the budget is short.
type Priority int

// The priorities, the highest first.
const (
	Contact  Priority = iota
	Urgent            // messages of replicatedstate that others wait for
	Decision          // other messages of replicatedstate
	Hint              // servers that don't answer
)

// reserved is the fraction of a full budget that is kept for higher priorities.
var reserved = [...]float64{Contact: 0, Urgent: 0.1, Decision: 0.25, Hint: 0.5}

// budget is a token bucket of bytes. It is not safe for concurrent use.
type budget struct {
	rate  float64 // bytes per second
	level float64
	at    time.Duration
}

// full returns the bucket's size: two seconds' worth.
func (b *budget) full() float64 { return 2 * b.rate }

// take takes bytes from the bucket; false: there are too few.
func (b *budget) take(now time.Duration, bytes int, p Priority) bool {
	if b.at == 0 {
		b.level = b.full()
	} else {
		b.level = min(b.full(), b.level+b.rate*(now-b.at).Seconds())
	}
	b.at = now
	if b.level-float64(bytes) < reserved[p]*b.full() {
		return false
	}
	b.level -= float64(bytes)
	return true
}
