package emulator

import (
	"cmp"
	"math/rand/v2"
	"time"

	"caperarch/internal/lab/loadspread"
	"caperarch/internal/proxy/subset"
	"caperarch/policy"
)

// SpreadRun is a run that only measures the spread of requests: many sidecars with little traffic each, and servers
// with capacity to spare.
type SpreadRun struct {
	Sidecars, Servers int
	RatePerSidecar    float64 // mean requests per second of a sidecar
	Heavy             bool    // a random tenth of the sidecars has half of the traffic
	Dead              float64 // share of the sidecars, chosen at random, that don't run
	Known             bool    // the other sidecars know which ones don't run
	Wrong             bool    // each sidecar considers another random fifth dead
	Cold              float64 // slow-start overload factor; 0 for 3
	Until             time.Duration
	Event             *SpreadEvent // may be nil

	number map[policy.ServerID]int
	gone   map[int]bool
	rng    *rand.Rand
}

// config draws the configuration of the fleet.
func (d *SpreadRun) config(seed uint64) Config {
	d.rng = rand.New(rand.NewPCG(seed, 6))
	d.number, d.gone = make(map[policy.ServerID]int), make(map[int]bool)
	c := Config{
		Seed: seed, Sidecars: d.Sidecars, Rate: d.RatePerSidecar * float64(d.Sidecars), RoundTrip: time.Millisecond,
		Classes: []Class{{Share: 1, Work: 10 * time.Millisecond}}, Tenants: []Tenant{{Share: 1}},
		Module: policy.Config{
			Classes: []policy.Class{{LatencyTarget: 500 * time.Millisecond, Deadline: time.Second,
				Value: 1, Effect: policy.Idempotent}},
			Tenants:     []policy.Tenant{{Share: 1, Quota: 1.2 * d.RatePerSidecar * float64(d.Sidecars)}},
			MaxAttempts: 3, MayCancel: true, MaxRetryAfter: time.Second, Tick: time.Millisecond,
			SlowStartShare: 0.3, SlowStartTime: SpreadSlowStartTime, SlowStartOverload: cmp.Or(d.Cold, 3),
		},
	}
	for range d.Servers {
		c.Servers = append(c.Servers, Server{Cores: 4, Speed: 1, QueueSlots: 100})
	}
	for range d.Sidecars {
		c.Shares = append(c.Shares, 1)
	}
	if d.Heavy {
		for _, i := range d.rng.Perm(d.Sidecars)[:d.Sidecars/10] {
			c.Shares[i] = 9
		}
	}
	for _, i := range d.rng.Perm(d.Sidecars)[:int(d.Dead*float64(d.Sidecars))] {
		d.gone[i], c.Shares[i] = true, 0
	}
	if d.Known {
		c.ArcStart = func(i int) float64 {
			return subset.ArcStart(i, d.Sidecars, func(j int) bool { return !d.gone[j] })
		}
	}
	if d.Wrong {
		c.ArcStart = func(i int) float64 {
			return subset.ArcStart(i, d.Sidecars, func(j int) bool {
				return rand.New(rand.NewPCG(seed+uint64(i), uint64(j))).IntN(5) > 0
			})
		}
	}
	return c
}

// Run runs the simulation and returns the arrivals at the servers and the weights of the servers. Servers that are
// added during the run are numbered after the first ones.
func (d *SpreadRun) Run(seed uint64) ([]loadspread.Arrival, []float64, error) {
	var all []loadspread.Arrival
	var f *Fleet
	c := d.config(seed)
	c.Arrived = func(sidecar int, to policy.ServerID) {
		n, known := d.number[to]
		if !known {
			n = len(d.number)
			d.number[to] = n
		}
		all = append(all, loadspread.Arrival{At: f.Now(), To: n, From: sidecar})
	}
	if d.Event != nil && d.Event.Times != nil {
		c.Times = func(_ int, now time.Duration) float64 { return d.Event.Times(now) }
	}
	f, err := New(c)
	if err != nil {
		return nil, nil, err
	}
	for i, n := range f.nodes {
		d.number[n.id] = i
	}
	if d.Event != nil {
		d.Event.play(f)
	}
	f.Start()
	f.Run(d.Until)
	weights := make([]float64, len(d.number))
	for i := range weights {
		weights[i] = 1
	}
	return all, weights, f.Err()
}
