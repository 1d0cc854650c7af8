// Package loadquery decides whether a balancer asks servers what they hold before it sends, and among how many servers it takes turns.
// The two belong together: who may not ask learns from his own answers alone, and those of one balancer among many are few. It is
// free of I/O and of the module's state.
package loadquery

import "time"

const (
	comparisons  = 4 // of reports that far apart tell whether they are fresh enough
	minDiffering = 3 // of them differ then

	// What a request may lose by a turn taken blind, as a share of its worth: where servers are not short a fiftieth of the answers
	// came late that a look would have saved. A probe that costs more saves less than its price: at 0.08 one for each request
	// took a tenth of all worth from a fleet of eighty.
	maxProbePrice = 0.02

	suspectSlowness = 2.2 // times the usual that answers take

	defaultRound  = 1.0 // in which each server of the arc gets a turn
	probedRound   = 3.0 // where asking finds room: best among many
	unprobedRound = 0.4 // where it is too dear: among few, so that each tells often how it fares
)

// Prober is what one balancer goes by. It is used from one goroutine.
type Prober struct {
	enabled             bool
	expensive           bool
	compared, differing int
}

// New makes one. may: probes may be used, and bring what a server holds; price: of a probe, against a request's worth of 1.
func New(may bool, price float64) Prober {
	return Prober{enabled: may, expensive: price > maxProbePrice}
}

// Comparing says that it is still to be found out whether reports change as fast as they are used.
func (q *Prober) Comparing() bool { return q.enabled && !q.expensive && q.compared < comparisons }

// Compare takes whether two reports of one server differed; one that told nothing is no fresh one.
func (q *Prober) Compare(differed bool) {
	q.compared++
	if differed {
		q.differing++
	}
}

// ProbesAll says that every server is to be asked before it is sent to.
func (q *Prober) ProbesAll() bool { return q.enabled && !q.expensive && q.differing >= minDiffering }

// AttemptTimeout is how long an attempt that may be repeated is waited for: whole, the time in which its answer is of use, or the part of it
// behind which another could still answer. Blind turns meet servers that are slow or silent; who looked before knows that it is the
// request, which would take as long elsewhere.
func (q *Prober) AttemptTimeout(whole, part time.Duration) time.Duration {
	if !q.expensive || part < whole/2 {
		return whole
	}
	return part
}

// ProbesSuspect says that a server is asked though turns are blind. strain is how many times the usual its answers take, failures counted in.
// A look at one in ten saves most of what a look at all would: the slow and the silent are few, and are known by what they did.
func (q *Prober) ProbesSuspect(strain float64) bool {
	return q.enabled && q.expensive && strain >= suspectSlowness
}

// ShouldProbe says whether a server is to be asked at its turn.
func (q *Prober) ShouldProbe(strain float64) bool { return q.ProbesAll() || q.ProbesSuspect(strain) }

// RoundSeconds is the time in seconds in which each server of the arc gets a turn.
func (q *Prober) RoundSeconds() float64 {
	switch {
	case q.ProbesAll():
		return probedRound
	case q.expensive:
		return unprobedRound
	}
	return defaultRound
}
