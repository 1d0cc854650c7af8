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
// A cycle is: NextRequest returns when to ask, NextRequest's caller sends what Request returns, and
// ApplyResponse applies the response.
type LocalLimiter struct {
	planner  planner
	tenants  map[string]*tenantBucket
	schedule requestSchedule
	random   *rand.Rand // which requests of a throttled tenant run

	updatedAt    time.Duration // up to when floorSeconds is counted
	floorSeconds float64       // seconds in which floors have filled since the start

	epoch          Epoch         // the newest seen
	epochStart     time.Duration // the first response of the epoch
	inContactUntil time.Duration // the last response counts until then
	lease          leaseState
}

// NewLocalLimiter returns a limiter that knows no tenant yet; now is when the process has started, or
// later. Rules that can't be used are errs.Invalid.
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

// Configure sets the limits of all tenants and the number of sidecars, UnknownMembers until one is known.
// A lower limit holds at once for the floor, and within TokenTTL for what was granted before. A tenant
// that is new starts with an empty floor. Limits that can't be used are errs.Invalid and change nothing.
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
	l.fillLocal(now, t)
	inContact := t.peerDefersToo && now <= l.inContactUntil
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
	served := max(t.served.value(now, shortAverage), t.rate/float64(max(1, l.planner.plannedMembers)))
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

// Request returns the request to send to the Allocator now. It is to be sent even if nothing is wanted, as
// it renews the lease of the floors. One request is in flight at a time; the tokens that it brings live
// from here.
func (l *LocalLimiter) Request(now time.Duration) Request {
	l.advance(now)
	request := Request{
		Members: l.planner.members.at(now),
		Lease:   l.lease.renew(now, l.schedule.awaitingResponse, l.planner.plannedMembers),
	}
	l.schedule.request(now)
	for name, t := range l.tenants {
		if demand, some := t.nextDemand(now, name, l.floorSeconds); some {
			request.Demands = append(request.Demands, demand)
		}
	}
	return request
}

// ApplyResponse applies the response to the last Request; a deferred tenant that isn't among the throttled
// ones is no longer throttled. Tokens that have expired on their way are lost. A response of an older
// epoch than one seen before is errs.Stale and changes nothing, as is one while no request is in flight;
// one with impossible numbers is errs.Invalid.
func (l *LocalLimiter) ApplyResponse(now time.Duration, response Response) error {
	if !l.schedule.awaitingResponse {
		return errs.New(errs.Stale, "response of epoch %d, no request is in flight", response.Epoch)
	}
	if response.Epoch < l.epoch {
		return errs.New(errs.Stale, "response of epoch %d, the newest seen is %d", response.Epoch, l.epoch)
	}
	if err := validateResponse(&response); err != nil {
		return err
	}
	l.advance(now)
	if response.Epoch > l.epoch {
		l.epoch, l.epochStart = response.Epoch, now
	}
	l.recordPeerMembers(now, response.Members)
	l.endReports(now)
	l.schedule.awaitingResponse = false
	l.schedule.leaseDue = l.lease.responded(now, l.schedule.requestedAt, &response)
	l.inContactUntil = max(l.inContactUntil, l.schedule.requestedAt+contactTTL)
	l.applyThrottling(now, response.Throttled)
	l.applyGrants(now, response.Grants)
	return nil
}

// recordPeerMembers records by how many members the Allocator divides. One of an earlier release doesn't
// say; it sees what this sidecar sees.
func (l *LocalLimiter) recordPeerMembers(now time.Duration, members int) {
	if members == UnknownMembers {
		members = l.planner.members.at(now)
	}
	if members != l.planner.peerMembers {
		l.planner.peerMembers = members
		l.replan(now)
	}
}

// endReports ends the reports of deferred tenants that the Allocator now knows, and refills their buckets if
// it took them for reports.
func (l *LocalLimiter) endReports(now time.Duration) {
	for _, t := range l.tenants {
		t.underGranted = t.requestedTokens > 0
		if t.deferred {
			l.fillLocal(now, t)
			if t.peerDefersToo {
				t.local.refill(&t.plan)
			}
			t.local.endReport()
		}
	}
}

// applyThrottling sets which deferred tenants are throttled.
func (l *LocalLimiter) applyThrottling(now time.Duration, throttled []Throttled) {
	if now-l.epochStart >= throttleCarryOver {
		for _, t := range l.tenants {
			t.local.setThrottle(false, 1)
		}
	}
	for _, throttle := range throttled {
		if t := l.tenants[throttle.Tenant]; t != nil {
			t.local.setThrottle(true, throttle.Share)
		}
	}
}

// applyGrants adds granted tokens, unless they have expired on their way.
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
		t.advance(now, l.floorSeconds)
		t.grants = append(t.grants, grantedTokens{grant.Tokens, expires})
	}
}

func validateResponse(response *Response) error {
	if response.Members < 0 || response.Members > maxMembers {
		return errs.New(errs.Invalid, "response of %d members", response.Members)
	}
	for _, grant := range response.Grants {
		if !validAmount(grant.Tokens) {
			return errs.New(errs.Invalid, "tenant %q: invalid grant of %v tokens", grant.Tenant, grant.Tokens)
		}
	}
	for _, throttle := range response.Throttled {
		if !(throttle.Share >= 0 && throttle.Share <= 1) {
			return errs.New(errs.Invalid, "tenant %q: share %v must lie between 0 and 1",
				throttle.Tenant, throttle.Share)
		}
	}
	return nil
}

// fillLocal fills the local bucket of a deferred tenant: by reports while the Allocator knows of them, and
// as a floor once the lease of the floors is over.
func (l *LocalLimiter) fillLocal(now time.Duration, t *tenantBucket) {
	refilledUntil := time.Duration(0)
	if t.peerDefersToo {
		refilledUntil = l.refillUntil()
	}
	t.local.fill(now, refilledUntil, l.lease.deferredUntil, &t.plan)
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
	if from := max(l.updatedAt, l.lease.until); now > from {
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
		if t.deferred {
			l.fillLocal(now, t)
		}
	}
	l.schedule.hasPrepaid = false
	for name, limit := range l.planner.limits {
		t := l.tenants[name]
		if t == nil {
			t = newTenantBucket(now, l.floorSeconds, l.random.Float64())
			l.tenants[name] = t
		}
		t.setPlan(now, l.planner.plan(limit))
		t.peerDefersToo = t.deferred && l.planner.peerDefers(limit)
		l.schedule.hasPrepaid = l.schedule.hasPrepaid || !t.deferred
	}
}
