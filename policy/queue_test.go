package policy

import (
	"math"
	"testing"
	"time"

	"caperarch/internal/proxy/sizing"
)

func TestRequestsBeyondSlotsAndQueueAreRefused(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2, 3, 4, 5, 6, 7, 8)) // tenant 0: 6 slots and 1 queue slot
	if b.freeSlots(0) != 6 || b.freeSlots(1) != 2 || b.freeQueueSlots(0) != 1 || b.freeQueueSlots(1) != 1 {
		t.Fatalf("free slots %d and %d, free queue slots %d and %d; want 6 and 2, 1 and 1",
			b.freeSlots(0), b.freeSlots(1), b.freeQueueSlots(0), b.freeQueueSlots(1))
	}
	for id := range RequestID(10) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 || b.freeQueueSlots(0) != 0 {
		t.Fatalf("%d sends, %d free queue slots after 10 requests; want 6 and 0", len(h.sends), b.freeQueueSlots(0))
	}
	if retryAfter, ok := h.refused[9]; !ok || retryAfter <= 0 || retryAfter > time.Second {
		t.Fatalf("tenth request: refused %v with Retry-After %v; want a refusal with up to 1 s", ok, retryAfter)
	}
	if b.freeSlots(1) != 2 {
		t.Fatalf("requests of tenant 0 took slots of tenant 1")
	}
	b.Request(0, Request{ID: 20, Class: idempotentClass, Tenant: 1, TimeLeft: 2 * time.Second})
	if len(h.sends) != 7 {
		t.Fatalf("request of tenant 1 was not sent while the compartment of tenant 0 is full")
	}
	end(b, 50*ms, 0, 0, Served)
	if len(h.sends) != 8 || h.sends[7].id != 6 {
		t.Fatalf("sends %v, want the queued request 6 sent to the freed slot", h.sends)
	}
}

// Guards against clients' retries that are served when their answers no longer have a value.
func TestLateRetriesUseSpareCapacityOnly(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2))
	submitWithTimeLeft := func(id RequestID, d time.Duration) {
		b.Request(0, Request{ID: id, Class: idempotentClass, TimeLeft: d})
	}
	submitWithTimeLeft(1, 2800*ms) // a first attempt: 2.8 s of the class's deadline of 3 s are left
	submitWithTimeLeft(2, 2500*ms) // a retry: the client's first attempt was 0.5 s ago
	submitWithTimeLeft(3, 1500*ms) // a retry after 1.5 s: its target has passed, but the servers are not congested
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("sends %v, want the second with the 500 ms left of its target, and the third served", h.sends)
	}
	recordLatencies(b, 0.5) // the servers are congested
	submitWithTimeLeft(4, 1500*ms)
	if _, refused := h.refused[4]; !refused {
		t.Fatal("late retry is not refused while servers are congested")
	}
}

// Guards against clients that always wait less than other clients, and whose first attempts are taken for late retries.
func TestClientsThatWaitLessThanOthersAreNotLate(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1, 2))
	for id := range RequestID(400) {
		now := time.Duration(id) * 20 * ms
		timeLeft := 2800 * ms
		if id >= 20 {
			timeLeft = 2200 * ms
		}
		b.Request(now, Request{ID: id, Class: idempotentClass, TimeLeft: timeLeft})
		end(b, now+5*ms, id, 0, Served)
	}
	if last := h.sends[len(h.sends)-1]; last.timeout != time.Second {
		t.Fatalf("first attempt times out after %v, want the whole latency target of 1 s", last.timeout)
	}
}

func TestUnmarkedRequestsAreFirstAttemptsWhereClientsMarkRetries(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := start(t, cfg, readyList(1, 2))
	b.Request(0, Request{ID: 1, Class: idempotentClass, TimeLeft: 2800 * ms})
	b.Request(0, Request{ID: 2, Class: idempotentClass, TimeLeft: 2500 * ms})
	b.Request(0, Request{ID: 3, Class: idempotentClass, TimeLeft: 2500 * ms, IsRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("sends %v, want a shorter target only for the request that is marked as a retry", h.sends)
	}
}

func TestQueuedRequestIsRefusedBeforeItsTargetIsMissed(t *testing.T) {
	b, h := start(t, testConfig(), nil) // without servers the request is queued
	submit(b, 0, 1, nonIdempotentClass)
	if len(h.refused) != 0 {
		t.Fatal("request is refused at once although the queue has a free slot")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if _, ok := h.refused[1]; !ok {
		t.Fatal("request is not refused by the end of its latency target of 1 s")
	}
}

// Guards against requests that are sent, after a wait, with only about the usual latency left: every other request
// times out at servers that have lost capacity.
func TestWaitEndsWhileAnAnswerIsStillPossible(t *testing.T) {
	b, h := start(t, testConfig(), nil)
	submit(b, 0, 1, idempotentClass) // latency target 1 s, mean latency 125 ms
	b.Wake(740 * ms)
	if len(h.refused) != 0 {
		t.Fatal("queued request is refused with more than twice the mean latency left")
	}
	b.List(760*ms, ListFull, readyList(1))
	if _, refused := h.refused[1]; !refused {
		t.Fatalf("sends %v with less than twice the mean latency left, want the queued request refused", h.sends)
	}
}

func TestSlotsAreDerivedFromQuotas(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 0
	for _, balancers := range []int{1, 4, 64} {
		cfg.Balancers = balancers
		b, _ := start(t, cfg, readyList(1))
		maxSlots := 100*1*slotHoldFraction + 2*sizing.Spread*math.Sqrt(100*slotHoldFraction) + 2
		if b.slots < 2 || float64(b.slots) > maxSlots {
			t.Errorf("%d balancers: %d slots, want 2 to %.0f", balancers, b.slots, maxSlots)
		}
		if b.freeSlots(0) < b.freeSlots(1) || b.freeQueueSlots(1) < 1 {
			t.Errorf("%d balancers: %d and %d slots, want more for tenant 0, and queue slots for tenant 1",
				balancers, b.freeSlots(0), b.freeSlots(1))
		}
	}
	cfg.Tenants, cfg.Balancers = nil, 4 // no tenants and no quota: one compartment, with slots by the first list
	b, h := start(t, cfg, readyList(1, 2))
	b.Request(0, Request{ID: 1, Tenant: 5, TimeLeft: time.Second})
	if len(b.compartments) != 1 || b.slots != 7 || len(h.sends) != 1 {
		t.Fatalf("without tenants: %d compartments, %d slots, %d sends; want 1, 7 and 1",
			len(b.compartments), b.slots, len(h.sends))
	}
}
