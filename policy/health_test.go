package policy

import (
	"testing"
	"time"

	"caperarch/internal/proxy/admission"
)

// recordLatencies tells the bulkhead of 100 answers that took this fraction of their latency target.
func recordLatencies(b *Balancer, fraction float64) {
	for range 100 {
		b.bulkhead.RecordLatency(0, fraction)
	}
}

// Guards against a hung server that keeps its turns and occupies slots until its attempts time out.
func TestUnresponsiveServerLosesItsTurns(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2, 3))
	now := time.Duration(0)
	for id := range RequestID(300) {
		submit(b, now, id, idempotentClass)
		if last := h.sends[len(h.sends)-1]; last.id == id && last.to != 1 {
			end(b, now+5*ms, id, 0, Served)
		}
		now += 10 * ms
		b.Wake(now)
		for i := range h.sends { // server 1 answers nothing: its attempts time out after the latency target
			if s := h.sends[i]; s.to == 1 && b.requests[s.id] != nil && b.requests[s.id].attempts[0].sent+s.timeout <= now {
				end(b, now, s.id, 0, TimedOut)
			}
		}
	}
	if n := h.sentTo(1); n > 60 {
		t.Fatalf("server 1, which never answers, received %d of 300 first sends, want at most 60", n)
	}
	if len(h.log) != 1 {
		t.Fatalf("log lines %q, want one", h.log)
	}
}

// Guards against servers that get an equal share of attempts although they answer late, because they are slow or
// because other balancers load them.
func TestSlowServerHasFewerAttemptsInFlight(t *testing.T) {
	b, _ := start(t, testConfig(), readyList(1, 2))
	for range 50 {
		b.server(1).squareLatency += (0.8*0.8 - b.server(1).squareLatency) / 8
	}
	if slow, healthy := b.maxInFlight(b.server(1)), b.maxInFlight(b.server(2)); slow != 1 || healthy != 4 {
		t.Fatalf("in-flight limits of the slow and the healthy server: %v and %v, want 1 and 4", slow, healthy)
	}
}

// Guards against small servers that are overloaded by one attempt from each of many balancers, and against balancers of
// few slots that refuse too many requests while servers are only slightly congested.
func TestBalancerSendsLessWhenAllServersAreCongested(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2, 3, 4, 5, 6))
	recordLatencies(b, 0.6)
	for id := range RequestID(6) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 3 || b.Counters().Held != 3 {
		t.Fatalf("%d sends with 8 slots, %d held, want 3 and 3 while answers take 0.6 of the latency target",
			len(h.sends), b.Counters().Held)
	}
	b, h = start(t, testConfig(), readyList(1, 2, 3, 4, 5, 6))
	recordLatencies(b, 0.36) // above congestedLatency of one server, but the bulkhead still allows 6 attempts
	for id := range RequestID(6) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 {
		t.Fatalf("%d sends for 6 slots of the tenant, want all while answers take 0.36 of the target", len(h.sends))
	}
}

// Guards against a server that rejected everything at once: it had nothing in flight, so by every measure it had
// capacity while the other servers were full, and it received most requests, three times each.
func TestServerThatRejectsEverythingIsAvoided(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2))
	rejected, served := 0, 0
	for id := range RequestID(200) {
		now := time.Duration(id) * 10 * ms
		submit(b, now, id, idempotentClass)
		for n := 0; n < 3 && len(h.sends) > rejected+served; n++ {
			if h.sends[rejected+served].to == 1 {
				rejected++
				end(b, now, id, n, NotProcessed)
			} else {
				served++
				end(b, now, id, n, Served)
			}
		}
	}
	if rejected > 15 || served != 200 {
		t.Fatalf("%d attempts rejected in 2 s, %d of 200 requests served; want at most 15, and all", rejected, served)
	}
	for id := RequestID(300); id < 400; id++ {
		now := 3*time.Second + time.Duration(id)*10*ms
		submit(b, now, id, idempotentClass)
		end(b, now, id, 0, Served)
	}
	if n := h.sentTo(1) - rejected; n < 4 {
		t.Fatalf("server 1 received %d of 100 requests after its recovery, want at least 4", n)
	}
}

// Guards against a day on which a few servers failed much of what they were sent: the other servers stayed at their
// limits, although they were far from congested, and requests were refused.
func TestServersTakeMoreWhileOthersFail(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	for excess, want := range map[float64]int{1.5: 1, 2.5: 0} {
		b, h := start(t, cfg, readyList(1))
		b.Probed(ms, 1, true, Load{Has: HasInFlight, InFlight: b.fleetSlots + excess})
		if submit(b, 2*ms, 1, idempotentClass); len(h.sends) != want {
			t.Errorf("%d sends to a server with %v requests beyond its share, want %d", len(h.sends), excess, want)
		}
	}
}

