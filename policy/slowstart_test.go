package policy

import (
	"testing"
	"time"

	"caperarch/internal/proxy/admission"
)

// A server in slow start on the first list is sent its share at once: a process that takes over, or restarts in a
// release, must not wait until the end of slow start.
func TestServerInSlowStartOnTheFirstListIsUsed(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers = 1
	list := readyList(1, 2)
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
		t.Errorf("%v sends to the server in slow start in the first second, want a quarter to all of %.1f", n, budget)
	}
}

// While two processes act as one balancer, each sends half as much to a server in slow start.
func TestSlowStartBudgetIsDividedAmongProcesses(t *testing.T) {
	sends := map[int]int{}
	for _, processes := range []int{1, 2} {
		cfg := testConfig()
		cfg.Balancers, cfg.Processes = 1, func() int { return processes }
		list := readyList(1, 2)
		b, h := start(t, cfg, list)
		list[0].Started = 10 * time.Second
		b.List(10*time.Second, ListDelta, list[:1])
		for now, id := 10*time.Second, RequestID(0); now < 12*time.Second; now, id = now+2*ms, id+1 {
			submit(b, now, id, idempotentClass)
			end(b, now+ms, id, 0, Served)
		}
		sends[processes] = h.sentTo(1)
	}
	if ratio := float64(sends[2]) / float64(sends[1]); ratio < 0.4 || ratio > 0.6 {
		t.Errorf("sends by number of processes: %v, want half as many with 2", sends)
	}
}

func TestServerInSlowStartIsSentLess(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		cfg := testConfig()
		cfg.Balancers = balancers
		list := readyList(1, 2)
		b, h := start(t, cfg, list)
		list[0].Started = 10 * time.Second // a restart with the same ID
		b.List(10*time.Second, ListDelta, list[:1])
		id := RequestID(0)
		sends := map[bool]int{} // true: sends in the first second
		for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
			before := h.sentTo(1)
			submit(b, now, id, idempotentClass)
			end(b, now+ms, id, 0, Served)
			id++
			if h.sentTo(1) > before && now < 11*time.Second {
				sends[true]++
			}
		}
		// By the quotas, 100 requests per second go to two servers. A server has 0.3 of that capacity at its start, and
		// the balancers together may send three times its capacity.
		budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
		if n := float64(sends[true]); n == 0 || n > budget {
			t.Errorf("%d balancers: %v sends in the first second, want 1 to %.1f", balancers, n, budget)
		}
		if h.sentTo(1) < 500 {
			t.Errorf("%d balancers: %d sends in 10 s, with 8 s of slow start, want at least 500", balancers, h.sentTo(1))
		}
	}
}

// A server that answers again after a silence counts as restarted, even before the list says so.
func TestServerThatAnswersAgainIsInSlowStart(t *testing.T) {
	b, h := start(t, testConfig(), readyList(1))
	submit(b, 0, 1, nonIdempotentClass)
	end(b, time.Second, 1, 0, TimedOut)
	b.compartments[0].gate = admission.NewRatio(b.rng)
	submit(b, 1100*ms, 2, nonIdempotentClass)
	end(b, 2100*ms, 2, 0, TimedOut)
	b.compartments[0].gate = admission.NewRatio(b.rng)
	submit(b, 3*time.Second, 3, nonIdempotentClass)
	end(b, 3100*ms, 3, 0, Served)
	if b.server(1).slowStartUntil != 3100*ms+8*time.Second || len(h.log) == 0 {
		t.Fatalf("slow start until %v, log lines %q; want slow start until 11.1 s, and a log line",
			b.server(1).slowStartUntil, h.log)
	}
}
