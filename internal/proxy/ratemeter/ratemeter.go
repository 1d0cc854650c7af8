// Package ratemeter measures the recent rate of events. It does no I/O; time is passed in.
package ratemeter

import (
	"math"
	"time"
)

// Meter counts events, which fade over Window. It is used from one goroutine. Recent tells for how long it has
// counted, as no event in no time is not the same as no event in ten seconds.
type Meter struct {
	Window time.Duration

	count, seconds float64 // events, and the time in which they were counted; both fade
	updatedAt      time.Duration
}

// Record counts an event.
func (m *Meter) Record(now time.Duration) {
	m.decay(now)
	m.count++
}

// Recent returns the number of recent events, and the seconds in which they were counted.
func (m *Meter) Recent(now time.Duration) (count, seconds float64) {
	m.decay(now)
	return m.count, m.seconds
}

// decay has the counts fade up to now. The first call begins the measurement.
func (m *Meter) decay(now time.Duration) {
	if m.updatedAt == 0 {
		m.updatedAt = now
	}
	window := m.Window.Seconds()
	kept := math.Exp(-max(0, now-m.updatedAt).Seconds() / window)
	m.count *= kept
	m.seconds = window - (window-m.seconds)*kept
	m.updatedAt = now
}
