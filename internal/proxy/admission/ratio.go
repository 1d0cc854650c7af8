package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// successMultiple is how many requests Ratio admits for each that was recently answered in time.
const successMultiple = 1.5

// Ratio admits little more than what was recently answered in time, and more of classes of high value. Bulkheads
// bound each balancer alone: where a fleet has too little capacity for a thousand balancers of few requests each,
// the slots of all are more than it can serve in time, and it works for answers that are late (i47e131, i50e019).
type Ratio struct {
	rng       *rand.Rand
	at        time.Duration
	all, good float64 // requests, and the scores of their answers; both fade
}

// NewRatio makes a gate. It draws from rng only while its share is below 1.
func NewRatio(rng *rand.Rand) *Ratio { return &Ratio{rng: rng} }

// Admit counts a rejected request at once; an admitted one counts when its attempts end.
func (g *Ratio) Admit(now time.Duration, value float64) bool {
	fade := math.Exp(-float64(now-g.at) / float64(fadeTime))
	g.at, g.all, g.good = now, g.all*fade, g.good*fade
	share := (freeRequests + successMultiple*g.good) / (freeRequests + g.all)
	if Draw(g.rng, share, value) {
		return true
	}
	g.all++
	return false
}

// AttemptStarted does nothing.
func (g *Ratio) AttemptStarted(time.Duration) {}

// AttemptEnded counts the score of an attempt.
func (g *Ratio) AttemptEnded(_ time.Duration, e AttemptEnd) {
	if !e.Ignored {
		g.all++
		g.good += e.Score
	}
}
