// Package bulkhead bounds how many attempts one of many balancers may have in flight at servers that all share.
//
// The balancers' own bounds add up to more than servers can bear, so each sends less as answers become slow.
package bulkhead

import (
	"math"
	"time"

	"caperarch/internal/proxy/ratemeter"
)

const (
	congestedAt    = 0.17 // answers that take this fraction of the latency target: from here on the limit shrinks,
	shrinkExponent = 2.0  // by this power of the latency; by Little's law the rate falls by one power more
	headroom       = 2.0  // the limit without congestion, as a multiple of the balancer's own traffic in flight,
	deviations     = 2.0  // and so many standard deviations of such a count more

	smallTenantFactor = 1.5 // the limit's multiple for a tenant with less in flight than its share

	rateWindow      = 10 * time.Second // over which the balancer's own traffic is measured
	priorSeconds    = 1.0              // for which it is first taken to be even
	averagedAnswers = 8.0              // the latency is a mean over about so many answers, fewer where they are rare:
	answerSeconds   = 0.06             // each then has the weight of one answer in so many seconds
	initialLatency  = 0.1              // fraction of the latency target
)

// Bulkhead is the bound of one balancer. It is used from one goroutine.
type Bulkhead struct {
	EvenShare float64 // attempts that a balancer has in flight where all have the same traffic, without congestion

	holdTime      float64         // seconds that an attempt then takes
	firstAttempts ratemeter.Meter // clients' retries not counted: rejections would raise the limit
	congestion    float64         // logarithm of the latency as a fraction of the target: few long answers count little
	updatedAt     time.Duration   // of congestion
}

// New makes a bulkhead for attempts that take hold seconds without congestion.
func New(hold float64) Bulkhead {
	meter := ratemeter.Meter{Window: rateWindow}
	return Bulkhead{holdTime: hold, congestion: math.Log(initialLatency), firstAttempts: meter}
}

// RecordRequest counts a request that is not a client's retry.
func (b *Bulkhead) RecordRequest(now time.Duration) { b.firstAttempts.Record(now) }

// RecordLatency counts an answer, or a time-out, after this fraction of the latency target. Rare ones weigh more.
func (b *Bulkhead) RecordLatency(now time.Duration, fraction float64) {
	gain := min(0.5, max(1, (now-b.updatedAt).Seconds()/answerSeconds)/averagedAnswers)
	b.congestion += (math.Log(max(fraction, 1e-3)) - b.congestion) * gain
	b.updatedAt = now
}

// Congested says whether answers are slow enough for the limit to shrink.
func (b *Bulkhead) Congested() bool { return b.congestion > math.Log(congestedAt) }

// Limit is how many attempts the balancer may have in flight: at least one, and without congestion the even share.
// A tenant that uses less than its share of the limit has a higher one, so that others can't use up what it needs.
func (b *Bulkhead) Limit(now time.Duration, share float64, used int) float64 {
	count, seconds := b.firstAttempts.Recent(now)
	own := headroom * max(b.EvenShare, (count*b.holdTime+b.EvenShare*priorSeconds)/(seconds+priorSeconds))
	limit := (own + deviations*math.Sqrt(own)) * math.Exp(-shrinkExponent*(b.congestion-math.Log(congestedAt)))
	if float64(used+1) < share*limit {
		limit *= smallTenantFactor
	}
	return max(1, limit)
}
