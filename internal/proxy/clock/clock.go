// Package clock is the time that an engine, its front and its transport share, and the time since the machine
// started. All of it is safe for concurrent use.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock tells the time since the Unix epoch, so that it can be compared with discovery's start times. From its start on
// it follows the monotonic clock: it never goes back, whatever is done to the machine's date. Copies are the same
// clock.
type Clock struct {
	start  time.Time
	offset *atomic.Int64 // nanoseconds that Advance added; nil: it is not adjustable
}

// New starts a clock.
func New() Clock { return Clock{start: time.Now()} }

// NewAdjustable starts a clock that Advance sets ahead, for tests of a process that was stopped.
func NewAdjustable() Clock { return Clock{start: time.Now(), offset: new(atomic.Int64)} }

// Advance sets a clock of NewAdjustable ahead by d, as a process finds its clock that was stopped for so long.
func (c Clock) Advance(d time.Duration) { c.offset.Add(int64(d)) }

// currentOffset returns what Advance added so far.
func (c Clock) currentOffset() time.Duration {
	if c.offset == nil {
		return 0
	}
	return time.Duration(c.offset.Load())
}

// Now returns the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start) + c.currentOffset()
}

// At returns the moment d of this clock as a time.Time, for deadlines of connections.
func (c Clock) At(d time.Duration) time.Time {
	return c.start.Add(d - c.currentOffset() - time.Duration(c.start.UnixNano()))
}
