//go:build !linux

package clock

import "time"

// Boot is a time that never goes back, whatever is done to the machine's date. Here it may not count while the machine sleeps.
func Boot() time.Duration { return sinceStart() }
