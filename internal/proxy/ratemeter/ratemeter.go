// Package ratemeter measures the recent rate of events. It performs no I/O; callers pass in the time.
package ratemeter

import (
	"math"
	"time"
)

// Meter counts events. The count decays exponentially, with Window as time constant. Recent also returns the time over
// which events were counted, because no event in a very short time says less than no event in ten seconds. A Meter is
// used from one goroutine.
type Meter struct {
	Window time.Duration

	count, seconds float64 // events, and the time over which they were counted; both decay
	updatedAt      time.Duration
}

// Record counts an event.
func (m *Meter) Record(now time.Duration) {
	m.decay(now)
	m.count++
}

// Recent returns the decayed number of events, and the time over which they were counted, at most Window. The rate is
// the quotient of the two.
func (m *Meter) Recent(now time.Duration) (count, seconds float64) {
	m.decay(now)
	return m.count, m.seconds
}

// decay updates count and seconds for the time since the last update. The first call starts the measurement.
func (m *Meter) decay(now time.Duration) {
	if m.updatedAt == 0 {
		m.updatedAt = now
	}
	window := m.Window.Seconds()
	factor := math.Exp(-max(0, now-m.updatedAt).Seconds() / window)
	m.count *= factor
	m.seconds = window - (window-m.seconds)*factor
	m.updatedAt = now
}
