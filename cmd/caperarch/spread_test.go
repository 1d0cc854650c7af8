package main

import (
	"math"
	"testing"
	"time"

	"caperarch/internal/lab/loadspread"
	"caperarch/internal/lab/testbed"
	"caperarch/internal/lab/testbed/fleet"
)

// startSpreadFleet starts 9 sidecars and 12 upstreams. Each sidecar sends its requests to an arc of 6 upstreams, so
// each upstream is in half of the arcs. faults apply to the datagrams between the sidecars.
func startSpreadFleet(t *testing.T, faults fleet.Faults) *fleet.Fleet {
	f := startFleet(t, fleet.Config{Size: 9, Nodes: 12, Direct: true, Edit: func(_, settings map[string]any) {
		for _, org := range settings["orgs"].([]any) {
			org.(map[string]any)["quota_per_s"] = 9.0 * requestsPerSecond / 2
		}
	}})
	f.Peers.Break(faults, 1)
	return f
}

const requestsPerSecond = 6.0 // request rate of each sidecar, which results in an arc of 6 upstreams

// measureSpread waits for the duration d under load, stops the load, and returns how evenly the requests of that time
// were spread over the upstreams.
func measureSpread(f *fleet.Fleet, d time.Duration, stop func()) loadspread.Spread {
	from := time.Now()
	time.Sleep(d)
	stop()
	weights := make([]float64, len(f.Nodes))
	for i := range weights {
		weights[i] = 1
	}
	return loadspread.Measure(f.Arrivals(from), weights, 0, d, d)
}

// constantRate is the request rate of each sidecar, independent of the sidecar and the time.
func constantRate(int, time.Duration) float64 { return requestsPerSecond }

// After three of nine sidecars with adjacent arcs are killed, the live sidecars redistribute their arcs evenly,
// although the datagrams between them are lost, duplicated and delayed. If the arcs depended only on the numbers in the
// settings, the upstreams of the killed sidecars would permanently get half of the load of other upstreams.
func TestSpreadIsEvenAmongLiveSidecars(t *testing.T) {
	t.Parallel()
	f := startSpreadFleet(t, fleet.Faults{Loss: 0.1, Duplicate: 0.1, Delay: 100 * time.Millisecond})
	f.RequireAgreement(testbed.MaxWait)
	stop := f.Streams(1, constantRate)
	// The arcs begin at multiples of the golden ratio, whose ascending order is 0, 5, 2, 7, 4, 1, 6, 3, 8. Sidecars 5,
	// 2 and 7 are therefore adjacent.
	for _, i := range []int{5, 2, 7} {
		f.Sidecars[i].Crash()
	}
	t.Logf("views agree after %v", f.RequireAgreement(testbed.MaxWait))
	s := measureSpread(f, 15*time.Second, stop)
	t.Logf("spread %+v", s)
	if s.Greatest > 1.3 || s.Variance > 1.2 {
		t.Errorf("live sidecars: greatest over mean is %.2f, want at most 1.3; variance over mean is %.2f, want at most 1.2",
			s.Greatest, s.Variance)
	}
	if _, violations := f.Check(); len(violations) > 0 {
		t.Errorf("violated rules of request handling: %v", violations)
	}
}

// A network partition between the sidecars does not disturb the spread much: the majority uses the arcs of the sidecars
// that it can reach, and sidecars out of contact use the arcs of the settings.
func TestSpreadDuringPartition(t *testing.T) {
	t.Parallel()
	f := startSpreadFleet(t, fleet.Faults{})
	f.RequireAgreement(testbed.MaxWait)
	stop := f.Streams(2, constantRate)
	f.Peers.Break(fleet.Faults{Cut: func(from, to int) bool { return (from < 4) != (to < 4) }}, 1)
	testbed.Until(t, "the minority to detect that it is out of contact", func() bool {
		v, ok := f.Sidecars[0].View()
		return ok && !v.Contact
	})
	time.Sleep(3 * time.Second)
	s := measureSpread(f, 10*time.Second, stop)
	t.Logf("spread %+v", s)
	if s.Greatest > 1.5 || math.IsNaN(s.Variance) {
		t.Errorf("partition: greatest over mean is %.2f, want at most 1.5", s.Greatest)
	}
	if _, violations := f.Check(); len(violations) > 0 {
		t.Errorf("violated rules of request handling: %v", violations)
	}
}
