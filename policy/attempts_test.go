package policy

import (
	"testing"
	"time"

	"caperarch/internal/proxy/admission"
)

func TestAttemptTimesOutWhenItsAnswerLosesItsValue(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].LateValue = 0.5
	b, h := start(t, cfg, readyList(1, 2))
	submit(b, 0, 1, idempotentClass)
	submit(b, 0, 2, dedupAll)
	b.Request(0, Request{ID: 3, Class: dedupCell, TimeLeft: 300 * ms})
	if got := h.sends[0].timeout; got != time.Second {
		t.Errorf("attempt times out after %v, want the latency target of 1 s", got)
	}
	if got := h.sends[1].timeout; got != 2*time.Second {
		t.Errorf("attempt times out after %v where late answers have value, want the client's 2 s", got)
	}
	if got := h.sends[2].timeout; got != 300*ms {
		t.Errorf("attempt times out after %v, want the client's 300 ms", got)
	}
}

func TestRetryDependsOnTheEnding(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		ending Ending
		retry  bool
		fails  bool // if the request is not sent again
	}{
		{"idempotent, error", idempotentClass, Errored, true, false},
		{"deduplicated, connection lost", dedupAll, ConnectionLost, true, false},
		{"not idempotent, rejected unprocessed", nonIdempotentClass, NotProcessed, true, false},
		{"not idempotent, no connection", nonIdempotentClass, NoConnection, true, false},
		{"not idempotent, not sent", nonIdempotentClass, NotSent, true, false},
		{"not idempotent, error", nonIdempotentClass, Errored, false, true},
		{"not idempotent, connection lost", nonIdempotentClass, ConnectionLost, false, true},
		{"not idempotent, time-out", nonIdempotentClass, TimedOut, false, true},
		{"not idempotent, unknown ending", nonIdempotentClass, Ending(99), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), readyList(1, 2, 3))
			submit(b, 0, 1, c.class)
			end(b, 30*ms, 1, 0, c.ending)
			if retry := len(h.sends) == 2; retry != c.retry {
				t.Fatalf("request sent again: %v, want %v", retry, c.retry)
			}
			if !c.retry && h.failed[1] != c.fails {
				t.Fatalf("request failed: %v, want %v (refused: %v)", h.failed[1], c.fails, h.refused)
			}
			if c.retry && h.sends[1].to == h.sends[0].to {
				t.Fatal("request sent again to the same server, want another server")
			}
		})
	}
}

func TestRequestIsRefusedAfterTheLastAttempt(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2, 3, 4, 5))
	submit(b, 0, 1, nonIdempotentClass)
	for i := range 3 {
		end(b, time.Duration(i+1)*ms, 1, i, NoConnection)
	}
	if _, ok := h.refused[1]; len(h.sends) != 3 || !ok {
		t.Fatalf("%d sends, refused %v; want 3 sends and a refusal, as no attempt ran", len(h.sends), ok)
	}
}

func TestDeduplicatedRequestStaysInItsScope(t *testing.T) {
	list := []Server{
		{ID: 1, State: Ready, Weight: 1, Zone: 0, Cell: 10}, {ID: 2, State: Ready, Weight: 1, Zone: 0, Cell: 11},
		{ID: 3, State: Ready, Weight: 1, Zone: 1, Cell: 12}, {ID: 4, State: Ready, Weight: 1, Zone: 1, Cell: 12},
	}
	byID := func(id ServerID) Server { return list[id-1] }
	for id := range RequestID(8) { // other requests before make the first attempt go to each server
		for _, class := range []int{dedupZone, dedupCell} {
			b, h := start(t, testConfig(), list)
			for earlier := range id {
				submit(b, 0, 100+earlier, idempotentClass)
				end(b, ms, 100+earlier, 0, Served)
			}
			h.sends = nil
			submit(b, 2*ms, 1, class)
			first := byID(h.sends[0].to)
			end(b, 30*ms, 1, 0, ConnectionLost)
			if len(h.sends) < 2 {
				if class == dedupZone || first.Zone == 1 {
					t.Fatalf("request of class %d at server %d was not sent again", class, first.ID)
				}
				continue // the first server is the only one of its cell
			}
			second := byID(h.sends[1].to)
			if second.Zone != first.Zone || (class == dedupCell && second.Cell != first.Cell) {
				t.Fatalf("request of class %d went from server %d to %d, outside its scope", class, first.ID, second.ID)
			}
		}
	}
}

