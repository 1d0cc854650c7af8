// Package admission decides which requests may try for a slot, where a fleet has too little capacity. It does no I/O:
// time and the ends of attempts are passed in.
package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// Gate is one method of admission control. It is used by one balancer, from one goroutine.
type Gate interface {
	// Admit says whether a request may try for a slot. value is its class's, relative to the mean of all, above 0.
	Admit(now time.Duration, value float64) bool
	// AttemptStarted counts an attempt that is sent.
	AttemptStarted(now time.Duration)
	// AttemptEnded counts the end of an attempt, once for each that started.
	AttemptEnded(now time.Duration, e AttemptEnd)
}

// AttemptEnd is the end of an attempt.
type AttemptEnd struct {
	Score         float64       // 1: answered in time, falling to 0 near the latency target; 0: not answered in time
	Ignored       bool          // it says nothing of capacity: cancelled, not sent, or its request was finished
	Duration      time.Duration // since it was sent
	LatencyTarget time.Duration // of its class
}

const (
	freeRequests = 1.5             // admitted beyond the measured share, or one failure would shut a light balancer
	fadeTime     = 2 * time.Second // counts fade over it: about as long as queues take to build up
	minValue     = 1.0 / 8         // the least value of a class, relative to the mean, or it would never be admitted
)

// Draw admits by chance, where share of all requests may pass, those of high value rather. It draws only if share < 1.
func Draw(rng *rand.Rand, share, value float64) bool {
	return share >= 1 || rng.Float64() < math.Pow(max(0, share), 1/max(value, minValue))
}
