// Package admission decides which requests may try for a slot at all, where a fleet is short of what is asked of it. It is
// free of I/O and of the module's state: time is passed in, and it is told how attempts end.
package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// Gate is one way to do it. It is used from one goroutine, by one balancer.
type Gate interface {
	// Admit says whether a request may try. worth is its class's against the mean of all, above 0.
	Admit(now time.Duration, worth float64) bool
	// AttemptStarted takes that an attempt goes out.
	AttemptStarted(now time.Duration)
	// AttemptEnded takes the end of an attempt, once for each that began.
	AttemptEnded(now time.Duration, e AttemptEnd)
}

// AttemptEnd is the end of an attempt.
type AttemptEnd struct {
	Score         float64       // 1: the answer came well in time, less as its time was nearly over; 0: there was none
	Ignored       bool          // it tells nothing: called off, not sent, or of a request that is over
	Duration      time.Duration // from its sending
	LatencyTarget time.Duration // its class's
}

const (
	freeRequests = 1.5             // and this many requests, or a light balancer refuses after one failure
	fadeTime     = 2 * time.Second // lately: about as long as queues take to build up
	minValue     = 1.0 / 8         // a class counts as worth this much of the mean at least, or it is never let in
)

// Draw draws whether one passes where a share of all may; worthier ones pass sooner. Nothing is drawn where all may.
func Draw(rng *rand.Rand, share, worth float64) bool {
	return share >= 1 || rng.Float64() < math.Pow(max(0, share), 1/max(worth, minValue))
}
