package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	wellAt   = 0.9                    // answers are this good again: capacity is back
	wellOver = 200 * time.Millisecond // the share doubles within this then
	lastOf   = 8.0                    // answers that tell how it is now,
	lastFor  = 250 * time.Millisecond // or fewer, of about so long
	upTo     = 1.7                    // until then it settles where answers are 1/upTo as good as can be
	farOver  = 4.0                    // times its part or more that a tenant asks for
	least    = 0.1                    // of the share, or it is slow to find back: few tell how it is
)

// Health is how good a balancer's last answers were, whoever's they were, and how much was asked of it: servers are common
// to all tenants.
type Health struct {
	now   float64
	at    time.Duration
	asked lately // of all tenants
}

// lately counts what fades.
type lately struct {
	n  float64
	at time.Duration
}

func (l *lately) count(now time.Duration) {
	l.n = 1 + l.n*math.Exp(-float64(now-l.at)/float64(over))
	l.at = now
}

// NewHealth begins well.
func NewHealth() *Health { return &Health{now: 1} }

// take counts an end; where they are rare each tells more.
func (h *Health) take(now time.Duration, good float64) {
	h.now += (good - h.now) * min(0.5, max(1/lastOf, float64(now-h.at)/float64(lastFor)))
	h.at = now
}

// Recovering lets a share of the requests in that falls while answers come late, by Ratio's measure, and comes back as soon as they are
// good again: doubled every 0.2 s. Ratio counts what it turns away against itself and so comes back by half a share every two seconds at
// best: it refused a fifth for 10 s after answers were quick again.
type Recovering struct {
	rng        *rand.Rand
	health     *Health
	part       float64 // of all traffic, that is the tenant's by right
	asked      lately  // by the tenant
	share      float64
	at         time.Duration
	ended, bad float64 // attempts that were let in; they fade
}

// NewRecovering makes one of a balancer's gates. It draws from rng only where not all may try.
func NewRecovering(rng *rand.Rand, h *Health) *Recovering {
	return &Recovering{rng: rng, health: h, part: 1, share: 1}
}

// SetPart tells a gate what part of all traffic is its tenant's by right; others than Recovering have no use for it.
func SetPart(g Gate, part float64) {
	if g, goes := g.(*Recovering); goes {
		g.part = part
	}
}

// Ask moves the share on to now, and draws.
func (g *Recovering) Ask(now time.Duration, worth float64) bool {
	passed := now - g.at
	g.at = now
	g.asked.count(now)
	g.health.asked.count(now)
	fade := math.Exp(-float64(passed) / float64(over))
	g.ended, g.bad = g.ended*fade, g.bad*fade
	switch good := 1 - g.bad/(free+g.ended); {
	case g.health.now >= wellAt:
		g.share *= math.Exp2(float64(passed) / float64(wellOver))
	default:
		g.share *= math.Pow(upTo*good, g.excess()*min(1, float64(passed)/float64(over)))
	}
	g.share = max(least, min(1, g.share))
	return Pass(g.rng, g.share, worth)
}

// excess is how many times its part a tenant asks for, far either way. Its share moves as much faster: who asks for more than is his
// makes room first, and the others are spared as long as that is enough.
func (g *Recovering) excess() float64 {
	return max(1/farOver, min(farOver, g.asked.n/g.health.asked.n/max(g.part, 1e-3)))
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
