// Requests: events, queues, the rules that every send must meet, answers. The interface is in api.go.

package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"caperarch/internal/proxy/admission"
)

const (
	busyTick = 10 * time.Millisecond  // between calls of Wake while requests are open,
	idleTick = 100 * time.Millisecond // and while none is

	slotTargetShare = 0.12 // slots suffice for a quota's traffic for this fraction of the latency target
	serverSlots     = 3.0  // slots for each server of the first list, where no quota is known

	rateWindow           = 30 * time.Second       // the rate of requests is measured over this time,
	ratePrior            = 5.0                    // and taken to be even for so many seconds before
	minArcServers        = 4                      // turns are taken among at least so many servers
	reportMaxAge         = 50 * time.Millisecond  // a load report is used for this time
	probeWait            = 30 * time.Millisecond  // a request waits this long for one,
	maxProbes            = 3                      // and has at most so many servers probed
	crowdedAt            = 0.3                    // of the latency target: a server this slow is crowded
	shareMargin          = 2.0                    // a server is full with its share and so many requests more
	crossZoneTurns       = 0.25                   // fraction of turns for other zones, if crossing has a price
	failureSlowness      = 8.0                    // a failure counts as an answer this much slower than usual
	minEjection          = 20 * time.Millisecond  // after a second failure in a row, doubled with each more,
	maxEjectionDoublings = 5                      // so many times at most
	minSpacing           = 8 * time.Millisecond   // between sends to a server that rejected one, then doubled
	maxSpacing           = 256 * time.Millisecond // up to this;
	spacingRecovery      = 6                      // each request that it serves takes off a sixth,
	maxShortageFactor    = 1.5                    // and the limits of the others grow up to this factor
)

// Start must be the first event.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.ListOnDemand {
		b.discovery.Start(now)
	}
	b.askForList(now)
	b.arrivals.Recent(now)                                                 // the measurement begins
	b.compareAt = now + time.Duration(b.rng.Int64N(int64(4*reportMaxAge))) // not all balancers at once
	b.wake(now, idleTick)
}

// Request accepts a request. It is answered once, by an Outcome that finishes it or through the Host, before
// its time is over. One whose id is open is ignored; an unusable one is refused.
func (b *Balancer) Request(now time.Duration, q Request) {
	if _, open := b.requests[q.ID]; open {
		return
	}
	b.budget.RecordRequest(now)
	if !b.isValid(&q) {
		b.counters.Refused++
		b.host.Refuse(q.ID, 0)
		return
	}
	r := &request{id: q.ID, class: &b.classes[q.Class], compartment: &b.compartments[q.Tenant]}
	r.deadline = now + min(q.TimeLeft, time.Hour)
	r.usefulUntil, r.targetAt = r.deadline, min(r.deadline, now+r.class.LatencyTarget)
	if stretch := r.class.TargetPerWork; r.class.LateValue == 0 && (stretch == 0 || q.Work > 0) {
		begun := now // of the client's first attempt; a retry has less time left
		r.class.longestTimeLeft = max(q.TimeLeft, r.class.longestTimeLeft-(r.class.longestTimeLeft-q.TimeLeft)/64)
		if (q.IsRetry || !b.cfg.ClientsMarkRetries) && q.TimeLeft < r.class.longestTimeLeft-2*busyTick {
			begun = min(now, r.deadline-r.class.Deadline)
		}
		r.usefulUntil = min(r.deadline, begun+r.class.LatencyTarget+time.Duration(stretch*float64(q.Work)))
	}
	if r.class.InOrder && q.Key != 0 {
		r.keyQueue = b.keyQueues.Add(now, q.Key, r, len(b.requests))
	}
	b.requests[r.id] = r
	b.openRequests = append(b.openRequests, r)
	b.wake(now, busyTick)
	b.arrivals.Record(now)
	if !q.IsRetry {
		b.bulkhead.RecordRequest(now)
	}
	if b.wantedArcLength(now) != b.arcLength {
		b.chooseArc(now)
	}
	if !r.compartment.gate.Admit(now, r.class.Value/b.meanValue) {
		b.counters.Throttled++
		b.finish(now, r)
		return
	}
	b.placeRequest(now, r)
}

