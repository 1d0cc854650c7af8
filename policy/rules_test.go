package policy

import (
	"slices"
	"time"
)

// mayHaveRun returns the request's first attempt that may have run or may still run, or nil.
func (r *simRequest) mayHaveRun() *simAttempt {
	for i := range r.attempts {
		if e := r.attempts[i].ending; r.attempts[i].inFlight || (e != NotProcessed && e != NoConnection && e != NotSent) {
			return &r.attempts[i]
		}
	}
	return nil
}

func (sim *simulation) Send(id RequestID, to ServerID, timeout time.Duration) {
	sim.recordAction("send %d %d %v", id, to, timeout)
	r, s := sim.requests[id], sim.listed[to]
	switch {
	case r == nil || r.answered:
		sim.t.Fatalf("rule 1: attempt sent for request %d, which is unknown or finished", id)
	case s.State != Ready:
		sim.t.Fatalf("rule 3: attempt sent to server %d in state %d, want a ready server", to, s.State)
	case timeout <= 0 || sim.now+timeout > r.deadline:
		sim.t.Fatalf("rule 1: time-out %v at %v, want one above 0 and within the deadline %v", timeout, sim.now, r.deadline)
	case len(r.attempts) >= sim.cfg.MaxAttempts:
		sim.t.Fatalf("rule 1: attempt %d of a request, want at most %d", len(r.attempts)+1, sim.cfg.MaxAttempts)
	}
	sim.checkRepeat(r, s)
	sim.checkKeyOrder(r)
	sim.checkSlowStart(s)
	if running := r.attemptsInFlight(); running > 0 {
		sim.t.Fatalf("rule 2: request %d sent while %d of its attempts are in flight", id, running)
	}
	sim.checkRetryBudget(r)
	r.attempts = append(r.attempts, simAttempt{to: s, sent: sim.now, inFlight: true})
}

// checkRepeat checks that a request that may have run is sent again only if its class allows it (rule 2).
func (sim *simulation) checkRepeat(r *simRequest, to Server) {
	first := r.mayHaveRun()
	if first == nil {
		return
	}
	id, class := r.q.ID, sim.cfg.Classes[r.q.Class]
	switch {
	case class.Effect == NonIdempotent:
		sim.t.Fatalf("rule 2: request %d, which is not idempotent, sent again although it may have run", id)
	case class.Effect == Deduplicated && sim.now-first.sent >= class.RepeatTime():
		sim.t.Fatalf("rule 2: deduplicated request %d sent again %v after the first send", id, sim.now-first.sent)
	case class.Effect == Deduplicated && class.Scope == ScopeZone && to.Zone != first.to.Zone,
		class.Effect == Deduplicated && class.Scope == ScopeCell && to.Cell != first.to.Cell:
		sim.t.Fatalf("rule 2: deduplicated request %d sent again outside its scope", id)
	}
}

// checkRetryBudget counts a send that is a retry, and checks that the retries stay within the budget (rule 6).
func (sim *simulation) checkRetryBudget(r *simRequest) {
	b := sim.cfg.Budget
	if len(r.attempts) == 0 || b.Span == 0 {
		return
	}
	sim.retryTimes = append(sim.retryTimes, sim.now)
	retries, requests := 0, 0
	for _, t := range sim.retryTimes {
		if t >= sim.now-b.Span {
			retries++
		}
	}
	for _, t := range sim.requestTimes {
		if t > sim.now-b.Span {
			requests++
		}
	}
	if float64(retries) > b.Free+b.Share*float64(requests)+1e-6 {
		sim.t.Fatalf("rule 6: %d retries within %v with %d requests, want fewer", retries, b.Span, requests)
	}
}

// attemptsInFlight counts the request's attempts in flight.
func (r *simRequest) attemptsInFlight() (n int) {
	for _, attempt := range r.attempts {
		if attempt.inFlight {
			n++
		}
	}
	return n
}

// checkSlowStart checks that this balancer sends a server in slow start no more than its equal share (rule 4).
func (sim *simulation) checkSlowStart(s Server) {
	age := sim.now - s.Started
	if s.Started == 0 || age >= sim.cfg.SlowStartTime {
		return
	}
	sim.slowStartSends[s.ID] = append(sim.slowStartSends[s.ID], sim.now)
	n := 0
	for _, at := range sim.slowStartSends[s.ID] {
		if at > sim.now-time.Second {
			n++
		}
	}
	quota := 0.0
	for _, t := range sim.cfg.Tenants {
		quota += t.Quota
	}
	warmth := sim.cfg.SlowStartShare + (1-sim.cfg.SlowStartShare)*float64(age)/float64(sim.cfg.SlowStartTime)
	if limit := 1 + sim.cfg.SlowStartOverload*warmth*quota/float64(sim.cfg.Balancers); float64(n) > limit {
		sim.t.Fatalf("rule 4: %d sends in 1 s to server %d, started %v ago, want at most %.1f", n, s.ID, age, limit)
	}
}

