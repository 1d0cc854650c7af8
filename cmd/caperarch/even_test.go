package main

import (
	"math"
	"testing"
	"time"

	"caperarch/internal/lab/loadspread"
	"caperarch/internal/lab/testbed"
	"caperarch/internal/lab/testbed/fleet"
)

// evenFleet is a few processes before a few light upstreams, which all have the same to do; each upstream is in
// half of the arcs.
func evenFleet(t *testing.T, peers fleet.Faults) *fleet.Fleet {
	f := startFleet(t, fleet.Config{Size: 9, Nodes: 12, Direct: true, Edit: func(_, settings map[string]any) {
		for _, org := range settings["orgs"].([]any) {
			org.(map[string]any)["quota_per_s"] = 9.0 * evenEach / 2
		}
	}})
	f.Peers.Break(peers, 1)
	return f
}

const evenEach = 6.0 // requests a second of each, so an arc of 6

// spreadOver measures the spread of so many seconds from now on; the load has run before.
func spreadOver(f *fleet.Fleet, d time.Duration, stop func()) loadspread.Spread {
	from := time.Now()
	time.Sleep(d)
	stop()
	weights := make([]float64, len(f.Nodes))
	for i := range weights {
		weights[i] = 1
	}
	return loadspread.Measure(f.Arrivals(from), weights, 0, d, d)
}

func steadily(int, time.Duration) float64 { return evenEach }

// Guards against a gap that stays in the fleet's spread: three of nine sidecars that lie side by side are
// killed, over lossy and late datagrams between the others. Who lives takes the places anew, evenly; by the
// numbers in the settings alone the upstreams in the gap would have half of the others' load.
func TestSpreadIsEvenAmongThoseThatLive(t *testing.T) {
	t.Parallel()
	f := evenFleet(t, fleet.Faults{Loss: 0.1, Duplicate: 0.1, Delay: 100 * time.Millisecond})
	f.RequireAgreement(testbed.MaxWait)
	stop := f.Streams(1, steadily)
	for _, i := range []int{5, 2, 7} { // neighbours, as the golden ratio's multiples of 0, 5, 2, 7, 4, 1, 6, 3, 8 rise
		f.Sidecars[i].Crash()
	}
	t.Logf("agreed after %v", f.RequireAgreement(testbed.MaxWait))
	s := spreadOver(f, 15*time.Second, stop)
	t.Logf("%+v", s)
	if s.Greatest > 1.3 || s.Variance > 1.2 {
		t.Errorf("among those that live: greatest over mean %.2f, variance over mean %.2f", s.Greatest, s.Variance)
	}
	if _, broken := f.Check(); len(broken) > 0 {
		t.Errorf("rules: %v", broken)
	}
}

// What is known of others is no condition, and makes nothing worse: with the peers cut in two, each side goes
// on as well as it knows, and those out of contact go by the settings.
func TestSpreadWithoutContact(t *testing.T) {
	t.Parallel()
	f := evenFleet(t, fleet.Faults{})
	f.RequireAgreement(testbed.MaxWait)
	stop := f.Streams(2, steadily)
	f.Peers.Break(fleet.Faults{Cut: func(from, to int) bool { return (from < 4) != (to < 4) }}, 1)
	testbed.Until(t, "the minority to know that it is out of contact", func() bool {
		v, ok := f.Sidecars[0].View()
		return ok && !v.Contact
	})
	time.Sleep(3 * time.Second)
	s := spreadOver(f, 10*time.Second, stop)
	t.Logf("%+v", s)
	if s.Greatest > 1.5 || math.IsNaN(s.Variance) {
		t.Errorf("cut in two: greatest over mean %.2f", s.Greatest)
	}
	if _, broken := f.Check(); len(broken) > 0 {
		t.Errorf("rules: %v", broken)
	}
}