// placeRequest sends a request, or queues or refuses it.
func (b *Balancer) placeRequest(now time.Duration, r *request) {
	if b.probeFirst(now, r) {
		return
	}
	if now > r.latestStart() { // its answer would be late: it must take no capacity from others
		r.usefulUntil = r.deadline
		if b.bulkhead.Congested() || !b.dispatch(now, r) {
			b.counters.Late++
			b.finish(now, r)
		}
		return
	}
	switch c := r.compartment; {
	case b.dispatch(now, r):
	case len(c.queue) >= c.queueSlots:
		b.finish(now, r)
	default:
		b.counters.Queued++
		c.queue = append(c.queue, r)
	}
}

// Outcome handles the end of an attempt. An unknown or repeated one is ignored.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].state != inFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.state, a.connectionLost = mayHaveRun, o.Ending == ConnectionLost
	if o.Ending.NeverRan() {
		a.state = neverRan
	}
	b.countInFlight(r, a.to, -1)
	e := admission.AttemptEnd{Duration: now - a.sent, LatencyTarget: r.class.LatencyTarget}
	e.Ignored = r.finished || o.Ending == NotSent
	if o.Ending == Served && now <= r.targetAt {
		e.Score = min(1, 2*float64(r.targetAt-now)/float64(r.class.LatencyTarget))
	}
	r.compartment.gate.AttemptEnded(now, e)
	if o.Ending == TimedOut || o.Ending == ConnectionLost || o.Ending == Cancelled {
		r.keyQueue.BlockUntil(now + b.cfg.KeyBlockTime)
	}
	if a.to.State != Ready {
		b.closeIdle(now, a.to)
	}
	b.recordOutcome(now, r, a, o.Ending)
	switch {
	case r.finished && r.inFlight == 0:
		b.forget(r)
	case !r.finished && (o.Finished || o.Ending == Served || r.streaming):
		b.complete(r)
	case !r.finished && o.Ending == InvalidRequest: // no other server would accept it
		b.counters.Failed++
		b.host.Fail(r.id)
		b.complete(r)
	case !r.finished && r.inFlight == 0:
		b.retry(now, r)
	}
	b.dispatchQueued(now)
}

// Wake handles that a time asked for with Host.Wake has come.
func (b *Balancer) Wake(now time.Duration) {
	if now < b.wakeAt {
		return // an older timer
	}
	if n := max(b.cfg.Balancers, int(admission.ProcessCount(b.cfg.FleetSize))); n != b.balancers {
		b.setBalancers(n)
	}
	if b.cfg.ArcStart != nil {
		if at := b.cfg.ArcStart(); at >= 0 && at < 1 && at != b.arcStart {
			b.arcStart = at
			b.chooseArc(now)
		}
	}
	b.askForList(now)
	b.counters.Avoided = 0
	for _, s := range b.servers {
		if s.State == Ready && now < s.ejectedUntil {
			b.counters.Avoided++
		}
	}
	if b.closeAt > 0 && now >= b.closeAt {
		b.closeAt = 0
		for _, s := range b.servers {
			if s.State == Draining {
				b.host.Close(s.ID)
			}
		}
	}
	b.dispatchQueued(now)
	for _, r := range b.openRequests {
		if r.probing != nil && !r.finished && now >= r.probeDeadline {
			r.probing.reportedAt, r.probing.othersInFlight = now, math.Inf(1) // too busy to report
			r.probing = nil
			b.placeRequest(now, r)
		}
		ends := now+2*max(busyTick, b.cfg.Tick) > r.deadline || now >= r.latestStart()
		waited := r.inFlight == 0 && (ends || !r.mayRepeat(now, nil))
		if !r.streaming && (waited || now >= r.deadline) {
			b.finish(now, r)
		}
	}
	b.openRequests = slices.DeleteFunc(b.openRequests, func(r *request) bool { return r.finished })
	b.shortageFactor = b.shortage()
	b.wakeAt = 0
	b.compareReports(now)
	if len(b.openRequests) > 0 {
		b.wake(now, busyTick)
	}
	b.wake(now, idleTick)
	if b.closeAt > 0 {
		b.wake(now, b.closeAt-now)
	}
}

