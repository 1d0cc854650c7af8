package ratemeter

import (
	"math"
	"testing"
	"time"
)

// Four a second are four a second after one second as after a hundred, whatever the clock began at; silence fades.
func TestMeter(t *testing.T) {
	for _, begin := range []time.Duration{1, time.Hour, 2e9 * time.Second} {
		m := Meter{Window: 10 * time.Second}
		m.Recent(begin)
		for i := range 400 {
			m.Record(begin + time.Duration(i+1)*time.Second/4)
			if came, seconds := m.Recent(begin + time.Duration(i+1)*time.Second/4); i > 3 && math.Abs(came/seconds-4) > 0.6 {
				t.Fatalf("%v: after %d: %v in %v s", begin, i+1, came, seconds)
			}
		}
		if came, seconds := m.Recent(begin + 150*time.Second); came/seconds > 0.1 || seconds > 10 {
			t.Errorf("after 50 s of silence %v in %v s", came, seconds)
		}
	}
}
