// Package clock is the one time that an engine, its front and its transport go by.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock tells the time since the Unix epoch, so that it can be set against discovery's start times.
// It runs on the monotonic clock from its start on: it never goes back, whatever is done to the
// machine's date. Copies are the same clock.
type Clock struct {
	start  time.Time
	offset *atomic.Int64 // nanoseconds that tests have it ahead by; nil: it can't be moved
}

// New starts a clock.
func New() Clock { return Clock{start: time.Now()} }

// NewAdjustable starts a clock that Jump moves: it stands in for a process that is stopped for a while.
func NewAdjustable() Clock { return Clock{start: time.Now(), offset: new(atomic.Int64)} }

// Advance moves a clock of NewMovable ahead by d, as a process finds it that was stopped for so long.
func (c Clock) Advance(d time.Duration) { c.offset.Add(int64(d)) }

func (c Clock) currentOffset() time.Duration {
	if c.offset == nil {
		return 0
	}
	return time.Duration(c.offset.Load())
}

// Now is the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start) + c.currentOffset()
}

// At is the moment d of this clock as a time for deadlines on connections.
func (c Clock) At(d time.Duration) time.Time {
	return c.start.Add(d - c.currentOffset() - time.Duration(c.start.UnixNano()))
}
