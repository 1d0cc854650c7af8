package engine

import (
	"sync/atomic"
	"time"
)

// AbandonGrace is the time within which an attempt should end after its client has disconnected. Attempts that end
// later are counted in Abandoned.RanOn. The operators' alert on work for disconnected clients allows the same time.
const AbandonGrace = 500 * time.Millisecond

// Abandoned counts the requests whose clients disconnected before the answer, since the engine was created.
type Abandoned struct {
	Requests int64 // all such requests
	InFlight int64 // attempts that were in flight when their client disconnected
	RanOn    int64 // attempts of InFlight that ended more than AbandonGrace after that
}

// abandonedCounters holds the counters of Abandoned. The goroutine of Run updates them, any goroutine may read them.
type abandonedCounters struct{ requests, inFlight, ranOn atomic.Int64 }

// clientDisconnected counts a request whose client disconnects while the given number of its attempts is in flight.
func (c *abandonedCounters) clientDisconnected(attempts int) {
	c.requests.Add(1)
	c.inFlight.Add(int64(attempts))
}

// attemptEnded counts an attempt that ends the given time after its client has disconnected.
func (c *abandonedCounters) attemptEnded(after time.Duration) {
	if after > AbandonGrace {
		c.ranOn.Add(1)
	}
}

// Abandoned returns the counts of abandoned requests. It does not block.
func (e *Engine) Abandoned() Abandoned {
	return Abandoned{
		Requests: e.abandoned.requests.Load(),
		InFlight: e.abandoned.inFlight.Load(),
		RanOn:    e.abandoned.ranOn.Load(),
	}
}
