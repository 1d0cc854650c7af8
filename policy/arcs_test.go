package policy

import (
	"math"
	"testing"
	"time"
)

// Whatever the list and the settings say, requests go out, and no ready server that should have turns is
// passed over for good: weights that are no weights, few servers or very many, a number of balancers that is
// far from true, a number outside it, two of one number.
func TestArcsOfBadInputStillServe(t *testing.T) {
	odd := func(i int) float64 { return []float64{0, 1e-9, 1e9, math.NaN(), math.Inf(1), -1, 1, 2}[i%8] }
	plain := func(int) float64 { return 1 }
	for name, c := range map[string]struct {
		balancers, index, servers int
		weight                    func(int) float64
		starved                   int // servers at most that all indices together leave without a request
	}{
		"one server":                 {300, 7, 1, plain, 0},
		"ten thousand":               {300, 7, 10_000, plain, 10_000},
		"one balancer":               {1, 0, 20, plain, 0},
		"a hundred thousand":         {100_000, 99_999, 20, plain, 20},
		"ten times too many":         {400, 39, 20, plain, 0},
		"ten times too few":          {4, 39, 20, plain, 0},
		"a number outside":           {40, 1 << 30, 20, plain, 20},
		"weights that are none":      {40, 3, 24, odd, 24},
		"weights that are none, few": {40, 3, 3, odd, 3},
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
			if c.starved == 0 { // all forty that there truly are
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
				t.Errorf("%d of %d servers had a request", len(reached), c.servers)
			}
		})
	}
}

// Two balancers of one number send to the same servers; a restart, or a list in another order, changes
// nothing of the arc.
func TestArcDependsOnTheNumberAlone(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers, cfg.Index, cfg.Tenants = 40, 11, []Tenant{{Share: 1, Quota: 240}}
	var list, turned []Server
	for i := range 30 {
		list = append(list, Server{ID: ServerID(i + 1), State: Ready, Weight: 1})
		turned = append([]Server{list[i]}, turned...)
	}
	a, _ := start(t, cfg, list)
	b, _ := start(t, cfg, turned)
	if len(a.arc) != len(b.arc) || len(a.arc) < minArcServers {
		t.Fatalf("arcs of %d and %d", len(a.arc), len(b.arc))
	}
	for i := range a.arc {
		if a.arc[i].ID != b.arc[i].ID || a.arc[i].arcShare != b.arc[i].arcShare {
			t.Errorf("server %x, %v against %x, %v", a.arc[i].ID, a.arc[i].arcShare, b.arc[i].ID, b.arc[i].arcShare)
		}
	}
}

// Config.ArcStart moves the arc, and keeps what is known of servers in both arcs; an invalid value is ignored.
func TestArcStartMovesTheArc(t *testing.T) {
	cfg := testConfig()
	place := 0.5
	cfg.Balancers, cfg.Tenants, cfg.ArcStart = 40, []Tenant{{Share: 1, Quota: 240}}, func() float64 { return place }
	var list []Server
	for i := range 30 {
		list = append(list, Server{ID: ServerID(i + 1), State: Ready, Weight: 1})
	}
	b, _ := start(t, cfg, list)
	first := func() ServerID { return b.arc[0].ID }
	b.Wake(200 * ms)
	if first() != 16 {
		t.Fatalf("at half of the circle the arc begins with %d", first())
	}
	stays := b.server(18)
	stays.slowness = 3
	place = 0.55
	b.Wake(400 * ms)
	if first() != 17 || b.server(18).slowness != 3 || b.server(16).inArc {
		t.Errorf("the arc begins with %d, strain %v", first(), b.server(18).slowness)
	}
	for _, bad := range []float64{math.NaN(), -0.1, 1, math.Inf(1)} {
		place = bad
		b.Wake(600 * ms)
		if first() != 17 {
			t.Errorf("with ArcStart %v the arc begins with %d", bad, first())
		}
	}
}
