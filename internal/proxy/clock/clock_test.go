package clock

import (
	"testing"
	"time"
)

func TestNeverGoesBack(t *testing.T) {
	c := New()
	last := c.Now()
	if off := last - time.Duration(time.Now().UnixNano()); off > time.Minute || off < -time.Minute {
		t.Fatalf("%v off Unix time", off)
	}
	for range 1000 {
		now := c.Now()
		if now < last {
			t.Fatalf("went back by %v", last-now)
		}
		last = now
	}
	if got := c.At(last).Sub(c.start); got != last-time.Duration(c.start.UnixNano()) {
		t.Errorf("the moment %v is %v after the start", last, got)
	}
}

// What was due before a jump is due in the past after it.
func TestJump(t *testing.T) {
	c := NewAdjustable()
	due := c.Now() + time.Minute
	c.Advance(time.Hour)
	if now := c.Now(); now < due+58*time.Minute || c.At(due).After(time.Now().Add(-58*time.Minute)) {
		t.Errorf("an hour on: %v after what was due, which is at %v", now-due, c.At(due))
	}
}
