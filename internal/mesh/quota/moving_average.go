package quota

import (
	"math"
	"time"
)

// movingAverage is an exponentially weighted average of events a second. Its time constant is passed to
// each call and is always the same for one average.
type movingAverage struct {
	rate float64
	at   time.Duration
}

// value is the average at now, which becomes the time that it is counted up to.
func (a *movingAverage) value(now, timeConstant time.Duration) float64 {
	if now > a.at {
		a.rate *= math.Exp(-(now - a.at).Seconds() / timeConstant.Seconds())
		a.at = now
	}
	return a.rate
}

// add counts so many events at now.
func (a *movingAverage) add(now, timeConstant time.Duration, events float64) {
	a.rate = a.value(now, timeConstant) + events/timeConstant.Seconds()
}
