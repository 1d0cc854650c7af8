package policy

import (
	"testing"
	"time"

	"caperarch/internal/proxy/admission"
)

// A warming server of the first list has its share at once: a process that takes over, or restarts in a
// release, must not leave it out until it is warm.
func TestWarmingServerOfTheFirstListIsUsed(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers = 1
	list := ready(1, 2)
	list[0].Started = 9*time.Second + 999*ms
	h := newFakeHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(10 * time.Second)
	b.List(10*time.Second, ListCached, list)
	for now, id := 10*time.Second, RequestID(0); now < 11*time.Second; now, id = now+2*ms, id+1 {
		submit(b, now, id, idempotentClass)
		end(b, now+ms, id, 0, Served)
	}
	if n, budget := float64(h.sentTo(1)), 100.0/2*0.3*3; n < budget/4 || n > budget {
		t.Errorf("%v sends in the first second, want a good part of %.1f", n, budget)
	}
}

// While two processes are one balancer, each sends a warming server half as much.
func TestSlowStartBudgetIsDividedAmongProcesses(t *testing.T) {
	sends := map[int]int{}
	for _, parts := range []int{1, 2} {
		cfg := testConfig()
		cfg.Balancers, cfg.Processes = 1, func() int { return parts }
		list := ready(1, 2)
		b, h := start(t, cfg, list)
		list[0].Started = 10 * time.Second
		b.List(10*time.Second, ListDelta, list[:1])
		for now, id := 10*time.Second, RequestID(0); now < 12*time.Second; now, id = now+2*ms, id+1 {
			submit(b, now, id, idempotentClass)
			end(b, now+ms, id, 0, Served)
		}
		sends[parts] = h.sentTo(1)
	}
	if ratio := float64(sends[2]) / float64(sends[1]); ratio < 0.4 || ratio > 0.6 {
		t.Errorf("sends by processes: %v", sends)
	}
}

func TestWarmingServerGetsLess(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		cfg := testConfig()
		cfg.Balancers = balancers
		list := ready(1, 2)
		b, h := start(t, cfg, list)
		list[0].Started = 10 * time.Second // restarted under the same id
		b.List(10*time.Second, ListDelta, list[:1])
		id := RequestID(0)
		sends := map[bool]int{} // by whether in the first window
		for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
			before := h.sentTo(1)
			submit(b, now, id, idempotentClass)
			end(b, now+ms, id, 0, Served)
			id++
			if h.sentTo(1) > before && now < 11*time.Second {
				sends[true]++
			}
		}
		// Capacity by the quotas: 100 a second over two servers; at 0.3 of it, budget 3 times that.
		budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
		if n := float64(sends[true]); n == 0 || n > budget {
			t.Errorf("%d balancers: %v sends in the first second, budget of each %.1f", balancers, n, budget)
		}
		if h.sentTo(1) < 500 {
			t.Errorf("%d balancers: only %d sends once it had warmed up", balancers, h.sentTo(1))
		}
	}
}

// A server that answers again is taken for restarted before the list says so.
func TestServerThatAnswersAgainIsTakenForWarming(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	submit(b, 0, 1, nonIdempotentClass)
	end(b, time.Second, 1, 0, TimedOut)
	b.compartments[0].gate = admission.NewRatio(b.rng)
	submit(b, 1100*ms, 2, nonIdempotentClass)
	end(b, 2100*ms, 2, 0, TimedOut)
	b.compartments[0].gate = admission.NewRatio(b.rng)
	submit(b, 3*time.Second, 3, nonIdempotentClass)
	end(b, 3100*ms, 3, 0, Served)
	if b.server(1).warmAt != 3100*ms+8*time.Second || len(h.log) == 0 {
		t.Fatalf("warming until %v, log %q", b.server(1).warmAt, h.log)
	}
}
