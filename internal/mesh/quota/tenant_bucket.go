package quota

import (
	"math"
	"time"
)

const (
	// demandHorizon is the duration of the expected demand for which a bucket holds tokens.
	demandHorizon = 250 * time.Millisecond
	// headroomDeviations is the number of standard deviations above the expected demand for which a bucket
	// holds tokens. The headroom prevents rejections because of random fluctuations.
	headroomDeviations = 2
	// lowWaterFraction is the fraction of the target below which a limiter sends a request early. It prevents
	// the bucket from becoming empty before the next regular request.
	lowWaterFraction = 0.7
	// minRequestTokens is the smallest demand in tokens. It prevents requests for a tiny fraction of a token.
	minRequestTokens = 0.01
	// shortTimeConstant is the time constant of the averages that follow changes of the demand.
	shortTimeConstant = 300 * time.Millisecond
	// longTimeConstant is the time constant of the average that spans the time between two requests of a
	// tenant with a small demand. It prevents the bucket from letting its tokens expire in each short period
	// without requests.
	longTimeConstant = 3 * time.Second
)

// tenantBucket is the state of one tenant at a LocalLimiter.
type tenantBucket struct {
	plan
	demand, admittedRate movingAverage // requests per second that arrived and were admitted, over shortTimeConstant
	usage                Usage         // since the last call of TakeUsage

	// State of a prepaid tenant:
	longDemand       movingAverage   // requests per second that arrived, over longTimeConstant
	grants           []grantedTokens // by expiry, the first to expire first
	floor            float64         // tokens
	floorFillSeconds float64         // the limiter's floorFillSeconds up to which floor is filled
	requestedTokens  float64         // in the last request
	underGranted     bool            // the last demand was not granted in full

	// State of a deferred tenant:
	local     localBucket
	bothDefer bool // the Allocator treats the tenant as deferred as well, and so counts the reports
}

// grantedTokens are tokens of one grant, and their expiry time.
type grantedTokens struct {
	tokens  float64
	expires time.Duration
}

// newTenantBucket returns an empty bucket without a plan. It is empty because requests that a preceding process of
// this sidecar admitted within the window, or that were admitted under a preceding limit of this tenant, are unknown
// here. The caller draws throttledRemainder at random from 0 to 1; see localBucket.
func newTenantBucket(now time.Duration, floorFillSeconds, throttledRemainder float64) *tenantBucket {
	return &tenantBucket{
		floorFillSeconds: floorFillSeconds,
		local:            localBucket{updatedAt: now, admittedFraction: 1, throttledRemainder: throttledRemainder},
	}
}

// setPlan replaces the plan. Tokens above the new depths are lost. If the tenant changes between prepaid and deferred,
// the tokens of the floor and of the local bucket are lost.
func (t *tenantBucket) setPlan(now time.Duration, plan plan) {
	if plan.deferred != t.deferred {
		t.floor, t.local.tokens, t.local.updatedAt = 0, 0, now
	}
	t.plan = plan
	t.floor = min(t.floor, t.floorDepth)
	t.local.tokens = min(t.local.tokens, plan.maxLocalTokens())
}

// advance fills the floor, and moves expired granted tokens to the floor, up to the depth of the floor.
func (t *tenantBucket) advance(now time.Duration, floorFillSeconds float64) {
	t.floor += t.floorRate * (floorFillSeconds - t.floorFillSeconds)
	t.floorFillSeconds = floorFillSeconds
	expired := 0
	for expired < len(t.grants) && t.grants[expired].expires <= now {
		t.floor += t.grants[expired].tokens
		expired++
	}
	t.removeFirstGrants(expired)
	t.floor = min(t.floor, t.floorDepth)
}

// tokens returns the number of tokens that can be spent now.
func (t *tenantBucket) tokens() float64 {
	sum := t.floor
	for _, grant := range t.grants {
		sum += grant.tokens
	}
	return sum
}

// spend removes one token: first the granted tokens that expire first, then tokens of the floor. It reports whether
// at least a part of the token came from the floor.
func (t *tenantBucket) spend() (fromFloor bool) {
	remaining, spent := 1.0, 0
	for spent < len(t.grants) && t.grants[spent].tokens <= remaining {
		remaining -= t.grants[spent].tokens
		spent++
	}
	t.removeFirstGrants(spent)
	if len(t.grants) > 0 {
		t.grants[0].tokens -= remaining
		return false
	}
	t.floor = max(0, t.floor-remaining)
	return remaining > 0
}

// removeFirstGrants removes the first grants. It reuses the array, because it runs for each request.
func (t *tenantBucket) removeFirstGrants(count int) {
	t.grants = append(t.grants[:0], t.grants[count:]...)
}

// target returns the number of tokens that the bucket should hold: the expected demand within demandHorizon plus
// headroom, and at least a full floor. One request is subtracted from the short average, because a single request
// doesn't indicate a rising demand.
func (t *tenantBucket) target(now time.Duration) float64 {
	recent := t.demand.value(now, shortTimeConstant) - 1/shortTimeConstant.Seconds()
	expected := max(recent, t.longDemand.value(now, longTimeConstant)) * demandHorizon.Seconds()
	return max(expected+headroomDeviations*math.Sqrt(expected), t.floorDepth)
}

// nextDemand returns the demand to send for the tenant now, and whether there is a demand. It stores the number of
// requested tokens.
func (t *tenantBucket) nextDemand(now time.Duration, tenant string, floorFillSeconds float64) (Demand, bool) {
	if t.deferred {
		t.requestedTokens = 0
		return t.local.nextDemand(tenant), t.local.arrived > 0
	}
	t.advance(now, floorFillSeconds)
	t.requestedTokens = t.target(now) - t.tokens()
	if t.requestedTokens < minRequestTokens {
		t.requestedTokens = 0
		return Demand{}, false
	}
	return Demand{Tenant: tenant, Requested: t.requestedTokens}, true
}
