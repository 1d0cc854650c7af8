package clock

import (
	"testing"
	"time"
)

func TestClockNeverGoesBack(t *testing.T) {
	c := New()
	last := c.Now()
	if off := last - time.Duration(time.Now().UnixNano()); off > time.Minute || off < -time.Minute {
		t.Fatalf("clock differs from Unix time by %v, want at most 1 min", off)
	}
	for range 1000 {
		now := c.Now()
		if now < last {
			t.Fatalf("clock went back by %v", last-now)
		}
		last = now
	}
	if got := c.At(last).Sub(c.start); got != last-time.Duration(c.start.UnixNano()) {
		t.Errorf("At(%v) is %v after the start, want the difference to the start time", last, got)
	}
}

// A time that was in the future before Advance is in the past after it.
func TestAdvanceMovesDeadlinesIntoThePast(t *testing.T) {
	c := NewAdjustable()
	due := c.Now() + time.Minute
	c.Advance(time.Hour)
	if now := c.Now(); now < due+58*time.Minute || c.At(due).After(time.Now().Add(-58*time.Minute)) {
		t.Errorf("after Advance the clock is %v past the deadline, which At converts to %v, want at least 58 min for both",
			now-due, c.At(due))
	}
}
