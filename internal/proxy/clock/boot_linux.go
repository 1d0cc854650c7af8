package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot is the time since the machine started. It never goes back, no date that is set moves it, and it counts while this process or the whole machine
// stands still: what a lease has to be set against. Go's own monotonic clock stops while a machine sleeps.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return sinceStart()
	}
	return time.Duration(t.Nano())
}
