package ratemeter

import (
	"math"
	"testing"
	"time"
)

// A rate of four a second is measured after one second as after a hundred, whatever the time of the clock; it fades
// without events.
func TestRateIsRightFromTheFirstSecondsOn(t *testing.T) {
	for _, begin := range []time.Duration{1, time.Hour, 2e9 * time.Second} {
		m := Meter{Window: 10 * time.Second}
		m.Recent(begin)
		for i := range 400 {
			m.Record(begin + time.Duration(i+1)*time.Second/4)
			count, seconds := m.Recent(begin + time.Duration(i+1)*time.Second/4)
			if i > 3 && math.Abs(count/seconds-4) > 0.6 {
				t.Fatalf("%v: after %d: %v in %v s", begin, i+1, count, seconds)
			}
		}
		if count, seconds := m.Recent(begin + 150*time.Second); count/seconds > 0.1 || seconds > 10 {
			t.Errorf("after 50 s without events %v in %v s", count, seconds)
		}
	}
}
