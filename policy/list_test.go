package policy

import (
	"slices"
	"testing"
	"time"
)

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	for _, state := range []State{Draining, Deregistered} {
		b, h := start(t, testConfig(), ready(1, 2))
		b.List(10*ms, ListDelta, []Server{{ID: 1, State: state, Weight: 1}})
		for id := range RequestID(10) {
			submit(b, 10*ms, id, idempotentClass)
			end(b, 20*ms, id, 0, Served)
		}
		if h.sentTo(1) != 0 || h.sentTo(2) != 10 {
			t.Fatalf("state %v: sent %d to it", state, h.sentTo(1))
		}
	}
	b, h := start(t, testConfig(), ready(1, 2))
	b.List(10*ms, ListFull, ready(2)) // absent from a full list
	for id := range RequestID(4) {
		submit(b, 10*ms, id, idempotentClass)
	}
	if h.sentTo(1) != 0 {
		t.Fatal("sent to a server that left the full list")
	}
}

func TestListIsAskedForAgainAfterAFailure(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnDemand = true
	b, h := start(t, cfg, ready(1))
	if h.listCalls != 1 {
		t.Fatalf("%d calls for the list at the start", h.listCalls)
	}
	gaps, last, asked := []time.Duration{}, time.Duration(0), 1
	b.List(0, ListFailed, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.Wake(now)
		if h.listCalls > asked {
			asked = h.listCalls
			gaps = append(gaps, now-last)
			last = now
			b.List(now, ListFailed, nil)
		}
	}
	if len(gaps) < 4 || slices.Max(gaps) >= cfg.ListMaxAge || gaps[0] >= gaps[len(gaps)-1] {
		t.Fatalf("gaps between calls %v: want them to grow, and none to reach %v", gaps, cfg.ListMaxAge)
	}
	if b.server(1) == nil {
		t.Fatal("a failed call dropped the old list")
	}
	b.List(40*time.Second, ListFull, ready(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if h.listCalls != asked {
		t.Fatal("asks again though it is subscribed")
	}
}

func TestUnansweredCallForTheListIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnDemand = true
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < cfg.ListMaxAge; now += 50 * ms {
		b.Wake(now)
	}
	if h.listCalls < 2 {
		t.Fatal("the list would have counted as received")
	}
}

// Guards against calls at every Wake, or never again, where the maximum age of the list is not known.
func TestUnansweredCallIsRepeatedWhereTheMaximumAgeIsUnknown(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnDemand, cfg.ListMaxAge = true, 0
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.Wake(now)
	}
	if h.listCalls != 3 {
		t.Fatalf("%d calls for the list in 10 s, want at the start and every 4 s", h.listCalls)
	}
}

// Rule 7: idle connections are closed at the notice, after each later outcome, and once more.
func TestIdleConnectionsToDrainingServersAreClosed(t *testing.T) {
	cfg := testConfig()
	cfg.IdleCloseTime = 300 * ms
	b, h := start(t, cfg, ready(1))
	submit(b, 0, 1, idempotentClass)
	b.List(10*ms, ListDelta, []Server{{ID: 1, State: Draining}})
	if len(h.closes) != 1 {
		t.Fatalf("%d closes at the notice", len(h.closes))
	}
	end(b, 400*ms, 1, 0, Served)
	if len(h.closes) != 2 {
		t.Fatalf("%d closes after the outcome", len(h.closes))
	}
	b.Wake(700*ms - 1)
	if len(h.closes) != 3 {
		t.Fatalf("%d closes within the time", len(h.closes))
	}
	b, h = start(t, testConfig(), ready(1))
	b.List(10*ms, ListDelta, []Server{{ID: 1, State: Draining}})
	if len(h.closes) != 0 {
		t.Fatal("closed though no time is set")
	}
}
