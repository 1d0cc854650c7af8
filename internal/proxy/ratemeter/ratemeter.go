// Package ratemeter measures how much comes lately. It is free of I/O; time is passed in.
package ratemeter

import (
	"math"
	"time"
)

// Meter counts what comes, fading. Who has just begun knows by Lately how little that stands on: nothing in no time is not the same as nothing in ten seconds.
type Meter struct {
	Window time.Duration // it is measured over about this long

	count, seconds float64 // what came, and the s in which it came
	updatedAt      time.Duration
}

// Record takes that one came.
func (m *Meter) Record(now time.Duration) {
	m.decay(now)
	m.count++
}

// Recent is how many came, and in how many seconds.
func (m *Meter) Recent(now time.Duration) (came, seconds float64) {
	m.decay(now)
	return m.count, m.seconds
}

func (m *Meter) decay(now time.Duration) {
	if m.updatedAt == 0 { // it begins with the first call
		m.updatedAt = now
	}
	kept, whole := math.Exp(-max(0, now-m.updatedAt).Seconds()/m.Window.Seconds()), m.Window.Seconds()
	m.count, m.seconds, m.updatedAt = m.count*kept, whole-(whole-m.seconds)*kept, now
}
