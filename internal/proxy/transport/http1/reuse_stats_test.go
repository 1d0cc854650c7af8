package http1

import (
	"testing"
	"time"
)

// Guards against a server that closes some time after its answer, and one (or a machine between) that forgets
// connections which rested for longer: what is written meanwhile may have run for all that can be proved. Of the
// connections that are kept the age is taken at which fewest broke.
func TestConnectionsAreReusedAtTheAgeAtWhichFewestBreak(t *testing.T) {
	var own, all reuseStats
	for range 40 {
		for age, broke := range map[time.Duration]bool{
			12 * time.Millisecond: true, 50 * time.Millisecond: false, 300 * time.Millisecond: true,
		} {
			own.record(ageBucket(age), broke)
			all.record(ageBucket(age), broke)
		}
		own.record(newConnBucket, false)
		all.record(newConnBucket, false)
	}
	rested := []time.Duration{310 * time.Millisecond, 52 * time.Millisecond, 50 * time.Millisecond, 12 * time.Millisecond}
	if at := chooseByBreakRate(&own, &all, rested); at != 1 {
		t.Errorf("taken %d of %v, want the one of 52 ms", at, rested)
	}
	if at := chooseByBreakRate(&own, &all, rested[:1]); at != -1 {
		t.Error("one that as good as always breaks is taken, and not a new one")
	}
	if at := chooseByBreakRate(new(reuseStats), &all, rested); at != 1 {
		t.Errorf("a server that nothing is known of: taken %d, want what holds for all", at)
	}
	if at := chooseByBreakRate(new(reuseStats), new(reuseStats), rested); at != 0 {
		t.Errorf("nothing is known: taken %d, want the longest rested one", at)
	}
}

// Ages grow with their buckets, and none is outside.
func TestBucketsAreInOrder(t *testing.T) {
	before := 0
	for age := time.Duration(0); age < time.Minute; age += time.Millisecond {
		b := ageBucket(age)
		if b < before || b > before+1 || b >= ageBuckets {
			t.Fatalf("%v is in bucket %d, a millisecond less in %d", age, b, before)
		}
		before = b
	}
}
