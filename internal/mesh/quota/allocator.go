package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// throttleWarningFraction is the fraction of the depth below which a tenant is listed as throttled even if
	// all its requests may run. Members report a throttled tenant every renewInterval, so the Allocator learns
	// of a rising demand earlier than from reports every idleInterval.
	throttleWarningFraction = 0.5
	// maxDemands is the largest number of demands in a request. It bounds the time that the Allocator spends
	// on one request.
	maxDemands = 4096
	// maxNodes is the largest number of nodes that the Allocator tracks. It bounds the memory for node names.
	maxNodes = 4096
	// maxNodeNameBytes is the largest length of a node name. It bounds the memory for node names as well.
	maxNodeNameBytes = 256
)

// Allocator grants tokens of prepaid tenants to sidecars, and throttles the deferred tenants that are near
// their limit. It runs at the leader; the epoch is the term of the leader.
type Allocator struct {
	planner planner
	tenants map[string]*tenantAccount

	epoch              Epoch
	hasEpoch           bool
	grantsFrom         time.Duration       // start of the grants in this epoch
	assumeContactUntil time.Duration       // until then all floors of deferred tenants count as leased to this epoch
	contacts           map[string]*contact // by node

	updatedAt           time.Duration // the time up to which the fill seconds are counted
	prepaidFillSeconds  float64       // seconds of filling at the full rate; floors that aren't leased are excluded
	deferredFillSeconds float64       // the same for deferred tenants
}

// NewAllocator returns an Allocator without tenants. It returns errs.Invalid for invalid rules.
func NewAllocator(rules Rules) (*Allocator, error) {
	planner, err := newPlanner(rules)
	if err != nil {
		return nil, err
	}
	return &Allocator{
		planner: planner, tenants: map[string]*tenantAccount{}, contacts: map[string]*contact{},
	}, nil
}

// Configure sets the limits of all tenants and the number of sidecars. A lower limit takes effect immediately;
// a new tenant starts with an empty bucket. Invalid limits or numbers return errs.Invalid and change nothing.
func (a *Allocator) Configure(now time.Duration, limits map[string]Limit, members int) error {
	if err := validateLimits(limits); err != nil {
		return err
	}
	if err := validateMembers(members); err != nil {
		return err
	}
	a.advance(now)
	a.planner.configure(now, limits, members)
	a.replan(now)
	return nil
}

// Allocate returns the response to a node's request in the given epoch. The first call in a later epoch empties
// all buckets and discards all leases. Tenants without a limit are skipped. The response lists all throttled
// tenants, including tenants that the request doesn't name; no other deferred tenant is throttled.
//
// An epoch before the newest one returns errs.Stale. Requests within TokenTTL of the start of the epoch, and
// requests of new nodes beyond maxNodes, return errs.Busy and are granted nothing. Invalid requests return
// errs.Invalid or errs.TooLarge.
func (a *Allocator) Allocate(
	now time.Duration, epoch Epoch, node string, request *Request,
) (Response, error) {
	if err := validateRequest(node, request); err != nil {
		return Response{}, err
	}
	if a.hasEpoch && epoch < a.epoch {
		return Response{}, errs.New(errs.Stale, "epoch %d is over, this is %d", epoch, a.epoch)
	}
	a.advance(now)
	if !a.hasEpoch || epoch > a.epoch {
		a.beginEpoch(now, epoch)
	}
	if now < a.grantsFrom {
		return Response{}, errs.New(errs.Busy, "epoch %d deals in %v", epoch, a.grantsFrom-now)
	}
	nodeContact := a.contacts[node]
	if nodeContact == nil && len(a.contacts) >= maxNodes {
		return Response{}, errs.New(errs.Busy, "%d nodes are asking, no more are taken", maxNodes)
	}
	// The first report of a node in the epoch may include requests that ran before the epoch and count at the
	// preceding Allocator. The charged fraction is the part of contactTTL that lies within the epoch.
	chargedFraction := 1.0
	if nodeContact == nil && now < a.assumeContactUntil {
		chargedFraction = 1 - (a.assumeContactUntil-now).Seconds()/contactTTL.Seconds()
	}
	if nodeContact == nil {
		nodeContact = &contact{}
		a.contacts[node] = nodeContact
	}
	nodeContact.record(now, epoch, request)
	a.updateMembers(now)
	return Response{
		Epoch:     epoch,
		Grants:    a.grant(now, node, request.Demands, chargedFraction),
		Throttled: a.throttled(now),
		Members:   a.planner.plannedMembers,
		Clock:     now,
	}, nil
}

// validateRequest returns errs.TooLarge for too many demands, and errs.Invalid if the node name or a number of the
// request is out of its range.
func validateRequest(node string, request *Request) error {
	if node == "" || len(node) > maxNodeNameBytes {
		return errs.New(errs.Invalid, "a node's name has 1 to %d bytes, this one %d", maxNodeNameBytes, len(node))
	}
	if len(request.Demands) > maxDemands {
		return errs.New(errs.TooLarge, "%d asks, at most %d are taken", len(request.Demands), maxDemands)
	}
	if request.Members < 0 || request.Members > maxMembers {
		return errs.New(errs.Invalid, "%d members, want 0 to %d", request.Members, maxMembers)
	}
	if lease := request.Lease; lease != nil {
		if !(lease.Share > 0 && lease.Share <= 1) || lease.Clock < 0 || lease.Elapsed < 0 {
			return errs.New(errs.Invalid,
				"floor lease of share %v, %v after clock %v",
				lease.Share, lease.Elapsed, lease.Clock)
		}
	}
	for _, demand := range request.Demands {
		if !validAmount(demand.Requested) || !validAmount(demand.Admitted) {
			return errs.New(errs.Invalid,
				"tenant %q: %v tokens can't be wanted and %v used",
				demand.Tenant, demand.Requested, demand.Admitted)
		}
	}
	return nil
}

