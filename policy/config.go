package policy

import (
	"fmt"
	"math"
)

// check returns an error that names the first unusable field of a Config.
func check(cfg Config) error {
	bad := func(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }
	switch {
	case cfg.Balancers < 1:
		return fmt.Errorf("config: Balancers is %d, at least 1 is needed", cfg.Balancers)
	case cfg.Index < 0:
		return fmt.Errorf("config: Index is %d, it must not be negative", cfg.Index)
	case len(cfg.Classes) == 0:
		return fmt.Errorf("config: Classes is empty")
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("config: MaxAttempts is %d, at least 1 is needed", cfg.MaxAttempts)
	case cfg.Slots < 0:
		return fmt.Errorf("config: Slots is %d, it must not be negative", cfg.Slots)
	case bad(cfg.ColdFrom) || cfg.ColdFrom > 1:
		return fmt.Errorf("config: ColdFrom is %v, a share is needed", cfg.ColdFrom)
	case bad(cfg.ColdMultiple) || bad(cfg.CrossZonePrice) || bad(cfg.ProbePrice):
		return fmt.Errorf("config: ColdMultiple %v, CrossZonePrice %v or ProbePrice %v is negative or no number",
			cfg.ColdMultiple, cfg.CrossZonePrice, cfg.ProbePrice)
	case cfg.Budget.Check() != nil:
		return fmt.Errorf("config: Budget: %w", cfg.Budget.Check())
	case min(cfg.OrderSettle, cfg.CloseWithin) < 0:
		return fmt.Errorf("config: OrderSettle %v or CloseWithin %v is negative", cfg.OrderSettle, cfg.CloseWithin)
	case min(cfg.MaxRetryAfter, cfg.Tick, cfg.AskWithin, cfg.ColdTime) < 0:
		return fmt.Errorf("config: MaxRetryAfter, Tick, AskWithin or ColdTime is negative")
	}
	for i, c := range cfg.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 || c.Window < 0 {
			return fmt.Errorf("config: Classes[%d]: Aim %v, Deadline %v or Window %v is unusable",
				i, c.Aim, c.Deadline, c.Window)
		}
		if bad(c.AimStretch) || bad(c.LateShare) || bad(c.Worth) {
			return fmt.Errorf("config: Classes[%d]: AimStretch, LateShare or Worth is negative or no number", i)
		}
	}
	sum := 0.0
	for i, t := range cfg.Tenants {
		if bad(t.Share) || bad(t.Quota) {
			return fmt.Errorf("config: Tenants[%d]: Share %v or Quota %v is negative or no number",
				i, t.Share, t.Quota)
		}
		sum += t.Share
	}
	if len(cfg.Tenants) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return fmt.Errorf("config: Tenants: the Share of all adds up to %v", sum)
	}
	return nil
}

// known says whether a request names a class and a tenant that there are, and has time left. Where
// no tenants are set it gives the request the one for all.
func (b *Balancer) known(q *Request) bool {
	if len(b.cfg.Tenants) == 0 {
		q.Tenant = 0
	}
	return q.Class >= 0 && q.Class < len(b.classes) && q.Tenant >= 0 && q.Tenant < len(b.parts) && q.Left > 0
}

// tenants returns the tenants, or one for all where none are set.
func (c *Config) tenants() []Tenant {
	if len(c.Tenants) == 0 {
		return []Tenant{{Share: 1}}
	}
	return c.Tenants
}
