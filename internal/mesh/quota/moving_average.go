package quota

import (
	"math"
	"time"
)

// movingAverage is an exponentially weighted moving average of events per second. The caller passes the time
// constant with each call, and passes the same time constant in all calls of one average.
type movingAverage struct {
	rate      float64
	updatedAt time.Duration
}

// value returns the average at now.
func (a *movingAverage) value(now, timeConstant time.Duration) float64 {
	if now > a.updatedAt {
		a.rate *= math.Exp(-(now - a.updatedAt).Seconds() / timeConstant.Seconds())
		a.updatedAt = now
	}
	return a.rate
}

// add counts a number of events at now.
func (a *movingAverage) add(now, timeConstant time.Duration, events float64) {
	a.rate = a.value(now, timeConstant) + events/timeConstant.Seconds()
}
