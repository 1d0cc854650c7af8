// Decisions on requests: events, queues, the rules that every send meets, and answers. The API is in api.go.

package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"caperarch/internal/proxy/admission"
)

const (
	activeWakeInterval = 10 * time.Millisecond  // between calls of Wake while requests are open
	idleWakeInterval   = 100 * time.Millisecond // between calls of Wake while no request is open

	slotHoldFraction = 0.12 // of the latency target: how long an attempt is taken to occupy a slot
	slotsPerServer   = 3.0  // the fleet's slots for each server of the first list, if no tenant has a quota

	rateWindow             = 30 * time.Second       // averaging window of the request rate
	ratePriorSeconds       = 5.0                    // seconds of evenly divided traffic mixed into that rate
	minArcServers          = 4                      // fewest servers in an arc
	reportMaxAge           = 50 * time.Millisecond  // from this age on, a load report is out of date
	probeTimeout           = 30 * time.Millisecond  // the longest time a request waits for a probe
	maxProbesPerRequest    = 3                      // most probes for one request
	congestedLatency       = 0.3                    // fraction of the target beyond which server limits shrink
	fullMargin             = 2.0                    // requests beyond its share at which a server is full
	crossZoneTurnFraction  = 0.25                   // remote per local turn, if crossing zones has a price
	failureSlowness        = 8.0                    // the slowness that a failed attempt counts as
	minEjectionTime        = 20 * time.Millisecond  // after 2 failures in a row; doubles with each further one
	maxEjectionDoublings   = 5                      // an ejection lasts 640 ms at most
	minSpacing             = 8 * time.Millisecond   // first gap after a rejection; each further doubles it
	maxSpacing             = 256 * time.Millisecond // longest gap between sends after rejections
	spacingRecoveryDivisor = 6                      // each served request shortens that gap by a sixth
	maxShortageFactor      = 1.5                    // largest factor on server limits while others fail
)

// Start begins operation; it must be the first event.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.ListOnDemand {
		b.discovery.Start(now)
	}
	b.subscribeIfDue(now)
	b.arrivals.Recent(now)                                                 // starts the rate measurement
	b.compareAt = now + time.Duration(b.rng.Int64N(int64(4*reportMaxAge))) // spreads the fleet's probes
	b.requestWake(now, idleWakeInterval)
}

// Request accepts a request. The request is answered once, before its TimeLeft is over: by an Outcome that
// finishes it or through the Host. A request whose ID is open already is ignored; an unusable one is refused.
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
	if perWork := r.class.TargetPerWork; r.class.LateValue == 0 && (perWork == 0 || q.Work > 0) {
		clientStart := now // when the client's first attempt started: before now, if the request is a retry
		r.class.longestTimeLeft = max(q.TimeLeft, r.class.longestTimeLeft-(r.class.longestTimeLeft-q.TimeLeft)/64)
		if (q.IsRetry || !b.cfg.ClientsMarkRetries) && q.TimeLeft < r.class.longestTimeLeft-2*activeWakeInterval {
			clientStart = min(now, r.deadline-r.class.Deadline)
		}
		r.usefulUntil = min(r.deadline, clientStart+r.class.LatencyTarget+time.Duration(perWork*float64(q.Work)))
	}
	if r.class.InOrder && q.Key != 0 {
		r.keyQueue = b.keyQueues.Add(now, q.Key, r, len(b.requests))
	}
	b.requests[r.id] = r
	b.openRequests = append(b.openRequests, r)
	b.requestWake(now, activeWakeInterval)
	b.arrivals.Record(now)
	if !q.IsRetry {
		b.bulkhead.RecordRequest(now)
	}
	if b.targetArcLength(now) != b.arcLength {
		b.chooseArc(now)
	}
	if !r.compartment.gate.Admit(now, r.class.Value/b.meanValue) {
		b.counters.Throttled++
		b.refuseOrFail(now, r)
		return
	}
	b.dispatchOrQueue(now, r)
}

