package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started. It never goes back and does not depend on the machine's date.
// As leases require, it also advances while the process or the machine is suspended; Go's monotonic clock does not
// advance while the machine sleeps.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return sinceStart()
	}
	return time.Duration(t.Nano())
}
