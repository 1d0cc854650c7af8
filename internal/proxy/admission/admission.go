package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// Gate is an admission-control algorithm. Each Gate belongs to one balancer and is used from one goroutine.
type Gate interface {
	// Admit reports whether a request may be sent or queued. value is the value of the request's class relative to
	// the mean value of all classes; it is above 0.
	Admit(now time.Duration, value float64) bool
	// AttemptStarted records that an attempt was sent.
	AttemptStarted(now time.Duration)
	// AttemptEnded records the end of an attempt. It is called once for each attempt that started.
	AttemptEnded(now time.Duration, e AttemptEnd)
}

// AttemptEnd describes the end of an attempt.
type AttemptEnd struct {
	Score         float64       // 1: answered well in time, falling to 0 near the latency target; 0: not answered in time
	Ignored       bool          // the end says nothing about capacity: cancelled, not sent, or the request was finished
	Duration      time.Duration // time since the attempt was sent
	LatencyTarget time.Duration // latency target of the request's class
}

const (
	// Requests admitted in addition to the measured share. Without them, a single failure could stop low traffic.
	priorRequests    = 1.5
	decayTime        = 2 * time.Second // time constant of decaying counts: about the time that queues take to build up
	minRelativeValue = 1.0 / 8         // lower bound of a class's relative value, or some classes would never be admitted
)

// AdmitAtRandom admits a request with probability share^(1/value). It uses rng only if share is below 1.
func AdmitAtRandom(rng *rand.Rand, share, value float64) bool {
	return share >= 1 || rng.Float64() < math.Pow(max(0, share), 1/max(value, minRelativeValue))
}