// dispatchOrQueue probes a server for a request, or sends, queues or answers the request.
func (b *Balancer) dispatchOrQueue(now time.Duration, r *request) {
	if b.probeBeforeSend(now, r) {
		return
	}
	if now > r.latestStart() { // the answer is expected to be late: the request gets spare capacity only
		r.usefulUntil = r.deadline
		if b.bulkhead.Congested() || !b.dispatch(now, r) {
			b.counters.Late++
			b.refuseOrFail(now, r)
		}
		return
	}
	switch c := r.compartment; {
	case b.dispatch(now, r):
	case len(c.queue) >= c.queueSlots:
		b.refuseOrFail(now, r)
	default:
		b.counters.Queued++
		c.queue = append(c.queue, r)
	}
}

// Outcome handles the end of an attempt. It ignores an attempt that is unknown or has ended already.
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
		b.removeRequest(r)
	case !r.finished && (o.Finished || o.Ending == Served || r.streaming):
		b.endRequest(r)
	case !r.finished && o.Ending == InvalidRequest: // every other server would reject the request too
		b.counters.Failed++
		b.host.Fail(r.id)
		b.endRequest(r)
	case !r.finished && r.inFlight == 0:
		b.retry(now, r)
	}
	b.dispatchQueued(now)
}

// Wake does the periodic work. It is called when a time requested with Host.Wake has come.
func (b *Balancer) Wake(now time.Duration) {
	if now < b.wakeAt {
		return // the call comes from a timer that a later Host.Wake replaced
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
	b.subscribeIfDue(now)
	b.counters.Avoided = 0
	for _, s := range b.servers {
		if s.State == Ready && now < s.ejectedUntil {
			b.counters.Avoided++
		}
	}
	if b.closeIdleAt > 0 && now >= b.closeIdleAt {
		b.closeIdleAt = 0
		for _, s := range b.servers {
			if s.State == Draining {
				b.host.CloseIdleConnections(s.ID)
			}
		}
	}
	b.dispatchQueued(now)
	for _, r := range b.openRequests {
		if r.probedServer != nil && !r.finished && now >= r.probeDeadline {
			r.probedServer.reportedAt, r.probedServer.othersInFlight = now, math.Inf(1) // taken as full
			r.probedServer = nil
			b.dispatchOrQueue(now, r)
		}
		expiring := now+2*max(activeWakeInterval, b.cfg.Tick) > r.deadline || now >= r.latestStart()
		giveUp := r.inFlight == 0 && (expiring || !r.mayRepeat(now, nil))
		if !r.streaming && (giveUp || now >= r.deadline) {
			b.refuseOrFail(now, r)
		}
	}
	b.openRequests = slices.DeleteFunc(b.openRequests, func(r *request) bool { return r.finished })
	b.shortageFactor = b.computeShortageFactor()
	b.wakeAt = 0
	b.compareReports(now)
	if len(b.openRequests) > 0 {
		b.requestWake(now, activeWakeInterval)
	}
	b.requestWake(now, idleWakeInterval)
	if b.closeIdleAt > 0 {
		b.requestWake(now, b.closeIdleAt-now)
	}
}

// latestStart returns when the last attempt may start: the answer to a later one is expected to be late.
func (r *request) latestStart() time.Duration {
	return r.usefulUntil - min(2*r.class.meanLatency, r.class.LatencyTarget/2)
}

// dispatch sends a request and returns true if its compartment, the bulkhead and a server have capacity.
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

// retry makes another attempt for a request whose attempts have all failed, or queues or answers the request.
func (b *Balancer) retry(now time.Duration, r *request) {
	late := now >= r.latestStart() || b.budget.Exhausted(now) || b.noServerLeft(now, r)
	if late || len(r.attempts) >= b.cfg.MaxAttempts || !r.mayRepeat(now, nil) {
		b.refuseOrFail(now, r)
		return
	}
	if !b.dispatch(now, r) {
		r.compartment.queue = slices.Insert(r.compartment.queue, 0, r) // ahead, as r was sent before
	}
}

// noServerLeft reports whether no ready server can take a request, neither now nor after its ejection.
func (b *Balancer) noServerLeft(now time.Duration, r *request) bool {
	canServe := func(s *server) bool {
		return s.State == Ready && !r.wasSentTo(s, true) && r.mayRepeat(s.availableAt(now), s)
	}
	return !slices.ContainsFunc(b.servers, canServe)
}

// dispatchQueued sends queued requests while there is capacity. Each call begins with the next compartment.
func (b *Balancer) dispatchQueued(now time.Duration) {
	b.nextCompartment = (b.nextCompartment + 1) % len(b.compartments)
	for i := range b.compartments {
		c := &b.compartments[(b.nextCompartment+i)%len(b.compartments)]
		for n := 0; n < len(c.queue) && c.used < c.slots; {
			switch r := c.queue[n]; {
			case now >= r.latestStart():
				b.refuseOrFail(now, r) // removes r from the queue
			case b.dispatch(now, r):
				c.queue = slices.Delete(c.queue, n, n+1)
			case len(r.attempts) == 0 && r.isKeyReady(now):
				n = len(c.queue) // any server could take r, and none has capacity: end the loop
			default:
				n++ // r waits for its key or for certain servers: a request behind r may be sent
			}
		}
	}
}

// mayRepeat reports whether the class of r allows an attempt now: at server s or, if s is nil, at any server.
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

// maySend reports whether the rules in doc.go allow sending a request to a server now.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	switch {
	case r.finished || r.streaming || now >= r.deadline || len(r.attempts) >= b.cfg.MaxAttempts:
		return false // rule 1: a request has one answer, and at most MaxAttempts attempts
	case s.State != Ready:
		return false // rule 3: a server receives no requests from the first notice of its drain on
	case now < s.slowStartUntil && now < s.nextSlowStartSend:
		return false // rule 4: sends to a server in slow start are spaced
	case r.inFlight > 0 || !r.mayRepeat(now, s):
		return false // rule 2: one attempt at a time (no hedging), and a repeat only if the class allows it
	case !r.isKeyReady(now):
		return false // rule 5: requests with the same key run in order
	case len(r.attempts) > 0 && b.budget.Exhausted(now):
		return false // rule 6: retries stay within the retry budget
	}
	return true
}

