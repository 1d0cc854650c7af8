//go:build !linux

package clock

import "time"

// SinceBoot returns a time that never goes back, whatever is done to the machine's date. On this system it may stop
// while the machine sleeps.
func SinceBoot() time.Duration { return sinceStart() }
