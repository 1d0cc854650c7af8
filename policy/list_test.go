package policy

import (
	"slices"
	"testing"
	"time"
)

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	for _, state := range []State{Draining, Deregistered} {
		b, h := start(t, testConfig(), readyList(1, 2))
		b.List(10*ms, ListDelta, []Server{{ID: 1, State: state, Weight: 1}})
		for id := range RequestID(10) {
			submit(b, 10*ms, id, idempotentClass)
			end(b, 20*ms, id, 0, Served)
		}
		if h.sentTo(1) != 0 || h.sentTo(2) != 10 {
			t.Fatalf("server in state %v received %d requests, want none, and the other server all", state, h.sentTo(1))
		}
	}
	b, h := start(t, testConfig(), readyList(1, 2))
	b.List(10*ms, ListFull, readyList(2)) // server 1 is missing from a full list
	for id := range RequestID(4) {
		submit(b, 10*ms, id, idempotentClass)
	}
	if h.sentTo(1) != 0 {
		t.Fatal("server that is missing from the full list received requests, want none")
	}
}

func TestListIsAskedForAgainAfterAFailure(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnDemand = true
	b, h := start(t, cfg, readyList(1))
	if h.listCalls != 1 {
		t.Fatalf("%d list calls at the start, want 1", h.listCalls)
	}
	gaps, last, calls := []time.Duration{}, time.Duration(0), 1
	b.List(0, ListFailed, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.Wake(now)
		if h.listCalls > calls {
			calls = h.listCalls
			gaps = append(gaps, now-last)
			last = now
			b.List(now, ListFailed, nil)
		}
	}
	if len(gaps) < 4 || slices.Max(gaps) >= cfg.ListMaxAge || gaps[0] >= gaps[len(gaps)-1] {
		t.Fatalf("gaps between list calls %v: want at least 4 that grow, and all below %v", gaps, cfg.ListMaxAge)
	}
	if b.server(1) == nil {
		t.Fatal("failed list call removed the servers of the last list")
	}
	b.List(40*time.Second, ListFull, readyList(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if h.listCalls != calls {
		t.Fatal("balancer calls for the list although it is subscribed")
	}
}

func TestUnansweredListCallIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnDemand = true
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < cfg.ListMaxAge; now += 50 * ms {
		b.Wake(now)
	}
	if h.listCalls < 2 {
		t.Fatal("list call without an answer is not repeated within the list's maximum age")
	}
}

// Guards against list calls at every Wake, or only one call, if the maximum age of the list is unknown.
func TestUnansweredListCallIsRepeatedWhereTheMaximumAgeIsUnknown(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnDemand, cfg.ListMaxAge = true, 0
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.Wake(now)
	}
	if h.listCalls != 3 {
		t.Fatalf("%d list calls in 10 s, want 3: at the start and every 4 s", h.listCalls)
	}
}

// Rule 7: idle connections are closed when the drain is listed, after each later outcome, and once more.
func TestIdleConnectionsToDrainingServersAreClosed(t *testing.T) {
	cfg := testConfig()
	cfg.IdleCloseTime = 300 * ms
	b, h := start(t, cfg, readyList(1))
	submit(b, 0, 1, idempotentClass)
	b.List(10*ms, ListDelta, []Server{{ID: 1, State: Draining}})
	if len(h.closes) != 1 {
		t.Fatalf("idle connections closed %d times when the drain is listed, want once", len(h.closes))
	}
	end(b, 400*ms, 1, 0, Served)
	if len(h.closes) != 2 {
		t.Fatalf("idle connections closed %d times after the next outcome, want twice", len(h.closes))
	}
	b.Wake(700*ms - 1)
	if len(h.closes) != 3 {
		t.Fatalf("idle connections closed %d times within IdleCloseTime, want three times", len(h.closes))
	}
	b, h = start(t, testConfig(), readyList(1))
	b.List(10*ms, ListDelta, []Server{{ID: 1, State: Draining}})
	if len(h.closes) != 0 {
		t.Fatal("idle connections closed although IdleCloseTime is 0")
	}
}
