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
	// Ask says whether a request may try. worth is its class's against the mean of all, above 0.
	Ask(now time.Duration, worth float64) bool
	// Began takes that an attempt goes out.
	Began(now time.Duration)
	// Ended takes the end of an attempt, once for each that began.
	Ended(now time.Duration, e End)
}

// End is the end of an attempt.
type End struct {
	Good float64       // 1: the answer came well in time, less as its time was nearly over; 0: there was none
	Mute bool          // it tells nothing: called off, not sent, or of a request that is over
	Took time.Duration // from its sending
	Aim  time.Duration // its class's
}

const (
	most = 1.5             // lets in this multiple of what was lately answered in time
	free = 1.5             // and this many requests, or a light balancer refuses after one failure
	over = 2 * time.Second // lately: about as long as queues take to build up
	dear = 1.0 / 8         // a class counts as worth this much of the mean at least, or it is never let in
)

// Pass draws whether one passes where a share of all may; worthier ones pass sooner. Nothing is drawn where all may.
func Pass(rng *rand.Rand, share, worth float64) bool {
	return share >= 1 || rng.Float64() < math.Pow(max(0, share), 1/max(worth, dear))
}

// Ratio lets in little more than what was lately answered in time, of worthier classes more. Walls bound each balancer alone; where a
// thousand of few requests each find the fleet short of what they ask, the slots of all are more than it can serve in time, and its
// work goes into answers that come late (i47e131, i50e019).
type Ratio struct {
	rng       *rand.Rand
	at        time.Duration
	all, good float64 // requests, and those answered in time; both fade
}

// NewRatio makes one. It draws from rng only where not all may try.
func NewRatio(rng *rand.Rand) *Ratio { return &Ratio{rng: rng} }

// Ask counts one that may not try at once, any other by its attempts' ends.
func (g *Ratio) Ask(now time.Duration, worth float64) bool {
	fade := math.Exp(-float64(now-g.at) / float64(over))
	g.at, g.all, g.good = now, g.all*fade, g.good*fade
	share := (free + most*g.good) / (free + g.all)
	if Pass(g.rng, share, worth) {
		return true
	}
	g.all++
	return false
}

// Began has no part in it.
func (g *Ratio) Began(time.Duration) {}

// Ended counts an attempt's end.
func (g *Ratio) Ended(_ time.Duration, e End) {
	if !e.Mute {
		g.all++
		g.good += e.Good
	}
}
