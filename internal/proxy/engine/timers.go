package engine

import (
	"slices"
	"time"
)

// The module sets a timer at least every 100 ms, so if more than stalledAfter passes between two events, the process
// was suspended. For catchUpTime the engine then applies the server lists that arrive, before it sends anything.
// Otherwise waiting requests would be sent to servers that have started to drain or were deregistered in the meantime.
const (
	stalledAfter = 500 * time.Millisecond
	catchUpTime  = 50 * time.Millisecond
)

// advance sets the time of the next event. If the process was suspended, it applies the server lists that arrived in
// the meantime. Then it applies the limits.
func (e *Engine) advance() {
	defer e.applyLimits()
	before := e.now
	e.now = e.Clock.Now()
	if e.now-before < stalledAfter || e.SleepsWhenIdle {
		return
	}
	e.Log.Warn("stopped for a while", "time", e.now-before)
	timeout := time.NewTimer(catchUpTime)
	defer timeout.Stop()
	for {
		select {
		case <-e.pendingReady:
			e.now = e.Clock.Now()
			e.applyPending()
		case <-timeout.C:
			e.now = e.Clock.Now()
			return
		}
	}
}

// fireTimers calls Module.Wake once if any timers are due, and removes those timers.
func (e *Engine) fireTimers() {
	due := 0
	for due < len(e.wakes) && e.wakes[due] <= e.now {
		due++
	}
	if e.wakes = slices.Delete(e.wakes, 0, due); due > 0 {
		e.module.Wake(e.now)
		e.avoided.Store(int64(e.module.Counters().Avoided))
	}
	e.setTimer()
}

// setTimer sets the timer to the first of the scheduled wakes.
func (e *Engine) setTimer() {
	if len(e.wakes) > 0 {
		e.timer.Reset(e.wakes[0] - e.now)
	}
}
