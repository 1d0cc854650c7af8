package quota

import (
	"math/rand/v2"
	"time"
)

// refillMultiple is the number of tokens that a local bucket holds after a response, as a multiple of the requests
// that arrived before the response. maxRefillFraction bounds these tokens to a fraction of a second's rate. They
// prevent rejections of a tenant whose requests arrive at few sidecars.
const refillMultiple, maxRefillFraction = 2, 0.25

// localBucket is the state of a deferred tenant at a LocalLimiter: the tokens for requests that run before they are
// reported to the Allocator, and the next report.
type localBucket struct {
	tokens      float64
	updatedAt   time.Duration // the time up to which tokens is filled
	contactLost bool          // contact was lost after the last response
	// throttledRemainder is the largest part of a token that a throttled tenant keeps when contact is lost. It is
	// a random number from 0 to 1, which differs between sidecars.
	throttledRemainder float64

	throttled        bool
	admittedFraction float64 // of the requests; 1 unless throttled

	arrived, admitted float64 // requests since the last answered report
	reported          Demand  // the report in the last request
}

// maxLocalTokens returns the largest number of tokens that the local bucket of a deferred tenant holds.
func (p *plan) maxLocalTokens() float64 {
	return max(p.localDepth, p.floorDepth, maxRefillFraction*p.rate)
}

// fill fills the bucket at the local rate until fillUntil, and then as a floor as soon as the Allocator leaves this
// member its share, which is after leasedUntil. Tokens above localDepth that a response added remain until they are
// spent or contact is lost. When contact is lost, the tokens of a throttled tenant are limited to throttledRemainder.
// This amount differs between sidecars, so the floors of all sidecars don't reach a full token at the same time.
func (b *localBucket) fill(now, fillUntil, leasedUntil time.Duration, plan *plan) {
	if until := min(now, fillUntil); until > b.updatedAt {
		filled := b.tokens + plan.localRate*(until-b.updatedAt).Seconds()
		b.tokens = max(b.tokens, min(filled, plan.localDepth))
		b.updatedAt = until
	}
	if now <= fillUntil {
		return
	}
	if b.throttled && !b.contactLost {
		b.tokens = min(b.tokens, b.throttledRemainder)
	}
	b.contactLost = true
	outOfContact := max(0, now-max(b.updatedAt, leasedUntil))
	b.tokens = min(b.tokens+plan.floorRate*outOfContact.Seconds(), plan.floorDepth)
	b.updatedAt = max(b.updatedAt, now)
}

// sampled reports whether a request is in the random sample of requests that may run.
func (b *localBucket) sampled(random *rand.Rand) bool {
	return b.admittedFraction >= 1 || random.Float64() < b.admittedFraction
}

// record counts a request for the next report.
func (b *localBucket) record(admitted bool) {
	b.arrived++
	if admitted {
		b.admitted++
	}
}

// nextDemand returns a report of the arrived and admitted requests, and stores it until a response arrives.
func (b *localBucket) nextDemand(tenant string) Demand {
	b.reported = Demand{Tenant: tenant, Requested: b.arrived, Admitted: b.admitted, Deferred: true}
	return b.reported
}

// refill refills the bucket after a response to a report. The bucket must be filled up to the time of the response.
func (b *localBucket) refill(plan *plan) {
	b.tokens = max(plan.localDepth, min(refillMultiple*b.reported.Requested, maxRefillFraction*plan.rate))
	b.contactLost = false
}

// acknowledgeReport subtracts the requests that the Allocator has received from the next report.
func (b *localBucket) acknowledgeReport() {
	b.arrived, b.admitted = b.arrived-b.reported.Requested, b.admitted-b.reported.Admitted
	b.reported = Demand{}
}

// setThrottle sets whether the tenant is throttled, and the fraction of its requests that may run.
func (b *localBucket) setThrottle(throttled bool, fraction float64) {
	b.throttled, b.admittedFraction = throttled, fraction
}
