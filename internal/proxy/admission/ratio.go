package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// successMultiple is the number of requests that Ratio admits for each request that was recently answered in time.
const successMultiple = 1.5

// Ratio admits slightly more requests than were recently answered in time, and prefers classes of high value. It is
// needed beside bulkheads, which bound the attempts of each balancer separately: where a fleet has too little capacity
// for a thousand balancers with few requests each, the bulkheads of all balancers together allow more attempts than
// the servers can finish in time, and the servers spend their capacity on late answers (i47e131, i50e019).
type Ratio struct {
	rng                *rand.Rand
	updatedAt          time.Duration
	requests, scoreSum float64 // requests, and the sum of the scores of their attempts; both decay over decayTime
}

// NewRatio returns a Ratio that uses rng only while it admits less than all requests.
func NewRatio(rng *rand.Rand) *Ratio { return &Ratio{rng: rng} }

// Admit counts a rejected request immediately; an admitted request is counted when its attempts end.
func (g *Ratio) Admit(now time.Duration, value float64) bool {
	decay := math.Exp(-float64(now-g.updatedAt) / float64(decayTime))
	g.updatedAt, g.requests, g.scoreSum = now, g.requests*decay, g.scoreSum*decay
	share := (priorRequests + successMultiple*g.scoreSum) / (priorRequests + g.requests)
	if AdmitAtRandom(g.rng, share, value) {
		return true
	}
	g.requests++
	return false
}

// AttemptStarted does nothing: Ratio counts an attempt when it ends.
func (g *Ratio) AttemptStarted(time.Duration) {}

// AttemptEnded counts an attempt and its score.
func (g *Ratio) AttemptEnded(_ time.Duration, e AttemptEnd) {
	if !e.Ignored {
		g.requests++
		g.scoreSum += e.Score
	}
}
