package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	wellAt   = 0.9                    // answers are this good again: capacity is back
	wellOver = 300 * time.Millisecond // the share doubles within this then
	lastOf   = 12.0                   // answers that tell how it is now,
	lastFor  = 500 * time.Millisecond // or fewer, of about so long
	least    = 0.02                   // of the share, so that it finds back
)

// Health is how good a balancer's last answers were, whoever's they were: servers are common to all tenants.
type Health struct {
	now float64
	at  time.Duration
}

// NewHealth begins well.
func NewHealth() *Health { return &Health{now: 1} }

// take counts an end; where they are rare each tells more.
func (h *Health) take(now time.Duration, good float64) {
	h.now += (good - h.now) * min(0.5, max(1/lastOf, float64(now-h.at)/float64(lastFor)))
	h.at = now
}

// Recovering lets a share of the requests in that falls while answers come late, by Ratio's measure, and comes back as soon as they are
// good again: doubled every 0.3 s. Ratio counts what it turns away against itself and so comes back by half a share every two seconds at
// best: it refused a fifth for 10 s after answers were quick again.
type Recovering struct {
	rng        *rand.Rand
	health     *Health
	share      float64
	at         time.Duration
	ended, bad float64 // attempts that were let in; they fade
}

// NewRecovering makes one of a balancer's gates. It draws from rng only where not all may try.
func NewRecovering(rng *rand.Rand, h *Health) *Recovering {
	return &Recovering{rng: rng, health: h, share: 1}
}

// Ask moves the share on to now, and draws.
func (g *Recovering) Ask(now time.Duration, worth float64) bool {
	passed := now - g.at
	g.at = now
	fade := math.Exp(-float64(passed) / float64(over))
	g.ended, g.bad = g.ended*fade, g.bad*fade
	switch good := 1 - g.bad/(free+g.ended); {
	case g.health.now >= wellAt:
		g.share *= math.Exp2(float64(passed) / float64(wellOver))
	default:
		g.share *= math.Pow(most*good, min(1, float64(passed)/float64(over)))
	}
	g.share = max(least, min(1, g.share))
	return Pass(g.rng, g.share, worth)
}

// Began has no part in it.
func (g *Recovering) Began(time.Duration) {}

// Ended counts an attempt's end.
func (g *Recovering) Ended(now time.Duration, e End) {
	if e.Mute {
		return
	}
	g.ended++
	g.bad += 1 - e.Good
	g.health.take(now, e.Good)
}
