package emulator

import (
	"testing"
	"time"

	"caperarch/policy"
)

// Guards against walls that add up: each sidecar of a fleet holds little, all of them more than the
// servers bear, and a burst of half as much again leaves servers tipped for the rest of the day.
// Seeds draw the deployment. Of the second, where servers tip soonest, walls of each sidecar alone
// had 0.636 of the worth in time, with all 40 servers tipped.
func TestABurstLeavesTheFleetStanding(t *testing.T) {
	bounds := map[uint64]struct {
		inTime float64
		tipped int
	}{1: {0.95, 2}, 2: {0.75, 22}, 3: {0.95, 2}}
	for seed, want := range bounds {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			m := CalmMass
			m.Sidecars, m.Servers = 60, 40
			o, err := m.Run(seed)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			t.Logf("seed %d: %.3f in time, %d tipped", seed, o.InTime, o.Tipped)
			if o.InTime < want.inTime || o.Tipped > want.tipped {
				t.Errorf("seed %d: %.3f in time, %d tipped; want %.2f and %d", seed, o.InTime, o.Tipped,
					want.inTime, want.tipped)
			}
		})
	}
}

// Guards against figures of the emulator that nobody can trust: a server that is crowded tips,
// works slower for as long as it has work, and is well again once it has rested.
func TestACrowdedServerTipsUntilItRests(t *testing.T) {
	m := CalmMass
	m.Sidecars, m.Servers, m.Burst, m.Shift = 2, 1, 0, false
	c := m.Config(1)
	f, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	n := f.nodes[0]
	speed := n.speed()
	crowd := n.spec.Overload
	for range int(crowd.Most) + 4 {
		n.take(10, func(policy.Ending) {})
	}
	held := append(n.running[:len(n.running):len(n.running)], n.waiting...)
	f.clock.RunTo(f.clock.Now + 6*crowd.Over)
	n.updateOverload()
	if !n.overloaded || n.speed() > 0.6*speed {
		t.Fatalf("holds %d where %.1f is the most: tipped %v, speed %.2f of %.2f", len(held), crowd.Most,
			n.overloaded, n.speed(), speed)
	}
	f.clock.RunTo(f.clock.Now + crowd.Rest)
	if !n.overloaded {
		t.Fatal("is well though it never rested")
	}
	for _, j := range held {
		j.giveUp()
	}
	f.clock.RunTo(f.clock.Now + crowd.Rest + time.Second)
	if n.overloaded || n.speed() != speed {
		t.Fatal("is not well though it rested")
	}
}
