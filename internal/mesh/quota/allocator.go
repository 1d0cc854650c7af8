package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// claimTTL is how long a node's last ask counts when tokens are divided. It guards against a node that asks often
	// taking what another that asked just before it needs.
	claimTTL = 350 * time.Millisecond
	// contactTTL is how long a member counts as in contact for post-paid tenants after an answered ask: the time between
	// two calm asks, and 0.6 s in which the answer is missed. Both sides count with it.
	contactTTL = idleInterval + 600*time.Millisecond
	// demandAverage is the time constant of the demand that shares are worked out from. It guards against a share that
	// follows single reports.
	demandAverage = time.Second
	// recovery is the time in which a post-paid bucket's level is spent, and repayment that in which its deficit is made
	// good. They guard against a window that is over the quota after a tenant got hot, while its demand is still thought
	// too small.
	surplusTime, deficitTime = time.Second, 200 * time.Millisecond
	// warnLevel is the part of the depth below which a tenant is named though all of it may run. It guards against
	// learning of a hot tenant by calm asks only.
	warnLevel = 0.5
	// maxDemands is the most asks that one call may bring. It guards against a call that holds the dealer up.
	maxDemands = 4096
	// maxNodes is the most nodes that are told apart. It guards against names that use up the memory.
	maxNodes = 4096
	// maxNodeName is the longest name of a node. It guards the same.
	maxNodeName = 256
)

// Allocator deals the tokens of all pre-paid tenants, and closes post-paid ones that are near their limit,
// for the sidecars that ask. It belongs to the core's sequencer; the epoch is the
// number of the view in which it has that duty.
type Allocator struct {
	rules          Rules
	limits         map[string]Limit
	tenants        map[string]*tenantAccount
	members        memberCount
	plannedMembers int // members that the plans are made for

	epoch              uint64
	hasEpoch           bool
	allocatesFrom      time.Duration
	updatedAt          time.Duration            // of the last settling
	prepaidFlow        float64                  // seconds of full flow since the start, less the floors' part
	deferredFlow       float64                  // flown, for post-paid tenants
	assumeContactUntil time.Duration            // until then all members count as in contact for them
	lastContact        map[string]time.Duration // when each node last asked
}

// account is one tenant's bucket. What nodes have been reserved is part of it.
type tenantAccount struct {
	plan
	balance, flowSeen float64
	claims            map[string]*claim
	demand            movingAverage // of a post-paid tenant, as reported
}

// claim is what a node asked for last, and what is kept for its next ask.
type claim struct {
	want, reserved float64
	at             time.Duration
}

// NewAllocator returns a dealer that knows no tenant yet.
func NewAllocator(rules Rules) (*Allocator, error) {
	if err := rules.validate(); err != nil {
		return nil, err
	}
	d := &Allocator{rules: rules, lastContact: map[string]time.Duration{}, tenants: map[string]*tenantAccount{}}
	d.members.set(0, 1)
	return d, nil
}

// Configure sets the limits of all tenants and the number of sidecars. A lower limit holds at once; a tenant that is
// new starts with an empty bucket. Limits that can't be used change nothing.
func (d *Allocator) Configure(now time.Duration, limits map[string]Limit, members int) error {
	if err := validateLimits(limits, members); err != nil {
		return err
	}
	d.advance(now)
	d.members.set(now, members)
	d.limits = enforcedLimits(limits)
	d.replan(now)
	return nil
}

// replan brings the plans in line with limits and members. Buckets are filled first under the plans that held so far.
func (d *Allocator) replan(now time.Duration) {
	d.plannedMembers = d.members.at(now)
	for name, a := range d.tenants {
		if _, ok := d.limits[name]; !ok {
			delete(d.tenants, name)
			continue
		}
		a.fill(d.flow(a))
	}
	for name, l := range d.limits {
		a := d.tenants[name]
		if a == nil {
			a = &tenantAccount{claims: map[string]*claim{}}
			d.tenants[name] = a
		}
		a.plan = d.rules.plan(l, d.plannedMembers)
		a.flowSeen = d.flow(a)
		a.clamp()
	}
}

