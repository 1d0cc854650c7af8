// Servers: whose turn it is, how they fare, the server list, load reports.

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

// slowStartGap is the time between sends to a warming server, by our even part of its capacity now.
func (b *Balancer) slowStartGap(now time.Duration, s *server) time.Duration {
	rate := cmp.Or(b.quota/float64(b.balancers), float64(max(b.inFlight, 1))/b.meanLatency.Seconds())
	warmth := slowstart.Warmth(s.warmAt-now, b.cfg.SlowStartTime, b.cfg.SlowStartShare)
	warm := s.arcShare * warmth / admission.ProcessCount(b.cfg.Processes)
	rate = b.weightShare(rate, s) * b.readyWeight / max(b.arcWeight, s.Weight) * warm
	return slowstart.Gap(rate, b.cfg.SlowStartOverload)
}

// pickServer is smooth weighted round robin: the next turn of a server is one over its weight after its last,
// and the earliest is picked. A server is skipped at its limit, and where the request was sent to it before.
func (b *Balancer) pickServer(now time.Duration, r *request) *server {
	best, skipped := b.nextInTurn(now, r, b.arc, false)
	if best == nil && r.firstMayHaveRun() != nil { // only certain servers drop it as a repeat
		best, skipped = b.nextInTurn(now, r, b.servers, false)
	}
	if best == nil && len(r.attempts) > 0 { // servers whose connection broke may work
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

// nextInTurn returns the server whose turn it is, and whether one was skipped that is ejected, paced or full.
// Servers that the request was sent to have no turn; with again, those do where only the connection broke.
func (b *Balancer) nextInTurn(now time.Duration, r *request, of []*server, again bool) (*server, bool) {
	var best *server
	earliestSkipped := math.Inf(1)
	for _, s := range of {
		switch {
		case r.wasSentTo(s, again) || !b.maySend(now, r, s):
		case now < max(s.ejectedUntil, s.spacing[r.compartment].nextAt),
			float64(s.inFlight) >= b.maxInFlight(s), b.reportsFull(now, r, s):
			earliestSkipped = min(earliestSkipped, s.nextTurn)
		case best == nil || s.nextTurn < best.nextTurn:
			best = s
		}
	}
	return best, best != nil && earliestSkipped < best.nextTurn
}

// recordOutcome updates what is known of a server: slowness, which failures add to, stretches the gap between
// its turns, whatever the cause. The turns that remain show when the server has recovered.
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
		if s.silentSince > 0 && s.slowness > failureSlowness/2 && now-s.silentSince > time.Second {
			s.warmAt = max(s.warmAt, now+b.cfg.SlowStartTime) // it may have restarted
			b.host.Log(fmt.Sprintf("server %x answers again after %v", s.ID, now-s.silentSince))
		}
		s.silentSince, s.failures, s.ejectedUntil = 0, 0, 0
		if spacing.gap -= spacing.gap / spacingRecovery; spacing.gap < minSpacing/2 {
			delete(s.spacing, r.compartment)
		} else {
			s.spacing[r.compartment] = spacing
		}
	case TimedOut, NoConnection:
		if s.silentSince == 0 && (end == TimedOut || s.failures > 0) { // not at the first refused connection
			s.silentSince = now
		}
	}
	switch {
	case end == Served:
	case end == NotProcessed && a.sent < spacing.widenedAt:
		return // it was sent before the last rejection was known
	case end == NotProcessed: // the server may have a rate limit: sends are spaced, not stopped
		spacing.widenedAt, spacing.gap = now, min(max(2*spacing.gap, minSpacing), maxSpacing)
		if s.spacing == nil {
			s.spacing = make(map[*compartment]sendSpacing)
		}
		s.spacing[r.compartment] = spacing
	default:
		if s.failures++; s.failures > 1 || b.cfg.SuspectedDown != nil && b.cfg.SuspectedDown(s.ID) {
			s.ejectedUntil = max(s.ejectedUntil, now+minEjection<<min(max(0, s.failures-2), maxEjectionDoublings))
		}
	}
	if before := s.slowness; before < failureSlowness/2 && before+(slowness-before)/4 >= failureSlowness/2 {
		b.host.Log(fmt.Sprintf("server %x strained, %d attempts out", s.ID, s.inFlight))
	}
	s.slowness += (slowness - s.slowness) / 4
}

