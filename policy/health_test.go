package policy

import (
	"testing"
	"time"

	"caperarch/internal/proxy/admission"
)

// answerWithin has answers take this fraction of their latency target for a while.
func answerWithin(b *Balancer, share float64) {
	for range 100 {
		b.bulkhead.RecordLatency(0, share)
	}
}

// Guards against a hung server that keeps its turns and occupies slots until the time-out.
func TestSilentServerLosesItsTurn(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3))
	now := time.Duration(0)
	for id := range RequestID(300) {
		submit(b, now, id, idempotentClass)
		if last := h.sends[len(h.sends)-1]; last.id == id && last.to != 1 {
			end(b, now+5*ms, id, 0, Served)
		}
		now += 10 * ms
		b.Wake(now)
		for i := range h.sends { // server 1 answers nothing: time-outs after the latency target
			if s := h.sends[i]; s.to == 1 && b.requests[s.id] != nil && b.requests[s.id].attempts[0].sent+s.timeout <= now {
				end(b, now, s.id, 0, TimedOut)
			}
		}
	}
	if n := h.sentTo(1); n > 60 {
		t.Fatalf("a server that never answered got %d of 300 first sends", n)
	}
	if len(h.log) != 1 {
		t.Fatalf("log %q: want one line", h.log)
	}
}

// Guards against servers that answer late, slow themselves or crowded by others, and keep an even share of
// attempts.
func TestSlowServerHasFewerAttemptsInFlight(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for range 50 {
		b.server(1).squareLatency += (0.8*0.8 - b.server(1).squareLatency) / 8
	}
	if slow, well := b.maxInFlight(b.server(1)), b.maxInFlight(b.server(2)); slow != 1 || well != 4 {
		t.Fatalf("portions %v and %v, want 1 and 4", slow, well)
	}
}

// Guards against small servers that one attempt each from many balancers overloads, and against balancers of
// few slots that refuse too much while servers are a little crowded.
func TestBalancerSendsLessWhenAllServersAreCrowded(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5, 6))
	answerWithin(b, 0.6)
	for id := range RequestID(6) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 3 || b.Counters().Held != 3 {
		t.Fatalf("%d attempts for 8 slots, %d congested, want 3 and 3 while every server is crowded",
			len(h.sends), b.Counters().Held)
	}
	b, h = start(t, testConfig(), ready(1, 2, 3, 4, 5, 6))
	answerWithin(b, 0.36) // over the measure of a server, not yet over that of all
	for id := range RequestID(6) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 {
		t.Fatalf("%d attempts for 6 slots, want all while servers are a bit crowded", len(h.sends))
	}
}

// Guards against a server that rejected everything at once: it had nothing in flight, and so was free by
// every measure while the others were full, and drew most requests, three times each.
func TestServerThatRejectsAllIsLeftOut(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
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
		t.Fatalf("%d attempts rejected in 2 s, %d of 200 served; want few and all", rejected, served)
	}
	for id := RequestID(300); id < 400; id++ {
		now := 3*time.Second + time.Duration(id)*10*ms
		submit(b, now, id, idempotentClass)
		end(b, now, id, 0, Served)
	}
	if n := h.sentTo(1) - rejected; n < 4 {
		t.Fatalf("%d of 100 to the server once it is well again", n)
	}
}

// Guards against a day on which a few servers failed much of what they got: the others stayed at their
// limits, well short of a crowd, and requests were refused.
func TestServersTakeMoreWhileOthersFail(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	for over, want := range map[float64]int{1.5: 1, 2.5: 0} {
		b, h := start(t, cfg, ready(1))
		b.Probed(ms, 1, true, Load{Has: HasInFlight, InFlight: b.fleetSlots + over})
		if submit(b, 2*ms, 1, idempotentClass); len(h.sends) != want {
			t.Errorf("%d sends at %v over its part, want %d", len(h.sends), over, want)
		}
	}
}

