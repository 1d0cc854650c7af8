package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const successMultiple = 1.5 // Ratio lets in this multiple of what was lately answered in time

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

// Admit counts one that may not try at once, any other by its attempts' ends.
func (g *Ratio) Admit(now time.Duration, worth float64) bool {
	fade := math.Exp(-float64(now-g.at) / float64(fadeTime))
	g.at, g.all, g.good = now, g.all*fade, g.good*fade
	share := (freeRequests + successMultiple*g.good) / (freeRequests + g.all)
	if Draw(g.rng, share, worth) {
		return true
	}
	g.all++
	return false
}

// AttemptStarted has no part in it.
func (g *Ratio) AttemptStarted(time.Duration) {}

// AttemptEnded counts an attempt's end.
func (g *Ratio) AttemptEnded(_ time.Duration, e AttemptEnd) {
	if !e.Ignored {
		g.all++
		g.good += e.Score
	}
}
