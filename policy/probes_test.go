package policy

import (
	"testing"
	"time"
)

// Guards against balancers that each keep to their own limit and together overload the servers.
func TestReportedLoadLimitsAttemptsOfTheFleet(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, readyList(1, 2))
	b.Probed(ms, 1, true, Load{Has: HasInFlight, InFlight: 50})
	b.Probed(ms, 2, true, Load{Has: HasInFlight, InFlight: 0})
	for id := range RequestID(4) {
		submit(b, 2*ms, id, idempotentClass)
	}
	if h.sentTo(1) != 0 || h.sentTo(2) != 4 || len(h.probes) != 0 {
		t.Fatalf("%d sends to the full server, %d probes while reports are fresh; want 0 and 0", h.sentTo(1), len(h.probes))
	}
	b.Probed(2*ms, 9, true, Load{Has: HasInFlight, InFlight: 1})   // a report of a server that is not listed
	b.Probed(2*ms, 1, false, Load{Has: HasInFlight, InFlight: -1}) // a failed probe
	b.Probed(2*time.Second, 1, true, Load{Has: HasInFlight, InFlight: 0})
	for id := RequestID(10); id < 12; id++ {
		submit(b, 2*time.Second, id, idempotentClass)
	}
	if h.sentTo(1) == 0 {
		t.Fatal("server 1 receives no requests because of a report that is 2 s old, want the report ignored")
	}
}

// Guards against a thousand sidecars of two requests per second each (scenario toowoomba-hives): a sidecar's own
// attempts at a server say nothing about the server's load, and reports that are fetched in rotation are out of date
// when the server's turn comes.
func TestServerIsProbedFirstWhereItsReportIsOutOfDate(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, readyList(1, 2, 3, 4))
	markReportsFresh(b)
	submit(b, 0, 1, idempotentClass)
	if len(h.probes) != 1 || len(h.sends) != 0 {
		t.Fatalf("%d probes, %d sends; want 1 probe, of the server in turn, and no send", len(h.probes), len(h.sends))
	}
	first := h.probes[0]
	b.Probed(6*ms, first, true, Load{Has: HasInFlight, InFlight: 50})
	if len(h.probes) != 2 || h.probes[1] == first || len(h.sends) != 0 {
		t.Fatalf("probes %v, want a probe of the next server, as the first is full", h.probes)
	}
	b.Probed(12*ms, h.probes[1], true, Load{Has: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.probes[1] {
		t.Fatalf("sends %v, want one to the server that has capacity", h.sends)
	}
	submit(b, time.Second, 2, idempotentClass)
	for now := time.Second; now < 1200*ms; now += 10 * ms {
		b.Wake(now) // no probe is answered
	}
	if n := len(h.probes) - 2; n != maxProbesPerRequest || len(h.sends) != 1 {
		t.Fatalf("%d probes, %d sends; want %d probes, and no send to a server without a recent report",
			n, len(h.sends), maxProbesPerRequest)
	}
	for now := 1200 * ms; now < 3*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if _, refused := h.refused[2]; !refused {
		t.Fatal("request without a server that answers probes is not refused")
	}
}

// Guards against a draining server that answers probes with status 503 before the list says that it drains: the server
// kept the next turn, so every request probed it three times and was refused.
func TestServerThatFailsItsProbeLosesItsTurn(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, readyList(1, 2, 3, 4))
	markReportsFresh(b)
	submit(b, 0, 1, idempotentClass)
	drains := h.probes[0]
	b.Probed(ms, drains, false, Load{})
	if len(h.probes) != 2 || h.probes[1] == drains {
		t.Fatalf("probes %v, want a probe of the next server, as the first failed to report", h.probes)
	}
	b.Probed(2*ms, h.probes[1], true, Load{Has: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.probes[1] {
		t.Fatalf("sends %v, want one to the server that has capacity", h.sends)
	}
}

// Guards against a day of broken connections on which probes failed too: a failed probe of every server caused requests
// to be refused for a quarter of a second although no request was in flight.
func TestFailedProbeCountsForAShortTime(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, readyList(1, 2))
	markReportsFresh(b)
	submit(b, 0, 1, idempotentClass)
	for n := 0; n < len(h.probes); n++ {
		b.Probed(ms, h.probes[n], false, Load{})
	}
	sends := len(h.sends)
	submit(b, 60*ms, 2, idempotentClass)
	b.Probed(61*ms, h.probes[len(h.probes)-1], true, Load{Has: HasInFlight})
	if len(h.sends) == sends {
		t.Fatalf("probes %v, sends %v; want the second request sent, as failed probes count for 50 ms", h.probes, h.sends)
	}
}

// Guards against incident i50e019: all balancers received the same stale reports and sent to the server that was idle
// before.
func TestStaleReportsAreNotUsed(t *testing.T) {
	for _, stale := range []bool{false, true} {
		cfg := testConfig()
		cfg.MayProbe, cfg.Reports = true, HasInFlight|HasBusy
		b, h := start(t, cfg, readyList(1, 2, 3))
		seen := 0
		for now := time.Duration(0); now < 3*time.Second; now += 10 * ms {
			b.Wake(now)
			for ; seen < len(h.probes); seen++ {
				l := Load{Has: cfg.Reports, InFlight: 1, Busy: now.Seconds()}
				if stale {
					l.Busy = 0.5
				}
				b.Probed(now, h.probes[seen], true, l)
			}
		}
		n := len(h.probes)
		submit(b, 4*time.Second, 1, idempotentClass)
		if probed := len(h.probes) > n; probed == stale {
			t.Errorf("stale reports %v: server probed before the send: %v, want the opposite", stale, probed)
		}
	}
}

// Guards against incident i85adde: failed probes say nothing about reports, and the comparison of reports never ended.
func TestComparingReportsEndsWhereProbesFail(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, readyList(1, 2, 3))
	seen := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.Wake(now)
		for ; seen < len(h.probes); seen++ {
			b.Probed(now, h.probes[seen], false, Load{})
		}
	}
	if len(h.probes) > 8 {
		t.Fatalf("%d probes without an answer in 10 s, want at most 8", len(h.probes))
	}
}

