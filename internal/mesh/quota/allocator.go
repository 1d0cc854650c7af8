package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// claimLife is how long a node's last ask counts when tokens are divided. It guards against a node that asks often
	// taking what another that asked just before it needs.
	claimLife = 350 * time.Millisecond
	// calmHold is how long a member counts as in contact for post-paid tenants after an answered ask: the time between
	// two calm asks, and 0.6 s in which the answer is missed. Both sides count with it.
	calmHold = askCalm + 600*time.Millisecond
	// demandSpan is the time constant of the demand that shares are worked out from. It guards against a share that
	// follows single reports.
	demandSpan = time.Second
	// recovery is the time in which a post-paid bucket's level is spent, and repayment that in which its deficit is made
	// good. They guard against a window that is over the quota after a tenant got hot, while its demand is still thought
	// too small.
	recovery, repayment = time.Second, 200 * time.Millisecond
	// warmLevel is the part of the depth below which a tenant is named though all of it may run. It guards against
	// learning of a hot tenant by calm asks only.
	warmLevel = 0.5
	// maxAsks is the most asks that one call may bring. It guards against a call that holds the dealer up.
	maxAsks = 4096
	// maxNodes is the most nodes that are told apart. It guards against names that use up the memory.
	maxNodes = 4096
	// maxNodeName is the longest name of a node. It guards the same.
	maxNodeName = 256
)

// Allocator deals the tokens of all pre-paid tenants, and closes post-paid ones that are near their limit,
// for the sidecars that ask. It belongs to the core's sequencer; the epoch is the
// number of the view in which it has that duty.
type Allocator struct {
	rules   Rules
	limits  map[string]Limit
	tenants map[string]*account
	members tally
	planned int // members that the plans are made for

	epoch     uint64
	begun     bool
	dealsFrom time.Duration
	at        time.Duration            // of the last settling
	flown     float64                  // seconds of full flow since the start, less the floors' part
	calmFlown float64                  // flown, for post-paid tenants
	calmFrom  time.Duration            // until then all members count as in contact for them
	heard     map[string]time.Duration // when each node last asked
}

// account is one tenant's bucket. What nodes have been reserved is part of it.
type account struct {
	plan
	free, flown float64
	claims      map[string]*claim
	demand      average // of a post-paid tenant, as reported
}

// claim is what a node asked for last, and what is kept for its next ask.
type claim struct {
	want, reserved float64
	at             time.Duration
}

// NewAllocator returns a dealer that knows no tenant yet.
func NewAllocator(rules Rules) (*Allocator, error) {
	if err := rules.check(); err != nil {
		return nil, err
	}
	d := &Allocator{rules: rules, heard: map[string]time.Duration{}, tenants: map[string]*account{}}
	d.members.set(0, 1)
	return d, nil
}

// Configure sets the limits of all tenants and the number of sidecars. A lower limit holds at once; a tenant that is
// new starts with an empty bucket. Limits that can't be used change nothing.
func (d *Allocator) Configure(now time.Duration, limits map[string]Limit, members int) error {
	if err := checkLimits(limits, members); err != nil {
		return err
	}
	d.settle(now)
	d.members.set(now, members)
	d.limits = limited(limits)
	d.replan(now)
	return nil
}

// replan brings the plans in line with limits and members. Buckets are filled first under the plans that held so far.
func (d *Allocator) replan(now time.Duration) {
	d.planned = d.members.at(now)
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
			a = &account{claims: map[string]*claim{}}
			d.tenants[name] = a
		}
		a.plan = d.rules.plan(l, d.planned)
		a.flown = d.flow(a)
		a.clamp()
	}
}

// settle counts the flow up to now. A node counts as holding its floor back only if it still does so at the end.
func (d *Allocator) settle(now time.Duration) {
	if now <= d.at {
		return
	}
	lately := 0
	for node, at := range d.heard {
		if now-at > calmHold {
			delete(d.heard, node)
		} else if now-at <= dealerHold {
			lately++
		}
	}
	members := d.members.at(now)
	flow := func(heard int) float64 {
		return (now - d.at).Seconds() * (1 - floorShare*float64(max(0, members-heard))/float64(members))
	}
	d.flown += flow(lately)
	if now < d.calmFrom {
		d.calmFlown += flow(members)
	} else {
		d.calmFlown += flow(len(d.heard))
	}
	d.at = now
	if members != d.planned {
		d.replan(now)
	}
}

// flow is what fills the account's bucket.
func (d *Allocator) flow(a *account) float64 {
	if a.postPaid {
		return d.calmFlown
	}
	return d.flown
}

// begin starts a new duty: buckets are empty, and nothing is dealt until the tokens of the last duty have expired.
func (d *Allocator) begin(now time.Duration, epoch uint64) {
	d.epoch, d.begun, d.dealsFrom = epoch, true, now+TokenTTL
	d.calmFrom = now + calmHold
	clear(d.heard)
	for _, a := range d.tenants {
		a.free, a.flown, a.demand = 0, d.flow(a), average{}
		clear(a.claims)
	}
}

