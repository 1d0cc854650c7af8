package policy

import (
	"slices"
	"time"
)

// mayHaveRun returns the first attempt that may have run, or nil.
func (a *simRequest) mayHaveRun() *simAttempt {
	for i := range a.attempts {
		if e := a.attempts[i].ending; a.attempts[i].inFlight || (e != NotProcessed && e != NoConnection && e != NotSent) {
			return &a.attempts[i]
		}
	}
	return nil
}

func (sim *simulation) Send(id RequestID, to ServerID, timeout time.Duration) {
	sim.note("send %d %d %v", id, to, timeout)
	a, s := sim.requests[id], sim.listed[to]
	switch {
	case a == nil || a.answered:
		sim.t.Fatalf("rule 1: attempt for request %d, which is finished", id)
	case s.State != Ready:
		sim.t.Fatalf("rule 3: attempt at server %d in state %d", to, s.State)
	case timeout <= 0 || sim.now+timeout > a.deadline:
		sim.t.Fatalf("rule 1: time-out %v at %v runs past the deadline %v", timeout, sim.now, a.deadline)
	case len(a.attempts) >= sim.cfg.MaxAttempts:
		sim.t.Fatalf("attempt %d of at most %d", len(a.attempts)+1, sim.cfg.MaxAttempts)
	}
	sim.checkRepeat(a, s)
	sim.checkKeyOrder(a)
	sim.checkSlowStart(s)
	if out := a.attemptsInFlight(); out > 0 { // never two at once
		sim.t.Fatalf("rule 2: request %d sent while %d of its attempts are in flight", id, out)
	}
	sim.checkRetryBudget(a)
	a.attempts = append(a.attempts, simAttempt{to: s, sent: sim.now, inFlight: true})
}

// checkRepeat checks that a request that may have run is only sent where its class allows it (rule 2).
func (sim *simulation) checkRepeat(a *simRequest, to Server) {
	first := a.mayHaveRun()
	if first == nil {
		return
	}
	id, class := a.q.ID, sim.cfg.Classes[a.q.Class]
	switch {
	case class.Effect == NonIdempotent:
		sim.t.Fatalf("rule 2: request %d, which is not idempotent, sent again though it may have run", id)
	case class.Effect == Deduplicated && sim.now-first.sent >= class.RepeatTime():
		sim.t.Fatalf("rule 2: deduplicated request %d sent again %v after the first send", id, sim.now-first.sent)
	case class.Effect == Deduplicated && class.Scope == ScopeZone && to.Zone != first.to.Zone,
		class.Effect == Deduplicated && class.Scope == ScopeCell && to.Cell != first.to.Cell:
		sim.t.Fatalf("rule 2: deduplicated request %d sent outside its group", id)
	}
}

// checkRetryBudget counts a send that is a retry, and checks the budget (rule 6).
func (sim *simulation) checkRetryBudget(a *simRequest) {
	b := sim.cfg.Budget
	if len(a.attempts) == 0 || b.Span == 0 {
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
		sim.t.Fatalf("rule 6: %d retries in %v, in which %d requests arrived", retries, b.Span, requests)
	}
}

// attemptsInFlight counts the request's attempts in flight.
func (a *simRequest) attemptsInFlight() (n int) {
	for _, attempt := range a.attempts {
		if attempt.inFlight {
			n++
		}
	}
	return n
}

// checkSlowStart checks that this balancer sends no more than its even share to a warming server (rule 4).
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
		sim.t.Fatalf("rule 4: %d sends in a second to server %d, warming for %v, at most %.1f", n, s.ID, age, limit)
	}
}

// checkKeyOrder checks at a send the order of the requests of a key (rule 5).
func (sim *simulation) checkKeyOrder(a *simRequest) {
	ordered := func(o *simRequest) bool {
		return sim.cfg.Classes[o.q.Class].InOrder && o.q.Key == a.q.Key && a.q.Key != 0
	}
	if !ordered(a) {
		return
	}
	for id, o := range sim.requests {
		out := slices.ContainsFunc(o.attempts, func(attempt simAttempt) bool { return attempt.inFlight })
		if o != a && ordered(o) && o.arrival < a.arrival && (!o.answered || out) {
			sim.t.Fatalf("rule 5: request %d sent while %d of its key is not finished", a.q.ID, id)
		}
	}
	if len(a.attempts) == 0 && sim.now < sim.keyBlockedUntil[a.q.Key] {
		sim.t.Fatalf("rule 5: request %d sent %v before its key is free", a.q.ID, sim.keyBlockedUntil[a.q.Key]-sim.now)
	}
}