// settle counts the flow up to now. A node counts as holding its floor back only if it still does so at the end.
func (d *Allocator) advance(now time.Duration) {
	if now <= d.updatedAt {
		return
	}
	recent := 0
	for node, at := range d.lastContact {
		if now-at > contactTTL {
			delete(d.lastContact, node)
		} else if now-at <= allocatorFloorLease {
			recent++
		}
	}
	members := d.members.at(now)
	flow := func(inContact int) float64 {
		return (now - d.updatedAt).Seconds() * (1 - floorRateFraction*float64(max(0, members-inContact))/float64(members))
	}
	d.prepaidFlow += flow(recent)
	if now < d.assumeContactUntil {
		d.deferredFlow += flow(members)
	} else {
		d.deferredFlow += flow(len(d.lastContact))
	}
	d.updatedAt = now
	if members != d.plannedMembers {
		d.replan(now)
	}
}

// flow is what fills the account's bucket.
func (d *Allocator) flow(a *tenantAccount) float64 {
	if a.deferred {
		return d.deferredFlow
	}
	return d.prepaidFlow
}

// begin starts a new duty: buckets are empty, and nothing is dealt until the tokens of the last duty have expired.
func (d *Allocator) beginEpoch(now time.Duration, epoch uint64) {
	d.epoch, d.hasEpoch, d.allocatesFrom = epoch, true, now+TokenTTL
	d.assumeContactUntil = now + contactTTL
	clear(d.lastContact)
	for _, a := range d.tenants {
		a.balance, a.flowSeen, a.demand = 0, d.flow(a), movingAverage{}
		clear(a.claims)
	}
}

// Allocate answers the asks of a node in the duty of the given epoch; the answer goes to the node with that epoch. The first
// call of a later epoch starts the duty anew. An epoch before the newest is Stale; within TokenTTL of the duty's start
// all is Busy, and the node mustn't be told that it was granted anything. Tenants without a limit are passed over. The
// answer also counts as the node's promise to hold its floor back, so a node also asks when it wants nothing. The closed
// tenants are all of them, whatever was asked; every other post-paid tenant is open.
func (d *Allocator) Allocate(now time.Duration, epoch uint64, node string, demands []Demand) ([]Grant, []Throttled, error) {
	if node == "" || len(node) > maxNodeName {
		return nil, nil, errs.New(errs.Invalid, "a node's name has 1 to %d bytes, this one %d", maxNodeName, len(node))
	}
	if len(demands) > maxDemands {
		return nil, nil, errs.New(errs.TooLarge, "%d asks, at most %d are taken", len(demands), maxDemands)
	}
	for _, demand := range demands {
		if !validAmount(demand.Want) || !validAmount(demand.Used) {
			return nil, nil, errs.New(errs.Invalid, "tenant %q: %v tokens can't be wanted and %v used", demand.Tenant, demand.Want, demand.Used)
		}
	}
	if d.hasEpoch && epoch < d.epoch {
		return nil, nil, errs.New(errs.Stale, "epoch %d is over, this is %d", epoch, d.epoch)
	}
	d.advance(now)
	if !d.hasEpoch || epoch > d.epoch {
		d.beginEpoch(now, epoch)
	}
	if now < d.allocatesFrom {
		return nil, nil, errs.New(errs.Busy, "epoch %d deals in %v", epoch, d.allocatesFrom-now)
	}
	_, known := d.lastContact[node]
	if !known && len(d.lastContact) >= maxNodes {
		return nil, nil, errs.New(errs.Busy, "%d nodes are asking, no more are taken", maxNodes)
	}
	d.lastContact[node] = now
	// Of a node's first report in the duty, the part that ran before the duty was the last dealer's.
	part := 1.0
	if !known && now < d.assumeContactUntil {
		part = 1 - (d.assumeContactUntil-now).Seconds()/contactTTL.Seconds()
	}
	grants := make([]Grant, 0, len(demands))
	for _, demand := range demands {
		if a := d.tenants[demand.Tenant]; a != nil {
			a.fill(d.flow(a))
			a.balance -= part * demand.Used
			if a.deferred {
				a.demand.value(now, demandAverage)
				a.demand.rate += demand.Want / demandAverage.Seconds()
			} else if tokens := a.grant(now, node, demand.Want); tokens > 0 {
				grants = append(grants, Grant{demand.Tenant, tokens})
			}
		}
	}
	var throttled []Throttled
	for name, a := range d.tenants {
		if a.deferred {
			a.fill(d.flow(a))
			if fraction := a.admittedFraction(now); fraction < 1 || a.balance < warnLevel*a.depth {
				throttled = append(throttled, Throttled{name, fraction})
			}
		}
	}
	return grants, throttled, nil
}