// List handles an update of the server list, or its failure.
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
		b.markAllDeregistered() // those that are not in the list
	}
	for _, e := range entries {
		b.applyEntry(now, e)
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool { return s.State == Deregistered })
	if b.fleetSlots == 0 {
		b.deriveSlots() // no quotas: derived from the first list
	}
	b.updateWeights(now)
	for _, s := range b.servers {
		if s.nextPacedSend < 0 { // a random time, as all balancers learn of the server at once
			s.nextPacedSend = now + time.Duration(b.rng.Float64()*float64(b.slowStartGap(now, s)))
		}
	}
	b.dispatchQueued(now)
}

// applyEntry applies one entry of the list.
func (b *Balancer) applyEntry(now time.Duration, e Server) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1 // no usable weight
	}
	s := b.entryOf(e.ID)
	if e.Started > 0 && e.Started > s.Started { // restarted: what was known of it no longer applies
		warm := max(s.warmAt, e.Started+b.cfg.SlowStartTime)
		*s = server{Server: e, inFlight: s.inFlight, warmAt: warm, slowness: 1, arcShare: s.arcShare}
		s.nextPacedSend = -1
	}
	s.Server = e
	if s.State == Draining {
		b.closeIdle(now, s)
	}
}

// askForList asks for the server list if that is due.
func (b *Balancer) askForList(now time.Duration) {
	if b.cfg.ListOnDemand && b.discovery.Due(now) {
		b.host.WatchList()
	}
}

// compareReports probes one server a few times in a row: reports that don't change as fast as they are used
// would have all balancers send to the server that was idle before (i50e019).
func (b *Balancer) compareReports(now time.Duration) {
	if now < b.compareAt || len(b.arc) == 0 || !b.prober.Comparing() {
		return
	}
	if b.comparedServer == nil || b.comparedServer.State != Ready {
		b.comparedServer = b.arc[b.rng.IntN(len(b.arc))]
	}
	b.compareAt = now + reportMaxAge
	b.host.Probe(b.comparedServer.ID)
	b.wake(now, reportMaxAge)
}

// probeFirst probes the server whose turn it is, if its last report is old, and says whether it did.
func (b *Balancer) probeFirst(now time.Duration, r *request) bool {
	if r.probes >= maxProbes {
		return false
	}
	s, _ := b.nextInTurn(now, r, b.arc, false)
	if s == nil || !b.prober.ShouldProbe(s.slowness) || (s.reportedAt > 0 && now-s.reportedAt < reportMaxAge) {
		return false
	}
	r.probing, r.probeDeadline, s.probedAt = s, now+probeWait, now
	r.probes++
	b.host.Probe(s.ID)
	return true
}

// Probed handles the result of a probe.
func (b *Balancer) Probed(now time.Duration, id ServerID, ok bool, l Load) {
	s := b.server(id)
	reported := s != nil && ok && l.Has&HasInFlight != 0
	isOld := s != nil && s.reportedAt > 0 && now-s.reportedAt >= reportMaxAge
	if s != nil && s == b.comparedServer && (!reported || isOld) && b.prober.Comparing() {
		b.prober.Compare(reported && l != s.load)
	}
	if reported {
		s.reportedAt, s.load, s.othersInFlight = now, l, max(0, l.InFlight-float64(s.inFlight))
	} else if s != nil && b.prober.ShouldProbe(s.slowness) { // no report: the next server has the turn
		s.reportedAt, s.othersInFlight = now, math.Inf(1)
		if now-s.probedAt < probeWait { // failed at once: a broken connection, maybe, so it counts for less time
			s.reportedAt -= 4 * reportMaxAge
		}
	}
	if s != nil && b.prober.ProbesSuspect(s.slowness) && b.reportsFull(now, nil, s) {
		s.nextTurn = b.lastTurn + b.turnGap(now, s) // it loses its turn
	}
	for _, r := range b.openRequests {
		if s != nil && r.probing == s && !r.finished {
			r.probing = nil
			b.placeRequest(now, r)
		}
	}
}

// reportsFull says whether a server's last report exceeds its share of all requests; without a recent report,
// whether the request has had as many servers probed as it may.
func (b *Balancer) reportsFull(now time.Duration, r *request, s *server) bool {
	if s.reportedAt == 0 || now-s.reportedAt >= 5*reportMaxAge {
		return b.prober.ProbesAll() && r.probes >= maxProbes
	}
	return s.othersInFlight+float64(s.inFlight) >= shareMargin+b.weightShare(b.fleetSlots, s)*b.shortageFactor
}
