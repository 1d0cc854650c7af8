package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// minRequestInterval is the shortest time between two asks. It guards the sequencer against an ask for each request.
	minRequestInterval = 60 * time.Millisecond
	// scarceRequestInterval is the time between two asks when only tenants run short whose last ask wasn't granted in full. It
	// guards the sequencer against many sidecars under pressure, where asking sooner brings no more.
	scarceRequestInterval = 120 * time.Millisecond
	// renewInterval is the longest time between two asks. It is half of allocatorFloorLease, so that one late ask doesn't cost a
	// sidecar's share.
	renewInterval = 250 * time.Millisecond
	// idleInterval is the longest time between two asks where all tenants are post-paid and calm. It guards the sequencer
	// against many sidecars.
	idleInterval = time.Second
	// responseGrowth is how many times what came before an answer a local bucket holds after it, up to maxGrowthFraction of a
	// second's rate. They guard a tenant that comes to few sidecars.
	responseGrowth, maxGrowthFraction = 2, 0.25
	// responseTimeout is how long an answer may be missing before the local buckets of post-paid tenants are no larger than
	// their floors and stop filling. It guards against a sidecar out of contact that lets in as if it were heard.
	responseTimeout = 600 * time.Millisecond
	// throttleCarryOver is how long after the first answer of a new dealer what the last one closed stays closed. It guards against
	// a hot tenant that the new dealer hasn't heard of from all sidecars.
	throttleCarryOver = idleInterval
	// horizon is the time ahead for which tokens are held.
	demandHorizon = 250 * time.Millisecond
	// headroom is how many standard deviations above the predicted demand are held. It guards against refusals by chance.
	headroomDeviations = 2
	// minRequestTokens is the smallest ask. It guards against calls that carry crumbs.
	minRequestTokens = 0.01
	// lowWaterFraction is the part of what should be held below which the dealer is asked soon. It guards against a purse
	// that is empty before the next regular ask.
	lowWaterFraction = 0.7
	// shortAverage is the time constant of the averages that follow a change of the demand.
	shortAverage = 300 * time.Millisecond
	// longAverage is the time constant of the average that stands between two requests of a small demand. It guards
	// against a purse that lets its tokens go whenever nothing came for a moment.
	longAverage = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound what refused clients are told. They guard against a herd that comes back at once
	// and against clients that stay away when there is room again.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 2 * time.Second
)

// LocalLimiter is what one sidecar may spend for each tenant: tokens that the dealer gave and a floor of its own, or, of post-paid
// tenants, what it lets in and reports. Which requests of a closed tenant run is left to chance.
type LocalLimiter struct {
	rules          Rules
	limits         map[string]Limit
	tenants        map[string]*tenantBucket
	members        memberCount
	plannedMembers int // members that the plans are made for

	epoch            uint64
	updatedAt        time.Duration // up to when free is counted
	floorSeconds     float64       // seconds in which floors have filled
	floorLeaseUntil  time.Duration // floors don't fill before
	inContactUntil   time.Duration // the dealer counts this member in for post-paid tenants
	unansweredSince  time.Duration // when the first ask that has no answer yet was made, if awaiting
	epochStart       time.Duration // the first answer of the epoch
	hasPrepaid       bool          // a tenant is dealt tokens
	random           *rand.Rand    // which requests of a closed tenant run
	requestedAt      time.Duration
	hasRequested     bool
	awaitingResponse bool // the last Asks has no answer yet
	urgent           bool // a tenant runs short since the last ask, or has much to report
	throttledDemand  bool // a closed tenant has something to report
	scarceDemand     bool // a tenant whose last ask wasn't granted in full does
}

// pocket is one tenant's part of a purse.
type tenantBucket struct {
	plan
	grants              []grantedTokens // by expiry, the first first
	floor, floorSeconds float64
	demand, served      movingAverage
	longDemand          movingAverage // the demand over a longer time
	requestedTokens     float64       // in the last ask
	underGranted        bool          // the last ask wasn't granted in full

	// Of a post-paid tenant:
	throttled         bool
	admittedFraction  float64       // of its requests that may run
	localTokens       float64       // what may run here
	localUpdatedAt    time.Duration // up to when local is counted
	contactLost       bool          // contact ended since the last answer
	phase             float64       // of a token, that is left when contact ends for a closed tenant
	arrived, admitted float64       // since the last answered ask
	reported          Demand        // in the last ask
}

