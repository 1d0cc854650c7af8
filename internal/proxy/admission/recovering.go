package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	recoveredScore = 0.9                    // mean score from which capacity counts as sufficient again
	doublingTime   = 200 * time.Millisecond // time in which the share doubles while capacity is sufficient
	scoreAnswers   = 8.0                    // the mean score covers about this many answers,
	scoreTime      = 250 * time.Millisecond // or the answers of this time where answers are rare
	scoreMultiple  = 1.7                    // while capacity is insufficient, the share is stable at a score of 1/1.7
	maxDemandRatio = 4.0                    // bound of demandRatio; its reciprocal is the lower bound
	minShare       = 0.1                    // lower bound of the share: with less, recovery would be noticed late
)

// Health holds the mean score of a balancer's recent answers and the demand on the balancer. Both are taken over all
// tenants, which share the servers. Health is used by the gates of one balancer, from one goroutine.
type Health struct {
	score     float64
	updatedAt time.Duration
	demand    decayingCount // requests of all tenants
}

// decayingCount counts events; the count decays over decayTime.
type decayingCount struct {
	value     float64
	updatedAt time.Duration
}

func (c *decayingCount) increment(now time.Duration) {
	c.value = 1 + c.value*math.Exp(-float64(now-c.updatedAt)/float64(decayTime))
	c.updatedAt = now
}

// NewHealth returns a Health with the best score, 1.
func NewHealth() *Health { return &Health{score: 1} }

// record adds a score to the mean. The weight of the score is higher where scores are rare.
func (h *Health) record(now time.Duration, score float64) {
	h.score += (score - h.score) * min(0.5, max(1/scoreAnswers, float64(now-h.updatedAt)/float64(scoreTime)))
	h.updatedAt = now
}

// Recovering admits a share of a tenant's requests. The share falls, as with Ratio, while answers are late, and doubles
// every 0.2 s once they are in time. The package documentation compares it with Ratio.
type Recovering struct {
	rng                          *rand.Rand
	health                       *Health
	fairShare                    float64       // fraction of all traffic that the tenant is entitled to
	demand                       decayingCount // requests of the tenant
	share                        float64
	updatedAt                    time.Duration
	endedAttempts, scoreDeficits float64 // ended attempts, and the sum of 1-Score over them; both decay over decayTime
}

// NewRecovering returns the gate of one tenant. The gate uses rng only while its share is below 1.
func NewRecovering(rng *rand.Rand, h *Health) *Recovering {
	return &Recovering{rng: rng, health: h, fairShare: 1, share: 1}
}

// SetFairShare sets the fraction of all traffic that the gate's tenant is entitled to, if the gate is a Recovering.
func SetFairShare(g Gate, share float64) {
	if recovering, ok := g.(*Recovering); ok {
		recovering.fairShare = share
	}
}

// Admit updates the share and admits the request with the probability that follows from it.
func (g *Recovering) Admit(now time.Duration, value float64) bool {
	elapsed := now - g.updatedAt
	g.updatedAt = now
	g.demand.increment(now)
	g.health.demand.increment(now)
	decay := math.Exp(-float64(elapsed) / float64(decayTime))
	g.endedAttempts, g.scoreDeficits = g.endedAttempts*decay, g.scoreDeficits*decay
	if g.health.score >= recoveredScore {
		g.share *= math.Exp2(float64(elapsed) / float64(doublingTime))
	} else {
		meanScore := 1 - g.scoreDeficits/(priorRequests+g.endedAttempts)
		g.share *= math.Pow(scoreMultiple*meanScore, g.demandRatio()*min(1, float64(elapsed)/float64(decayTime)))
	}
	g.share = max(minShare, min(1, g.share))
	return AdmitAtRandom(g.rng, g.share, value)
}

// demandRatio returns the tenant's fraction of the demand relative to its fair share, within bounds. The share falls
// faster by this ratio: a tenant above its fair share is limited first, the others only if that is not enough.
func (g *Recovering) demandRatio() float64 {
	return max(1/maxDemandRatio, min(maxDemandRatio, g.demand.value/g.health.demand.value/max(g.fairShare, 1e-3)))
}

// AttemptStarted does nothing: Recovering counts an attempt when it ends.
func (g *Recovering) AttemptStarted(time.Duration) {}

// AttemptEnded records the score of an attempt.
func (g *Recovering) AttemptEnded(now time.Duration, e AttemptEnd) {
	if e.Ignored {
		return
	}
	g.endedAttempts++
	g.scoreDeficits += 1 - e.Score
	g.health.record(now, e.Score)
}
