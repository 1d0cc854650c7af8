// Decisions on servers: turns, health, the server list and load reports.

package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/slowstart"
)

// slowStartGap returns the time between sends to a server in slow start, by an equal part of its capacity.
func (b *Balancer) slowStartGap(now time.Duration, s *server) time.Duration {
	rate := cmp.Or(b.quota/float64(b.balancers), float64(max(b.inFlight, 1))/b.meanLatency.Seconds())
	warmth := slowstart.Warmth(s.slowStartUntil-now, b.cfg.SlowStartTime, b.cfg.SlowStartShare)
	fraction := s.arcShare * warmth / admission.ProcessCount(b.cfg.Processes)
	rate = b.weightShare(rate, s) * b.readyWeight / max(b.arcWeight, s.Weight) * fraction
	return slowstart.Gap(rate, b.cfg.SlowStartOverload)
}

// pickServer returns the server for an attempt, or nil. By smooth weighted round robin, a server's turns
// are turnGap of virtual time apart, and the earliest turn is next. Servers at their limit are skipped.
func (b *Balancer) pickServer(now time.Duration, r *request) *server {
	best, skipped := b.nextInTurn(now, r, b.arc, false)
	if best == nil && r.firstMayHaveRun() != nil { // only some servers, maybe outside the arc, drop repeats of r
		best, skipped = b.nextInTurn(now, r, b.servers, false)
	}
	if best == nil && len(r.attempts) > 0 { // a server whose connection broke may still work
		best, skipped = b.nextInTurn(now, r, b.servers, true)
	}
	if best == nil {
		return nil
	}
	b.lastTurn = max(b.lastTurn, best.nextTurn)
	best.nextTurn = b.lastTurn + b.turnGap(now, best)
	switch {
	case skipped:
		b.counters.Walled++
	case len(r.attempts) == 0:
		b.counters.Ordinary++
	}
	return best
}

// nextInTurn returns the server whose turn is next, and whether an ejected, paced or full server was skipped.
// It omits servers that r was sent to; with retryLost, attempts that ended as ConnectionLost do not count.
func (b *Balancer) nextInTurn(now time.Duration, r *request, from []*server, retryLost bool) (*server, bool) {
	var best *server
	earliestSkipped := math.Inf(1)
	for _, s := range from {
		switch {
		case r.wasSentTo(s, retryLost) || !b.maySend(now, r, s):
		case now < max(s.ejectedUntil, s.spacing[r.compartment].nextAt),
			float64(s.inFlight) >= b.maxInFlight(s), b.reportsFull(now, r, s):
			earliestSkipped = min(earliestSkipped, s.nextTurn)
		case best == nil || s.nextTurn < best.nextTurn:
			best = s
		}
	}
	return best, best != nil && earliestSkipped < best.nextTurn
}

// recordOutcome updates a server's statistics after an attempt. Slowness, to which failures add, lengthens
// the gap between the server's turns, whatever the cause. The remaining turns show when it has recovered.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, end Ending) {
	s, took, spacing := a.to, now-a.sent, a.to.spacing[r.compartment]
	if end == Served || end == TimedOut && s.slowness < failureSlowness/2 { // one slow server is no congestion
		latency := float64(took) / float64(r.class.LatencyTarget)
		s.squareLatency += (latency*latency - s.squareLatency) / 8
		b.bulkhead.RecordLatency(now, latency)
	}
	slowness := failureSlowness
	switch end {
	case Cancelled, NotSent, InvalidRequest:
		return
	case Served:
		slowness = min(slowness, float64(took)/float64(r.class.meanLatency))
		r.class.meanLatency += (took - r.class.meanLatency) / 16
		b.meanLatency += (took - b.meanLatency) / 32
		if s.unresponsiveSince > 0 && s.slowness > failureSlowness/2 && now-s.unresponsiveSince > time.Second {
			s.slowStartUntil = max(s.slowStartUntil, now+b.cfg.SlowStartTime) // the server may have restarted
			b.host.Log(fmt.Sprintf("server %x answers again after %v", s.ID, now-s.unresponsiveSince))
		}
		s.unresponsiveSince, s.failures, s.ejectedUntil = 0, 0, 0
		if spacing.gap -= spacing.gap / spacingRecoveryDivisor; spacing.gap < minSpacing/2 {
			delete(s.spacing, r.compartment)
		} else {
			s.spacing[r.compartment] = spacing
		}
	case TimedOut, NoConnection:
		if s.unresponsiveSince == 0 && (end == TimedOut || s.failures > 0) { // one refused connection is ignored
			s.unresponsiveSince = now
		}
	}
	switch {
	case end == Served:
	case end == NotProcessed && a.sent < spacing.widenedAt:
		return // the attempt was sent before the last rejection was received
	case end == NotProcessed: // the server may limit its request rate: sends are spaced, not stopped
		spacing.widenedAt, spacing.gap = now, min(max(2*spacing.gap, minSpacing), maxSpacing)
		if s.spacing == nil {
			s.spacing = make(map[*compartment]sendSpacing)
		}
		s.spacing[r.compartment] = spacing
	default:
		if s.failures++; s.failures > 1 || b.cfg.SuspectedDown != nil && b.cfg.SuspectedDown(s.ID) {
			s.ejectedUntil = max(s.ejectedUntil, now+minEjectionTime<<min(max(0, s.failures-2), maxEjectionDoublings))
		}
	}
	if before := s.slowness; before < failureSlowness/2 && before+(slowness-before)/4 >= failureSlowness/2 {
		b.host.Log(fmt.Sprintf("server %x strained, %d attempts out", s.ID, s.inFlight))
	}
	s.slowness += (slowness - s.slowness) / 4
}

