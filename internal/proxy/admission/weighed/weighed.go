// Package weighed holds admission-control algorithms that admission.Recovering is compared with in measurements.
// Balancers do not use them. docs/design/strain.md has the figures of the comparison.
package weighed

import (
	"math"
	"math/rand/v2"
	"time"

	"caperarch/internal/proxy/admission"
)

// SRE is the client-side throttling of Google's SRE book, chapter 21, "Handling Overload". It rejects a request with
// probability (requests - K x accepts) / (requests + 1). Both counts decay exponentially, with window as time constant.
type SRE struct {
	rng               *rand.Rand
	k                 float64
	window            time.Duration
	updatedAt         time.Duration
	requests, accepts float64
}

// NewSRE returns a gate with K = k. The book uses a K of 2 and a window of two minutes.
func NewSRE(rng *rand.Rand, k float64, window time.Duration) *SRE {
	return &SRE{rng: rng, k: k, window: window}
}

// Admit counts each request, whether it is admitted or rejected.
func (g *SRE) Admit(now time.Duration, value float64) bool {
	decay := math.Exp(-float64(now-g.updatedAt) / float64(g.window))
	g.updatedAt, g.requests, g.accepts = now, g.requests*decay, g.accepts*decay
	reject := (g.requests - g.k*g.accepts) / (g.requests + 1)
	g.requests++
	return admission.AdmitAtRandom(g.rng, 1-reject, value)
}

// AttemptStarted does nothing: SRE counts an attempt when it ends.
func (g *SRE) AttemptStarted(time.Duration) {}

// AttemptEnded counts an attempt that was answered in time.
func (g *SRE) AttemptEnded(_ time.Duration, e admission.AttemptEnd) {
	if !e.Ignored && e.Score > 0 {
		g.accepts++
	}
}

// AIMD limits the attempts in flight by additive increase and multiplicative decrease: the limit grows by one for as
// many answers in time (score at least 0.5) as it allows attempts, and shrinks by a tenth for a late answer.
type AIMD struct {
	limit     float64
	inFlight  int
	reducedAt time.Duration
}

// NewAIMD returns a gate with an initial limit of 20 attempts in flight.
func NewAIMD() *AIMD { return &AIMD{limit: 20} }

// Admit admits a request while the attempts in flight are below the limit.
func (g *AIMD) Admit(time.Duration, float64) bool { return float64(g.inFlight) < g.limit }

// AttemptStarted counts an attempt in flight.
func (g *AIMD) AttemptStarted(time.Duration) { g.inFlight++ }

// AttemptEnded adjusts the limit and counts an attempt that is no longer in flight.
func (g *AIMD) AttemptEnded(now time.Duration, e admission.AttemptEnd) {
	g.inFlight--
	switch {
	case e.Ignored:
	case e.Score >= 0.5:
		g.limit = min(200, g.limit+1/g.limit)
	case now-g.reducedAt > 50*time.Millisecond: // one decrease for attempts that were sent together
		g.limit, g.reducedAt = max(1, g.limit*0.9), now
	}
}

// Gradient limits the attempts in flight by how much longer recent attempts take than earlier ones, as Gradient2 of
// Netflix's concurrency-limits does: limit = limit x longMean/shortMean + the square root of limit, smoothed.
type Gradient struct {
	limit               float64
	inFlight            int
	longMean, shortMean float64 // durations smoothed over many and over few attempts, in seconds
}

// NewGradient returns a gate with an initial limit of 20 attempts in flight.
func NewGradient() *Gradient { return &Gradient{limit: 20} }

// Admit admits a request while the attempts in flight are below the limit.
func (g *Gradient) Admit(time.Duration, float64) bool { return float64(g.inFlight) < g.limit }

// AttemptStarted counts an attempt in flight.
func (g *Gradient) AttemptStarted(time.Duration) { g.inFlight++ }

// AttemptEnded adjusts the limit and counts an attempt that is no longer in flight.
func (g *Gradient) AttemptEnded(_ time.Duration, e admission.AttemptEnd) {
	g.inFlight--
	if e.Ignored {
		return
	}
	took := e.Duration.Seconds()
	if e.Score == 0 {
		took = max(took, e.LatencyTarget.Seconds())
	}
	if g.longMean == 0 {
		g.longMean, g.shortMean = took, took
	}
	g.longMean += (took - g.longMean) / 600
	g.shortMean += (took - g.shortMean) / 10
	if g.longMean > 2*g.shortMean { // attempts were slow for a long time and are fast again
		g.longMean *= 0.95
	}
	gradient := max(0.5, min(1, 1.5*g.longMean/g.shortMean))
	g.limit = max(1, min(200, 0.8*g.limit+0.2*(gradient*g.limit+math.Sqrt(g.limit))))
}

// CoDel rejects requests at an increasing rate while no answer of the last interval had the full score (RFC 8289, 5.2).
// The queues are in the servers, so CoDel cannot see the time that a request spends in a queue. Instead it takes
// answers that are later than half of the latency target, which have less than the full score, as evidence of a queue.
type CoDel struct {
	lateSince       time.Duration // since when all answers have been late; 0: the last answer was not late
	rejecting       bool
	nextRejectionAt time.Duration
	rejections      float64 // the time between rejections is codelInterval / sqrt(rejections)
}

// codelInterval is the time for which all answers must be late before CoDel rejects requests.
const codelInterval = 100 * time.Millisecond

// NewCoDel returns a gate that rejects no request yet.
func NewCoDel() *CoDel { return new(CoDel) }

// Admit rejects a request when the next rejection is due by CoDel's control law.
func (g *CoDel) Admit(now time.Duration, _ float64) bool {
	if !g.rejecting || now < g.nextRejectionAt {
		return true
	}
	g.rejections++
	g.nextRejectionAt += time.Duration(float64(codelInterval) / math.Sqrt(g.rejections))
	return false
}

// AttemptStarted does nothing: CoDel looks at an attempt when it ends.
func (g *CoDel) AttemptStarted(time.Duration) {}

// AttemptEnded starts or stops the rejections according to an answer's lateness.
func (g *CoDel) AttemptEnded(now time.Duration, e admission.AttemptEnd) {
	switch {
	case e.Ignored:
	case e.Score >= 1:
		g.lateSince, g.rejecting = 0, false
	case g.lateSince == 0:
		g.lateSince = now
	case !g.rejecting && now-g.lateSince >= codelInterval:
		g.rejecting = true
		g.rejections = max(1, g.rejections-2)
		g.nextRejectionAt = now
	}
}
