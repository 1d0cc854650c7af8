package clock

import "time"

var processStart = time.Now()

// sinceStart returns the time since the process started, and an hour more so that it is never 0. It is used where
// the time since the machine started is not known.
func sinceStart() time.Duration { return time.Hour + time.Since(processStart) }
