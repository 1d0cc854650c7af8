package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const most = 1.5 // Ratio lets in this multiple of what was lately answered in time

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