// checkKeyOrder checks that a request is sent only after the earlier requests of its key (rule 5).
func (sim *simulation) checkKeyOrder(r *simRequest) {
	ordered := func(o *simRequest) bool {
		return sim.cfg.Classes[o.q.Class].InOrder && o.q.Key == r.q.Key && r.q.Key != 0
	}
	if !ordered(r) {
		return
	}
	for id, o := range sim.requests {
		running := slices.ContainsFunc(o.attempts, func(attempt simAttempt) bool { return attempt.inFlight })
		if o != r && ordered(o) && o.arrival < r.arrival && (!o.answered || running) {
			sim.t.Fatalf("rule 5: request %d sent while request %d of the same key is not finished", r.q.ID, id)
		}
	}
	if len(r.attempts) == 0 && sim.now < sim.keyBlockedUntil[r.q.Key] {
		sim.t.Fatalf("rule 5: request %d sent %v before its key's block time ends",
			r.q.ID, sim.keyBlockedUntil[r.q.Key]-sim.now)
	}
}

// checkIdleCloses checks that idle connections to draining servers are closed in time (rule 7).
func (sim *simulation) checkIdleCloses() {
	for id, until := range sim.closeDeadlines {
		if sim.now > until {
			sim.t.Fatalf("rule 7: idle connections to server %d still open %v after their deadline", id, sim.now-until)
		}
	}
}

// setCloseDeadline restarts the time to close idle connections to a server, after an event of a draining server.
func (sim *simulation) setCloseDeadline(id ServerID) {
	if sim.cfg.IdleCloseTime > 0 && sim.listed[id].State == Draining {
		sim.closeDeadlines[id] = sim.now + sim.cfg.IdleCloseTime
	}
}

// recordAnswer checks that a request is answered once and in time (rule 1).
func (sim *simulation) recordAnswer(id RequestID) *simRequest {
	r := sim.requests[id]
	if r == nil || r.answered {
		sim.t.Fatalf("rule 1: answer for request %d, which is unknown or answered", id)
	}
	if sim.now > r.deadline+20*ms {
		sim.t.Fatalf("rule 1: request answered %v after its deadline, want at most 20 ms", sim.now-r.deadline)
	}
	r.answered = true
	return r
}

func (sim *simulation) Refuse(id RequestID, retryAfter time.Duration) {
	sim.recordAction("refuse %d %v", id, retryAfter)
	r := sim.recordAnswer(id)
	class := sim.cfg.Classes[r.q.Class]
	harmless := class.Effect == Idempotent || class.Effect == Deduplicated && class.Scope == ScopeAll
	first := r.mayHaveRun()
	if first != nil && !harmless {
		sim.t.Fatalf("rule 2: request %d refused although it may have run and a retry may do harm", id)
	}
	if first != nil && class.Effect == Deduplicated && sim.now+retryAfter >= first.sent+class.RepeatTime() {
		sim.t.Fatalf("rule 2: request %d refused, and the client's retry comes %v after the first send, too late",
			id, sim.now+retryAfter-first.sent)
	}
	if retryAfter < 0 || retryAfter > sim.cfg.MaxRetryAfter {
		sim.t.Fatalf("request refused with Retry-After %v, want 0 to MaxRetryAfter", retryAfter)
	}
}

func (sim *simulation) Fail(id RequestID) { sim.recordAction("fail %d", id); sim.recordAnswer(id) }
func (sim *simulation) Cancel(id RequestID, attempt int) {
	sim.recordAction("cancel %d %d", id, attempt)
}
func (sim *simulation) Wake(d time.Duration) { sim.recordAction("wake %v", d) }
func (sim *simulation) Probe(to ServerID)    { sim.recordAction("probe %d", to) }
func (sim *simulation) CloseIdleConnections(to ServerID) {
	sim.recordAction("close %d", to)
	delete(sim.closeDeadlines, to)
}
func (sim *simulation) WatchList()      { sim.recordAction("watch"); sim.watches++ }
func (sim *simulation) Log(line string) { sim.recordAction("log %s", line) }

// checkAccounting checks that the Balancer's counts of attempts agree with the simulation's attempts in flight.
func (sim *simulation) checkAccounting() {
	used := make([]int, len(sim.cfg.Tenants))
	total := 0
	for _, r := range sim.requests {
		for _, attempt := range r.attempts {
			if attempt.inFlight {
				used[r.q.Tenant]++
				total++
			}
		}
	}
	for i, c := range sim.balancer.compartments {
		if c.used != used[i] || c.used > c.slots || sim.balancer.freeSlots(i) < 0 {
			sim.t.Fatalf("compartment %d: %d of %d slots used, want %d for the attempts in flight",
				i, c.used, c.slots, used[i])
		}
	}
	if sim.balancer.inFlight != total {
		sim.t.Fatalf("balancer counts %d attempts in flight, want %d", sim.balancer.inFlight, total)
	}
	for _, s := range sim.balancer.servers {
		if s.inFlight < 0 {
			sim.t.Fatalf("server %d has %d attempts in flight, want 0 or more", s.ID, s.inFlight)
		}
	}
	if len(sim.ids) > 60 { // remove finished requests, to bound the time of a run
		sim.ids = slices.DeleteFunc(sim.ids, func(id RequestID) bool {
			r := sim.requests[id]
			finished := r.answered && !slices.ContainsFunc(r.attempts, func(attempt simAttempt) bool { return attempt.inFlight })
			if finished {
				delete(sim.requests, id)
			}
			return finished
		})
	}
}
