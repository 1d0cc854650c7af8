package ratemeter

import (
	"math"
	"testing"
	"time"
)

// A rate of four events a second is measured from the first second to the hundredth, for any initial time of the clock.
// The measured rate falls after the last event.
func TestRateIsMeasuredFromTheFirstSecond(t *testing.T) {
	for _, begin := range []time.Duration{1, time.Hour, 2e9 * time.Second} {
		m := Meter{Window: 10 * time.Second}
		m.Recent(begin)
		for i := range 400 {
			m.Record(begin + time.Duration(i+1)*time.Second/4)
			count, seconds := m.Recent(begin + time.Duration(i+1)*time.Second/4)
			if i > 3 && math.Abs(count/seconds-4) > 0.6 {
				t.Fatalf("clock from %v, event %d: measured %v events in %v s, want 4 a second", begin, i+1, count, seconds)
			}
		}
		if count, seconds := m.Recent(begin + 150*time.Second); count/seconds > 0.1 || seconds > 10 {
			t.Errorf("%v events in %v s after 50 s without events, want at most 0.1 a second", count, seconds)
		}
	}
}