// Guards against a server with a rate limit that drew a burst after each pause, rejected most of it and was
// paused again, so that it served 10 of some 90 requests that it could have served.
func TestServerWithARateLimitKeepsServing(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	served, rejected, tokens, seen := 0, 0, 2.0, 0
	type due struct {
		at time.Duration
		id RequestID
		n  int
		e  Ending
	}
	var ends []due
	attempts := map[RequestID]int{}
	id := RequestID(0)
	for now := time.Second; now < 11*time.Second; now += 5 * ms {
		tokens = min(2, tokens+0.1) // 20 a second
		for len(ends) > 0 && ends[0].at <= now {
			end(b, now, ends[0].id, ends[0].n, ends[0].e)
			ends = ends[1:]
		}
		if now%(10*ms) == 0 { // 100 requests a second
			id++
			b.Request(now, Request{ID: id, Class: idempotentClass, TimeLeft: 500 * ms})
		}
		b.Wake(now)
		for ; seen < len(h.sends); seen++ {
			s := h.sends[seen]
			d := due{now + 40*ms, s.id, attempts[s.id], NotProcessed}
			attempts[s.id]++
			if rejected++; tokens >= 1 {
				tokens--
				rejected--
				served++
				d.e = Served
			}
			ends = append(ends, d)
		}
	}
	if served < 120 || rejected > served {
		t.Fatalf("%d served of the 200 that it takes, %d rejected; want most, and fewer than that", served, rejected)
	}
}

// Guards against a fleet that shrinks, and whose remaining servers are given the attempts of the others.
func TestLimitsDoNotGrowWhenServersLeave(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.List(ms, ListFull, ready(1))
	b.Probed(ms, 1, true, Load{Has: HasInFlight, InFlight: 0})
	for id := range RequestID(6) {
		submit(b, ms, id, idempotentClass)
	}
	if h.sentTo(1) != 2 {
		t.Fatalf("%d of 8 slots at the last of four servers, want its limit of 2", h.sentTo(1))
	}
	// All balancers hold 100/s x 1 s x 0.12 = 12 at the quotas, a fourth of it at one server.
	b.Probed(2*ms, 1, true, Load{Has: HasInFlight, InFlight: 5})
	if !b.reportsFull(2*ms, &request{}, b.server(1)) {
		t.Fatal("the last of four servers may hold more than a fourth and one of the whole fleet's attempts")
	}
}

// Guards against a server that fails requests, for whatever reason, and keeps its turns, or never gets them back.
func TestFailingServerLosesTurnsAndGetsThemBack(t *testing.T) {
	for _, ending := range []Ending{Errored, NotProcessed, NoConnection, ConnectionLost, TimedOut} {
		b, h := start(t, testConfig(), ready(1, 2, 3, 4))
		now, id := time.Duration(0), RequestID(0)
		run := func(n int, bad Ending) int {
			before := h.sentTo(1)
			for range n {
				now += 50 * ms
				id++
				b.compartments[0].gate = admission.NewRatio(b.rng) // admission is not at stake here
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
			t.Errorf("ending %d: a server that only fails got %d of 400 sends, evenly 100", ending, n)
		}
		run(200, Served)
		if n := run(100, Served); n < 12 {
			t.Errorf("ending %d: well again it got %d of 100 sends, evenly 25", ending, n)
		}
	}
}

// Guards against a partitioned zone (delta-rounds): time-outs of servers known to be slow hold back requests
// for all others.
func TestTimeoutsOfSlowServersAreNoCongestion(t *testing.T) {
	for _, slow := range []bool{false, true} {
		b, _ := start(t, testConfig(), ready(1))
		if slow {
			b.server(1).slowness = failureSlowness
		}
		submit(b, 0, 1, nonIdempotentClass)
		before := b.bulkhead
		end(b, time.Second, 1, 0, TimedOut)
		if congested := b.bulkhead != before; congested == slow {
			t.Errorf("slow %v: a time-out counts as congestion %v", slow, congested)
		}
	}
}

// Where other balancers suspect a server one failure ejects it for a moment, as two in a row do otherwise.
// Without a failure of its own it keeps its turns.
func TestServerSuspectedByOthersIsEjectedAfterOneFailure(t *testing.T) {
	for _, doubted := range []bool{false, true} {
		cfg := testConfig()
		cfg.SuspectedDown = func(id ServerID) bool { return doubted && id == 1 }
		b, _ := start(t, cfg, ready(1, 2))
		s := b.entryOf(1)
		if s.ejectedUntil != 0 {
			t.Errorf("doubted %v: no turns before %v, with nothing sent", doubted, s.ejectedUntil)
		}
		r := &request{class: &b.classes[0], compartment: &b.compartments[0]}
		b.recordOutcome(time.Second, r, &attempt{to: s, sent: 0}, NoConnection)
		if stopped := s.ejectedUntil > time.Second; stopped != doubted || s.ejectedUntil > time.Second+minEjection {
			t.Errorf("doubted %v: one failure, no turns before %v", doubted, s.ejectedUntil)
		}
	}
}
