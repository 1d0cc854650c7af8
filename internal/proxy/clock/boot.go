package clock

import "time"

var processStart = time.Now()

// sinceStart returns the time since the process started plus one hour, so that it is never 0. SinceBoot uses it if the
// time since the machine started is not available.
func sinceStart() time.Duration { return time.Hour + time.Since(processStart) }
