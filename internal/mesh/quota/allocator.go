package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// warnLevel is the fraction of the depth below which a tenant is named as throttled though all of
	// its requests may run. It guards against learning of a rising demand by idle requests only.
	warnLevel = 0.5
	// maxDemands is the largest number of demands of one call. It guards against a call that holds the
	// Allocator up.
	maxDemands = 4096
	// maxNodes is the largest number of nodes that are remembered. It guards against names that use up
	// the memory.
	maxNodes = 4096
	// maxNodeName is the longest name of a node, in bytes. It guards the same.
	maxNodeName = 256
)

// Allocator grants the tokens of all prepaid tenants, and throttles deferred ones that are near their
// limit, for the sidecars that ask. It belongs to the leader; the epoch is the term in which it leads.
type Allocator struct {
	planner planner
	tenants map[string]*tenantAccount

	epoch              Epoch
	hasEpoch           bool
	allocatesFrom      time.Duration            // nothing is granted before
	assumeContactUntil time.Duration            // for deferred tenants all members are in contact until then
	lastContact        map[string]time.Duration // by node, its last request

	updatedAt    time.Duration // up to when the flows are counted
	prepaidFlow  float64       // seconds of full flow since the start, less the floors' share
	deferredFlow float64       // the same for deferred tenants
}

// NewAllocator returns an Allocator that knows no tenant yet. Rules that can't be used are errs.Invalid.
func NewAllocator(rules Rules) (*Allocator, error) {
	planner, err := newPlanner(rules)
	if err != nil {
		return nil, err
	}
	return &Allocator{
		planner: planner, tenants: map[string]*tenantAccount{}, lastContact: map[string]time.Duration{},
	}, nil
}

// Configure sets the limits of all tenants and the number of sidecars. A lower limit holds at once; a
// tenant that is new starts with an empty bucket. Limits that can't be used are errs.Invalid and change
// nothing.
func (a *Allocator) Configure(now time.Duration, limits map[string]Limit, members int) error {
	if err := validateLimits(limits, members); err != nil {
		return err
	}
	a.advance(now)
	a.planner.configure(now, limits, members)
	a.replan(now)
	return nil
}

// Allocate responds to the demands of a node in the given epoch; the response goes to the node with that
// epoch. The first call of a later epoch starts anew with empty buckets. Tenants without a limit are
// skipped. The response also counts as the node's promise to hold its floor back, so a node also asks
// when it wants nothing. The throttled tenants are all of them, whatever was asked; every other deferred
// tenant isn't throttled.
//
// An epoch before the newest is errs.Stale. Within TokenTTL of the epoch's start everything is
// errs.Busy, and nothing is granted to the node; so is a node beyond maxNodes. A
// request that can't be used is errs.Invalid or errs.TooLarge.
func (a *Allocator) Allocate(
	now time.Duration, epoch Epoch, node string, demands []Demand,
) ([]Grant, []Throttled, error) {
	if err := validateRequest(node, demands); err != nil {
		return nil, nil, err
	}
	if a.hasEpoch && epoch < a.epoch {
		return nil, nil, errs.New(errs.Stale, "epoch %d is over, this is %d", epoch, a.epoch)
	}
	a.advance(now)
	if !a.hasEpoch || epoch > a.epoch {
		a.beginEpoch(now, epoch)
	}
	if now < a.allocatesFrom {
		return nil, nil, errs.New(errs.Busy, "epoch %d deals in %v", epoch, a.allocatesFrom-now)
	}
	_, known := a.lastContact[node]
	if !known && len(a.lastContact) >= maxNodes {
		return nil, nil, errs.New(errs.Busy, "%d nodes are asking, no more are taken", maxNodes)
	}
	a.lastContact[node] = now
	// Of a node's first report in the epoch, the share that ran before the epoch belonged to the
	// Allocator before this one.
	reportedShare := 1.0
	if !known && now < a.assumeContactUntil {
		reportedShare = 1 - (a.assumeContactUntil-now).Seconds()/contactTTL.Seconds()
	}
	grants := a.grant(now, node, demands, reportedShare)
	return grants, a.throttled(now), nil
}

