package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"caperarch/internal/proxy/admission"
	"caperarch/internal/proxy/bulkhead"
	"caperarch/internal/proxy/discoverypace"
	"caperarch/internal/proxy/keyedqueue"
	"caperarch/internal/proxy/loadquery"
	"caperarch/internal/proxy/requestclass"
	"caperarch/internal/proxy/subset"
)

// New makes a Balancer, or returns an error that names the unusable field.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := check(cfg); err != nil {
		return nil, err
	}
	b := &Balancer{cfg: cfg, host: host, requests: make(map[RequestID]*request), sharers: cfg.Balancers}
	b.lines, b.queued, b.begins = make(keyedqueue.Queues[*request]), -1, subset.ArcStart(cfg.Index, cfg.Balancers, nil)
	b.parts = make([]compartment, len(cfg.tenants()))
	b.rng = rand.New(rand.NewPCG(seed, 0))
	b.pace, b.short = cfg.Classes[0].LatencyTarget/8, 1
	b.inquiry = loadquery.New(cfg.MayProbe && cfg.Reports&HasInFlight != 0, cfg.ProbePrice)
	for _, c := range cfg.Classes {
		b.classes = append(b.classes, class{Class: c, pace: c.LatencyTarget / 8})
		b.aim += c.LatencyTarget.Seconds() / float64(len(cfg.Classes))
		b.worth += c.Value / float64(len(cfg.Classes))
		b.pace = min(b.pace, c.LatencyTarget/8)
	}
	b.worth = cmp.Or(b.worth, 1)
	b.asking = discoverypace.New(b.rng, cfg.Balancers, cfg.ListMaxAge)
	b.budget = admission.RetryBudget{RetryLimit: cfg.Budget, Processes: cfg.Processes}
	health := admission.NewHealth()
	if cfg.NewGate == nil {
		cfg.NewGate = func(rng *rand.Rand) admission.Gate { return admission.NewRecovering(rng, health) }
	}
	for i := range b.parts { // one each: a tenant's flood turns no other's away
		b.parts[i].gate = cfg.NewGate(b.rng)
	}
	b.came.Window = rateOver
	b.wall = bulkhead.New(b.aim * slotAim)
	b.deriveSlots()
	return b, nil
}

// check returns an error that names the first unusable field of a Config.
func check(cfg Config) error {
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
	case requestclass.IsInvalid(cfg.SlowStartShare) || cfg.SlowStartShare > 1:
		return fmt.Errorf("config: ColdFrom is %v, a share is needed", cfg.SlowStartShare)
	case requestclass.IsInvalid(cfg.SlowStartOverload) || requestclass.IsInvalid(cfg.CrossZonePrice) || requestclass.IsInvalid(cfg.ProbePrice):
		return fmt.Errorf("config: ColdMultiple %v, CrossZonePrice %v or ProbePrice %v is negative or no number",
			cfg.SlowStartOverload, cfg.CrossZonePrice, cfg.ProbePrice)
	case cfg.Budget.Check() != nil:
		return fmt.Errorf("config: Budget: %w", cfg.Budget.Check())
	case min(cfg.KeyBlockTime, cfg.IdleCloseTime) < 0:
		return fmt.Errorf("config: OrderSettle %v or CloseWithin %v is negative", cfg.KeyBlockTime, cfg.IdleCloseTime)
	case min(cfg.MaxRetryAfter, cfg.Tick, cfg.ListMaxAge, cfg.SlowStartTime) < 0:
		return fmt.Errorf("config: MaxRetryAfter, Tick, AskWithin or ColdTime is negative")
	}
	for i, c := range cfg.Classes {
		if err := c.Check(); err != nil {
			return fmt.Errorf("config: Classes[%d]: %w", i, err)
		}
	}
	if err := requestclass.CheckTenants(cfg.Tenants); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	return nil
}

// known says whether a request names a class and a tenant that there are, and has time left. Where
// no tenants are set it gives the request the one for all.
func (b *Balancer) known(q *Request) bool {
	if len(b.cfg.Tenants) == 0 {
		q.Tenant = 0
	}
	return q.Class >= 0 && q.Class < len(b.classes) && q.Tenant >= 0 && q.Tenant < len(b.parts) && q.TimeLeft > 0
}

// tenants returns the tenants, or one for all where none are set.
func (c *Config) tenants() []Tenant {
	if len(c.Tenants) == 0 {
		return []Tenant{{Share: 1}}
	}
	return c.Tenants
}

// Reconfigure takes other limits. Nothing that is out or waits is cut: compartments that hold more than they may now shrink as that ends.
func (b *Balancer) Reconfigure(_ time.Duration, l Limits) error {
	cfg := b.cfg
	cfg.Tenants, cfg.MaxAttempts, cfg.Budget = l.Tenants, l.MaxAttempts, l.Budget
	if len(l.Tenants) != len(b.cfg.Tenants) {
		return fmt.Errorf("limits: %d Tenants, %d are there", len(l.Tenants), len(b.cfg.Tenants))
	}
	err := check(cfg)
	if err == nil {
		b.cfg, b.budget.RetryLimit, b.queued, b.whole = cfg, cfg.Budget, l.Queue, 1
		b.resize(b.sharers) // what has room now goes with the next event
	}
	return err
}
