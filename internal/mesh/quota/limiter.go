package quota

import (
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// responseTimeout is how long a response may be outstanding before the local buckets of deferred tenants
	// stop filling and are capped at the depth of the floors. It prevents a sidecar without contact from
	// admitting requests at the rate of a sidecar in contact.
	responseTimeout = 600 * time.Millisecond
	// throttleCarryOver is how long, after the first response of a new epoch, the tenants that were throttled
	// in the last epoch stay throttled. It covers tenants with a high demand that not all sidecars have yet
	// reported to the new Allocator.
	throttleCarryOver = idleInterval
	// minRetryAfter and maxRetryAfter bound the Retry-After of rejected clients. The minimum prevents many
	// clients from retrying at once; the maximum prevents clients from waiting when there is capacity again.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 2 * time.Second
)

// LocalLimiter decides which requests one sidecar admits. A request of a prepaid tenant spends a granted token or
// a token of the sidecar's floor. Requests of a deferred tenant are admitted from a local bucket and reported
// afterwards; while the tenant is throttled, requests are admitted at random.
//
// The caller calls NextRequest for the time of the next request, then sends the result of Request to the Allocator,
// and passes the response to ApplyResponse.
type LocalLimiter struct {
	planner  planner
	tenants  map[string]*tenantBucket
	schedule requestSchedule
	random   *rand.Rand // decides which requests of a throttled tenant run

	updatedAt        time.Duration // the time up to which floorFillSeconds is counted
	floorFillSeconds float64       // seconds in which floors have filled since the start

	epoch          Epoch         // the newest epoch seen
	epochStart     time.Duration // when the first response of the epoch arrived
	inContactUntil time.Duration // end of the contact that the last response established
	lease          leaseState
}

// NewLocalLimiter returns a limiter without tenants; now is the start of the process, or later. It returns
// errs.Invalid for invalid rules.
func NewLocalLimiter(now time.Duration, rules Rules) (*LocalLimiter, error) {
	planner, err := newPlanner(rules)
	if err != nil {
		return nil, err
	}
	return &LocalLimiter{
		planner: planner, tenants: map[string]*tenantBucket{},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		lease:  newLeaseState(now),
	}, nil
}

// Configure sets the limits of all tenants and the number of sidecars, UnknownMembers until the number is known. A
// lower limit takes effect immediately for the floor, and within TokenTTL for tokens that were granted before. A
// new tenant starts with an empty floor. Invalid limits or numbers return errs.Invalid and change nothing.
func (l *LocalLimiter) Configure(now time.Duration, limits map[string]Limit, members int) error {
	if err := validateLimits(limits); err != nil {
		return err
	}
	if members != UnknownMembers {
		if err := validateMembers(members); err != nil {
			return err
		}
	}
	l.advance(now)
	l.planner.configure(now, limits, members)
	l.replan(now)
	return nil
}

// Allow reports whether a request of the tenant may run now, and spends a token if so. The caller calls Allow
// immediately before it sends the request, because the limit counts executions. A tenant that isn't in the limits,
// or whose rate is 0, has no limit.
func (l *LocalLimiter) Allow(now time.Duration, tenant string) bool {
	l.advance(now)
	t := l.tenants[tenant]
	if t == nil {
		return true
	}
	t.advance(now, l.floorFillSeconds)
	t.demand.add(now, shortTimeConstant, 1)
	if t.deferred {
		return l.allowDeferred(now, t)
	}
	return l.allowPrepaid(now, t)
}

// allowPrepaid implements Allow for a prepaid tenant.
func (l *LocalLimiter) allowPrepaid(now time.Duration, t *tenantBucket) bool {
	t.longDemand.add(now, longTimeConstant, 1)
	tokens := t.tokens()
	allowed := tokens >= oneToken
	if allowed {
		if t.spend() {
			t.usage.FromFloor++
		} else {
			t.usage.FromGrants++
		}
		t.admittedRate.add(now, shortTimeConstant, 1)
		tokens--
	} else {
		t.usage.Rejected++
	}
	if !allowed || tokens < lowWaterFraction*t.target(now) {
		if t.underGranted {
			l.schedule.scarce = true
		} else {
			l.schedule.urgent = true
		}
	}
	return allowed
}

