package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started. It never goes back, it does not depend on the machine's date,
// and it goes on while this process or the machine is suspended, as leases need. Go's monotonic clock stops while a
// machine sleeps.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return sinceStart()
	}
	return time.Duration(t.Nano())
}
