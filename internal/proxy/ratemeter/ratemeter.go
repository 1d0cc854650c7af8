// Package ratemeter measures how much comes lately. It is free of I/O; time is passed in.
package ratemeter

import (
	"math"
	"time"
)

// Meter counts what comes, fading. Who has just begun knows by Lately how little that stands on: nothing in no time is not the same as nothing in ten seconds.
type Meter struct {
	Over time.Duration // it is measured over about this long

	came, seen float64 // what came, and the s in which it came
	at         time.Duration
}

// Came takes that one came.
func (m *Meter) Came(now time.Duration) {
	m.fade(now)
	m.came++
}

// Lately is how many came, and in how many seconds.
func (m *Meter) Lately(now time.Duration) (came, seconds float64) {
	m.fade(now)
	return m.came, m.seen
}

func (m *Meter) fade(now time.Duration) {
	if m.at == 0 { // it begins with the first call
		m.at = now
	}
	kept, whole := math.Exp(-max(0, now-m.at).Seconds()/m.Over.Seconds()), m.Over.Seconds()
	m.came, m.seen, m.at = m.came*kept, whole-(whole-m.seen)*kept, now
}
