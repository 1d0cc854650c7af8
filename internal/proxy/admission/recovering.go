package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	recoveredScore = 0.9                    // answers are this good again: capacity is back
	doublingTime   = 200 * time.Millisecond // the share doubles within this then
	scoreAnswers   = 8.0                    // answers that tell how it is now,
	scoreTime      = 250 * time.Millisecond // or fewer, of about so long
	decayMargin    = 1.7                    // until then it settles where answers are 1/upTo as good as can be
	maxExcess      = 4.0                    // times its part or more that a tenant asks for
	minShare       = 0.1                    // of the share, or it is slow to find back: few tell how it is
)

// Health is how good a balancer's last answers were, whoever's they were, and how much was asked of it: servers are common
// to all tenants.
type Health struct {
	score  float64
	at     time.Duration
	demand fadingCount // of all tenants
}

// fadingCount counts what fades.
type fadingCount struct {
	n  float64
	at time.Duration
}

func (l *fadingCount) count(now time.Duration) {
	l.n = 1 + l.n*math.Exp(-float64(now-l.at)/float64(fadeTime))
	l.at = now
}

// NewHealth begins well.
func NewHealth() *Health { return &Health{score: 1} }

// record counts an end; where they are rare each tells more.
func (h *Health) record(now time.Duration, good float64) {
	h.score += (good - h.score) * min(0.5, max(1/scoreAnswers, float64(now-h.at)/float64(scoreTime)))
	h.at = now
}

// Recovering lets a share of the requests in that falls while answers come late, by Ratio's measure, and comes back as soon as they are
// good again: doubled every 0.2 s. Ratio counts what it turns away against itself and so comes back by half a share every two seconds at
// best: it refused a fifth for 10 s after answers were quick again.
type Recovering struct {
	rng        *rand.Rand
	health     *Health
	fairShare  float64     // of all traffic, that is the tenant's by right
	demand     fadingCount // by the tenant
	share      float64
	at         time.Duration
	ended, bad float64 // attempts that were let in; they fade
}

// NewRecovering makes one of a balancer's gates. It draws from rng only where not all may try.
func NewRecovering(rng *rand.Rand, h *Health) *Recovering {
	return &Recovering{rng: rng, health: h, fairShare: 1, share: 1}
}

// SetFairShare tells a gate what part of all traffic is its tenant's by right; others than Recovering have no use for it.
func SetFairShare(g Gate, part float64) {
	if g, goes := g.(*Recovering); goes {
		g.fairShare = part
	}
}

// Admit moves the share on to now, and draws.
func (g *Recovering) Admit(now time.Duration, worth float64) bool {
	passed := now - g.at
	g.at = now
	g.demand.count(now)
	g.health.demand.count(now)
	fade := math.Exp(-float64(passed) / float64(fadeTime))
	g.ended, g.bad = g.ended*fade, g.bad*fade
	switch good := 1 - g.bad/(freeRequests+g.ended); {
	case g.health.score >= recoveredScore:
		g.share *= math.Exp2(float64(passed) / float64(doublingTime))
	default:
		g.share *= math.Pow(decayMargin*good, g.excess()*min(1, float64(passed)/float64(fadeTime)))
	}
	g.share = max(minShare, min(1, g.share))
	return Draw(g.rng, g.share, worth)
}

// excess is how many times its part a tenant asks for, far either way. Its share moves as much faster: who asks for more than is his
// makes room first, and the others are spared as long as that is enough.
func (g *Recovering) excess() float64 {
	return max(1/maxExcess, min(maxExcess, g.demand.n/g.health.demand.n/max(g.fairShare, 1e-3)))
}

// AttemptStarted has no part in it.
func (g *Recovering) AttemptStarted(time.Duration) {}

// AttemptEnded counts an attempt's end.
func (g *Recovering) AttemptEnded(now time.Duration, e AttemptEnd) {
	if e.Ignored {
		return
	}
	g.ended++
	g.bad += 1 - e.Score
	g.health.record(now, e.Score)
}