// Guards against a burst of one tenant (scenario toowoomba-hives-later): in a short arc, probes find every server full,
// and requests are sent to the full servers nevertheless.
func TestArcsAreLongerWhereReportsAreFresh(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers, cfg.Tenants = 10, []Tenant{{Share: 1, Quota: 40}}
	cfg.MayProbe, cfg.Reports = true, HasInFlight|HasBusy
	b, h := start(t, cfg, readyList(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	for id := range RequestID(12) { // 12 requests in the first second
		submit(b, time.Duration(id)*80*ms, 100+id, idempotentClass)
		end(b, time.Duration(id)*80*ms, 100+id, 0, Served)
	}
	short := len(b.arc)
	for seen, now := 0, time.Duration(0); now < time.Second; now += 10 * ms {
		b.Wake(now)
		for ; seen < len(h.probes); seen++ {
			b.Probed(now, h.probes[seen], true, Load{Has: cfg.Reports, InFlight: 1, Busy: now.Seconds()})
		}
	}
	submit(b, time.Second, 1, idempotentClass)
	if len(b.arc) < 2*short {
		t.Fatalf("arc of %d servers where reports are fresh, want at least twice the %d servers before", len(b.arc), short)
	}
}

// Guards against probes that cost too much in a fleet of eighty (scenario herd+vast): a probe for each request, at a
// price of 0.08 each, took a tenth of the value of all requests. A balancer that may not probe gives turns to few
// servers; otherwise it learns of a silent server only after each server had a request.
func TestExpensiveProbesAreNotSentAndArcsAreShort(t *testing.T) {
	arc := make(map[float64]int)
	for _, price := range []float64{0.004, 0.08} {
		cfg := testConfig()
		cfg.MayProbe, cfg.Reports, cfg.ProbePrice = true, HasInFlight, price
		cfg.Tenants = []Tenant{{Share: 1, Quota: 40}}
		b, h := start(t, cfg, readyList(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
		for now := time.Duration(0); now < time.Second; now += 20 * ms {
			b.Wake(now)
			submit(b, now, RequestID(now/ms)+1, idempotentClass)
			end(b, now+10*ms, RequestID(now/ms)+1, 0, Served)
		}
		if sent := len(h.probes) > 0; sent != (price < 0.01) {
			t.Errorf("%d probes at a price of %v, want probes only below a price of 0.01", len(h.probes), price)
		}
		arc[price] = len(b.arc)
	}
	if arc[0.08] > arc[0.004]*2/3 {
		t.Errorf("servers in the arc by probe price: %v, want at most 2/3 as many at 0.08 as at 0.004", arc)
	}
}

// Guards against servers that are slow or silent for long (scenario zone+vast). Where probes are expensive, a suspect
// server is probed at its turn and loses the turn if it is full; other servers receive requests without a probe.
func TestOnlySuspectServersAreProbedWhereProbesAreExpensive(t *testing.T) {
	for _, full := range []bool{false, true} {
		cfg := testConfig()
		cfg.MayProbe, cfg.Reports, cfg.ProbePrice = true, HasInFlight, 0.08
		b, h := start(t, cfg, readyList(1, 2, 3))
		for _, s := range b.servers {
			s.nextTurn = float64(s.ID)
		}
		b.server(1).slowness, b.server(1).nextTurn = 4, 0
		submit(b, 10*ms, 1, idempotentClass)
		if len(h.probes) != 1 || h.probes[0] != 1 || len(h.sends) != 0 {
			t.Fatalf("probes %v, sends %v; want a probe of the suspect server 1 before any send", h.probes, h.sends)
		}
		serverLoad := 0.0
		if full {
			serverLoad = 20
		}
		b.Probed(11*ms, 1, true, Load{Has: HasInFlight, InFlight: serverLoad})
		submit(b, 12*ms, 2, idempotentClass)
		if n := h.sentTo(1); len(h.sends) != 2 || (n > 0) == full || len(h.probes) != 1 {
			t.Errorf("suspect server full: %v, sends %v, probes %v; want 1 probe, and sends to it only if not full",
				full, h.sends, h.probes)
		}
	}
}

// Guards against a request that waits for a silent server until the answer has no value (scenario zone+vast). Where
// servers are not probed, an attempt times out while a retry can still be answered in time, unless its request may not
// be repeated or no other server is left.
func TestUnprobedAttemptTimesOutInTimeForARetry(t *testing.T) {
	cfg := testConfig()
	cfg.ProbePrice = 0.08
	list := readyList(1, 2, 3)
	list[2].Cell = 7
	for _, c := range []struct {
		class  int
		list   []Server
		sooner bool
	}{
		{idempotentClass, list, true}, {dedupCell, list[:2], true}, {nonIdempotentClass, list, false},
		{idempotentClass, list[:1], false}, {dedupCell, list[1:], false},
	} {
		b, h := start(t, cfg, c.list)
		submit(b, 0, 1, c.class)
		if got := h.sends[0].timeout; (got < time.Second) != c.sooner || got < time.Second/2 {
			t.Errorf("class %d, %d servers: attempt times out after %v of 1 s", c.class, len(c.list), got)
		}
		first := h.sends[0].to
		end(b, h.sends[0].timeout, 1, 0, TimedOut)
		if retried := len(h.sends) == 2; retried != c.sooner || retried && h.sends[1].to == first {
			t.Errorf("class %d, %d servers: sends %v after the time-out", c.class, len(c.list), h.sends)
		}
	}
}
