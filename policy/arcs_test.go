package policy

import (
	"math"
	"testing"
	"time"
)

// Guards against requests that are not sent, and against ready servers that never get a turn, when the list or the
// settings are unusual: invalid weights, very few or very many servers, a configured number of balancers that is ten
// times too large or too small, and an index outside that number.
func TestArcsOfUnusualInputStillServe(t *testing.T) {
	invalid := func(i int) float64 { return []float64{0, 1e-9, 1e9, math.NaN(), math.Inf(1), -1, 1, 2}[i%8] }
	equal := func(int) float64 { return 1 }
	for name, c := range map[string]struct {
		balancers, index, servers int
		weight                    func(int) float64
		starved                   int // most servers that may get no request from any of the tested indices
	}{
		"one server":                       {300, 7, 1, equal, 0},
		"ten thousand servers":             {300, 7, 10_000, equal, 10_000},
		"one balancer":                     {1, 0, 20, equal, 0},
		"a hundred thousand balancers":     {100_000, 99_999, 20, equal, 20},
		"ten times too many balancers":     {400, 39, 20, equal, 0},
		"ten times too few balancers":      {4, 39, 20, equal, 0},
		"index outside the balancers":      {40, 1 << 30, 20, equal, 20},
		"invalid weights":                  {40, 3, 24, invalid, 24},
		"invalid weights, fewer than four": {40, 3, 3, invalid, 3},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Balancers = c.balancers
			cfg.Tenants = []Tenant{{Share: 1, Quota: 8 * float64(c.balancers)}}
			var list []Server
			for i := range c.servers {
				list = append(list, Server{ID: ServerID(i + 1), State: Ready, Weight: c.weight(i)})
			}
			reached := make(map[ServerID]bool)
			from := c.index
			if c.starved == 0 { // the indices of all balancers that exist: forty in two of the cases
				from = 0
			}
			for index := from; index <= c.index; index++ {
				cfg.Index = index
				b, h := start(t, cfg, list)
				const requests = 60
				for id := range RequestID(requests) {
					now := time.Duration(id) * 100 * ms
					submit(b, now, id, idempotentClass)
					if len(h.sends) != int(id)+1 {
						t.Fatalf("request %d of balancer %d was not sent", id, index)
					}
					end(b, now+10*ms, id, 0, Served)
				}
				for _, s := range h.sends {
					reached[s.to] = true
				}
			}
			if c.servers-len(reached) > c.starved {
				t.Errorf("%d of %d servers received requests, want more", len(reached), c.servers)
			}
		})
	}
}

// Two balancers with the same index send to the same servers. Neither a restart nor another order of the list changes
// the arc.
func TestArcDependsOnTheIndexAlone(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers, cfg.Index, cfg.Tenants = 40, 11, []Tenant{{Share: 1, Quota: 240}}
	var list, reversed []Server
	for i := range 30 {
		list = append(list, Server{ID: ServerID(i + 1), State: Ready, Weight: 1})
		reversed = append([]Server{list[i]}, reversed...)
	}
	a, _ := start(t, cfg, list)
	b, _ := start(t, cfg, reversed)
	if len(a.arc) != len(b.arc) || len(a.arc) < minArcServers {
		t.Fatalf("arcs of %d and %d servers, want equal lengths of at least 4", len(a.arc), len(b.arc))
	}
	for i := range a.arc {
		if a.arc[i].ID != b.arc[i].ID || a.arc[i].arcShare != b.arc[i].arcShare {
			t.Errorf("server %x with arc share %v, and with the reversed list server %x with %v at the same position",
				a.arc[i].ID, a.arc[i].arcShare, b.arc[i].ID, b.arc[i].arcShare)
		}
	}
}

// Config.ArcStart moves the arc. Servers that stay in the arc keep their statistics; an invalid value is ignored.
func TestArcStartMovesTheArc(t *testing.T) {
	cfg := testConfig()
	arcStart := 0.5
	cfg.Balancers, cfg.Tenants, cfg.ArcStart = 40, []Tenant{{Share: 1, Quota: 240}}, func() float64 { return arcStart }
	var list []Server
	for i := range 30 {
		list = append(list, Server{ID: ServerID(i + 1), State: Ready, Weight: 1})
	}
	b, _ := start(t, cfg, list)
	first := func() ServerID { return b.arc[0].ID }
	b.Wake(200 * ms)
	if first() != 16 {
		t.Fatalf("with ArcStart 0.5 the arc of 30 servers starts with server %d, want 16", first())
	}
	kept := b.server(18)
	kept.slowness = 3
	arcStart = 0.55
	b.Wake(400 * ms)
	if first() != 17 || b.server(18).slowness != 3 || b.server(16).inArc {
		t.Errorf("with ArcStart 0.55 the arc starts with server %d, want 17; server 18 has slowness %v, want 3",
			first(), b.server(18).slowness)
	}
	for _, invalid := range []float64{math.NaN(), -0.1, 1, math.Inf(1)} {
		arcStart = invalid
		b.Wake(600 * ms)
		if first() != 17 {
			t.Errorf("with the invalid ArcStart %v the arc starts with server %d, want 17", invalid, first())
		}
	}
}
