package policy

import (
	"testing"
	"time"
)

// Guards against balancers that each keep to their limit and together slow the servers down.
func TestReportedLoadLimitsAttemptsOfTheFleet(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2))
	b.Probed(ms, 1, true, Load{Has: HasInFlight, InFlight: 50})
	b.Probed(ms, 2, true, Load{Has: HasInFlight, InFlight: 0})
	for id := range RequestID(4) {
		submit(b, 2*ms, id, idempotentClass)
	}
	if h.sentTo(1) != 0 || h.sentTo(2) != 4 || len(h.probes) != 0 {
		t.Fatalf("sent %d to the full server, %d probes while reports are fresh", h.sentTo(1), len(h.probes))
	}
	b.Probed(2*ms, 9, true, Load{Has: HasInFlight, InFlight: 1})   // a server not listed
	b.Probed(2*ms, 1, false, Load{Has: HasInFlight, InFlight: -1}) // a failed probe
	b.Probed(2*time.Second, 1, true, Load{Has: HasInFlight, InFlight: 0})
	for id := RequestID(10); id < 12; id++ {
		submit(b, 2*time.Second, id, idempotentClass)
	}
	if h.sentTo(1) == 0 {
		t.Fatal("an old report still bars the server")
	}
}

// Guards against a thousand sidecars of two requests a second (toowoomba-hives): a sidecar's own attempts at
// a server tell nothing of its load, and reports that are fetched in rotation are old when its turn comes.
func TestServerIsProbedFirstWhereItsReportIsOld(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	findFresh(b) // reports were found fresh
	submit(b, 0, 1, idempotentClass)
	if len(h.probes) != 1 || len(h.sends) != 0 {
		t.Fatalf("%d probes, %d sends; want the server whose turn it is probed first", len(h.probes), len(h.sends))
	}
	first := h.probes[0]
	b.Probed(6*ms, first, true, Load{Has: HasInFlight, InFlight: 50})
	if len(h.probes) != 2 || h.probes[1] == first || len(h.sends) != 0 {
		t.Fatalf("probes %v: want the next one probed, as the first is full", h.probes)
	}
	b.Probed(12*ms, h.probes[1], true, Load{Has: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.probes[1] {
		t.Fatalf("sends %v: want one to the server that has capacity", h.sends)
	}
	submit(b, time.Second, 2, idempotentClass)
	for now := time.Second; now < 1200*ms; now += 10 * ms {
		b.Wake(now) // no report comes
	}
	if n := len(h.probes) - 2; n != maxProbes || len(h.sends) != 1 {
		t.Fatalf("%d probes, %d sends; want %d and nothing sent to servers that do not answer or were not probed",
			n, len(h.sends), maxProbes)
	}
	for now := 1200 * ms; now < 3*time.Second; now += 10 * ms {
		b.Wake(now)
	}
	if _, refused := h.refused[2]; !refused {
		t.Fatal("the request was lost")
	}
}

// Guards against a draining server that answers probes with 503 before the list says that it drains: its turn
// stayed the next one, so all requests probed it three times and were refused.
func TestServerThatFailsItsProbeLosesItsTurn(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	findFresh(b) // reports were found fresh
	submit(b, 0, 1, idempotentClass)
	drains := h.probes[0]
	b.Probed(ms, drains, false, Load{})
	if len(h.probes) != 2 || h.probes[1] == drains {
		t.Fatalf("probes %v: want the next one probed, as the first can't report", h.probes)
	}
	b.Probed(2*ms, h.probes[1], true, Load{Has: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.probes[1] {
		t.Fatalf("sends %v: want one to the server that has capacity", h.sends)
	}
}

// Guards against a day of broken connections on which probes failed too: a failed probe of every server had
// requests refused for a quarter of a second although nothing was in flight.
func TestFailedProbeCountsForAShortTime(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2))
	findFresh(b)
	submit(b, 0, 1, idempotentClass)
	for n := 0; n < len(h.probes); n++ {
		b.Probed(ms, h.probes[n], false, Load{})
	}
	sends := len(h.sends)
	submit(b, 60*ms, 2, idempotentClass)
	b.Probed(61*ms, h.probes[len(h.probes)-1], true, Load{Has: HasInFlight})
	if len(h.sends) == sends {
		t.Fatalf("probes %v, sends %v: want the second request sent, as 50 ms later all is new", h.probes, h.sends)
	}
}

// Guards against incident i50e019: all balancers get the same stale reports and send to the server that was idle.
func TestStaleReportsAreNotUsed(t *testing.T) {
	for _, stale := range []bool{false, true} {
		cfg := testConfig()
		cfg.MayProbe, cfg.Reports = true, HasInFlight|HasBusy
		b, h := start(t, cfg, ready(1, 2, 3))
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
		if asked := len(h.probes) > n; asked == stale {
			t.Errorf("stale %v: probed before sending %v", stale, asked)
		}
	}
}

// Guards against incident i85adde: probes that fail show nothing, and reports were compared for ever.
func TestComparingReportsEndsWhereProbesFail(t *testing.T) {
	cfg := testConfig()
	cfg.MayProbe, cfg.Reports = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2, 3))
	seen := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.Wake(now)
		for ; seen < len(h.probes); seen++ {
			b.Probed(now, h.probes[seen], false, Load{})
		}
	}
	if len(h.probes) > 8 {
		t.Fatalf("%d probes, none of which was answered", len(h.probes))
	}
}