func validateRequest(node string, demands []Demand) error {
	if node == "" || len(node) > maxNodeName {
		return errs.New(errs.Invalid, "a node's name has 1 to %d bytes, this one %d", maxNodeName, len(node))
	}
	if len(demands) > maxDemands {
		return errs.New(errs.TooLarge, "%d asks, at most %d are taken", len(demands), maxDemands)
	}
	for _, demand := range demands {
		if !validAmount(demand.Want) || !validAmount(demand.Used) {
			return errs.New(errs.Invalid, "tenant %q: %v tokens can't be wanted and %v used",
				demand.Tenant, demand.Want, demand.Used)
		}
	}
	return nil
}

// grant charges what a node reports, and returns what it is granted of prepaid tenants. Of the reports only
// reportedShare counts.
func (a *Allocator) grant(now time.Duration, node string, demands []Demand, reportedShare float64) []Grant {
	grants := make([]Grant, 0, len(demands))
	for _, demand := range demands {
		t := a.tenants[demand.Tenant]
		if t == nil {
			continue
		}
		t.fill(a.flow(t))
		t.balance -= reportedShare * demand.Used
		if t.deferred {
			t.demand.add(now, demandAverage, demand.Want)
		} else if tokens := t.grant(now, node, demand.Want); tokens > 0 {
			grants = append(grants, Grant{demand.Tenant, tokens})
		}
	}
	return grants
}

// throttled are the deferred tenants near their limit.
func (a *Allocator) throttled(now time.Duration) []Throttled {
	var throttled []Throttled
	for name, t := range a.tenants {
		if !t.deferred {
			continue
		}
		t.fill(a.flow(t))
		if fraction := t.admittedFraction(now); fraction < 1 || t.balance < warnLevel*t.depth {
			throttled = append(throttled, Throttled{name, fraction})
		}
	}
	return throttled
}

// beginEpoch starts a new epoch: buckets are empty, and nothing is granted until the tokens of the last
// epoch have expired.
func (a *Allocator) beginEpoch(now time.Duration, epoch Epoch) {
	a.epoch, a.hasEpoch, a.allocatesFrom = epoch, true, now+TokenTTL
	a.assumeContactUntil = now + contactTTL
	clear(a.lastContact)
	for _, t := range a.tenants {
		t.reset(a.flow(t))
	}
}

// advance counts the flows up to now. A node counts as holding its floor back only if it still does so
// at the end.
func (a *Allocator) advance(now time.Duration) {
	if now <= a.updatedAt {
		return
	}
	holdingBack := 0
	for node, at := range a.lastContact {
		if now-at > contactTTL {
			delete(a.lastContact, node)
		} else if now-at <= allocatorFloorLease {
			holdingBack++
		}
	}
	elapsed, members := now-a.updatedAt, a.planner.members.at(now)
	a.prepaidFlow += flowSeconds(elapsed, members, holdingBack)
	inContact := len(a.lastContact)
	if now < a.assumeContactUntil {
		inContact = members
	}
	a.deferredFlow += flowSeconds(elapsed, members, inContact)
	a.updatedAt = now
	if members != a.planner.plannedMembers {
		a.replan(now)
	}
}

// flowSeconds is the time in which a bucket fills, less the share of the members that aren't in contact
// and fill their floors.
func flowSeconds(elapsed time.Duration, members, inContact int) float64 {
	return elapsed.Seconds() * (1 - floorRateFraction*float64(max(0, members-inContact))/float64(members))
}

// flow is what fills the tenant's bucket.
func (a *Allocator) flow(t *tenantAccount) float64 {
	if t.deferred {
		return a.deferredFlow
	}
	return a.prepaidFlow
}

// replan brings the tenants in line with limits and members. Buckets are filled first under the plans
// that held so far.
func (a *Allocator) replan(now time.Duration) {
	a.planner.update(now)
	removeUnlimited(a.tenants, a.planner.limits)
	for _, t := range a.tenants {
		t.fill(a.flow(t))
	}
	for name, limit := range a.planner.limits {
		t := a.tenants[name]
		if t == nil {
			t = &tenantAccount{claims: map[string]*claim{}}
			a.tenants[name] = t
		}
		t.plan = a.planner.plan(limit)
		t.filledTo = a.flow(t)
		t.clamp()
	}
}
