package policy

import (
	"math"
	"testing"
	"time"
)

// Guards against a thousand sidecars that all start with the heaviest servers (scenario toowoomba-hives: the same
// servers were slow for all sidecars within 1.3 s). First turns must spread over the servers in proportion to weight.
func TestFirstTurnsSpreadOverTheServers(t *testing.T) {
	const balancers, servers = 1200, 60
	sent := map[ServerID]int{}
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	for n := range balancers {
		cfg.Index = n
		list := readyList()
		for id := range ServerID(servers) {
			list = append(list, Server{ID: id * 7, State: Ready, Weight: 1 + 2*float64(id%2)})
		}
		b, h := startSeeded(t, cfg, uint64(n), list)
		submit(b, 0, 1, idempotentClass)
		sent[h.sends[0].to]++
	}
	light, heavy, largest := 0, 0, 0
	for id := range ServerID(servers) {
		n := sent[id*7]
		largest = max(largest, n)
		if id%2 == 0 {
			light += n
		} else {
			heavy += n
		}
	}
	// An even spread has 300 first sends to the light servers, and 30 to each heavy server.
	if light < balancers/6 || light > balancers/3 || largest > 60 {
		t.Fatalf("first sends: %d to light servers, %d to heavy servers, most to one server %d; want about 300, 900, 30",
			light, heavy, largest)
	}
}

