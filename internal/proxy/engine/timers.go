package engine

import (
	"slices"
	"time"
)

// The module sets a timer every 100 ms at least. Where more than stalledAfter has passed between two events, the
// process was stopped. Then, for catchUpTime, the server lists that came in meanwhile are applied before
// anything is sent: requests that waited would else go to servers that are draining or deregistered by now.
const (
	stalledAfter = 500 * time.Millisecond
	catchUpTime  = 50 * time.Millisecond
)

// advance sets the time of the next event, applies the server lists that came while the process was stopped,
// and then the limits.
func (e *Engine) advance() {
	defer e.applyLimits()
	before := e.now
	e.now = e.Clock.Now()
	if e.now-before < stalledAfter || e.SleepsWhenIdle {
		return
	}
	e.Log.Warn("stopped for a while", "time", e.now-before)
	within := time.NewTimer(catchUpTime)
	defer within.Stop()
	for {
		select {
		case <-e.pendingReady:
			e.now = e.Clock.Now()
			e.applyPending()
		case <-within.C:
			e.now = e.Clock.Now()
			return
		}
	}
}

// fireTimers calls Module.Wake once for all timers that are due.
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

// setTimer sets the timer for the first wake that is due.
func (e *Engine) setTimer() {
	if len(e.wakes) > 0 {
		e.timer.Reset(e.wakes[0] - e.now)
	}
}
