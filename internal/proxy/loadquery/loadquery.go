package loadquery

import "time"

const (
	maxComparisons      = 4 // pairs of reports of one server that are compared
	minDifferingReports = 3 // pairs that must differ for reports to count as changing fast enough

	maxProbePrice = 0.02 // highest price of a probe, as a fraction of a request's value; doc.go has the reason

	suspectSlowness = 2.2 // latency, as a multiple of the usual latency, from which a server is suspect

	defaultTurnInterval  = 1.0 // seconds in which each server of the arc gets a turn
	probedTurnInterval   = 3.0 // if all servers are probed: probes find the best of many servers
	unprobedTurnInterval = 0.4 // if probes are too expensive: fewer servers, whose state is learned often
)

// Prober decides for one balancer which servers it probes. It is used from one goroutine.
type Prober struct {
	enabled, expensive  bool
	compared, differing int // pairs of reports
}

// New returns a prober. enabled says that probes may be used and that they report the requests in flight at a server.
// price is the price of a probe as a fraction of a request's value.
func New(enabled bool, price float64) Prober {
	return Prober{enabled: enabled, expensive: price > maxProbePrice}
}

// Comparing reports whether the prober needs more comparisons to know if reports change fast enough.
func (p *Prober) Comparing() bool { return p.enabled && !p.expensive && p.compared < maxComparisons }

// Compare records whether two consecutive reports of one server differed. A missing report counts as equal.
func (p *Prober) Compare(differed bool) {
	p.compared++
	if differed {
		p.differing++
	}
}

// ProbesAll reports whether every server is probed before a request is sent to it.
func (p *Prober) ProbesAll() bool {
	return p.enabled && !p.expensive && p.differing >= minDifferingReports
}

// AttemptTimeout returns the time-out of an attempt that may be retried. It is whole, the time for which an answer is
// of use, or, where servers are not probed and may be unresponsive, part, which leaves time for a successful retry.
func (p *Prober) AttemptTimeout(whole, part time.Duration) time.Duration {
	if !p.expensive || part < whole/2 {
		return whole
	}
	return part
}

// ProbesSuspect reports whether a server is probed although probes are expensive. slowness is its latency, failures
// included, as a multiple of the usual. Probing these servers, one in ten, has most of the effect of probing all.
func (p *Prober) ProbesSuspect(slowness float64) bool {
	return p.enabled && p.expensive && slowness >= suspectSlowness
}

// ShouldProbe reports whether a server is probed at its turn in the round robin. slowness is as for ProbesSuspect.
func (p *Prober) ShouldProbe(slowness float64) bool {
	return p.ProbesAll() || p.ProbesSuspect(slowness)
}

// TurnInterval returns the time, in seconds, in which each server of the arc, the balancer's subset, gets a turn.
func (p *Prober) TurnInterval() float64 {
	switch {
	case p.ProbesAll():
		return probedTurnInterval
	case p.expensive:
		return unprobedTurnInterval
	}
	return defaultTurnInterval
}