// isKeyReady reports whether r is the first request of its key and no earlier one's attempt may still run.
func (r *request) isKeyReady(now time.Duration) bool {
	return r.keyQueue.IsFirst(r) && (len(r.attempts) > 0 || !r.keyQueue.IsBlocked(now))
}

// closeIdle closes idle connections to a draining server (rule 7): now, and later those that are opening now.
func (b *Balancer) closeIdle(now time.Duration, s *server) {
	if b.cfg.IdleCloseTime > 0 {
		b.host.CloseIdleConnections(s.ID)
		b.closeIdleAt = cmp.Or(b.closeIdleAt, now+b.cfg.IdleCloseTime/2)
		b.requestWake(now, b.closeIdleAt-now)
	}
}

// send sends a request and returns true if the rules allow it. All requests are sent by this function.
func (b *Balancer) send(now time.Duration, r *request, s *server) bool {
	if !b.maySend(now, r, s) {
		return false
	}
	s.nextSlowStartSend = now + b.slowStartGap(now, s)
	r.attempts = append(r.attempts, attempt{to: s, sent: now})
	if spacing, ok := s.spacing[r.compartment]; ok { // jitter: other balancers space their sends as well
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

// attemptTimeout returns how long to wait for the answer to an attempt; see loadquery.Prober.AttemptTimeout.
func (b *Balancer) attemptTimeout(now time.Duration, r *request) time.Duration {
	fullTimeout, retryTimeout := r.usefulUntil-now, r.latestStart()-now-activeWakeInterval
	if r.class.Effect == Deduplicated {
		retryTimeout = min(retryTimeout, r.class.RepeatTime()-2*activeWakeInterval)
	}
	if r.class.Effect == NonIdempotent || len(r.attempts) >= b.cfg.MaxAttempts || b.noServerLeft(now, r) {
		return fullTimeout
	}
	return b.prober.AttemptTimeout(fullTimeout, retryTimeout)
}

// refuseOrFail answers a request: Host.Refuse if a retry after retryAfter is harmless, else Host.Fail.
func (b *Balancer) refuseOrFail(now time.Duration, r *request) {
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
	b.endRequest(r)
}

// endRequest marks a request as answered, removes it from its queue and cancels its attempts in flight.
func (b *Balancer) endRequest(r *request) {
	r.finished = true
	r.compartment.queue = slices.DeleteFunc(r.compartment.queue, func(o *request) bool { return o == r })
	for i := range r.attempts {
		if r.attempts[i].state == inFlight && b.cfg.MayCancel {
			b.host.Cancel(r.id, i)
		}
	}
	if r.inFlight == 0 {
		b.removeRequest(r)
	}
}
