package emulator

import (
	"slices"
	"testing"
	"time"
)

// large is the fleet of a case four times as large, with so many sidecars, and a price for probes.
func large(sidecars int, price float64) func(*Config) {
	return func(c *Config) {
		one := slices.Clone(c.Servers)
		for range 3 {
			c.Servers = append(c.Servers, one...)
		}
		c.Sidecars, c.Rate, c.Module.ProbePrice = sidecars, 4*c.Rate, price
		c.Module.Tenants = slices.Clone(c.Module.Tenants)
		for i := range c.Module.Tenants {
			c.Module.Tenants[i].Quota *= 4
		}
	}
}

// Guards against looks before each send that cost a fleet more than they bring, and against blind
// turns that learn of silent servers too late: ten of sixty servers are silent for ten seconds,
// under eighty sidecars and under a thousand.
func TestALargeFleetLooksSeldomAndServes(t *testing.T) {
	play := func(t *testing.T, sidecars int, price float64, seed uint64) (probes, inTime float64) {
		c := Case{Name: "silent", Load: 0.55, Until: strainEnds, set: func(f *Fleet, _ *Config) {
			f.At(5*time.Second, func() { f.Set(10, State{Silent: true}) })
		}}
		f := played(t, &c, seed, large(sidecars, price), 16*time.Second)
		asked, requests, earned, worth := 0, 0, 0.0, 0.0
		for _, b := range f.Buckets()[50:150] {
			asked, requests = asked+b.Probes, requests+b.Requests
			earned, worth = earned+b.Earned, worth+b.Value
		}
		return float64(asked) / float64(requests), earned / worth
	}
	for _, sidecars := range []int{80, 1000} {
		mean := 0.0 // of one seed, or of three, it differs by some thousandths with anything that changes
		const seeds = 6
		for seed := range uint64(seeds) {
			probes, inTime := play(t, sidecars, 0.08, seed)
			often, best := play(t, sidecars, 0.004, seed)
			t.Logf("seed %d, %d sidecars: %.2f probes a request and %.3f in time where they are dear, "+
				"%.2f and %.3f where not",
				seed, sidecars, probes, inTime, often, best)
			if mean += inTime / seeds; probes > 0.3 || often < 0.9 || inTime-0.08*probes < best-0.08*often {
				t.Errorf("seed %d, %d sidecars: looks bring less than they cost, or are not made", seed, sidecars)
			}
		}
		if mean < 0.97 {
			t.Errorf("%d sidecars: %.3f in time where looks are dear", sidecars, mean)
		}
	}
}
