package emulator

import (
	"testing"
	"time"

	"caperarch/policy"
)

// Guards against concurrency limits that add up. Each sidecar alone has few requests in flight, but all sidecars
// together have more than the servers can handle. Without a limit over the whole fleet, a burst to 1.5 times the usual
// rate leaves servers overloaded for the rest of the run. The seed draws the deployment. The second seed draws the
// deployment whose servers become overloaded soonest: with limits in each sidecar alone, answers in time earned 0.636 of
// the value, and all 40 servers were overloaded.
func TestFleetRecoversFromBurst(t *testing.T) {
	bounds := map[uint64]struct {
		inTime float64
		tipped int
	}{1: {0.95, 2}, 2: {0.75, 22}, 3: {0.95, 2}}
	for seed, want := range bounds {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			m := CalmLargeFleet
			m.Sidecars, m.Servers = 60, 40
			o, err := m.Run(seed)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			t.Logf("seed %d: %.3f in time, %d overloads", seed, o.InTime, o.Tipped)
			if o.InTime < want.inTime || o.Tipped > want.tipped {
				t.Errorf("seed %d: %.3f in time, %d overloads; want at least %.2f and at most %d",
					seed, o.InTime, o.Tipped,
					want.inTime, want.tipped)
			}
		})
	}
}

// The results of the emulator depend on its model of overload: a server with too many requests becomes overloaded, is
// slower as long as it has work, and recovers after a rest.
func TestOverloadedServerRecoversAfterRest(t *testing.T) {
	m := CalmLargeFleet
	m.Sidecars, m.Servers, m.Burst, m.Shift = 2, 1, 0, false
	c := m.Config(1)
	f, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	n := f.nodes[0]
	speed := n.speed()
	overload := n.spec.Overload
	for range int(overload.Most) + 4 {
		n.accept(10, func(policy.Ending) {})
	}
	jobs := append(n.running[:len(n.running):len(n.running)], n.waiting...)
	f.clock.RunTo(f.clock.Now + 6*overload.Over)
	n.updateOverload()
	if !n.overloaded || n.speed() > 0.6*speed {
		t.Fatalf("%d requests with an overload threshold of %.1f: overloaded %v, speed %.2f of %.2f",
			len(jobs), overload.Most,
			n.overloaded, n.speed(), speed)
	}
	f.clock.RunTo(f.clock.Now + overload.Rest)
	if !n.overloaded {
		t.Fatal("the server recovered without a rest")
	}
	for _, j := range jobs {
		j.cancel()
	}
	f.clock.RunTo(f.clock.Now + overload.Rest + time.Second)
	if n.overloaded || n.speed() != speed {
		t.Fatal("the server did not recover after a rest")
	}
}
