package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	recoveredScore = 0.9                    // mean score from which capacity counts as sufficient again
	doublingTime   = 200 * time.Millisecond // the share then doubles within this time
	scoreAnswers   = 8.0                    // the mean score is over about this many answers,
	scoreTime      = 250 * time.Millisecond // or over this time, where answers are few
	decayMargin    = 1.7                    // until recovery the share settles where the score is 1/decayMargin
	maxExcess      = 4.0                    // bounds a tenant's demand relative to its fair share, either way
	minShare       = 0.1                    // with less admitted, recovery would be noticed late
)

// Health is the mean score of a balancer's recent answers, and the demand on it, over all tenants: they share the
// servers. It is used by the gates of one balancer, from one goroutine.
type Health struct {
	score  float64
	at     time.Duration
	demand fadingCount // of all tenants
}

// fadingCount is a count of events that fade over fadeTime.
type fadingCount struct {
	n  float64
	at time.Duration
}

func (c *fadingCount) count(now time.Duration) {
	c.n = 1 + c.n*math.Exp(-float64(now-c.at)/float64(fadeTime))
	c.at = now
}

// NewHealth makes one with the best score.
func NewHealth() *Health { return &Health{score: 1} }

// record counts a score, with more weight where scores are rare.
func (h *Health) record(now time.Duration, score float64) {
	h.score += (score - h.score) * min(0.5, max(1/scoreAnswers, float64(now-h.at)/float64(scoreTime)))
	h.at = now
}

// Recovering admits a share of the requests that falls while answers are late, by Ratio's measure, and doubles every
// 0.2 s once they are in time. Ratio counts its rejections as failures, and so rejected a fifth for 10 s after that.
type Recovering struct {
	rng        *rand.Rand
	health     *Health
	fairShare  float64     // the tenant's fraction of all traffic
	demand     fadingCount // of the tenant
	share      float64
	at         time.Duration
	ended, bad float64 // admitted attempts, and what their scores lack of 1; both fade
}

// NewRecovering makes the gate of one tenant. It draws from rng only while the share is below 1.
func NewRecovering(rng *rand.Rand, h *Health) *Recovering {
	return &Recovering{rng: rng, health: h, fairShare: 1, share: 1}
}

// SetFairShare sets the fraction of all traffic that a gate's tenant is entitled to. Only a Recovering uses it.
func SetFairShare(g Gate, share float64) {
	if recovering, ok := g.(*Recovering); ok {
		recovering.fairShare = share
	}
}

// Admit updates the share and draws.
func (g *Recovering) Admit(now time.Duration, value float64) bool {
	passed := now - g.at
	g.at = now
	g.demand.count(now)
	g.health.demand.count(now)
	fade := math.Exp(-float64(passed) / float64(fadeTime))
	g.ended, g.bad = g.ended*fade, g.bad*fade
	if g.health.score >= recoveredScore {
		g.share *= math.Exp2(float64(passed) / float64(doublingTime))
	} else {
		good := 1 - g.bad/(freeRequests+g.ended)
		g.share *= math.Pow(decayMargin*good, g.excess()*min(1, float64(passed)/float64(fadeTime)))
	}
	g.share = max(minShare, min(1, g.share))
	return Draw(g.rng, g.share, value)
}

// excess is the tenant's demand relative to its fair share, bounded both ways. Its share falls as much faster: a tenant
// that asks for more is limited first, and the others only if that is not enough.
func (g *Recovering) excess() float64 {
	return max(1/maxExcess, min(maxExcess, g.demand.n/g.health.demand.n/max(g.fairShare, 1e-3)))
}

// AttemptStarted does nothing.
func (g *Recovering) AttemptStarted(time.Duration) {}

// AttemptEnded counts the score of an attempt.
func (g *Recovering) AttemptEnded(now time.Duration, e AttemptEnd) {
	if e.Ignored {
		return
	}
	g.ended++
	g.bad += 1 - e.Score
	g.health.record(now, e.Score)
}
