package policy

import (
	"math"
	"testing"
	"time"

	"caperarch/internal/proxy/sizing"
)

func TestRequestsBeyondSlotsAndQueueAreRefused(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5, 6, 7, 8)) // tenant 0: 6 slots and 1 queue slot
	if b.SlotsFree(0) != 6 || b.SlotsFree(1) != 2 || b.QueueFree(0) != 1 || b.QueueFree(1) != 1 {
		t.Fatalf("slots %d %d, queue slots %d %d", b.SlotsFree(0), b.SlotsFree(1), b.QueueFree(0), b.QueueFree(1))
	}
	for id := range RequestID(10) {
		submit(b, 0, id, idempotentClass)
	}
	if len(h.sends) != 6 || b.QueueFree(0) != 0 {
		t.Fatalf("sent %d, queue slots free %d; want 6 and 0", len(h.sends), b.QueueFree(0))
	}
	if pause, ok := h.refused[9]; !ok || pause <= 0 || pause > time.Second {
		t.Fatalf("tenth request: refused %v with Retry-After %v; want a prompt refusal with one", ok, pause)
	}
	if b.SlotsFree(1) != 2 {
		t.Fatalf("tenant 1 lost slots to tenant 0")
	}
	b.Request(0, Request{ID: 20, Class: idempotentClass, Tenant: 1, TimeLeft: 2 * time.Second})
	if len(h.sends) != 7 {
		t.Fatalf("the other compartment did not send past the full one")
	}
	end(b, 50*ms, 0, 0, Served)
	if len(h.sends) != 8 || h.sends[7].id != 6 {
		t.Fatalf("a freed slot did not go to the first in the queue: %v", h.sends)
	}
}

// Guards against clients' retries that are served when their answers have no value any more.
func TestLateRetriesGiveWay(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	left := func(id RequestID, d time.Duration) {
		b.Request(0, Request{ID: id, Class: idempotentClass, TimeLeft: d})
	}
	left(1, 2800*ms) // first attempts have this much of the class's 3 s
	left(2, 2500*ms) // its first attempt was half a second ago
	left(3, 1500*ms) // 1.5 s ago: late already, but answers are quick
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("sends %v: want the second limited to what is left of its target, and the third served", h.sends)
	}
	answerWithin(b, 0.5) // answers are slow
	left(4, 1500*ms)
	if _, refused := h.refused[4]; !refused {
		t.Fatal("a late retry took a slot while answers were slow")
	}
}

// Guards against clients that always wait less than others and are taken for late.
func TestClientsThatWaitLessThanOthersAreNotLate(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	for id := range RequestID(400) {
		now := time.Duration(id) * 20 * ms
		left := 2800 * ms
		if id >= 20 {
			left = 2200 * ms
		}
		b.Request(now, Request{ID: id, Class: idempotentClass, TimeLeft: left})
		end(b, now+5*ms, id, 0, Served)
	}
	if last := h.sends[len(h.sends)-1]; last.timeout != time.Second {
		t.Fatalf("time-out %v: the target of a first attempt is still shortened", last.timeout)
	}
}

func TestUnmarkedRequestsAreFirstAttemptsWhereClientsMarkRetries(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := start(t, cfg, ready(1, 2))
	b.Request(0, Request{ID: 1, Class: idempotentClass, TimeLeft: 2800 * ms})
	b.Request(0, Request{ID: 2, Class: idempotentClass, TimeLeft: 2500 * ms})
	b.Request(0, Request{ID: 3, Class: idempotentClass, TimeLeft: 2500 * ms, IsRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("sends %v: want only the marked one shortened", h.sends)
	}
}

func TestQueuedRequestIsRefusedBeforeItsTargetIsMissed(t *testing.T) {
	b, h := start(t, testConfig(), nil) // no server at all: queued, then refused in time
	submit(b, 0, 1, nonIdempotentClass)
	if len(h.refused) != 0 {
		t.Fatal("refused at once, though the queue has capacity")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if _, ok := h.refused[1]; !ok {
		t.Fatal("still queued when its target had passed")
	}
}

// Guards against requests that are sent after their wait with about the usual time left: every other one
// times out at servers that have lost capacity.
func TestWaitEndsWhileAnAnswerCanStillCome(t *testing.T) {
	b, h := start(t, testConfig(), nil)
	submit(b, 0, 1, idempotentClass) // a target of 1 s, answers usually take 125 ms
	b.Wake(740 * ms)
	if len(h.refused) != 0 {
		t.Fatal("refused with over twice the usual time left")
	}
	b.List(760*ms, ListFull, ready(1))
	if _, refused := h.refused[1]; !refused {
		t.Fatalf("sent %v with less than twice the usual time left after a wait", h.sends)
	}
}

func TestSlotsAreDerivedFromQuotas(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 0
	for _, balancers := range []int{1, 4, 64} {
		cfg.Balancers = balancers
		b, _ := start(t, cfg, ready(1))
		whole := 100*1*slotTargetShare + 2*sizing.Spread*math.Sqrt(100*slotTargetShare) + 2
		if b.slots < 2 || float64(b.slots) > whole {
			t.Errorf("%d balancers: %d slots, want 2 to %.0f", balancers, b.slots, whole)
		}
		if b.SlotsFree(0) < b.SlotsFree(1) || b.QueueFree(1) < 1 {
			t.Errorf("%d balancers: compartments %d and %d", balancers, b.SlotsFree(0), b.SlotsFree(1))
		}
	}
	cfg.Tenants, cfg.Balancers = nil, 4 // no tenants and no quota: one compartment, sized by the first list
	b, h := start(t, cfg, ready(1, 2))
	b.Request(0, Request{ID: 1, Tenant: 5, TimeLeft: time.Second})
	if len(b.compartments) != 1 || b.slots != 7 || len(h.sends) != 1 {
		t.Fatalf("without tenants: %d compartments, %d slots, %d sends", len(b.compartments), b.slots, len(h.sends))
	}
}