type grantedTokens struct {
	tokens  float64
	expires time.Duration
}

// average is a moving average of events a second.
type movingAverage struct {
	rate float64
	at   time.Duration
}

func (a *movingAverage) value(now, over time.Duration) float64 {
	if now > a.at {
		a.rate *= math.Exp(-(now - a.at).Seconds() / over.Seconds())
		a.at = now
	}
	return a.rate
}

func (a *movingAverage) count(now, over time.Duration) {
	a.rate = a.value(now, over) + 1/over.Seconds()
}

// NewLocalLimiter returns a purse that knows no tenant yet.
func NewLocalLimiter(rules Rules) (*LocalLimiter, error) {
	if err := rules.validate(); err != nil {
		return nil, err
	}
	p := &LocalLimiter{rules: rules, tenants: map[string]*tenantBucket{}, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	p.members.set(0, 1)
	return p, nil
}

// Configure sets the limits of all tenants and the number of sidecars. A lower limit holds at once for the floor, and
// within TokenTTL for what was dealt before. A tenant that is new starts with a full floor. Limits that can't be used
// change nothing.
func (p *LocalLimiter) Configure(now time.Duration, limits map[string]Limit, members int) error {
	if err := validateLimits(limits, members); err != nil {
		return err
	}
	p.advance(now)
	p.members.set(now, members)
	p.limits = enforcedLimits(limits)
	p.replan(now)
	return nil
}

// replan brings the plans in line with limits and members. Floors are filled first under the plans that held so far.
func (p *LocalLimiter) replan(now time.Duration) {
	p.plannedMembers = p.members.at(now)
	for name, t := range p.tenants {
		if _, ok := p.limits[name]; !ok {
			delete(p.tenants, name)
			continue
		}
		t.advance(now, p.floorSeconds)
	}
	p.hasPrepaid = false
	for name, l := range p.limits {
		t := p.tenants[name]
		if t == nil {
			t = &tenantBucket{floorSeconds: p.floorSeconds, floor: math.Inf(1), localTokens: math.Inf(1), localUpdatedAt: now, admittedFraction: 1, phase: p.random.Float64()}
			p.tenants[name] = t
		}
		t.plan = p.rules.plan(l, p.plannedMembers)
		t.floor = min(t.floor, t.floorDepth)
		if t.localTokens > maxAmount {
			t.localTokens = t.floorDepth
		}
		p.hasPrepaid = p.hasPrepaid || !t.deferred
	}
}

// settle counts the time in which floors fill, up to now.
func (p *LocalLimiter) advance(now time.Duration) {
	if from := max(p.updatedAt, p.floorLeaseUntil); now > from {
		p.floorSeconds += (now - from).Seconds()
	}
	p.updatedAt = max(p.updatedAt, now)
	if p.members.at(now) != p.plannedMembers {
		p.replan(now)
	}
}

// settle fills the floor and drops into it what has expired, up to its depth.
func (t *tenantBucket) advance(now time.Duration, floorSeconds float64) {
	t.floor += t.floorRate * (floorSeconds - t.floorSeconds)
	t.floorSeconds = floorSeconds
	expired := 0
	for expired < len(t.grants) && t.grants[expired].expires <= now {
		t.floor += t.grants[expired].tokens
		expired++
	}
	t.grants = append(t.grants[:0], t.grants[expired:]...)
	t.floor = min(t.floor, t.floorDepth)
}

func (t *tenantBucket) total() float64 {
	sum := t.floor
	for _, l := range t.grants {
		sum += l.tokens
	}
	return sum
}

// spend takes one token, of those that expire first first and of the floor last.
func (t *tenantBucket) spend() {
	remaining, expired := 1.0, 0
	for expired < len(t.grants) && t.grants[expired].tokens <= remaining {
		remaining -= t.grants[expired].tokens
		expired++
	}
	t.grants = append(t.grants[:0], t.grants[expired:]...)
	if len(t.grants) > 0 {
		t.grants[0].tokens -= remaining
		return
	}
	t.floor = max(0, t.floor-remaining)
}

// target is what the pocket should hold: the demand of the horizon with headroom, and no less than a full floor. A
// single request is no sign of more, so the short average counts less one.
func (t *tenantBucket) target(now time.Duration) float64 {
	recent := t.demand.value(now, shortAverage) - 1/shortAverage.Seconds()
	expected := max(recent, t.longDemand.value(now, longAverage)) * demandHorizon.Seconds()
	return max(expected+headroomDeviations*math.Sqrt(expected), t.floorDepth)
}

// Allow says whether a request of the tenant may run now, and spends a token on it if so. It belongs right before the
// send, as the quota counts runs. A tenant that the limits don't name, or whose rate is 0, has no limit.
func (p *LocalLimiter) Allow(now time.Duration, tenant string) bool {
	p.advance(now)
	t := p.tenants[tenant]
	if t == nil {
		return true
	}
	t.advance(now, p.floorSeconds)
	t.demand.count(now, shortAverage)
	if t.deferred {
		return p.allowDeferred(now, t)
	}
	t.longDemand.count(now, longAverage)
	total := t.total()
	allowed := total >= wholeToken
	if allowed {
		t.spend()
		t.served.count(now, shortAverage)
		total--
	}
	if !allowed || total < lowWaterFraction*t.target(now) {
		if t.underGranted {
			p.scarceDemand = true
		} else {
			p.urgent = true
		}
	}
	return allowed
}

// let is Take for a post-paid tenant. In contact, the dealer's share of the requests runs, up to the local bucket; out of
// contact the floor alone decides, and what it lets in isn't reported, as the dealer leaves this member its part.
func (p *LocalLimiter) allowDeferred(now time.Duration, t *tenantBucket) bool {
	t.fillLocal(now, p.refillUntil(), p.inContactUntil)
	contact := now <= p.inContactUntil
	allowed := t.localTokens >= wholeToken && (!contact || t.admittedFraction >= 1 || p.random.Float64() < t.admittedFraction)
	if allowed {
		t.localTokens = max(0, t.localTokens-1)
		t.served.count(now, shortAverage)
	}
	if contact {
		t.arrived++
		if allowed {
			t.admitted++
		}
	}
	switch {
	case t.throttled:
		p.throttledDemand = true
	case t.localTokens < wholeToken || t.admitted-t.reported.Used >= t.reportThreshold:
		p.urgent = true
	}
	return allowed
}

// contact is until when the local buckets of open tenants fill.
func (p *LocalLimiter) refillUntil() time.Duration {
	if p.awaitingResponse {
		return min(p.inContactUntil, p.unansweredSince+responseTimeout)
	}
	return p.inContactUntil
}

// fill fills the local bucket: as an open one's until the contact ends, and as a floor once the dealer leaves this member
// its part. Depth that an answer gave stays until it is spent or the contact ends.
// A closed tenant is then left a part of a token that differs by sidecar, so that the floors of all don't hold a token
// each at once.
func (t *tenantBucket) fillLocal(now, contact, counted time.Duration) {
	if in := min(now, contact); in > t.localUpdatedAt {
		t.localTokens = max(t.localTokens, min(t.localTokens+t.localRate*(in-t.localUpdatedAt).Seconds(), t.localDepth))
		t.localUpdatedAt = in
	}
	if now > contact {
		if t.throttled && !t.contactLost {
			t.localTokens = min(t.localTokens, t.phase)
		}
		t.contactLost = true
		out := max(0, now-max(t.localUpdatedAt, counted))
		t.localTokens = min(t.localTokens+t.floorRate*out.Seconds(), t.floorDepth)
		t.localUpdatedAt = max(t.localUpdatedAt, now)
	}
}

// Demands returns what to ask the dealer for now; it is empty when nothing is wanted. The call is made all the same, as
// its answer renews the lease. One call is under way at a time; the tokens that it brings live from here.
func (p *LocalLimiter) Demands(now time.Duration) []Demand {
	p.advance(now)
	if !p.awaitingResponse {
		p.unansweredSince = now
	}
	p.requestedAt, p.hasRequested, p.awaitingResponse = now, true, true
	p.urgent, p.scarceDemand, p.throttledDemand = false, false, false
	var demands []Demand
	for name, t := range p.tenants {
		if t.deferred {
			t.reported, t.requestedTokens = Demand{name, t.arrived, t.admitted}, 0
			if t.arrived > 0 {
				demands = append(demands, t.reported)
			}
			continue
		}
		t.advance(now, p.floorSeconds)
		t.requestedTokens = t.target(now) - t.total()
		if t.requestedTokens >= minRequestTokens {
			demands = append(demands, Demand{Tenant: name, Want: t.requestedTokens})
		} else {
			t.requestedTokens = 0
		}
	}
	return demands
}

// NextRequest returns when the dealer is to be asked again: soon if something runs short, in time for the lease otherwise.
// It is to be looked at again after a Take.
func (p *LocalLimiter) NextRequest(now time.Duration) time.Duration {
	switch {
	case !p.hasRequested:
		return now
	case p.urgent:
		return p.requestedAt + minRequestInterval
	case p.scarceDemand:
		return p.requestedAt + scarceRequestInterval
	case p.hasPrepaid, p.throttledDemand, p.awaitingResponse:
		return p.requestedAt + renewInterval
	}
	return p.requestedAt + idleInterval
}

// ApplyGrants takes the answer to the last Asks in; a post-paid tenant that isn't among the closed ones is open. The floors are held back until limiterFloorLease after that ask. An answer of an
// older epoch than one seen before is Stale and changes nothing, as is one that wasn't asked for.
func (p *LocalLimiter) ApplyGrants(now time.Duration, epoch uint64, grants []Grant, throttled []Throttled) error {
	if !p.awaitingResponse {
		return errs.New(errs.Stale, "grants of epoch %d that nobody awaits", epoch)
	}
	if epoch < p.epoch {
		return errs.New(errs.Stale, "grants of epoch %d, the newest seen is %d", epoch, p.epoch)
	}
	for _, g := range grants {
		if !validAmount(g.Tokens) {
			return errs.New(errs.Invalid, "tenant %q: %v tokens can't be granted", g.Tenant, g.Tokens)
		}
	}
	for _, c := range throttled {
		if !(c.Share >= 0 && c.Share <= 1) {
			return errs.New(errs.Invalid, "tenant %q: %v isn't a share", c.Tenant, c.Share)
		}
	}
	p.advance(now)
	if epoch > p.epoch {
		p.epochStart = now
	}
	contact := p.refillUntil()
	p.epoch, p.awaitingResponse = epoch, false
	p.floorLeaseUntil = max(p.floorLeaseUntil, p.requestedAt+limiterFloorLease)
	for _, t := range p.tenants {
		t.underGranted = t.requestedTokens > 0
		if t.deferred {
			t.applyResponse(now, contact, p.inContactUntil)
			if now-p.epochStart >= throttleCarryOver {
				t.throttled, t.admittedFraction = false, 1
			}
		}
	}
	p.inContactUntil = max(p.inContactUntil, p.requestedAt+contactTTL)
	for _, c := range throttled {
		if t := p.tenants[c.Tenant]; t != nil {
			t.throttled, t.admittedFraction = true, c.Share
		}
	}
	for _, g := range grants {
		if t := p.tenants[g.Tenant]; t != nil {
			t.underGranted = g.Tokens < t.requestedTokens*wholeToken
			t.advance(now, p.floorSeconds)
			t.grants = append(t.grants, grantedTokens{g.Tokens, p.requestedAt + TokenTTL})
		}
	}
	return nil
}

// answered fills the local bucket and takes off what the dealer now knows.
func (t *tenantBucket) applyResponse(now, contact, counted time.Duration) {
	t.fillLocal(now, contact, counted)
	t.localTokens = max(t.localDepth, min(responseGrowth*t.reported.Want, maxGrowthFraction*t.rate))
	t.arrived, t.admitted = t.arrived-t.reported.Want, t.admitted-t.reported.Used
	t.reported, t.contactLost = Demand{}, false
}

// RetryAfter returns when a refused client of the tenant should try again: the longer, the further the demand here is
// above what was served here lately.
func (p *LocalLimiter) RetryAfter(now time.Duration, tenant string) time.Duration {
	t := p.tenants[tenant]
	if t == nil {
		return minRetryAfter
	}
	served := max(t.served.value(now, shortAverage), t.rate/float64(p.plannedMembers))
	if served <= 0 {
		return maxRetryAfter
	}
	wait := shortAverage.Seconds() * min(t.demand.value(now, shortAverage)/served, maxRetryAfter.Seconds()/shortAverage.Seconds())
	return max(minRetryAfter, time.Duration(wait*float64(time.Second)))
}
