// Package weighed holds the methods of admission control that were compared with admission.Recovering and not chosen,
// for measurements. docs/design/strain.md has the figures.
package weighed

import (
	"math"
	"math/rand/v2"
	"time"

	"caperarch/internal/proxy/admission"
)

// SRE is client-side throttling as in Google's SRE book, chapter 21, "Handling Overload": it rejects with probability
// (requests - K x accepts) / (requests + 1), both counted over a window that fades.
type SRE struct {
	rng               *rand.Rand
	k                 float64
	window            time.Duration
	at                time.Duration
	requests, accepts float64
}

// NewSRE makes a gate; the book has a K of 2 and a window of two minutes.
func NewSRE(rng *rand.Rand, k float64, window time.Duration) *SRE {
	return &SRE{rng: rng, k: k, window: window}
}

// Admit counts each request, admitted or not.
func (g *SRE) Admit(now time.Duration, value float64) bool {
	fade := math.Exp(-float64(now-g.at) / float64(g.window))
	g.at, g.requests, g.accepts = now, g.requests*fade, g.accepts*fade
	reject := (g.requests - g.k*g.accepts) / (g.requests + 1)
	g.requests++
	return admission.Draw(g.rng, 1-reject, value)
}

// AttemptStarted does nothing.
func (g *SRE) AttemptStarted(time.Duration) {}

// AttemptEnded counts an answer in time.
func (g *SRE) AttemptEnded(_ time.Duration, e admission.AttemptEnd) {
	if !e.Ignored && e.Score > 0 {
		g.accepts++
	}
}

// AIMD bounds attempts in flight: by one more for each limit's number of answers in time, a tenth less for a late
// one.
type AIMD struct {
	limit     float64
	inFlight  int
	reducedAt time.Duration
}

// NewAIMD makes a gate with a limit of 20.
func NewAIMD() *AIMD { return &AIMD{limit: 20} }

// Admit admits a request while the limit is not reached.
func (g *AIMD) Admit(time.Duration, float64) bool { return float64(g.inFlight) < g.limit }

// AttemptStarted counts an attempt in flight.
func (g *AIMD) AttemptStarted(time.Duration) { g.inFlight++ }

// AttemptEnded gives it back.
func (g *AIMD) AttemptEnded(now time.Duration, e admission.AttemptEnd) {
	g.inFlight--
	switch {
	case e.Ignored:
	case e.Score >= 0.5:
		g.limit = min(200, g.limit+1/g.limit)
	case now-g.reducedAt > 50*time.Millisecond: // once for what went out together
		g.limit, g.reducedAt = max(1, g.limit*0.9), now
	}
}

// Gradient bounds attempts in flight by how much longer they take than without load, as Netflix's concurrency-limits
// (Gradient2) do: limit = limit x long/now + the root of limit, smoothed.
type Gradient struct {
	limit     float64
	inFlight  int
	long, now float64 // smoothed durations over many and over few attempts, in seconds
}

// NewGradient makes a gate with a limit of 20.
func NewGradient() *Gradient { return &Gradient{limit: 20} }

// Admit admits a request while the limit is not reached.
func (g *Gradient) Admit(time.Duration, float64) bool { return float64(g.inFlight) < g.limit }

// AttemptStarted counts an attempt in flight.
func (g *Gradient) AttemptStarted(time.Duration) { g.inFlight++ }

// AttemptEnded gives it back.
func (g *Gradient) AttemptEnded(_ time.Duration, e admission.AttemptEnd) {
	g.inFlight--
	if e.Ignored {
		return
	}
	took := e.Duration.Seconds()
	if e.Score == 0 {
		took = max(took, e.LatencyTarget.Seconds())
	}
	if g.long == 0 {
		g.long, g.now = took, took
	}
	g.long += (took - g.long) / 600
	g.now += (took - g.now) / 10
	if g.long > 2*g.now { // attempts were slow for long
		g.long *= 0.95
	}
	gradient := max(0.5, min(1, 1.5*g.long/g.now))
	g.limit = max(1, min(200, 0.8*g.limit+0.2*(gradient*g.limit+math.Sqrt(g.limit))))
}

// CoDel rejects while no answer of the last interval had the full score, ever more often (RFC 8289, 5.2). The queues
// are the servers', so half of the latency target stands in for the time in a queue.
type CoDel struct {
	lateSince time.Duration // since when all answers were late; 0: not
	dropping  bool
	next      time.Duration
	count     float64
}

const codelInterval = 100 * time.Millisecond

// NewCoDel makes a gate.
func NewCoDel() *CoDel { return new(CoDel) }

// Admit rejects a request when the control law says so.
func (g *CoDel) Admit(now time.Duration, _ float64) bool {
	if !g.dropping || now < g.next {
		return true
	}
	g.count++
	g.next += time.Duration(float64(codelInterval) / math.Sqrt(g.count))
	return false
}

// AttemptStarted does nothing.
func (g *CoDel) AttemptStarted(time.Duration) {}

// AttemptEnded looks how late an answer was.
func (g *CoDel) AttemptEnded(now time.Duration, e admission.AttemptEnd) {
	switch {
	case e.Ignored:
	case e.Score >= 1:
		g.lateSince, g.dropping = 0, false
	case g.lateSince == 0:
		g.lateSince = now
	case !g.dropping && now-g.lateSince >= codelInterval:
		g.dropping = true
		g.count = max(1, g.count-2)
		g.next = now
	}
}
