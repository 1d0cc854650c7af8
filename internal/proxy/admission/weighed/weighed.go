// Package weighed has the ways of admission that were weighed and not taken: for measurements, and for whoever weighs again.
// docs/design/strain.md has their figures.
package weighed

import (
	"math"
	"math/rand/v2"
	"time"

	"caperarch/internal/proxy/admission"
)

// SRE is client-side throttling as in Google's SRE book, chapter 21, "Handling Overload": it refuses with the chance
// (requests - K x accepts) / (requests + 1), both counted over a window that fades.
type SRE struct {
	rng               *rand.Rand
	k                 float64
	window            time.Duration
	at                time.Duration
	requests, accepts float64
}

// NewSRE makes one; the book has K 2 and two minutes.
func NewSRE(rng *rand.Rand, k float64, window time.Duration) *SRE {
	return &SRE{rng: rng, k: k, window: window}
}

// Admit counts each request, let in or not.
func (g *SRE) Admit(now time.Duration, worth float64) bool {
	fade := math.Exp(-float64(now-g.at) / float64(g.window))
	g.at, g.requests, g.accepts = now, g.requests*fade, g.accepts*fade
	refuse := (g.requests - g.k*g.accepts) / (g.requests + 1)
	g.requests++
	return admission.Draw(g.rng, 1-refuse, worth)
}

// AttemptStarted has no part in it.
func (g *SRE) AttemptStarted(time.Duration) {}

// AttemptEnded counts what was answered in time.
func (g *SRE) AttemptEnded(_ time.Duration, e admission.AttemptEnd) {
	if !e.Ignored && e.Score > 0 {
		g.accepts++
	}
}

// AIMD bounds attempts under way: one more for each limit's worth of answers in time, a tenth less for one that is late.
type AIMD struct {
	limit     float64
	inFlight  int
	reducedAt time.Duration
}

// NewAIMD begins at 20.
func NewAIMD() *AIMD { return &AIMD{limit: 20} }

// Admit asks for a place; worth has no part in it.
func (g *AIMD) Admit(time.Duration, float64) bool { return float64(g.inFlight) < g.limit }

// AttemptStarted takes it.
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

// Gradient bounds attempts under way by how much longer they take than they did at rest, as Netflix's concurrency-limits
// (Gradient2) do: limit = limit x rest/now + the root of limit, smoothed.
type Gradient struct {
	limit     float64
	inFlight  int
	long, now float64 // seconds
}

// NewGradient begins at 20.
func NewGradient() *Gradient { return &Gradient{limit: 20} }

// Admit asks for a place; worth has no part in it.
func (g *Gradient) Admit(time.Duration, float64) bool { return float64(g.inFlight) < g.limit }

// AttemptStarted takes it.
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
	if g.long > 2*g.now { // it was slow for long: come back from there
		g.long *= 0.95
	}
	gradient := max(0.5, min(1, 1.5*g.long/g.now))
	g.limit = max(1, min(200, 0.8*g.limit+0.2*(gradient*g.limit+math.Sqrt(g.limit))))
}

// CoDel refuses while no answer of the last interval was well in time, ever more often (RFC 8289, 5.2): the queues are the servers', so
// half of the aim stands in for the time in a queue.
type CoDel struct {
	lateSince time.Duration // since when all answers were late; 0: not
	dropping  bool
	next      time.Duration
	count     float64
}

const codelInterval = 100 * time.Millisecond

// NewCoDel makes one.
func NewCoDel() *CoDel { return new(CoDel) }

// Admit refuses one when the control law says so; worth has no part in it.
func (g *CoDel) Admit(now time.Duration, _ float64) bool {
	if !g.dropping || now < g.next {
		return true
	}
	g.count++
	g.next += time.Duration(float64(codelInterval) / math.Sqrt(g.count))
	return false
}

// AttemptStarted has no part in it.
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