// Guards against a sidecar of little traffic that gives turns to all servers: it keeps connections to all of them and
// learns too late that a server hangs. All sidecars together must still load the servers evenly.
func TestArcsFollowTrafficAndCoverTheList(t *testing.T) {
	const balancers, servers = 600, 100
	coverage := map[ServerID]float64{} // by server: the sum of its shares in the balancers' arcs
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
		// 9 requests per second feed 9 servers a turn each second; of the arc lengths 3, 6, 12 and so on, 12 is chosen.
		if got := len(b.arc); got < 12 || got > 13 {
			t.Fatalf("arc of %d servers, want 12, and one more if parts of servers lie at its ends", got)
		}
		for _, s := range b.arc {
			coverage[s.ID] += s.arcShare
		}
	}
	for id, n := range coverage {
		if n < 71 || n > 73 { // 600 arcs of 12 servers cover each of 100 servers 72 times
			t.Errorf("server %d lies in %v arcs, want 72", id, n)
		}
	}
	if len(coverage) != servers {
		t.Errorf("the arcs cover %d servers, want all", len(coverage))
	}
	b, _ := start(t, cfg, readyList(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	for i := range 1200 { // 100 requests per second, about ten times as many
		submit(b, time.Duration(i)*10*ms, RequestID(i), idempotentClass)
		end(b, time.Duration(i)*10*ms+5*ms, RequestID(i), 0, Served)
	}
	if got := len(b.arc); got != 20 {
		t.Fatalf("arc of a balancer with high traffic has %d of 20 servers, want all", got)
	}
}

// Guards against hundreds of sidecars that together overload a restarted server within a second of its listing, as each
// may send it a first request at once (scenario delta-rounds): rule 4.
func TestManyBalancersTogetherDoNotOverloadAServerInSlowStart(t *testing.T) {
	const balancers, servers = 400, 40
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	cfg.Tenants = []Tenant{{Share: 1, Quota: 4 * balancers}}
	var times []time.Duration
	for n := range balancers {
		cfg.Index = n
		list := readyList()
		for id := range ServerID(servers) {
			list = append(list, Server{ID: id, State: Ready, Weight: 1})
		}
		b, h := startSeeded(t, cfg, uint64(n), list)
		for id := range ServerID(servers) {
			if id != 5 {
				b.server(id).nextTurn = math.Inf(1) // as if the others were down: server 5 always has the turn
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
	// The server's capacity is 40 requests per second after slow start and 0.3 of that at first. It fails if it is sent
	// more than three times its capacity within a second.
	for from := 10 * time.Second; from < 13*time.Second; from += 100 * ms {
		got := 0
		for _, at := range times {
			if at >= from && at < from+time.Second {
				got++
			}
		}
		warmth := 0.3 + 0.7*(from-10*time.Second).Seconds()/8
		if most := 3 * 40 * warmth; float64(got) > most {
			t.Fatalf("%d sends to the server in slow start in the second from %v, want at most %.0f", got, from, most)
		}
	}
	if len(times) < 20 {
		t.Fatalf("%d sends to the server in slow start, want at least 20 for the test to be valid", len(times))
	}
}

// Guards against floods of probes, timers or list calls, and against unanswered requests, with lists and fleets of
// unplanned sizes: ten thousand servers, fleets of 1 and of 100,000 balancers, and a cached list that is out of date.
func TestListsAndFleetsOfAnySizeCauseNoFlood(t *testing.T) {
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
			ended := 0
			endAttempts := func(now time.Duration, e Ending) {
				for ; ended < len(h.sends); ended++ {
					n := 0
					for _, s := range h.sends[:ended] {
						if s.id == h.sends[ended].id {
							n++
						}
					}
					end(b, now, h.sends[ended].id, n, e)
				}
				for _, to := range h.probes {
					b.Probed(now, to, e == Served, Load{Has: HasInFlight})
				}
				h.probes = h.probes[:0]
			}
			const requestCount = 200
			probes, id := 0, RequestID(0)
			for now := time.Duration(0); now < 12*time.Second; now += 10 * ms {
				if now == 6*time.Second {
					b.List(now, ListFull, list)
				}
				b.Wake(now)
				if now%(60*ms) == 0 && id < requestCount {
					id++
					submit(b, now, id, idempotentClass)
				}
				probes += len(h.probes)
				e := NoConnection // all servers of the cached list are down
				if now >= 6*time.Second {
					e = Served
				}
				for range 4 {
					endAttempts(now, e)
				}
			}
			if h.listCalls < 1 || h.listCalls > 8 || probes > 5*requestCount ||
				len(h.sends) > requestCount*cfg.MaxAttempts || len(h.wakes) > 12*250 {
				t.Errorf("%d balancers, probe price %v: %d list calls, %d probes, %d sends, %d timers; want few of each",
					balancers, price, h.listCalls, probes, len(h.sends), len(h.wakes))
			}
			if len(b.requests) > 0 {
				t.Errorf("%d balancers, probe price %v: %d requests left unanswered", balancers, price, len(b.requests))
			}
			if last := h.sends[len(h.sends)-1]; last.to <= 20_000 {
				t.Errorf("%d balancers, probe price %v: last send goes to a deregistered server", balancers, price)
			}
		}
	}
}

// More balancers than configured lower the limits of each balancer; fewer do not raise them.
func TestMoreBalancersThanConfiguredLowerTheLimits(t *testing.T) {
	cfg := testConfig()
	cfg.Slots, cfg.Balancers = 0, 10
	seen := 0
	cfg.FleetSize = func() int { return seen }
	b, _ := start(t, cfg, readyList(1))
	now := time.Duration(0)
	sizes := func(n int) (slots int, gap time.Duration) {
		seen = n
		now += time.Second
		b.Wake(now)
		return b.slots, b.slowStartGap(0, b.servers[0])
	}
	slots, gap := sizes(10)
	if s, g := sizes(3); s != slots || g != gap {
		t.Errorf("3 balancers seen of 10: %d slots, slow-start gap %v; want %d and %v, as with all seen", s, g, slots, gap)
	}
	s, g := sizes(100)
	if s >= slots || g < 9*gap {
		t.Errorf("100 balancers seen of 10: %d slots, slow-start gap %v; want fewer than %d, and at least 9 times %v",
			s, g, slots, gap)
	}
	if s, g := sizes(5); s != slots || g != gap {
		t.Errorf("5 balancers seen after 100: %d slots, slow-start gap %v; want the same as before", s, g)
	}
}
