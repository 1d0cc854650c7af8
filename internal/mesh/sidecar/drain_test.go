package sidecar

import (
	"testing"
	"time"

	fronthttp1 "caperarch/internal/proxy/front/http1"
)

// A process that is asked to stop ends within its grace period, and uses most of a usual one.
func TestDrainTimesFitTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{
		1600 * time.Millisecond, 2 * time.Second, 3 * time.Second, 6 * time.Second, time.Minute,
	} {
		linger, longest := drainTimes(grace)
		if sum := linger + longest + shutdownReserve; sum > grace || linger < grace/3 {
			t.Errorf("of %v: linger %v, longest %v, reserve %v", grace, linger, longest, shutdownReserve)
		}
	}
	if linger, longest := drainTimes(6 * time.Second); linger+longest != 4500*time.Millisecond {
		t.Errorf("of 6s: linger %v and longest %v, want 4.5s together", linger, longest)
	}
}

// What is in flight is not cut before the last sixth of the grace period, whatever that is: a request that
// was sent before the stop, or soon after it, has that long.
func TestDrainIsNotCutBeforeLastSixth(t *testing.T) {
	for grace := 2 * time.Second; grace <= 2*time.Minute; grace += 100 * time.Millisecond {
		linger, longest := drainTimes(grace)
		cut := (linger + longest + fronthttp1.DrainMargin).Round(time.Millisecond)
		if lastSixth := (grace - grace/6).Round(time.Millisecond); cut < lastSixth {
			t.Errorf("of %v: requests are cut after %v", grace, cut)
		}
	}
}