// Allocate answers the asks of a node in the duty of the given epoch; the answer goes to the node with that epoch. The first
// call of a later epoch starts the duty anew. An epoch before the newest is Stale; within TokenTTL of the duty's start
// all is Busy, and the node mustn't be told that it was granted anything. Tenants without a limit are passed over. The
// answer also counts as the node's promise to hold its floor back, so a node also asks when it wants nothing. The closed
// tenants are all of them, whatever was asked; every other post-paid tenant is open.
func (d *Allocator) Allocate(now time.Duration, epoch uint64, node string, asks []Demand) ([]Grant, []Throttled, error) {
	if node == "" || len(node) > maxNodeName {
		return nil, nil, errs.New(errs.Invalid, "a node's name has 1 to %d bytes, this one %d", maxNodeName, len(node))
	}
	if len(asks) > maxAsks {
		return nil, nil, errs.New(errs.TooLarge, "%d asks, at most %d are taken", len(asks), maxAsks)
	}
	for _, ask := range asks {
		if !amount(ask.Want) || !amount(ask.Used) {
			return nil, nil, errs.New(errs.Invalid, "tenant %q: %v tokens can't be wanted and %v used", ask.Tenant, ask.Want, ask.Used)
		}
	}
	if d.begun && epoch < d.epoch {
		return nil, nil, errs.New(errs.Stale, "epoch %d is over, this is %d", epoch, d.epoch)
	}
	d.settle(now)
	if !d.begun || epoch > d.epoch {
		d.begin(now, epoch)
	}
	if now < d.dealsFrom {
		return nil, nil, errs.New(errs.Busy, "epoch %d deals in %v", epoch, d.dealsFrom-now)
	}
	_, known := d.heard[node]
	if !known && len(d.heard) >= maxNodes {
		return nil, nil, errs.New(errs.Busy, "%d nodes are asking, no more are taken", maxNodes)
	}
	d.heard[node] = now
	// Of a node's first report in the duty, the part that ran before the duty was the last dealer's.
	part := 1.0
	if !known && now < d.calmFrom {
		part = 1 - (d.calmFrom-now).Seconds()/calmHold.Seconds()
	}
	grants := make([]Grant, 0, len(asks))
	for _, ask := range asks {
		if a := d.tenants[ask.Tenant]; a != nil {
			a.fill(d.flow(a))
			a.free -= part * ask.Used
			if a.postPaid {
				a.demand.value(now, demandSpan)
				a.demand.rate += ask.Want / demandSpan.Seconds()
			} else if tokens := a.deal(now, node, ask.Want); tokens > 0 {
				grants = append(grants, Grant{ask.Tenant, tokens})
			}
		}
	}
	var closed []Throttled
	for name, a := range d.tenants {
		if a.postPaid {
			a.fill(d.flow(a))
			if share := a.share(now); share < 1 || a.free < warmLevel*a.depth {
				closed = append(closed, Throttled{name, share})
			}
		}
	}
	return grants, closed, nil
}

// share is the part of a post-paid tenant's demand that may run: what flows, with the bucket's level spent or its deficit
// made good within recovery.
func (a *account) share(now time.Duration) float64 {
	over := recovery
	if a.free < 0 {
		over = repayment
	}
	demand, may := a.demand.value(now, demandSpan), a.rate+a.free/over.Seconds()
	switch {
	case may >= demand:
		return 1
	case may <= 0:
		return 0
	}
	return may / demand
}

// fill adds what has flown since the last time, up to the depth.
func (a *account) fill(flown float64) {
	a.free += a.rate * (flown - a.flown)
	a.flown = flown
	a.clamp()
}

// clamp keeps the bucket, with what is reserved in it, within its depth.
func (a *account) clamp() {
	held := a.free
	for _, c := range a.claims {
		held += c.reserved
	}
	if held <= a.depth {
		return
	}
	a.free -= held - a.depth
	if a.free < 0 {
		// What was reserved under a higher limit is void.
		for _, c := range a.claims {
			c.reserved = 0
		}
		a.free = a.depth
	}
}

// deal gives the node what it wants if that leaves enough for the others that asked lately. Otherwise what is free is
// reserved for all of them max-min fairly, and the node gets what has been reserved for it.
func (a *account) deal(now time.Duration, node string, want float64) float64 {
	mine := a.claims[node]
	if mine == nil {
		mine = &claim{}
		a.claims[node] = mine
	}
	mine.want, mine.at = want, now
	missing := 0.0
	for name, c := range a.claims {
		if now-c.at > claimLife {
			a.free += c.reserved
			delete(a.claims, name)
			continue
		}
		if over := c.reserved - c.want; over > 0 {
			a.free += over
			c.reserved = c.want
		}
		missing += c.want - c.reserved
	}
	if missing <= a.free {
		a.free -= want - mine.reserved
	} else {
		a.reserve()
		want = mine.reserved
	}
	mine.reserved = 0
	return want
}

// reserve divides what is free among the claims: each gets an equal part, or all that it lacks where that is less.
func (a *account) reserve() {
	for a.free > 0 {
		open, least := 0, 0.0
		for _, c := range a.claims {
			if lack := c.want - c.reserved; lack > 0 {
				if open == 0 || lack < least {
					least = lack
				}
				open++
			}
		}
		if open == 0 {
			return
		}
		part := a.free / float64(open)
		last := part <= least
		for _, c := range a.claims {
			switch lack := c.want - c.reserved; {
			case lack <= 0:
			case last:
				c.reserved += part
			case lack <= least:
				c.reserved = c.want
			default:
				c.reserved += least
			}
		}
		if last {
			a.free = 0
			return
		}
		a.free -= least * float64(open)
	}
}
