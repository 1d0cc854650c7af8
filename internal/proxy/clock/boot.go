package clock

import "time"

var processStart = time.Now()

// sinceStart stands in for the time since the machine started, an hour of which it takes for granted: it is never 0.
func sinceStart() time.Duration { return time.Hour + time.Since(processStart) }
