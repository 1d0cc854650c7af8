package quota

import "time"

const (
	// demandAverage is the time constant of the demand that admitted fractions are worked out from. It
	// guards against a fraction that follows single reports.
	demandAverage = time.Second
	// surplusTime is the time in which a deferred bucket's level is spent, and deficitTime that in which
	// its deficit is made good. They guard against a window over the limit after a tenant's demand rose,
	// while its demand is still underestimated.
	surplusTime, deficitTime = time.Second, 200 * time.Millisecond
)

// tenantAccount is one tenant's bucket at the Allocator. What is reserved for nodes is part of it.
type tenantAccount struct {
	plan
	balance  float64           // tokens that nobody has reserved; below zero in a deficit
	filledTo float64           // the flow up to which balance is filled
	claims   map[string]*claim // by node, of a prepaid tenant
	demand   movingAverage     // of a deferred tenant, as reported
}

// reset empties the bucket, which is filled up to the flow.
func (t *tenantAccount) reset(flow float64) {
	t.balance, t.filledTo, t.demand = 0, flow, movingAverage{}
	clear(t.claims)
}

// fill adds what has flowed since the last time, up to the depth.
func (t *tenantAccount) fill(flow float64) {
	t.balance += t.rate * (flow - t.filledTo)
	t.filledTo = flow
	t.clamp()
}

// clamp keeps the bucket, with what is reserved in it, within its depth.
func (t *tenantAccount) clamp() {
	total := t.balance
	for _, c := range t.claims {
		total += c.reserved
	}
	if total <= t.depth {
		return
	}
	t.balance -= total - t.depth
	if t.balance < 0 {
		// What was reserved under a higher limit is void.
		for _, c := range t.claims {
			c.reserved = 0
		}
		t.balance = t.depth
	}
}

// admittedFraction is the fraction of a deferred tenant's demand that may run: what flows, with the
// bucket's level spent within surplusTime or its deficit made good within deficitTime.
func (t *tenantAccount) admittedFraction(now time.Duration) float64 {
	within := surplusTime
	if t.balance < 0 {
		within = deficitTime
	}
	demand := t.demand.value(now, demandAverage)
	admissible := t.rate + t.balance/within.Seconds()
	switch {
	case admissible >= demand:
		return 1
	case admissible <= 0:
		return 0
	}
	return admissible / demand
}