// latestStart is until when an attempt may start: the answer of a later one would be late.
func (r *request) latestStart() time.Duration {
	return r.usefulUntil - min(2*r.class.meanLatency, r.class.LatencyTarget/2)
}

// dispatch sends a request if compartment, bulkhead and a server have capacity, and says whether it did.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	c := r.compartment
	if c.used >= c.slots {
		return false
	}
	if float64(b.inFlight) >= b.bulkhead.Limit(now, c.share, c.used) {
		b.counters.Held++
		return false
	}
	s := b.pickServer(now, r)
	return s != nil && b.send(now, r, s)
}

// retry gives a request whose attempts have all failed another attempt, or answers it.
func (b *Balancer) retry(now time.Duration, r *request) {
	late := now >= r.latestStart() || b.budget.Exhausted(now) || b.noServerLeft(now, r)
	if late || len(r.attempts) >= b.cfg.MaxAttempts || !r.mayRepeat(now, nil) {
		b.finish(now, r)
		return
	}
	if !b.dispatch(now, r) {
		r.compartment.queue = slices.Insert(r.compartment.queue, 0, r) // it has waited before
	}
}

// noServerLeft says whether no server is left for a request, or is back in time, so that waiting is useless.
func (b *Balancer) noServerLeft(now time.Duration, r *request) bool {
	left := func(s *server) bool {
		return s.State == Ready && !r.wasSentTo(s, true) && r.mayRepeat(s.backAt(now), s)
	}
	return !slices.ContainsFunc(b.servers, left)
}

// dispatchQueued sends queued requests while there is capacity, one compartment after the other.
func (b *Balancer) dispatchQueued(now time.Duration) {
	b.nextCompartment = (b.nextCompartment + 1) % len(b.compartments)
	for i := range b.compartments {
		c := &b.compartments[(b.nextCompartment+i)%len(b.compartments)]
		for n := 0; n < len(c.queue) && c.used < c.slots; {
			switch r := c.queue[n]; {
			case now >= r.latestStart():
				b.finish(now, r) // which removes it from the queue
			case b.dispatch(now, r):
				c.queue = slices.Delete(c.queue, n, n+1)
			case len(r.attempts) == 0 && r.isKeysTurn(now):
				n = len(c.queue) // any server would do, and none is free
			default:
				n++ // it needs a certain server, or waits for its key: others may be sent
			}
		}
	}
}

// mayRepeat says whether the class allows an attempt now, at a server or (nil) at any.
func (r *request) mayRepeat(now time.Duration, s *server) bool {
	first := r.firstMayHaveRun()
	switch {
	case first == nil || r.class.Effect == Idempotent:
		return true
	case r.class.Effect == NonIdempotent || now >= first.sent+r.class.RepeatTime():
		return false
	case s == nil || r.class.Scope == ScopeAll:
		return true
	}
	return s.Zone == first.to.Zone && (r.class.Scope == ScopeZone || s.Cell == first.to.Cell)
}

