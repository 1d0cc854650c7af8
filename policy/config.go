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

// New makes a Balancer, or returns an error that names the unusable field of cfg. The seed makes decisions repeatable.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := checkConfig(cfg); err != nil {
		return nil, err
	}
	b := &Balancer{cfg: cfg, host: host, requests: make(map[RequestID]*request), balancers: cfg.Balancers}
	b.keyQueues, b.maxQueued = make(keyedqueue.Queues[*request]), -1
	b.arcStart = subset.ArcStart(cfg.Index, cfg.Balancers, nil)
	b.compartments = make([]compartment, len(cfg.tenants()))
	b.rng = rand.New(rand.NewPCG(seed, 0))
	b.meanLatency, b.shortageFactor = cfg.Classes[0].LatencyTarget/8, 1
	b.prober = loadquery.New(cfg.MayProbe && cfg.Reports&HasInFlight != 0, cfg.ProbePrice)
	for _, c := range cfg.Classes {
		b.classes = append(b.classes, class{Class: c, meanLatency: c.LatencyTarget / 8})
		b.meanTargetSeconds += c.LatencyTarget.Seconds() / float64(len(cfg.Classes))
		b.meanValue += c.Value / float64(len(cfg.Classes))
		b.meanLatency = min(b.meanLatency, c.LatencyTarget/8)
	}
	b.meanValue = cmp.Or(b.meanValue, 1)
	b.discovery = discoverypace.New(b.rng, cfg.Balancers, cfg.ListMaxAge)
	b.budget = admission.RetryBudget{RetryLimit: cfg.Budget, Processes: cfg.Processes}
	health := admission.NewHealth()
	if cfg.NewGate == nil {
		cfg.NewGate = func(rng *rand.Rand) admission.Gate { return admission.NewRecovering(rng, health) }
	}
	for i := range b.compartments { // one gate for each tenant: one tenant's flood must not reject others' requests
		b.compartments[i].gate = cfg.NewGate(b.rng)
	}
	b.arrivals.Window = rateWindow
	b.bulkhead = bulkhead.New(b.meanTargetSeconds * slotHoldFraction)
	b.deriveSlots()
	return b, nil
}

// checkConfig returns an error for the first unusable field of a Config. It names the field by its key in recordings.
func checkConfig(cfg Config) error {
	switch {
	case cfg.Balancers < 1:
		return fmt.Errorf("config: Balancers is %d, want at least 1", cfg.Balancers)
	case cfg.Index < 0:
		return fmt.Errorf("config: Index is %d, want 0 or more", cfg.Index)
	case len(cfg.Classes) == 0:
		return fmt.Errorf("config: Classes is empty, want at least one class")
	case cfg.MaxAttempts < 1:
		return fmt.Errorf("config: MaxAttempts is %d, want at least 1", cfg.MaxAttempts)
	case cfg.Slots < 0:
		return fmt.Errorf("config: Slots is %d, want 0 or more", cfg.Slots)
	case requestclass.IsInvalid(cfg.SlowStartShare) || cfg.SlowStartShare > 1:
		return fmt.Errorf("config: ColdFrom is %v, want a fraction from 0 to 1", cfg.SlowStartShare)
	case requestclass.IsInvalid(cfg.SlowStartOverload), requestclass.IsInvalid(cfg.CrossZonePrice),
		requestclass.IsInvalid(cfg.ProbePrice):
		return fmt.Errorf("config: ColdMultiple %v, CrossZonePrice %v or ProbePrice %v is negative or not finite",
			cfg.SlowStartOverload, cfg.CrossZonePrice, cfg.ProbePrice)
	case cfg.Budget.Check() != nil:
		return fmt.Errorf("config: Budget: %w", cfg.Budget.Check())
	case min(cfg.KeyBlockTime, cfg.IdleCloseTime) < 0:
		return fmt.Errorf("config: OrderSettle %v or CloseWithin %v is negative", cfg.KeyBlockTime, cfg.IdleCloseTime)
	case min(cfg.MaxRetryAfter, cfg.Tick, cfg.ListMaxAge, cfg.SlowStartTime) < 0:
		return fmt.Errorf("config: MaxRetryAfter, Tick, AskWithin or ColdTime is negative, want 0 or more")
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

// isValid reports whether a request names an existing class and tenant and has time left. If no tenants are configured,
// it sets the request's tenant to 0, the only compartment.
func (b *Balancer) isValid(q *Request) bool {
	if len(b.cfg.Tenants) == 0 {
		q.Tenant = 0
	}
	return q.Class >= 0 && q.Class < len(b.classes) && q.Tenant >= 0 && q.Tenant < len(b.compartments) && q.TimeLeft > 0
}

// tenants returns the configured tenants, or a single tenant with the whole service if none are configured.
func (c *Config) tenants() []Tenant {
	if len(c.Tenants) == 0 {
		return []Tenant{{Share: 1}}
	}
	return c.Tenants
}

// Reconfigure applies new limits, or returns an error and changes nothing. It cancels no attempt and removes no request
// from a queue: a compartment that exceeds its new limits shrinks as its requests end.
func (b *Balancer) Reconfigure(_ time.Duration, l Limits) error {
	cfg := b.cfg
	cfg.Tenants, cfg.MaxAttempts, cfg.Budget = l.Tenants, l.MaxAttempts, l.Budget
	if len(l.Tenants) != len(b.cfg.Tenants) {
		return fmt.Errorf("limits: %d Tenants, want %d as configured at the start", len(l.Tenants), len(b.cfg.Tenants))
	}
	err := checkConfig(cfg)
	if err == nil {
		b.cfg, b.budget.RetryLimit, b.maxQueued, b.minShareSum = cfg, cfg.Budget, l.Queue, 1
		b.setBalancers(b.balancers) // queued requests use new slots from the next event on
	}
	return err
}
