package quota

import (
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// responseTimeout is how long a response may be missing before the local buckets of deferred tenants
	// are no larger than their floors and stop filling. It guards against a sidecar out of contact that
	// admits as if it were in contact.
	responseTimeout = 600 * time.Millisecond
	// throttleCarryOver is how long after the first response of a new epoch the tenants stay throttled
	// that the last epoch throttled. It guards against a tenant with much demand of which the new
	// Allocator hasn't learned from all sidecars.
	throttleCarryOver = idleInterval
	// minRetryAfter and maxRetryAfter bound the Retry-After of rejected clients. They guard against a herd
	// that retries at once and against clients that stay away when there is capacity again.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 2 * time.Second
)

// LocalLimiter is what one sidecar may spend for each tenant: granted tokens and a floor of its own, or,
// of deferred tenants, what it admits and reports. Which requests of a throttled tenant run is random.
//
// A cycle is: NextRequest returns when to ask, Demands what to ask for, ApplyGrants applies the response.
type LocalLimiter struct {
	planner  planner
	tenants  map[string]*tenantBucket
	schedule requestSchedule
	random   *rand.Rand // which requests of a throttled tenant run

	updatedAt       time.Duration // up to when floorSeconds is counted
	floorSeconds    float64       // seconds in which floors have filled since the start
	floorLeaseUntil time.Duration // floors don't fill before

	epoch          Epoch         // the newest seen
	epochStart     time.Duration // the first response of the epoch
	inContactUntil time.Duration // until then the Allocator counts this member as in contact
}