// allowDeferred implements Allow for a deferred tenant. In contact, the admitted fraction of the requests runs, as
// long as the local bucket has tokens. Out of contact, requests run on the floor alone and are not reported, because
// the Allocator leaves this member its share of the rate.
func (l *LocalLimiter) allowDeferred(now time.Duration, t *tenantBucket) bool {
	b := &t.local
	l.fillLocal(now, t)
	inContact := t.bothDefer && now <= l.inContactUntil
	allowed := b.tokens >= oneToken && (!inContact || b.sampled(l.random))
	if allowed {
		b.tokens = max(0, b.tokens-1)
		t.admittedRate.add(now, shortTimeConstant, 1)
		t.usage.Deferred++
	} else {
		t.usage.Rejected++
	}
	if inContact {
		b.record(allowed)
	}
	switch {
	case b.throttled:
		l.schedule.throttled = true
	case b.tokens < oneToken || b.admitted-b.reported.Admitted >= t.reportThreshold:
		l.schedule.urgent = true
	}
	return allowed
}

// RetryAfter returns after what time a rejected client of the tenant should retry: the time increases with the ratio
// of the recent demand to the recently admitted requests at this sidecar.
func (l *LocalLimiter) RetryAfter(now time.Duration, tenant string) time.Duration {
	t := l.tenants[tenant]
	if t == nil {
		return minRetryAfter
	}
	admittedRate := max(t.admittedRate.value(now, shortTimeConstant), t.rate/float64(max(1, l.planner.plannedMembers)))
	if admittedRate <= 0 {
		return maxRetryAfter
	}
	excess := t.demand.value(now, shortTimeConstant) / admittedRate
	wait := shortTimeConstant.Seconds() * min(excess, maxRetryAfter.Seconds()/shortTimeConstant.Seconds())
	return max(minRetryAfter, time.Duration(wait*float64(time.Second)))
}

// NextRequest returns the time of the next request to the Allocator: early if a tenant is short of tokens, otherwise
// in time to renew the lease. Each call of Allow may move it to an earlier time.
func (l *LocalLimiter) NextRequest(now time.Duration) time.Duration {
	return l.schedule.next(now)
}

// Request returns the request to send to the Allocator now. The request must be sent even if it has no demands,
// because it renews the lease of the floors. Only one request is in flight at a time; tokens that are granted in the
// response expire TokenTTL after now.
func (l *LocalLimiter) Request(now time.Duration) Request {
	l.advance(now)
	request := Request{
		Members: l.planner.members.value(now),
		Lease:   l.lease.renew(now, l.schedule.awaitingResponse, l.planner.plannedMembers),
	}
	l.schedule.request(now)
	for name, t := range l.tenants {
		if demand, hasDemand := t.nextDemand(now, name, l.floorFillSeconds); hasDemand {
			request.Demands = append(request.Demands, demand)
		}
	}
	return request
}

// ApplyResponse applies the response to the last Request. A deferred tenant that isn't listed as throttled is no
// longer throttled, except within throttleCarryOver of the first response of an epoch. Tokens that have expired in
// transit are lost. A response of an epoch before the newest one seen, or while no request is in flight, returns
// errs.Stale and changes nothing; a response with invalid numbers returns errs.Invalid and changes nothing.
func (l *LocalLimiter) ApplyResponse(now time.Duration, response Response) error {
	if !l.schedule.awaitingResponse {
		return errs.New(errs.Stale, "response of epoch %d received while no request is in flight", response.Epoch)
	}
	if response.Epoch < l.epoch {
		return errs.New(errs.Stale, "response of epoch %d is stale, the newest epoch seen is %d", response.Epoch, l.epoch)
	}
	if err := validateResponse(&response); err != nil {
		return err
	}
	l.advance(now)
	if response.Epoch > l.epoch {
		l.epoch, l.epochStart = response.Epoch, now
	}
	l.recordPeerMembers(now, response.Members)
	l.acknowledgeReports(now)
	l.schedule.awaitingResponse = false
	l.schedule.leaseDue = l.lease.recordResponse(now, l.schedule.requestedAt, &response)
	l.inContactUntil = max(l.inContactUntil, l.schedule.requestedAt+contactTTL)
	l.applyThrottling(now, response.Throttled)
	l.applyGrants(now, response.Grants)
	return nil
}

// recordPeerMembers records the number of members by which the Allocator divides. An Allocator of an earlier release
// sends no number; it is assumed to divide by the number known to this sidecar.
func (l *LocalLimiter) recordPeerMembers(now time.Duration, members int) {
	if members == UnknownMembers {
		members = l.planner.members.value(now)
	}
	if members != l.planner.peerMembers {
		l.planner.peerMembers = members
		l.replan(now)
	}
}

