package emulator

import (
	"reflect"
	"testing"
	"time"
)

// runCase runs a scenario from a seed up to a time and returns its fleet. It fails the test on a violation. The
// function edit, if not nil, changes the configuration first.
func runCase(t *testing.T, c *Case, seed uint64, edit func(*Config), until time.Duration) *Fleet {
	t.Helper()
	f, err := c.Fleet(seed, edit)
	if err != nil {
		t.Fatal(err)
	}
	f.Start()
	f.Run(until)
	if err := f.Err(); err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	return f
}

// A run must depend on its seed only, and not, for instance, on the order of a map or on a clock.
func TestSameSeedGivesSameRun(t *testing.T) {
	run := func(seed uint64) []Bucket {
		return runCase(t, &Cases[0], seed, func(c *Config) { c.Sidecars = 10 }, 18*time.Second).Buckets()
	}
	first, second := run(3), run(3)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs with the same seed differ")
	}
	if reflect.DeepEqual(first, run(4)) {
		t.Fatal("two seeds give the same run")
	}
}

// In a fleet without faults every request ends exactly once, and nearly all are answered in time.
func TestCalmFleetServesAllRequests(t *testing.T) {
	c := Case{Name: "calm", Load: 0.4, Until: caseEnd, set: func(*Fleet, *Config) {}}
	f := runCase(t, &c, 1, nil, 10*time.Second)
	requests, ended, inTime := 0, 0, 0
	for _, b := range f.Buckets()[:70] {
		requests += b.Requests
		inTime += b.InTime
		ended += b.InTime + b.Late + b.Refused + b.Failed
	}
	if ended != requests || float64(inTime) < 0.99*float64(requests) {
		t.Fatalf("%d requests, %d ended, %d in time; want all ended and 99%% in time", requests, ended, inTime)
	}
}

// Servers must serve nearly their capacity under overload, and not more.
func TestServerThroughputMatchesCores(t *testing.T) {
	c := Case{Name: "over", Load: 1.5, Until: caseEnd, set: func(*Fleet, *Config) {}}
	f := runCase(t, &c, 2, nil, 13*time.Second)
	done, capacity := 0.0, 0.0
	for _, b := range f.Buckets()[20:100] {
		done += float64(b.InTime+b.Late) * (b.Work / float64(max(1, b.Requests)))
		capacity += b.Capacity / 10
	}
	if done > 1.05*capacity || done < 0.5*capacity {
		t.Fatalf("%.1f s of work served with a capacity of %.1f s, want between 0.5 and 1.05 of it", done, capacity)
	}
}
