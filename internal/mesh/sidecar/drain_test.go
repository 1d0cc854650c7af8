package sidecar

import (
	"testing"
	"time"
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