// share is the part of a post-paid tenant's demand that may run: what flows, with the bucket's level spent or its deficit
// made good within recovery.
func (a *tenantAccount) admittedFraction(now time.Duration) float64 {
	over := surplusTime
	if a.balance < 0 {
		over = deficitTime
	}
	demand, admissible := a.demand.value(now, demandAverage), a.rate+a.balance/over.Seconds()
	switch {
	case admissible >= demand:
		return 1
	case admissible <= 0:
		return 0
	}
	return admissible / demand
}

// fill adds what has flown since the last time, up to the depth.
func (a *tenantAccount) fill(flow float64) {
	a.balance += a.rate * (flow - a.flowSeen)
	a.flowSeen = flow
	a.clamp()
}

// clamp keeps the bucket, with what is reserved in it, within its depth.
func (a *tenantAccount) clamp() {
	total := a.balance
	for _, c := range a.claims {
		total += c.reserved
	}
	if total <= a.depth {
		return
	}
	a.balance -= total - a.depth
	if a.balance < 0 {
		// What was reserved under a higher limit is void.
		for _, c := range a.claims {
			c.reserved = 0
		}
		a.balance = a.depth
	}
}

// deal gives the node what it wants if that leaves enough for the others that asked lately. Otherwise what is free is
// reserved for all of them max-min fairly, and the node gets what has been reserved for it.
func (a *tenantAccount) grant(now time.Duration, node string, want float64) float64 {
	own := a.claims[node]
	if own == nil {
		own = &claim{}
		a.claims[node] = own
	}
	own.want, own.at = want, now
	missing := 0.0
	for name, c := range a.claims {
		if now-c.at > claimTTL {
			a.balance += c.reserved
			delete(a.claims, name)
			continue
		}
		if over := c.reserved - c.want; over > 0 {
			a.balance += over
			c.reserved = c.want
		}
		missing += c.want - c.reserved
	}
	if missing <= a.balance {
		a.balance -= want - own.reserved
	} else {
		a.reserveFairly()
		want = own.reserved
	}
	own.reserved = 0
	return want
}

// reserve divides what is free among the claims: each gets an equal part, or all that it lacks where that is less.
func (a *tenantAccount) reserveFairly() {
	for a.balance > 0 {
		unmet, minLack := 0, 0.0
		for _, c := range a.claims {
			if lack := c.want - c.reserved; lack > 0 {
				if unmet == 0 || lack < minLack {
					minLack = lack
				}
				unmet++
			}
		}
		if unmet == 0 {
			return
		}
		part := a.balance / float64(unmet)
		last := part <= minLack
		for _, c := range a.claims {
			switch lack := c.want - c.reserved; {
			case lack <= 0:
			case last:
				c.reserved += part
			case lack <= minLack:
				c.reserved = c.want
			default:
				c.reserved += minLack
			}
		}
		if last {
			a.balance = 0
			return
		}
		a.balance -= minLack * float64(unmet)
	}
}
