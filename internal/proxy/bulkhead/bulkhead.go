package bulkhead

import (
	"math"
	"time"

	"caperarch/internal/proxy/ratemeter"
)

const (
	congestionThreshold = 0.17 // fraction of the latency target: slower answers lower the limit below its base
	latencyExponent     = 2.0  // power of the latency by which the limit falls; the rate (Little's law) falls by one more
	headroomFactor      = 2.0  // the base is this multiple of the attempts in flight by the balancer's own traffic,
	headroomDeviations  = 2.0  // plus this many standard deviations of that number

	underuseFactor = 1.5 // multiple of the limit for a tenant with fewer attempts in flight than its share

	rateWindow      = 10 * time.Second // time over which the balancer's own traffic is measured
	priorSeconds    = 1.0              // seconds of even traffic that are assumed before the measurement
	averagedAnswers = 8.0              // the latency is a mean over about this many answers, fewer where they are rare:
	answerSeconds   = 0.06             // after a gap, an answer has the weight of one answer per answerSeconds of the gap
	initialLatency  = 0.1              // latency assumed at first, as a fraction of the latency target
)

// Bulkhead is the limit of one balancer. It is used from one goroutine.
type Bulkhead struct {
	EvenShare float64 // attempts in flight of each balancer with even traffic and no congestion

	holdTime      float64         // seconds that an attempt takes without congestion
	firstAttempts ratemeter.Meter // requests, except clients' retries: with them rejections would raise the limit
	congestion    float64         // mean logarithm of latency / latency target; few long answers have little effect on it
	updatedAt     time.Duration   // time of the last update of congestion
}

// New returns a bulkhead for attempts that take hold seconds without congestion.
func New(hold float64) Bulkhead {
	meter := ratemeter.Meter{Window: rateWindow}
	return Bulkhead{holdTime: hold, congestion: math.Log(initialLatency), firstAttempts: meter}
}

// RecordRequest records a request that is not a client's retry.
func (b *Bulkhead) RecordRequest(now time.Duration) { b.firstAttempts.Record(now) }

// RecordLatency records the latency of an answer or a time-out as a fraction of the latency target. An answer
// after a long gap has more weight, see answerSeconds.
func (b *Bulkhead) RecordLatency(now time.Duration, fraction float64) {
	gain := min(0.5, max(1, (now-b.updatedAt).Seconds()/answerSeconds)/averagedAnswers)
	b.congestion += (math.Log(max(fraction, 1e-3)) - b.congestion) * gain
	b.updatedAt = now
}

// Congested reports whether the latency is above congestionThreshold.
func (b *Bulkhead) Congested() bool { return b.congestion > math.Log(congestionThreshold) }

// Limit returns how many attempts the balancer may have in flight, at least 1. share is a tenant's share of the limit,
// used the tenant's attempts in flight. A tenant below its share has a higher limit, so that other tenants cannot use
// up its share.
func (b *Bulkhead) Limit(now time.Duration, share float64, used int) float64 {
	count, seconds := b.firstAttempts.Recent(now)
	own := headroomFactor * max(b.EvenShare, (count*b.holdTime+b.EvenShare*priorSeconds)/(seconds+priorSeconds))
	limit := (own + headroomDeviations*math.Sqrt(own)) *
		math.Exp(-latencyExponent*(b.congestion-math.Log(congestionThreshold)))
	if float64(used+1) < share*limit {
		limit *= underuseFactor
	}
	return max(1, limit)
}