func TestScopeFollowsTheAttemptThatMayHaveRun(t *testing.T) {
	list := []Server{{ID: 1, State: Ready, Weight: 1, Zone: 0}, {ID: 2, State: Ready, Weight: 1, Zone: 1},
		{ID: 3, State: Ready, Weight: 1, Zone: 1}}
	b, h := start(t, testConfig(), list)
	for h.sentTo(1) == 0 || len(h.sends) == 0 || h.sends[len(h.sends)-1].to != 1 {
		id := RequestID(100 + len(h.sends))
		submit(b, 0, id, idempotentClass)
		end(b, ms, id, 0, Served)
	}
	b.List(ms, ListDelta, []Server{{ID: 3, State: Deregistered}})
	h.sends = nil
	submit(b, 2*ms, 1, dedupZone) // the turn of server 2 in zone 1
	if h.sends[0].to != 2 {
		t.Fatalf("set-up: the first attempt went to server %d, want 2", h.sends[0].to)
	}
	end(b, 3*ms, 1, 0, NotProcessed) // the attempt never ran in zone 1, so any zone may follow
	if len(h.sends) != 2 || h.sends[1].to != 1 {
		t.Fatalf("sends %v, want a second attempt at server 1", h.sends)
	}
	end(b, 4*ms, 1, 1, Errored) // the attempt may have run in zone 0, so server 2 in zone 1 is excluded
	if len(h.sends) != 2 {
		t.Fatalf("sends %v, want no send outside zone 0", h.sends)
	}
}

func TestDeduplicatedRequestIsNotRepeatedAfterItsDedupWindow(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2, 3))
	submit(b, 0, 1, dedupAll)
	end(b, 700*ms, 1, 0, Errored) // the end of the deduplication window of 700 ms
	if _, refused := h.refused[1]; len(h.sends) != 1 || refused || !h.failed[1] {
		t.Fatalf("%d sends, refused %v; want 1 send and no refusal: servers drop no repeat now", len(h.sends), refused)
	}
	b.compartments[0].gate = admission.NewRatio(b.rng)
	submit(b, 800*ms, 2, dedupZone)
	end(b, 1500*ms, 2, 0, Errored)
	if !h.failed[2] {
		t.Fatal("request of zone scope that may have run is not failed; a refusal would promise a harmless retry")
	}
}

// A refusal promises that a retry after Retry-After is harmless. For a deduplicated request whose repeats all servers
// drop, the promise holds if the retry reaches a server, its transit included, before the deduplication window ends.
func TestDeduplicatedRequestIsRefusedOnlyWhileRetriesAreDropped(t *testing.T) {
	cfg := testConfig()
	cfg.MaxAttempts = 1
	for after, want := range map[time.Duration]bool{100 * ms: true, 524 * ms: false, 600 * ms: false} {
		b, h := start(t, cfg, readyList(1, 2, 3))
		submit(b, 0, 1, dedupAll)
		end(b, after, 1, 0, Errored)
		retryAfter, refused := h.refused[1]
		if refused != want || h.failed[1] == want {
			t.Errorf("end after %v of a window of 700 ms: refused %v, failed %v, want refused %v",
				after, refused, h.failed[1], want)
		}
		if refused && after+retryAfter >= 525*ms {
			t.Errorf("refused after %v with a Retry-After of %v, want a retry before 525 ms", after, retryAfter)
		}
	}
}

// A server counts the deduplication window until a repeat arrives, so no repeat is sent in the window's last quarter.
// In TestGRPC/among_failing_nodes repeats were sent 3 us and 0.7 ms before the end of the window, after half a second
// in the queue for an ejected server, and arrived after the end. A request also does not wait for a server whose
// ejection ends too late for a repeat.
func TestRepeatLeavesTimeForTransit(t *testing.T) {
	for ejected, want := range map[time.Duration]int{500 * ms: 2, 530 * ms: 1, 699 * ms: 1} {
		b, h := start(t, testConfig(), readyList(1, 2))
		submit(b, 0, 1, dedupCell)
		other := b.server(3 - h.sends[0].to)
		other.ejectedUntil = ejected
		end(b, 5*ms, 1, 0, Errored)
		if waits := !h.failed[1]; waits != (want == 2) {
			t.Errorf("other server ejected until %v: request waits: %v", ejected, waits)
		}
		for now := 10 * ms; now < time.Second; now += 5 * ms {
			b.Wake(now)
		}
		if len(h.sends) != want {
			t.Errorf("other server ejected until %v: %d sends, want %d", ejected, len(h.sends), want)
		}
	}
}

// An answer ends a server's ejection, so a request waits for an ejected server that has an attempt in flight.
func TestEjectedServerThatOwesAnAnswerIsWaitedFor(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2))
	submit(b, 0, 1, idempotentClass)
	submit(b, 0, 2, dedupCell)
	if h.sends[0].to == h.sends[1].to {
		t.Fatal("set-up: both requests went to one server, want two servers")
	}
	b.server(h.sends[0].to).ejectedUntil = 699 * ms
	end(b, 5*ms, 2, 0, Errored)
	end(b, 10*ms, 1, 0, Served)
	if len(h.sends) != 3 || h.sends[2].to != h.sends[0].to {
		t.Errorf("sends %+v, want a repeat at the server that answered and is no longer ejected", h.sends)
	}
}

