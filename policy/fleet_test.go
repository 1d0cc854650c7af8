package policy

import (
	"math"
	"testing"
	"time"
)

// Guards against a thousand sidecars that all begin with the heaviest servers (toowoomba-hives: the same
// servers slow everywhere within 1.3 s): their first turns must spread by weight, and each server's too.
func TestFirstTurnsSpreadOverTheServers(t *testing.T) {
	const balancers, servers = 1200, 60
	sent := map[ServerID]int{}
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	for n := range balancers {
		cfg.Index = n
		list := ready()
		for id := range ServerID(servers) {
			list = append(list, Server{ID: id * 7, State: Ready, Weight: 1 + 2*float64(id%2)})
		}
		b, h := startSeeded(t, cfg, uint64(n), list)
		submit(b, 0, 1, idempotentClass)
		sent[h.sends[0].to]++
	}
	light, heavy, most := 0, 0, 0
	for id := range ServerID(servers) {
		n := sent[id*7]
		most = max(most, n)
		if id%2 == 0 {
			light += n
		} else {
			heavy += n
		}
	}
	if light < balancers/6 || light > balancers/3 || most > 60 { // even parts: 300 to the light ones, 30 to a heavy one
		t.Fatalf("first sends: %d to light servers, %d to heavy ones, at most %d to one", light, heavy, most)
	}
}

// Guards against a light sidecar that takes turns among all servers, keeps connections to all of them and
// never learns of a hung one. Together the sidecars still load all servers evenly.
func TestArcsFollowTrafficAndCoverTheList(t *testing.T) {
	const balancers, servers = 600, 100
	cover := map[ServerID]float64{}
	cfg := testConfig()
	cfg.Balancers = balancers
	cfg.Tenants = []Tenant{{Share: 1, Quota: 9 * balancers}}
	for n := range balancers {
		cfg.Index = n
		var list []Server
		for id := range ServerID(servers) {
			list = append(list, Server{ID: id, State: Ready, Weight: 1})
		}
		b, _ := start(t, cfg, list)
		if got := len(b.arc); got < 12 || got > 13 { // 9 requests a second, a turn every second, in steps of two
			t.Fatalf("an arc of %d servers, want 12 and the ends", got)
		}
		for _, s := range b.arc {
			cover[s.ID] += s.arcShare
		}
	}
	for id, n := range cover {
		if n < 71 || n > 73 { // evenly 72
			t.Errorf("server %d lies in %v arcs", id, n)
		}
	}
	if len(cover) != servers {
		t.Errorf("%d servers covered", len(cover))
	}
	b, _ := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	for i := range 1200 { // ten times as much
		submit(b, time.Duration(i)*10*ms, RequestID(i), idempotentClass)
		end(b, time.Duration(i)*10*ms+5*ms, RequestID(i), 0, Served)
	}
	if got := len(b.arc); got != 20 {
		t.Fatalf("a busy balancer keeps to %d of 20 servers", got)
	}
}

// Guards against hundreds of sidecars, each with a first send free, that overload a restarted server within a
// second of its listing (delta-rounds): rule 4.
func TestManyBalancersTogetherSpareAWarmingServer(t *testing.T) {
	const balancers, servers = 400, 40
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	cfg.Tenants = []Tenant{{Share: 1, Quota: 4 * balancers}}
	var times []time.Duration
	for n := range balancers {
		cfg.Index = n
		list := ready()
		for id := range ServerID(servers) {
			list = append(list, Server{ID: id, State: Ready, Weight: 1})
		}
		b, h := startSeeded(t, cfg, uint64(n), list)
		for id := range ServerID(servers) {
			if id != 5 {
				b.server(id).nextTurn = math.Inf(1) // the others are down: all would be sent to the warming one
			}
		}
		b.List(10*time.Second, ListDelta, []Server{{ID: 5, State: Ready, Weight: 1, Started: 10 * time.Second}})
		for i := range 400 {
			now := 10*time.Second + time.Duration(i)*10*ms
			before := h.sentTo(5)
			if i%10 == n%10 {
				submit(b, now, RequestID(i), nonIdempotentClass)
				if last := h.sends[len(h.sends)-1]; last.to != 5 {
					end(b, now, last.id, 0, Served)
				}
			}
			b.Wake(now)
			if h.sentTo(5) > before {
				times = append(times, now)
				end(b, now, RequestID(i), 0, Served)
			}
		}
	}
	// It can do 40 a second when warm, 0.3 of that at first; three times that for a second is the limit.
	for from := 10 * time.Second; from < 13*time.Second; from += 100 * ms {
		got := 0
		for _, at := range times {
			if at >= from && at < from+time.Second {
				got++
			}
		}
		warmth := 0.3 + 0.7*(from-10*time.Second).Seconds()/8
		if most := 3 * 40 * warmth; float64(got) > most {
			t.Fatalf("%d sends to the warming server in the second from %v, at most %.0f", got, from, most)
		}
	}
	if len(times) < 20 {
		t.Fatalf("only %d sends: the test shows nothing", len(times))
	}
}

