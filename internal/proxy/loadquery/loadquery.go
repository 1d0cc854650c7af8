// Package loadquery decides whether a balancer probes servers for their load before it sends, and how often each server
// gets a turn: a balancer that may not probe learns from its own answers alone, which may be few.
package loadquery

import "time"

const (
	comparisons  = 4 // pairs of reports that show whether reports change as fast as they are used
	minDiffering = 3 // of them that must differ

	// maxProbePrice is what a request loses by a turn without a probe, as a fraction of its value: a fiftieth of the
	// answers came late that probes would have saved. At a price of 0.08 probes cost a fleet of eighty a tenth.
	maxProbePrice = 0.02

	suspectSlowness = 2.2 // latency as a multiple of the usual from which a server is suspect

	defaultTurnInterval  = 1.0 // seconds in which each server of the arc gets a turn,
	probedTurnInterval   = 3.0 // where probes find free servers: the best of many,
	unprobedTurnInterval = 0.4 // and where they are too expensive: few servers, whose state is learned often
)

// Prober decides for one balancer. It is used from one goroutine.
type Prober struct {
	enabled, expensive  bool
	compared, differing int
}

// New makes a prober. enabled: probes may be used and report requests in flight; price: against a request's value of 1.
func New(enabled bool, price float64) Prober {
	return Prober{enabled: enabled, expensive: price > maxProbePrice}
}

// Comparing says whether it is still unknown if reports change as fast as they are used.
func (p *Prober) Comparing() bool { return p.enabled && !p.expensive && p.compared < comparisons }

// Compare counts whether two reports of one server differed; a missing report did not.
func (p *Prober) Compare(differed bool) {
	p.compared++
	if differed {
		p.differing++
	}
}

// ProbesAll says whether every server is probed before it is sent a request.
func (p *Prober) ProbesAll() bool { return p.enabled && !p.expensive && p.differing >= minDiffering }

// AttemptTimeout is how long an attempt that may be repeated is waited for: whole, while its answer is of use, or where
// servers are not probed and may be silent, the part of it after which another attempt could still succeed.
func (p *Prober) AttemptTimeout(whole, part time.Duration) time.Duration {
	if !p.expensive || part < whole/2 {
		return whole
	}
	return part
}

// ProbesSuspect says whether a server is probed although probes are expensive. slowness is its latency as a multiple of
// the usual, failures included. Probing these one in ten saves most of what probing all would.
func (p *Prober) ProbesSuspect(slowness float64) bool {
	return p.enabled && p.expensive && slowness >= suspectSlowness
}

// ShouldProbe says whether a server is to be probed at its turn.
func (p *Prober) ShouldProbe(slowness float64) bool {
	return p.ProbesAll() || p.ProbesSuspect(slowness)
}

// TurnInterval is the time in which each server of the arc gets a turn.
func (p *Prober) TurnInterval() float64 {
	switch {
	case p.ProbesAll():
		return probedTurnInterval
	case p.expensive:
		return unprobedTurnInterval
	}
	return defaultTurnInterval
}
