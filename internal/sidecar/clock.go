package sidecar

import "time"

// clock tells the time since the Unix epoch, so that it can be set against discovery's start times.
// It runs on the monotonic clock from its start on: it never goes back, whatever is done to the
// machine's date.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// at is the moment d of this clock as a time for deadlines on connections.
func (c clock) at(d time.Duration) time.Time {
	return c.start.Add(d - time.Duration(c.start.UnixNano()))
}