// Guards against requests that waited 7.5 s in the queue for another server where there was none, and against servers
// that lost turns because of clients' invalid requests.
func TestRequestWithoutAServerLeftIsAnsweredAtOnce(t *testing.T) {
	for _, class := range []int{idempotentClass, dedupCell, nonIdempotentClass} {
		b, h := start(t, testConfig(), readyList(1))
		submit(b, 0, 1, class)
		end(b, 5*ms, 1, 0, NoConnection)
		if _, refused := h.refused[1]; !refused {
			t.Errorf("request of class %d is not refused, although the only server refuses connections", class)
		}
	}
	b, h := start(t, testConfig(), readyList(1, 2))
	submit(b, 0, 1, idempotentClass)
	end(b, 5*ms, 1, 0, InvalidRequest)
	if !h.failed[1] || len(h.sends) != 1 || b.server(h.sends[0].to).slowness != 1 {
		t.Errorf("failed %v, sends %v; want the request failed at once and the server's slowness 1", h.failed, h.sends)
	}
}

// Guards against cells of two servers whose other server has no capacity: a deduplicated request may be sent again to
// the server whose connection broke, as the server drops repeats, but not after an error or time-out.
func TestServerMayBeTriedAgainAfterALostConnection(t *testing.T) {
	for end, want := range map[Ending]int{ConnectionLost: 2, Errored: 1} {
		b, h := start(t, testConfig(), readyList(1))
		submit(b, 0, 1, dedupCell)
		b.Outcome(5*ms, Outcome{ID: 1, Ending: end})
		if len(h.sends) != want {
			t.Errorf("ending %v of the first attempt: %d sends, want %d", end, len(h.sends), want)
		}
	}
}

// Rule 6: the retries within a span stay within the budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Budget = RetryBudget{Span: time.Second, Free: 1, Share: 0.5}
	b, h := start(t, cfg, readyList(1, 2, 3))
	send := func(now time.Duration, id RequestID, class int) int {
		n := len(h.sends)
		b.compartments[0].gate = admission.NewRatio(b.rng)
		submit(b, now, id, class)
		end(b, now, id, 0, NotProcessed)
		if len(h.sends) > n+1 {
			end(b, now, id, 1, Served)
		}
		return len(h.sends) - n
	}
	if send(0, 1, idempotentClass) != 2 || send(0, 2, nonIdempotentClass) != 2 || send(0, 3, nonIdempotentClass) != 1 {
		t.Fatalf("sends %+v: want one free retry, and one retry for two requests", h.sends)
	}
	if _, ok := h.refused[3]; !ok {
		t.Fatal("request that never ran is not refused when the retry budget is exhausted")
	}
	// After 1 s, the span of the budget, the requests no longer count, but the retries of that time still count.
	if n := send(time.Second, 4, idempotentClass); n != 1 {
		t.Fatalf("%d sends at the end of the budget's span, want 1", n)
	}
	if n := send(time.Second+1, 5, idempotentClass); n != 2 {
		t.Fatalf("%d sends after the budget's span, want 2", n)
	}
}

// A retry budget with a span allows no retry if its other fields are zero; the zero value sets no limit.
func TestRetryBudgetOfZeroIsALimitAndTheZeroValueIsNone(t *testing.T) {
	for _, c := range []struct {
		budget RetryBudget
		want   int
	}{{RetryBudget{Span: time.Second}, 1}, {RetryBudget{}, 2}} {
		cfg := testConfig()
		cfg.Budget = c.budget
		b, h := start(t, cfg, readyList(1, 2, 3))
		submit(b, 0, 1, idempotentClass)
		end(b, 0, 1, 0, NotProcessed)
		if len(h.sends) != c.want {
			t.Errorf("budget %+v: %d sends, want %d", c.budget, len(h.sends), c.want)
		}
	}
}

// Rule 1: nothing is sent for a request that is finished, streams its answer, is past its deadline or has had all its
// attempts. Rule 2: nothing is sent while an attempt is in flight.
func TestNothingIsSentForAFinishedRequest(t *testing.T) {
	b, _ := start(t, testConfig(), readyList(1))
	for name, r := range map[string]*request{
		"finished":          {finished: true, deadline: time.Second},
		"streaming":         {streaming: true, deadline: time.Second},
		"past its deadline": {deadline: 100 * ms},
		"in flight":         {deadline: time.Second, inFlight: 1},
		"out of attempts":   {deadline: time.Second, attempts: make([]attempt, b.cfg.MaxAttempts)},
	} {
		r.class = &b.classes[idempotentClass]
		if b.maySend(100*ms, r, b.servers[0]) {
			t.Errorf("request that is %s may be sent", name)
		}
	}
	if !b.maySend(100*ms, &request{class: &b.classes[idempotentClass], deadline: time.Second}, b.servers[0]) {
		t.Error("open request without attempts may not be sent")
	}
}