// NewLocalLimiter returns a limiter that knows no tenant yet. Rules that can't be used are errs.Invalid.
func NewLocalLimiter(rules Rules) (*LocalLimiter, error) {
	planner, err := newPlanner(rules)
	if err != nil {
		return nil, err
	}
	return &LocalLimiter{
		planner: planner, tenants: map[string]*tenantBucket{},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, nil
}

// Configure sets the limits of all tenants and the number of sidecars. A lower limit holds at once for
// the floor, and within TokenTTL for what was granted before. A tenant that is new starts with a full
// floor. Limits that can't be used are errs.Invalid and change nothing.
func (l *LocalLimiter) Configure(now time.Duration, limits map[string]Limit, members int) error {
	if err := validateLimits(limits, members); err != nil {
		return err
	}
	l.advance(now)
	l.planner.configure(now, limits, members)
	l.replan(now)
	return nil
}

// Allow reports whether a request of the tenant may run now, and spends a token on it if so. It belongs
// right before the send, as the limit counts executions. A tenant that the limits don't name, or whose
// rate is 0, has no limit.
func (l *LocalLimiter) Allow(now time.Duration, tenant string) bool {
	l.advance(now)
	t := l.tenants[tenant]
	if t == nil {
		return true
	}
	t.advance(now, l.floorSeconds)
	t.demand.add(now, shortAverage, 1)
	if t.deferred {
		return l.allowDeferred(now, t)
	}
	return l.allowPrepaid(now, t)
}

// allowPrepaid is Allow for a prepaid tenant.
func (l *LocalLimiter) allowPrepaid(now time.Duration, t *tenantBucket) bool {
	t.longDemand.add(now, longAverage, 1)
	tokens := t.tokens()
	allowed := tokens >= oneToken
	if allowed {
		if t.spend() {
			t.usage.FromFloor++
		} else {
			t.usage.FromGrants++
		}
		t.served.add(now, shortAverage, 1)
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

// allowDeferred is Allow for a deferred tenant. In contact, the admitted fraction of the requests runs,
// up to the local bucket; out of contact the floor alone decides, and what it admits isn't reported, as
// the Allocator leaves this member its share.
func (l *LocalLimiter) allowDeferred(now time.Duration, t *tenantBucket) bool {
	b := &t.local
	b.fill(now, l.refillUntil(), l.inContactUntil, &t.plan)
	inContact := now <= l.inContactUntil
	allowed := b.tokens >= oneToken && (!inContact || b.drawn(l.random))
	if allowed {
		b.tokens = max(0, b.tokens-1)
		t.served.add(now, shortAverage, 1)
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
	case b.tokens < oneToken || b.admitted-b.reported.Used >= t.reportThreshold:
		l.schedule.urgent = true
	}
	return allowed
}

// RetryAfter returns when a rejected client of the tenant should retry: the longer, the further the
// demand here is above what was served here lately.
func (l *LocalLimiter) RetryAfter(now time.Duration, tenant string) time.Duration {
	t := l.tenants[tenant]
	if t == nil {
		return minRetryAfter
	}
	served := max(t.served.value(now, shortAverage), t.rate/float64(l.planner.plannedMembers))
	if served <= 0 {
		return maxRetryAfter
	}
	excess := t.demand.value(now, shortAverage) / served
	wait := shortAverage.Seconds() * min(excess, maxRetryAfter.Seconds()/shortAverage.Seconds())
	return max(minRetryAfter, time.Duration(wait*float64(time.Second)))
}

// NextRequest returns when to ask the Allocator again: soon if something runs short, in time for the
// lease otherwise. Each Allow may bring it forward.
func (l *LocalLimiter) NextRequest(now time.Duration) time.Duration {
	return l.schedule.next(now)
}

// Demands returns what to ask the Allocator for now; it is empty when nothing is wanted. The request is
// made all the same, as its response renews the lease. One request is in flight at a time; the tokens
// that it brings live from here.
func (l *LocalLimiter) Demands(now time.Duration) []Demand {
	l.advance(now)
	l.schedule.request(now)
	var demands []Demand
	for name, t := range l.tenants {
		if demand, some := t.nextDemand(now, name, l.floorSeconds); some {
			demands = append(demands, demand)
		}
	}
	return demands
}

// ApplyGrants applies the response to the last Demands; a deferred tenant that isn't among the throttled
// ones is no longer throttled. The floors are held back until limiterFloorLease after that request. A
// response of an older epoch than one seen before is errs.Stale and changes nothing, as is one
// while no request is in flight; one with impossible numbers is errs.Invalid.
func (l *LocalLimiter) ApplyGrants(
	now time.Duration, epoch Epoch, grants []Grant, throttled []Throttled,
) error {
	if !l.schedule.awaitingResponse {
		return errs.New(errs.Stale, "response of epoch %d, no request is in flight", epoch)
	}
	if epoch < l.epoch {
		return errs.New(errs.Stale, "response of epoch %d, the newest seen is %d", epoch, l.epoch)
	}
	if err := validateResponse(grants, throttled); err != nil {
		return err
	}
	l.advance(now)
	if epoch > l.epoch {
		l.epochStart = now
	}
	refilledUntil := l.refillUntil()
	l.epoch, l.schedule.awaitingResponse = epoch, false
	l.floorLeaseUntil = max(l.floorLeaseUntil, l.schedule.requestedAt+limiterFloorLease)
	for _, t := range l.tenants {
		t.underGranted = t.requestedTokens > 0
		if t.deferred {
			t.local.applyResponse(now, refilledUntil, l.inContactUntil, &t.plan)
			if now-l.epochStart >= throttleCarryOver {
				t.local.setThrottle(false, 1)
			}
		}
	}
	l.inContactUntil = max(l.inContactUntil, l.schedule.requestedAt+contactTTL)
	for _, throttle := range throttled {
		if t := l.tenants[throttle.Tenant]; t != nil {
			t.local.setThrottle(true, throttle.Share)
		}
	}
	for _, grant := range grants {
		if t := l.tenants[grant.Tenant]; t != nil {
			t.underGranted = grant.Tokens < t.requestedTokens*oneToken
			t.advance(now, l.floorSeconds)
			t.grants = append(t.grants, grantedTokens{grant.Tokens, l.schedule.requestedAt + TokenTTL})
		}
	}
	return nil
}

func validateResponse(grants []Grant, throttled []Throttled) error {
	for _, grant := range grants {
		if !validAmount(grant.Tokens) {
			return errs.New(errs.Invalid, "tenant %q: invalid grant of %v tokens", grant.Tenant, grant.Tokens)
		}
	}
	for _, throttle := range throttled {
		if !(throttle.Share >= 0 && throttle.Share <= 1) {
			return errs.New(errs.Invalid, "tenant %q: share %v must lie between 0 and 1",
				throttle.Tenant, throttle.Share)
		}
	}
	return nil
}

// refillUntil is until when the local buckets of deferred tenants fill.
func (l *LocalLimiter) refillUntil() time.Duration {
	if l.schedule.awaitingResponse {
		return min(l.inContactUntil, l.schedule.unansweredSince+responseTimeout)
	}
	return l.inContactUntil
}

// advance counts the time in which floors fill, up to now.
func (l *LocalLimiter) advance(now time.Duration) {
	if from := max(l.updatedAt, l.floorLeaseUntil); now > from {
		l.floorSeconds += (now - from).Seconds()
	}
	l.updatedAt = max(l.updatedAt, now)
	if l.planner.outdated(now) {
		l.replan(now)
	}
}

// replan brings the tenants in line with limits and members. Floors are filled first under the plans
// that held so far.
func (l *LocalLimiter) replan(now time.Duration) {
	l.planner.update(now)
	removeUnlimited(l.tenants, l.planner.limits)
	for _, t := range l.tenants {
		t.advance(now, l.floorSeconds)
	}
	l.schedule.hasPrepaid = false
	for name, limit := range l.planner.limits {
		t := l.tenants[name]
		if t == nil {
			t = newTenantBucket(now, l.floorSeconds, l.random.Float64())
			l.tenants[name] = t
		}
		t.setPlan(l.planner.plan(limit))
		l.schedule.hasPrepaid = l.schedule.hasPrepaid || !t.deferred
	}
}
