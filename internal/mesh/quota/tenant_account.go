package quota

import "time"

const (
	// demandTimeConstant is the time constant of the average demand from which admitted fractions are
	// calculated. It prevents the fraction from following single reports.
	demandTimeConstant = time.Second
	// surplusDrainTime is the time in which the positive level of a deferred tenant's bucket is spent, and
	// deficitRecoveryTime the time in which a negative level returns to zero. They keep windows within the
	// limit after the tenant's demand has risen, while the average demand is still too low.
	surplusDrainTime, deficitRecoveryTime = time.Second, 200 * time.Millisecond
)

// tenantAccount is one tenant's bucket at the Allocator. The level of the bucket is the balance plus the tokens
// that are reserved for nodes.
type tenantAccount struct {
	plan
	balance  float64           // tokens that aren't reserved; negative after more requests were charged than tokens filled
	filledTo float64           // the fill seconds up to which balance is filled
	claims   map[string]*claim // by node, for a prepaid tenant
	demand   movingAverage     // for a deferred tenant, the reported requests per second
}

// reset empties the bucket, and sets the fill seconds from which it fills again.
func (t *tenantAccount) reset(fillSeconds float64) {
	t.balance, t.filledTo, t.demand = 0, fillSeconds, movingAverage{}
	clear(t.claims)
}

// fill adds the tokens of the fill seconds since the last call, up to the depth.
func (t *tenantAccount) fill(fillSeconds float64) {
	t.balance += t.rate * (fillSeconds - t.filledTo)
	t.filledTo = fillSeconds
	t.clamp()
}

// clamp limits the level of the bucket, including reserved tokens, to the depth.
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
		// Tokens that were reserved under a higher limit are void.
		for _, c := range t.claims {
			c.reserved = 0
		}
		t.balance = t.depth
	}
}

// admittedFraction returns the fraction of a deferred tenant's demand that may run: the fill rate plus the rate at
// which a positive level is spent within surplusDrainTime, or minus the rate at which a negative level recovers
// within deficitRecoveryTime, divided by the demand.
func (t *tenantAccount) admittedFraction(now time.Duration) float64 {
	within := surplusDrainTime
	if t.balance < 0 {
		within = deficitRecoveryTime
	}
	demand := t.demand.value(now, demandTimeConstant)
	admissible := t.rate + t.balance/within.Seconds()
	switch {
	case admissible >= demand:
		return 1
	case admissible <= 0:
		return 0
	}
	return admissible / demand
}
