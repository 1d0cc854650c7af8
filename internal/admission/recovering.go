package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	wellAt   = 0.9                    // answers are this good again: what was bad is forgotten sooner
	wellOver = 300 * time.Millisecond // within this
	lastOf   = 12.0                   // answers that tell how it is now
)

// Recovering is Ratio that forgets in time: while the last answers are good, what came before them fades faster, so that a
// shortage that is over turns nobody away any more. Ratio itself comes back by half a share every two seconds at best, as what it
// turns away counts against it: a fifth was refused for 10 s after answers were quick again.
type Recovering struct {
	ratio Ratio
	now   float64 // how good the last answers were
}

// NewRecovering makes one. It draws from rng only where not all may try.
func NewRecovering(rng *rand.Rand) *Recovering {
	return &Recovering{ratio: Ratio{rng: rng}, now: 1}
}

// Ask is Ratio's, after fading.
func (g *Recovering) Ask(now time.Duration, worth float64) bool {
	if g.now >= wellAt {
		fade := math.Exp(-float64(now-g.ratio.at) / float64(wellOver))
		g.ratio.all, g.ratio.good = g.ratio.all*fade, g.ratio.good*fade
	}
	return g.ratio.Ask(now, worth)
}

// Began has no part in it.
func (g *Recovering) Began(time.Duration) {}

// Ended counts an attempt's end.
func (g *Recovering) Ended(now time.Duration, e End) {
	if !e.Mute {
		g.now += (e.Good - g.now) / lastOf
	}
	g.ratio.Ended(now, e)
}