// Guards against settings and lists far beyond what was planned for: a list of ten thousand servers, a fleet
// of one and of a hundred thousand, a list known at the start that is outdated. No storm of probes, timers or
// calls, and every request has its answer.
func TestListsAndFleetsOfAnySizeCauseNoStorm(t *testing.T) {
	for _, balancers := range []int{1, 80, 100_000} {
		for _, price := range []float64{0, 0.08} {
			cfg := testConfig()
			cfg.Balancers, cfg.ListOnDemand, cfg.ProbePrice, cfg.Slots = balancers, true, price, 0
			cfg.MayProbe, cfg.Reports = true, HasInFlight
			var old, list []Server
			for id := range ServerID(10_000) {
				old = append(old, Server{ID: id + 1, State: Ready, Weight: 1})
				list = append(list, Server{ID: id + 20_001, State: Ready, Weight: 1})
			}
			h := newFakeHost()
			b, err := New(cfg, 1, h)
			if err != nil {
				t.Fatal(err)
			}
			b.Start(0)
			b.List(0, ListCached, old)
			seen := 0
			answer := func(now time.Duration, e Ending) {
				for ; seen < len(h.sends); seen++ {
					n := 0
					for _, s := range h.sends[:seen] {
						if s.id == h.sends[seen].id {
							n++
						}
					}
					end(b, now, h.sends[seen].id, n, e)
				}
				for _, to := range h.probes {
					b.Probed(now, to, e == Served, Load{Has: HasInFlight})
				}
				h.probes = h.probes[:0]
			}
			const asked = 200
			probes, id := 0, RequestID(0)
			for now := time.Duration(0); now < 12*time.Second; now += 10 * ms {
				if now == 6*time.Second {
					b.List(now, ListFull, list)
				}
				b.Wake(now)
				if now%(60*ms) == 0 && id < asked {
					id++
					submit(b, now, id, idempotentClass)
				}
				probes += len(h.probes)
				e := NoConnection // all servers known from before are down
				if now >= 6*time.Second {
					e = Served
				}
				for range 4 {
					answer(now, e)
				}
			}
			if h.listCalls < 1 || h.listCalls > 8 || probes > 5*asked || len(h.sends) > asked*cfg.MaxAttempts || len(h.wakes) > 12*250 {
				t.Errorf("%d balancers, price %v: %d calls, %d probes, %d sends, %d timers",
					balancers, price, h.listCalls, probes, len(h.sends), len(h.wakes))
			}
			if len(b.requests) > 0 {
				t.Errorf("%d balancers, price %v: %d requests without an answer", balancers, price, len(b.requests))
			}
			if late := h.sends[len(h.sends)-1]; late.to <= 20_000 {
				t.Errorf("%d balancers, price %v: still sends to deregistered servers", balancers, price)
			}
		}
	}
}

// More balancers than the settings say lower what each may do, and fewer raise nothing.
func TestMoreBalancersThanConfiguredLowerTheLimits(t *testing.T) {
	cfg := testConfig()
	cfg.Slots, cfg.Balancers = 0, 10
	seen := 0
	cfg.FleetSize = func() int { return seen }
	b, _ := start(t, cfg, ready(1))
	now := time.Duration(0)
	sizes := func(n int) (slots int, gap time.Duration) {
		seen = n
		now += time.Second
		b.Wake(now)
		return b.slots, b.slowStartGap(0, b.servers[0])
	}
	slots, gap := sizes(10)
	if s, g := sizes(3); s != slots || g != gap {
		t.Errorf("3 of 10 seen: %d slots, a gap of %v; as with all seen, %d and %v, is wanted", s, g, slots, gap)
	}
	s, g := sizes(100)
	if s >= slots || g < 9*gap {
		t.Errorf("100 seen where 10 are configured: %d slots, a gap of %v; %d and %v before", s, g, slots, gap)
	}
	if s, g := sizes(5); s != slots || g != gap {
		t.Errorf("back again: %d slots, a gap of %v", s, g)
	}
}