// Guards against a server with a rate limit that received a burst after each pause, rejected most of the burst and was
// paused again, so that it served 10 of some 90 requests that it could have served.
func TestServerWithARateLimitKeepsServing(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1))
	served, rejected, tokens, seen := 0, 0, 2.0, 0
	type pendingEnd struct {
		at      time.Duration
		id      RequestID
		attempt int
		ending  Ending
	}
	var ends []pendingEnd
	attempts := map[RequestID]int{}
	id := RequestID(0)
	for now := time.Second; now < 11*time.Second; now += 5 * ms {
		tokens = min(2, tokens+0.1) // the server's token bucket: 20 requests per second
		for len(ends) > 0 && ends[0].at <= now {
			end(b, now, ends[0].id, ends[0].attempt, ends[0].ending)
			ends = ends[1:]
		}
		if now%(10*ms) == 0 { // 100 requests per second
			id++
			b.Request(now, Request{ID: id, Class: idempotentClass, TimeLeft: 500 * ms})
		}
		b.Wake(now)
		for ; seen < len(h.sends); seen++ {
			s := h.sends[seen]
			e := pendingEnd{now + 40*ms, s.id, attempts[s.id], NotProcessed}
			attempts[s.id]++
			if rejected++; tokens >= 1 {
				tokens--
				rejected--
				served++
				e.ending = Served
			}
			ends = append(ends, e)
		}
	}
	if served < 120 || rejected > served {
		t.Fatalf("%d of 200 requests within the rate limit served, %d rejected; want at least 120, and fewer rejected",
			served, rejected)
	}
}

// Guards against a shrinking fleet whose remaining servers are given the attempts of the servers that left.
func TestLimitsDoNotGrowWhenServersLeave(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, readyList(1, 2, 3, 4))
	b.List(ms, ListFull, readyList(1))
	b.Probed(ms, 1, true, Load{Has: HasInFlight, InFlight: 0})
	for id := range RequestID(6) {
		submit(b, ms, id, idempotentClass)
	}
	if h.sentTo(1) != 2 {
		t.Fatalf("last of four servers received %d attempts of 8 slots, want its limit of 2", h.sentTo(1))
	}
	// All balancers have 100/s x 1 s x 0.12 = 12 attempts in flight at the quotas, a quarter of them at each server.
	b.Probed(2*ms, 1, true, Load{Has: HasInFlight, InFlight: 5})
	if !b.reportsFull(2*ms, &request{}, b.server(1)) {
		t.Fatal("last of four servers is not full with 5 requests, a quarter of the fleet's 12 attempts and a margin of 2")
	}
}

// Guards against a server that fails requests, for any reason, and keeps its turns, or never gets its turns back.
func TestFailingServerLosesTurnsAndGetsThemBack(t *testing.T) {
	for _, ending := range []Ending{Errored, NotProcessed, NoConnection, ConnectionLost, TimedOut} {
		b, h := start(t, testConfig(), readyList(1, 2, 3, 4))
		now, id := time.Duration(0), RequestID(0)
		run := func(n int, bad Ending) int {
			before := h.sentTo(1)
			for range n {
				now += 50 * ms
				id++
				b.compartments[0].gate = admission.NewRatio(b.rng) // so that admission control rejects nothing
				submit(b, now, id, nonIdempotentClass)
				for k := len(h.sends); k > 0 && h.sends[k-1].id == id; k = len(h.sends) {
					n := len(b.requests[id].attempts)
					end(b, now+5*ms, id, n-1, map[bool]Ending{true: bad, false: Served}[h.sends[k-1].to == 1])
					if len(h.sends) == k {
						break
					}
				}
			}
			return h.sentTo(1) - before
		}
		if n := run(400, ending); n > 40 {
			t.Errorf("ending %d: server 1, which only fails, received %d of 400 sends, want at most 40", ending, n)
		}
		run(200, Served)
		if n := run(100, Served); n < 12 {
			t.Errorf("ending %d: server 1 received %d of 100 sends after its recovery, want at least 12", ending, n)
		}
	}
}

// Guards against a partitioned zone (scenario delta-rounds): time-outs of servers that are known to be slow must not
// count as congestion and hold back requests for all other servers.
func TestTimeoutsOfSlowServersAreNoCongestion(t *testing.T) {
	for _, slow := range []bool{false, true} {
		b, _ := start(t, testConfig(), readyList(1))
		if slow {
			b.server(1).slowness = failureSlowness
		}
		submit(b, 0, 1, nonIdempotentClass)
		before := b.bulkhead
		end(b, time.Second, 1, 0, TimedOut)
		if congested := b.bulkhead != before; congested == slow {
			t.Errorf("server known to be slow: %v, its time-out counts as congestion: %v, want the opposite", slow, congested)
		}
	}
}

// If other balancers suspect a server, one failure ejects it for a short time; otherwise two failures in a row do.
// A suspected server without a failure keeps its turns.
func TestServerSuspectedByOthersIsEjectedAfterOneFailure(t *testing.T) {
	for _, suspected := range []bool{false, true} {
		cfg := testConfig()
		cfg.SuspectedDown = func(id ServerID) bool { return suspected && id == 1 }
		b, _ := start(t, cfg, readyList(1, 2))
		s := b.findOrAddServer(1)
		if s.ejectedUntil != 0 {
			t.Errorf("suspected %v: ejected until %v before any send, want no ejection", suspected, s.ejectedUntil)
		}
		r := &request{class: &b.classes[0], compartment: &b.compartments[0]}
		b.recordOutcome(time.Second, r, &attempt{to: s, sent: 0}, NoConnection)
		if ejected := s.ejectedUntil > time.Second; ejected != suspected || s.ejectedUntil > time.Second+minEjectionTime {
			t.Errorf("suspected %v: ejected until %v after one failure at 1 s", suspected, s.ejectedUntil)
		}
	}
}