// acknowledgeReports completes the reports of deferred tenants that the Allocator has received, and refills the local
// buckets of tenants that the Allocator treats as deferred as well.
func (l *LocalLimiter) acknowledgeReports(now time.Duration) {
	for _, t := range l.tenants {
		t.underGranted = t.requestedTokens > 0
		if t.deferred {
			l.fillLocal(now, t)
			if t.bothDefer {
				t.local.refill(&t.plan)
			}
			t.local.acknowledgeReport()
		}
	}
}

// applyThrottling sets which deferred tenants are throttled, and the admitted fractions. Within throttleCarryOver of
// the first response of an epoch, tenants that were throttled before stay throttled.
// applyThrottling sets which deferred tenants are throttled, and the admitted fractions.
func (l *LocalLimiter) applyThrottling(now time.Duration, throttled []Throttled) {
	if now-l.epochStart >= throttleCarryOver {
		for _, t := range l.tenants {
			t.local.setThrottle(false, 1)
		}
	}
	for _, throttle := range throttled {
		if t := l.tenants[throttle.Tenant]; t != nil {
			t.local.setThrottle(true, throttle.AdmittedFraction)
		}
	}
}

// applyGrants adds granted tokens, unless the tokens have expired in transit.
func (l *LocalLimiter) applyGrants(now time.Duration, grants []Grant) {
	expires := l.schedule.requestedAt + TokenTTL
	if now >= expires {
		return
	}
	for _, grant := range grants {
		t := l.tenants[grant.Tenant]
		if t == nil || t.deferred {
			continue
		}
		t.underGranted = grant.Tokens < t.requestedTokens*oneToken
		t.advance(now, l.floorFillSeconds)
		t.grants = append(t.grants, grantedTokens{grant.Tokens, expires})
	}
}

// validateResponse returns errs.Invalid if a number of the response is out of its range.
func validateResponse(response *Response) error {
	if response.Members < 0 || response.Members > maxMembers {
		return errs.New(errs.Invalid, "response member count %d must be between 0 and 16384", response.Members)
	}
	for _, grant := range response.Grants {
		if !validAmount(grant.Tokens) {
			return errs.New(errs.Invalid, "tenant %q: grant of %v tokens must be between 0 and 1e12",
				grant.Tenant, grant.Tokens)
		}
	}
	for _, throttle := range response.Throttled {
		if !(throttle.AdmittedFraction >= 0 && throttle.AdmittedFraction <= 1) {
			return errs.New(errs.Invalid, "tenant %q: admitted fraction %v must be between 0 and 1",
				throttle.Tenant, throttle.AdmittedFraction)
		}
	}
	return nil
}

// fillLocal fills the local bucket of a deferred tenant: at the local rate while the Allocator receives the tenant's
// reports, and at the rate of the floor after the lease of the floors has expired.
func (l *LocalLimiter) fillLocal(now time.Duration, t *tenantBucket) {
	fillUntil := time.Duration(0)
	if t.bothDefer {
		fillUntil = l.localFillEnd()
	}
	t.local.fill(now, fillUntil, l.lease.deferredLeasedUntil, &t.plan)
}

// localFillEnd returns the time at which the local buckets of deferred tenants stop filling at the local rate.
func (l *LocalLimiter) localFillEnd() time.Duration {
	if l.schedule.awaitingResponse {
		return min(l.inContactUntil, l.schedule.unansweredSince+responseTimeout)
	}
	return l.inContactUntil
}

// advance adds the time up to now in which floors fill.
func (l *LocalLimiter) advance(now time.Duration) {
	if from := max(l.updatedAt, l.lease.leasedUntil); now > from {
		l.floorFillSeconds += (now - from).Seconds()
	}
	l.updatedAt = max(l.updatedAt, now)
	if l.planner.outdated(now) {
		l.replan(now)
	}
}

// replan updates the plans of all tenants to the limits and the number of members. Floors are first filled under the
// previous plans.
func (l *LocalLimiter) replan(now time.Duration) {
	l.planner.update(now)
	removeUnlimited(l.tenants, l.planner.limits)
	for _, t := range l.tenants {
		t.advance(now, l.floorFillSeconds)
		if t.deferred {
			l.fillLocal(now, t)
		}
	}
	l.schedule.hasPrepaid = false
	for name, limit := range l.planner.limits {
		t := l.tenants[name]
		if t == nil {
			t = newTenantBucket(now, l.floorFillSeconds, l.random.Float64())
			l.tenants[name] = t
		}
		t.setPlan(now, l.planner.plan(limit))
		t.bothDefer = t.deferred && l.planner.peerDefers(limit)
		l.schedule.hasPrepaid = l.schedule.hasPrepaid || !t.deferred
	}
}
