// Package bulkhead decides how much one balancer of many may have out at servers that all share. It is free of I/O; time is passed in.
//
// Three hundred balancers, walled each for itself, hold several times what the servers bear: a burst, and all servers worked slower for
// the rest of the day. Nobody sees the sum, so what each gives up as servers fill is a part of its own traffic.
package bulkhead

import (
	"math"
	"time"

	"caperarch/internal/proxy/ratemeter"
)

const (
	congestedAt    = 0.17 // answers take this share of the aim: from here on room shrinks
	shrinkExponent = 2.0  // with this power of what they take more; and Little's law has the rate fall with one power more
	headroom       = 2.0  // so many times what one's own traffic holds where servers are not crowded,
	deviations     = 2.0  // and so many standard deviations of such a count

	smallTenantFactor = 1.5 // so much more for a tenant that holds less than its share

	rateWindow      = 10 * time.Second // one's own traffic is measured over about this long
	priorSeconds    = 1.0              // s for which it is taken for the even one
	averagedAnswers = 8.0              // that tell how crowded it is now, or fewer:
	answerSeconds   = 0.06             // s that one stands for
	initialLatency  = 0.1              // share of the aim that answers take to begin with
)

// Bulkhead is one balancer's. It is used from one goroutine.
type Bulkhead struct {
	EvenShare float64 // attempts that one balancer has out where all have the same traffic and servers are not crowded

	holdTime      float64         // s for which one is out then
	firstAttempts ratemeter.Meter // tries; further ones would have refusals bring room
	congestion    float64         // logarithm of the share of the aim that answers take: few long ones say nothing of the servers
	updatedAt     time.Duration   // when that was taken
}

// New makes one whose attempts are out for hold seconds each where servers are not crowded.
func New(hold float64) Bulkhead {
	return Bulkhead{holdTime: hold, congestion: math.Log(initialLatency), firstAttempts: ratemeter.Meter{Window: rateWindow}}
}

// RecordRequest takes that a client's first try came.
func (w *Bulkhead) RecordRequest(now time.Duration) {
	w.firstAttempts.Record(now)
}

// RecordLatency takes that an answer, or the lack of one, took such a share of its aim. Where few come each tells more.
func (w *Bulkhead) RecordLatency(now time.Duration, share float64) {
	part := min(0.5, max(1, (now-w.updatedAt).Seconds()/answerSeconds)/averagedAnswers)
	w.congestion += (math.Log(max(share, 1e-3)) - w.congestion) * part
	w.updatedAt = now
}

// Congested says that answers are slow enough for room to shrink.
func (w *Bulkhead) Congested() bool { return w.congestion > math.Log(congestedAt) }

// Limit is how many attempts the balancer may have out before it sends one more, at least one. Who has less than the even part may hold what
// that needs. A tenant that holds less than its share of the room, and used of it, is let in beyond: one that floods can't take the others'.
func (w *Bulkhead) Limit(now time.Duration, share float64, used int) float64 {
	came, seconds := w.firstAttempts.Recent(now)
	own := headroom * max(w.EvenShare, (came*w.holdTime+w.EvenShare*priorSeconds)/(seconds+priorSeconds))
	room := (own + deviations*math.Sqrt(own)) * math.Exp(-shrinkExponent*(w.congestion-math.Log(congestedAt)))
	if float64(used+1) < share*room {
		room *= smallTenantFactor
	}
	return max(1, room)
}