// Guards against the burst of one tenant (toowoomba-hives-later): with short arcs probes find every server of
// the arc full, and all send to them all the same.
func TestArcsAreLongerWhereReportsAreFresh(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers, cfg.Tenants = 10, []Tenant{{Share: 1, Quota: 40}}
	cfg.MayProbe, cfg.Reports = true, HasInFlight|HasBusy
	b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	for id := range RequestID(12) { // so many a second
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
		t.Fatalf("an arc of %d, %d before reports were found fresh", len(b.arc), short)
	}
}

// Guards against a fleet of eighty (herd+vast): a probe for each request, at 0.08 each, took a tenth of all
// value. A balancer that may not probe takes turns among few servers, or it learns of a silent one only after
// each has had a request.
func TestExpensiveProbesAreNotSentAndArcsAreShort(t *testing.T) {
	arc := make(map[float64]int)
	for _, price := range []float64{0.004, 0.08} {
		cfg := testConfig()
		cfg.MayProbe, cfg.Reports, cfg.ProbePrice = true, HasInFlight, price
		cfg.Tenants = []Tenant{{Share: 1, Quota: 40}}
		b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
		for now := time.Duration(0); now < time.Second; now += 20 * ms {
			b.Wake(now)
			submit(b, now, RequestID(now/ms)+1, idempotentClass)
			end(b, now+10*ms, RequestID(now/ms)+1, 0, Served)
		}
		if sent := len(h.probes) > 0; sent != (price < 0.01) {
			t.Errorf("%d probes at a price of %v", len(h.probes), price)
		}
		arc[price] = len(b.arc)
	}
	if arc[0.08] > arc[0.004]*2/3 {
		t.Errorf("arcs of %v servers by the price of a probe", arc)
	}
}

// Guards against servers that are slow or silent for long (zone+vast): where probes are expensive, a suspect
// server is probed at its turn, and loses the turn if it is full; the others are sent to without a probe.
func TestOnlySuspectServersAreProbedWhereProbesAreExpensive(t *testing.T) {
	for _, full := range []bool{false, true} {
		cfg := testConfig()
		cfg.MayProbe, cfg.Reports, cfg.ProbePrice = true, HasInFlight, 0.08
		b, h := start(t, cfg, ready(1, 2, 3))
		for _, s := range b.servers {
			s.nextTurn = float64(s.ID)
		}
		b.server(1).slowness, b.server(1).nextTurn = 4, 0
		submit(b, 10*ms, 1, idempotentClass)
		if len(h.probes) != 1 || h.probes[0] != 1 || len(h.sends) != 0 {
			t.Fatalf("probes %v, sends %v: want the suspect one probed first", h.probes, h.sends)
		}
		held := 0.0
		if full {
			held = 20
		}
		b.Probed(11*ms, 1, true, Load{Has: HasInFlight, InFlight: held})
		submit(b, 12*ms, 2, idempotentClass)
		if n := h.sentTo(1); len(h.sends) != 2 || (n > 0) == full || len(h.probes) != 1 {
			t.Errorf("full %v: sends %v, probes %v", full, h.sends, h.probes)
		}
	}
}

// Guards against a request that waits for a silent server until its answer has no value (zone+vast): where
// servers are not probed, an attempt that may be repeated times out while a retry can still be answered; one
// that may not be repeated never does, nor one without another server left.
func TestUnprobedAttemptTimesOutInTimeForARetry(t *testing.T) {
	cfg := testConfig()
	cfg.ProbePrice = 0.08
	list := ready(1, 2, 3)
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
			t.Errorf("class %d of %d servers: called off after %v", c.class, len(c.list), got)
		}
		first := h.sends[0].to
		end(b, h.sends[0].timeout, 1, 0, TimedOut)
		if again := len(h.sends) == 2; again != c.sooner || again && h.sends[1].to == first {
			t.Errorf("class %d of %d servers: sends %v", c.class, len(c.list), h.sends)
		}
	}
}
