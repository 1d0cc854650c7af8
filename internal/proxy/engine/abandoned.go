package engine

import (
	"sync/atomic"
	"time"
)

// AbandonGrace is how long after its client has left an attempt may take to end before it counts as
// one that ran on. The operators' rule on work for clients that have left allows the same.
const AbandonGrace = 500 * time.Millisecond

// Abandoned counts the requests whose clients left before they had an answer, since the engine was made.
type Abandoned struct {
	Requests int64 // all of them
	InFlight int64 // attempts that were in flight when their client left
	RanOn    int64 // of these attempts, those that ended later than AbandonGrace
}

// abandonedCounters are the counters behind Abandoned. Run's goroutine counts, any may read.
type abandonedCounters struct{ requests, inFlight, ranOn atomic.Int64 }

// clientLeft counts a request whose client leaves while so many of its attempts are in flight.
func (c *abandonedCounters) clientLeft(attempts int) {
	c.requests.Add(1)
	c.inFlight.Add(int64(attempts))
}

// attemptEnded counts the end of an attempt, so long after its client has left.
func (c *abandonedCounters) attemptEnded(after time.Duration) {
	if after > AbandonGrace {
		c.ranOn.Add(1)
	}
}

// Abandoned returns the counts. It never blocks.
func (e *Engine) Abandoned() Abandoned {
	return Abandoned{
		Requests: e.abandoned.requests.Load(),
		InFlight: e.abandoned.inFlight.Load(),
		RanOn:    e.abandoned.ranOn.Load(),
	}
}