// checkIdleCloses checks that idle connections to draining servers are closed in time (rule 7).
func (sim *simulation) checkIdleCloses() {
	for id, until := range sim.closing {
		if sim.now > until {
			sim.t.Fatalf("rule 7: connections to server %d not closed %v after their time", id, sim.now-until)
		}
	}
}

// expectClose restarts that time, after an event at a draining server.
func (sim *simulation) expectClose(id ServerID) {
	if sim.cfg.IdleCloseTime > 0 && sim.listed[id].State == Draining {
		sim.closing[id] = sim.now + sim.cfg.IdleCloseTime
	}
}

// recordAnswer checks that a request is answered once and in time (rule 1).
func (sim *simulation) recordAnswer(id RequestID) *simRequest {
	a := sim.requests[id]
	if a == nil || a.answered {
		sim.t.Fatalf("rule 1: second answer for request %d, or one for an unknown request", id)
	}
	if sim.now > a.deadline+20*ms {
		sim.t.Fatalf("rule 1: answered %v after the deadline", sim.now-a.deadline)
	}
	a.answered = true
	return a
}

func (sim *simulation) Refuse(id RequestID, pause time.Duration) {
	sim.note("refuse %d %v", id, pause)
	a := sim.recordAnswer(id)
	class := sim.cfg.Classes[a.q.Class]
	harmless := class.Effect == Idempotent || class.Effect == Deduplicated && class.Scope == ScopeAll
	first := a.mayHaveRun()
	if first != nil && !harmless {
		sim.t.Fatalf("rule 2: request %d refused though it may have run", id)
	}
	if first != nil && class.Effect == Deduplicated && sim.now+pause >= first.sent+class.RepeatTime() {
		sim.t.Fatalf("rule 2: request %d refused, and its retry comes %v after the first send",
			id, sim.now+pause-first.sent)
	}
	if pause < 0 || pause > sim.cfg.MaxRetryAfter {
		sim.t.Fatalf("pause %v", pause)
	}
}

func (sim *simulation) Fail(id RequestID)                { sim.note("fail %d", id); sim.recordAnswer(id) }
func (sim *simulation) Cancel(id RequestID, attempt int) { sim.note("cancel %d %d", id, attempt) }
func (sim *simulation) Wake(d time.Duration)             { sim.note("wake %v", d) }
func (sim *simulation) Probe(to ServerID)                { sim.note("probe %d", to) }
func (sim *simulation) Close(to ServerID)                { sim.note("close %d", to); delete(sim.closing, to) }
func (sim *simulation) WatchList()                       { sim.note("watch"); sim.watches++ }
func (sim *simulation) Log(line string)                  { sim.note("log %s", line) }

// checkAccounting checks that no slot leaks and no count goes below zero.
func (sim *simulation) checkAccounting() {
	used := make([]int, len(sim.cfg.Tenants))
	out := 0
	for _, a := range sim.requests {
		for _, attempt := range a.attempts {
			if attempt.inFlight {
				used[a.q.Tenant]++
				out++
			}
		}
	}
	for i, c := range sim.balancer.compartments {
		if c.used != used[i] || c.used > c.slots || sim.balancer.SlotsFree(i) < 0 {
			sim.t.Fatalf("compartment %d: %d of %d slots used, %d attempts in flight", i, c.used, c.slots, used[i])
		}
	}
	if sim.balancer.inFlight != out {
		sim.t.Fatalf("%d attempts counted, %d in flight", sim.balancer.inFlight, out)
	}
	for _, s := range sim.balancer.servers {
		if s.inFlight < 0 {
			sim.t.Fatalf("server %d has %d attempts", s.ID, s.inFlight)
		}
	}
	if len(sim.ids) > 60 { // forget finished requests
		sim.ids = slices.DeleteFunc(sim.ids, func(id RequestID) bool {
			a := sim.requests[id]
			finished := a.answered && !slices.ContainsFunc(a.attempts, func(attempt simAttempt) bool { return attempt.inFlight })
			if finished {
				delete(sim.requests, id)
			}
			return finished
		})
	}
}
