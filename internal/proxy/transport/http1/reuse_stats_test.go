package http1

import (
	"testing"
	"time"
)

// Connections are reused at the idle time after which they break least often. Guards against a server that closes
// connections some time after a response, and against a server or middlebox that drops connections after a longer idle
// time. A request that is written to such a connection may have been processed.
func TestConnectionReuseByBreakRate(t *testing.T) {
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
	idleTimes := []time.Duration{
		310 * time.Millisecond, 52 * time.Millisecond, 50 * time.Millisecond, 12 * time.Millisecond,
	}
	if at := chooseByBreakRate(&own, &all, idleTimes); at != 1 {
		t.Errorf("connection %d of %v was chosen, want the connection that was idle for 52 ms", at, idleTimes)
	}
	if at := chooseByBreakRate(&own, &all, idleTimes[:1]); at != -1 {
		t.Error("a connection with a high break rate was chosen, want a new connection")
	}
	if at := chooseByBreakRate(new(reuseStats), &all, idleTimes); at != 1 {
		t.Errorf("for a server without statistics connection %d was chosen, want 1 by the transport's statistics", at)
	}
	if at := chooseByBreakRate(new(reuseStats), new(reuseStats), idleTimes); at != 0 {
		t.Errorf("without any statistics connection %d was chosen, want 0, which was idle for longest", at)
	}
}

// The bucket numbers increase with the idle time without gaps and are less than ageBuckets.
func TestBucketsAreInOrder(t *testing.T) {
	before := 0
	for age := time.Duration(0); age < time.Minute; age += time.Millisecond {
		b := ageBucket(age)
		if b < before || b > before+1 || b >= ageBuckets {
			t.Fatalf("idle time %v is in bucket %d, and the idle time 1 ms shorter is in bucket %d", age, b, before)
		}
		before = b
	}
}