// grant charges the admitted requests that a node reports, and returns the tokens granted to the node for
// prepaid tenants. Only chargedFraction of the reported requests is charged.
func (a *Allocator) grant(now time.Duration, node string, demands []Demand, chargedFraction float64) []Grant {
	grants := make([]Grant, 0, len(demands))
	for _, demand := range demands {
		t := a.tenants[demand.Tenant]
		if t == nil {
			continue
		}
		t.fill(a.fillSeconds(t))
		t.balance -= chargedFraction * demand.Admitted
		if t.deferred {
			t.demand.add(now, demandTimeConstant, demand.Requested)
		} else if demand.Deferred {
			continue // the node can't use a grant until it has the Allocator's number of members
		} else if tokens := t.grant(now, node, demand.Requested); tokens > 0 {
			grants = append(grants, Grant{demand.Tenant, tokens})
		}
	}
	return grants
}

// throttled returns the deferred tenants that are near their limit.
func (a *Allocator) throttled(now time.Duration) []Throttled {
	var throttled []Throttled
	for name, t := range a.tenants {
		if !t.deferred {
			continue
		}
		t.fill(a.fillSeconds(t))
		if fraction := t.admittedFraction(now); fraction < 1 || t.balance < throttleWarningFraction*t.depth {
			throttled = append(throttled, Throttled{name, fraction})
		}
	}
	return throttled
}

// beginEpoch starts a new epoch: all buckets are empty, and nothing is granted until the tokens of the last epoch
// have expired.
func (a *Allocator) beginEpoch(now time.Duration, epoch Epoch) {
	a.epoch, a.hasEpoch, a.grantsFrom = epoch, true, now+TokenTTL
	a.assumeContactUntil = now + contactTTL
	clear(a.contacts)
	for _, t := range a.tenants {
		t.reset(a.fillSeconds(t))
	}
}

// advance adds the fill seconds up to now: the Allocator's own fraction of the rate, and the floors that are
// leased to the Allocator.
func (a *Allocator) advance(now time.Duration) {
	if now <= a.updatedAt {
		return
	}
	var prepaidLeased, deferredLeased float64 // seconds of filling of all floors together, as far as they are leased
	for node, c := range a.contacts {
		prepaidLeased += c.share * secondsBetween(a.updatedAt, min(now, c.leasedUntil))
		deferredLeased += c.share * secondsBetween(a.updatedAt, min(now, c.deferredLeasedUntil))
		if c.expired(now) {
			delete(a.contacts, node)
		}
	}
	elapsed := secondsBetween(a.updatedAt, now)
	if now < a.assumeContactUntil {
		deferredLeased = elapsed
	}
	a.prepaidFillSeconds += fullRateSeconds(elapsed, prepaidLeased)
	a.deferredFillSeconds += fullRateSeconds(elapsed, deferredLeased)
	a.updatedAt = now
	a.updateMembers(now)
}

// updateMembers updates the largest number of members reported by the nodes, and the plans if they are outdated.
func (a *Allocator) updateMembers(now time.Duration) {
	a.planner.peerMembers = 0
	for _, c := range a.contacts {
		a.planner.peerMembers = max(a.planner.peerMembers, c.members)
	}
	if a.planner.outdated(now) {
		a.replan(now)
	}
}

// secondsBetween returns the seconds from one time to another, 0 if the other time is earlier.
func secondsBetween(from, to time.Duration) float64 { return max(0, to-from).Seconds() }

// fullRateSeconds converts the elapsed seconds to seconds of filling at the full rate, if all floors together were
// leased for the given number of seconds. All floors together fill at floorRateFraction of the rate; the Allocator's
// bucket gets this fraction only while the floors are leased.
func fullRateSeconds(elapsed, leased float64) float64 {
	return elapsed*(1-floorRateFraction) + min(elapsed, leased)*floorRateFraction
}

// fillSeconds returns the fill seconds that apply to the tenant's bucket.
func (a *Allocator) fillSeconds(t *tenantAccount) float64 {
	if t.deferred {
		return a.deferredFillSeconds
	}
	return a.prepaidFillSeconds
}

// replan updates the plans of all tenants to the limits and the number of members. Buckets are first filled under
// the previous plans.
func (a *Allocator) replan(now time.Duration) {
	a.planner.update(now)
	removeUnlimited(a.tenants, a.planner.limits)
	for _, t := range a.tenants {
		t.fill(a.fillSeconds(t))
	}
	for name, limit := range a.planner.limits {
		t := a.tenants[name]
		if t == nil {
			t = &tenantAccount{claims: map[string]*claim{}}
			a.tenants[name] = t
		}
		t.plan = a.planner.plan(limit)
		t.filledTo = a.fillSeconds(t)
		t.clamp()
	}
}
