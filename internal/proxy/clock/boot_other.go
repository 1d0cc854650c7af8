//go:build !linux

package clock

import "time"

// SinceBoot returns a time that never goes back and does not depend on the machine's date. On this system it may not
// advance while the machine sleeps.
func SinceBoot() time.Duration { return sinceStart() }
