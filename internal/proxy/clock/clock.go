// Package clock provides the clock that an engine, its front and its transport share, and the time since the machine
// started. Everything in it is safe for concurrent use.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock measures the time since the Unix epoch, which can be compared with the servers' start times from discovery.
// After its creation it follows the monotonic clock, so that it never goes back when the machine's date is changed.
// Copies of a Clock show the same time.
type Clock struct {
	start  time.Time
	offset *atomic.Int64 // nanoseconds added by Advance; nil: the clock is not adjustable
}

// New returns a clock that starts at the machine's present date.
func New() Clock { return Clock{start: time.Now()} }

// NewAdjustable returns a clock that Advance can set ahead, for tests of a suspended process.
func NewAdjustable() Clock { return Clock{start: time.Now(), offset: new(atomic.Int64)} }

// Advance sets a clock from NewAdjustable ahead by d. A process that was suspended for d observes the same.
func (c Clock) Advance(d time.Duration) { c.offset.Add(int64(d)) }

// currentOffset returns the total time added by Advance.
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

// At converts the time d of this clock to a time.Time, for deadlines of connections.
func (c Clock) At(d time.Duration) time.Time {
	return c.start.Add(d - c.currentOffset() - time.Duration(c.start.UnixNano()))
}
