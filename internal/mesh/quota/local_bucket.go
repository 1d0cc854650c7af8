package quota

import (
	"math/rand/v2"
	"time"
)

// responseGrowth is how many times what arrived before a response a local bucket holds after it, up to
// maxGrowthFraction of a second's rate. They guard a tenant whose requests arrive at few sidecars.
const responseGrowth, maxGrowthFraction = 2, 0.25

// localBucket is a deferred tenant's part of a LocalLimiter: what may run here before the Allocator has
// learned of it, and what there is to report.
type localBucket struct {
	tokens      float64
	updatedAt   time.Duration // up to when tokens is counted
	contactLost bool          // contact ended since the last response
	phase       float64       // of a token, that is left when contact ends for a throttled tenant

	throttled        bool
	admittedFraction float64 // of the requests; 1 unless throttled

	arrived, admitted float64 // requests since the last answered report
	reported          Demand  // in the last request
}

// maxLocalTokens is the most that the local bucket of a deferred tenant ever holds.
func (p *plan) maxLocalTokens() float64 {
	return max(p.localDepth, p.floorDepth, maxGrowthFraction*p.rate)
}

// fill fills the bucket: at the local rate until refilledUntil, and as a floor once the Allocator leaves
// this member its share, after leasedUntil. Depth that a response gave stays until it is spent or
// the contact ends. A throttled tenant is then left a part of a token that differs by sidecar, so that
// the floors of all don't hold a token each at once.
func (b *localBucket) fill(now, refilledUntil, leasedUntil time.Duration, plan *plan) {
	if until := min(now, refilledUntil); until > b.updatedAt {
		filled := b.tokens + plan.localRate*(until-b.updatedAt).Seconds()
		b.tokens = max(b.tokens, min(filled, plan.localDepth))
		b.updatedAt = until
	}
	if now <= refilledUntil {
		return
	}
	if b.throttled && !b.contactLost {
		b.tokens = min(b.tokens, b.phase)
	}
	b.contactLost = true
	outOfContact := max(0, now-max(b.updatedAt, leasedUntil))
	b.tokens = min(b.tokens+plan.floorRate*outOfContact.Seconds(), plan.floorDepth)
	b.updatedAt = max(b.updatedAt, now)
}

// drawn reports whether a request is among the fraction that may run.
func (b *localBucket) drawn(random *rand.Rand) bool {
	return b.admittedFraction >= 1 || random.Float64() < b.admittedFraction
}

// record counts a request for the next report.
func (b *localBucket) record(admitted bool) {
	b.arrived++
	if admitted {
		b.admitted++
	}
}

// nextDemand is the report of what arrived and ran.
func (b *localBucket) nextDemand(tenant string) Demand {
	b.reported = Demand{Tenant: tenant, Want: b.arrived, Used: b.admitted, Deferred: true}
	return b.reported
}

// refill refills the bucket, which is filled up to now, after a response to a report.
func (b *localBucket) refill(plan *plan) {
	b.tokens = max(plan.localDepth, min(responseGrowth*b.reported.Want, maxGrowthFraction*plan.rate))
	b.contactLost = false
}

// endReport subtracts from the report what the Allocator now knows.
func (b *localBucket) endReport() {
	b.arrived, b.admitted = b.arrived-b.reported.Want, b.admitted-b.reported.Used
	b.reported = Demand{}
}

// setThrottle sets the fraction of the requests that may run.
func (b *localBucket) setThrottle(throttled bool, fraction float64) {
	b.throttled, b.admittedFraction = throttled, fraction
}