// List handles an update of the server list, or a failure to get the list.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Server) {
	if kind == ListFailed {
		b.discovery.Failed(now)
		return
	}
	switch {
	case kind != ListCached:
		b.discovery.Subscribed()
	case len(entries) == 0:
		b.discovery.AskNow(now)
	}
	if kind != ListDelta {
		b.markAllDeregistered() // servers without an entry are removed below
	}
	for _, e := range entries {
		b.applyEntry(now, e)
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == Deregistered })
	if b.fleetSlots == 0 {
		b.deriveSlots() // no tenant has a quota: the sizes follow from the first list
	}
	b.updateWeights(now)
	for _, s := range b.servers {
		if s.nextSlowStartSend < 0 { // a random first send, as all balancers learn of the restart at once
			s.nextSlowStartSend = now + time.Duration(b.rng.Float64()*float64(b.slowStartGap(now, s)))
		}
	}
	b.dispatchQueued(now)
}

// applyEntry applies one entry of the server list.
func (b *Balancer) applyEntry(now time.Duration, e Server) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1 // a weight that is zero, negative, infinite or not a number
	}
	s := b.findOrAddServer(e.ID)
	if e.Started > 0 && e.Started > s.Started { // a restart: the statistics from before do not apply
		warmUntil := max(s.slowStartUntil, e.Started+b.cfg.SlowStartTime)
		*s = server{Server: e, inFlight: s.inFlight, slowStartUntil: warmUntil, slowness: 1, arcShare: s.arcShare}
		s.nextSlowStartSend = -1
	}
	s.Server = e
	if s.State == Draining {
		b.closeIdle(now, s)
	}
}

// subscribeIfDue asks the Host for the server list if the list must be asked for and a call is due.
func (b *Balancer) subscribeIfDue(now time.Duration) {
	if b.cfg.ListOnDemand && b.discovery.Due(now) {
		b.host.WatchList()
	}
}

// compareReports probes one server several times in a row, to learn whether reports change as fast as they
// are used. Stale reports would make all balancers send to the server that was idle before (i50e019).
func (b *Balancer) compareReports(now time.Duration) {
	if now < b.compareAt || len(b.arc) == 0 || !b.prober.Comparing() {
		return
	}
	if b.comparedServer == nil || b.comparedServer.State != Ready {
		b.comparedServer = b.arc[b.rng.IntN(len(b.arc))]
	}
	b.compareAt = now + reportMaxAge
	b.host.Probe(b.comparedServer.ID)
	b.requestWake(now, reportMaxAge)
}

// probeBeforeSend probes the server whose turn is next and returns true if its load report is out of date.
func (b *Balancer) probeBeforeSend(now time.Duration, r *request) bool {
	if r.probes >= maxProbesPerRequest {
		return false
	}
	s, _ := b.nextInTurn(now, r, b.arc, false)
	if s == nil || !b.prober.ShouldProbe(s.slowness) || (s.reportedAt > 0 && now-s.reportedAt < reportMaxAge) {
		return false
	}
	r.probedServer, r.probeDeadline, s.probedAt = s, now+probeTimeout, now
	r.probes++
	b.host.Probe(s.ID)
	return true
}

// Probed handles the result of a probe: a load report, or a failure if ok is false.
func (b *Balancer) Probed(now time.Duration, id ServerID, ok bool, l Load) {
	s := b.server(id)
	reported := s != nil && ok && l.Has&HasInFlight != 0
	isOld := s != nil && s.reportedAt > 0 && now-s.reportedAt >= reportMaxAge
	if s != nil && s == b.comparedServer && (!reported || isOld) && b.prober.Comparing() {
		b.prober.Compare(reported && l != s.load)
	}
	if reported {
		s.reportedAt, s.load, s.othersInFlight = now, l, max(0, l.InFlight-float64(s.inFlight))
	} else if s != nil && b.prober.ShouldProbe(s.slowness) { // no report: the server counts as full
		s.reportedAt, s.othersInFlight = now, math.Inf(1)
		if now-s.probedAt < probeTimeout { // failed at once, maybe a broken connection: counts for 50 ms
			s.reportedAt -= 4 * reportMaxAge
		}
	}
	if s != nil && b.prober.ProbesSuspect(s.slowness) && b.reportsFull(now, nil, s) {
		s.nextTurn = b.lastTurn + b.turnGap(now, s) // the server loses its turn
	}
	for _, r := range b.openRequests {
		if s != nil && r.probedServer == s && !r.finished {
			r.probedServer = nil
			b.dispatchOrQueue(now, r)
		}
	}
}

// reportsFull reports whether a server's last load report exceeds its share of the fleet's requests. Without
// a recent report it reports whether all servers are probed and r has had as many probed as it may.
func (b *Balancer) reportsFull(now time.Duration, r *request, s *server) bool {
	if s.reportedAt == 0 || now-s.reportedAt >= 5*reportMaxAge {
		return b.prober.ProbesAll() && r.probes >= maxProbesPerRequest
	}
	return s.othersInFlight+float64(s.inFlight) >= fullMargin+b.weightShare(b.fleetSlots, s)*b.shortageFactor
}