// maySend says whether the rules allow to send a request to a server now. Every send must meet them.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	switch {
	case r.finished || r.streaming || now >= r.deadline || len(r.attempts) >= b.cfg.MaxAttempts:
		return false // rule 1: one answer; and the limit on attempts
	case s.State != Ready:
		return false // rule 3: nothing new to a server that drains, from the first notice on
	case now < s.warmAt && now < s.nextPacedSend:
		return false // rule 4: slow start
	case r.inFlight > 0 || !r.mayRepeat(now, s):
		return false // rule 2: one attempt at a time, no hedging, and a repeat only where it is allowed
	case !r.isKeysTurn(now):
		return false // rule 5: the requests of a key in order
	case len(r.attempts) > 0 && b.budget.Exhausted(now):
		return false // rule 6: the retry budget
	}
	return true
}

// isKeysTurn says whether a request is the first of its key, and no attempt of an earlier one may still run.
func (r *request) isKeysTurn(now time.Duration) bool {
	return r.keyQueue.IsFirst(r) && (len(r.attempts) > 0 || !r.keyQueue.IsBlocked(now))
}

// closeIdle closes idle connections to a draining server (rule 7), now and, as one may be opening, once more.
func (b *Balancer) closeIdle(now time.Duration, s *server) {
	if b.cfg.IdleCloseTime > 0 {
		b.host.Close(s.ID)
		b.closeAt = cmp.Or(b.closeAt, now+b.cfg.IdleCloseTime/2)
		b.wake(now, b.closeAt-now)
	}
}

// send sends a request if the rules allow it, and says whether it did. Nothing else sends.
func (b *Balancer) send(now time.Duration, r *request, s *server) bool {
	if !b.maySend(now, r, s) {
		return false
	}
	s.nextPacedSend = now + b.slowStartGap(now, s)
	r.attempts = append(r.attempts, attempt{to: s, sent: now})
	if spacing, ok := s.spacing[r.compartment]; ok { // with jitter, as other balancers do the same
		spacing.nextAt = now + time.Duration(float64(spacing.gap)*(0.5+b.rng.Float64()))
		s.spacing[r.compartment] = spacing
	}
	b.countInFlight(r, s, 1)
	r.compartment.gate.AttemptStarted(now)
	if len(r.attempts) > 1 {
		b.counters.Retries++
		b.budget.RecordRetry(now)
	}
	if b.crossesZone(s) {
		b.counters.Crossed++
	}
	b.host.Send(r.id, s.ID, b.attemptTimeout(now, r))
	return true
}

// attemptTimeout is how long an attempt is waited for; see loadquery.Prober.AttemptTimeout.
func (b *Balancer) attemptTimeout(now time.Duration, r *request) time.Duration {
	whole, part := r.usefulUntil-now, r.latestStart()-now-busyTick
	if r.class.Effect == Deduplicated {
		part = min(part, r.class.RepeatTime()-2*busyTick)
	}
	if r.class.Effect == NonIdempotent || len(r.attempts) >= b.cfg.MaxAttempts || b.noServerLeft(now, r) {
		return whole
	}
	return b.prober.AttemptTimeout(whole, part)
}

// finish answers a request: refused where a retry at the time that it is told is harmless, else failed.
func (b *Balancer) finish(now time.Duration, r *request) {
	if r.finished {
		return
	}
	jitter := 1 + b.rng.Float64()
	retryAfter := min(b.cfg.MaxRetryAfter, time.Duration(jitter*float64(b.meanLatency)))
	if r.firstMayHaveRun() == nil || r.class.RepeatsAnywhere() && r.mayRepeat(now+retryAfter, nil) {
		b.counters.Refused++
		b.host.Refuse(r.id, retryAfter)
	} else {
		b.counters.Failed++
		b.host.Fail(r.id)
	}
	b.complete(r)
}

// complete ends a request that has its answer: it leaves the queue, and its attempts are cancelled.
func (b *Balancer) complete(r *request) {
	r.finished = true
	r.compartment.queue = slices.DeleteFunc(r.compartment.queue, func(o *request) bool { return o == r })
	for i := range r.attempts {
		if r.attempts[i].state == inFlight && b.cfg.MayCancel {
			b.host.Cancel(r.id, i)
		}
	}
	if r.inFlight == 0 {
		b.forget(r)
	}
}
