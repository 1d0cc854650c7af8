package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// limitsOf returns the limits in a Config, with the queue derived from the slots.
func limitsOf(cfg Config) Limits {
	return Limits{Tenants: slices.Clone(cfg.Tenants), MaxAttempts: cfg.MaxAttempts, Queue: -1, Budget: cfg.Budget}
}

// twoTenantConfig returns a Config of one balancer and two tenants with quotas of 700 and 300 requests per second.
func twoTenantConfig() Config {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Share: 0.7, Quota: 700}, {Share: 0.3, Quota: 300}}
	cfg.Balancers, cfg.Slots = 1, 0
	return cfg
}

// Setting equal limits again changes nothing at any time: the same events cause the same actions.
func TestEqualLimitsChangeNothing(t *testing.T) {
	actions := func(seed uint64, reconfigure bool) []string {
		cfg := twoTenantConfig()
		b, h := start(t, cfg, readyList(1, 2, 3, 4))
		rng := rand.New(rand.NewPCG(seed, 0))
		now := time.Second
		for i := range 400 {
			now += time.Duration(rng.IntN(3)) * ms
			b.Request(now, Request{ID: RequestID(i + 1), Tenant: rng.IntN(2), TimeLeft: time.Second})
			if reconfigure && i%7 == 0 {
				if err := b.Reconfigure(now, limitsOf(cfg)); err != nil {
					t.Fatal(err)
				}
			}
			if n := len(h.sends); n > 0 && rng.IntN(2) == 0 {
				s := h.sends[rng.IntN(n)]
				b.Outcome(now, Outcome{ID: s.id, Ending: []Ending{Served, NotProcessed, TimedOut}[rng.IntN(3)]})
			}
			if i%10 == 0 {
				b.Wake(now)
			}
		}
		return h.trace
	}
	for seed := range uint64(20) {
		a, b := actions(seed, false), actions(seed, true)
		if !slices.Equal(a, b) {
			for i := range min(len(a), len(b)) {
				if a[i] != b[i] {
					t.Fatalf("seed %d: action %d is %q, and %q if equal limits are set again", seed, i, a[i], b[i])
				}
			}
			t.Fatalf("seed %d: %d actions, and %d if equal limits are set again", seed, len(a), len(b))
		}
	}
}

// A compartment shrinks without cancelling attempts, and grows at once. What one tenant gives up goes to another only
// if the limits say so.
func TestReconfigureUnderLoad(t *testing.T) {
	cfg := twoTenantConfig()
	b, h := start(t, cfg, readyList(1, 2, 3, 4))
	now := time.Second
	for i := range 500 {
		b.Request(now, Request{ID: RequestID(i + 1), Tenant: i % 2, TimeLeft: time.Second})
	}
	used, slots, other := b.compartments[0].used, b.compartments[0].slots, b.compartments[1].slots
	sends := len(h.sends)
	l := limitsOf(cfg)
	l.Tenants[0].Share = 0.1
	if err := b.Reconfigure(now, l); err != nil {
		t.Fatal(err)
	}
	first, second := &b.compartments[0], &b.compartments[1]
	if first.used != used || len(h.cancelled) > 0 || first.slots >= slots || second.slots != other {
		t.Errorf("stricter limits: %d in flight of %d before, slots %d of %d, other tenant's slots %d of %d, %d cancelled",
			first.used, used, first.slots, slots, second.slots, other, len(h.cancelled))
	}
	if len(h.sends) != sends {
		t.Errorf("%d requests sent because of stricter limits, want none", len(h.sends)-sends)
	}
	for i, s := range slices.Clone(h.sends) { // an attempt's end frees no slot while the compartment exceeds its limit
		now += ms
		b.Outcome(now, Outcome{ID: s.id, Ending: Served})
		before, sent := first.used, len(h.sends) > sends && h.sends[len(h.sends)-1].id%2 == 1
		if before > first.slots && sent && i < 3 {
			t.Errorf("request sent for a tenant with %d attempts in flight of %d slots", before, b.compartments[0].slots)
		}
	}
	if err := b.Reconfigure(now, limitsOf(cfg)); err != nil || b.compartments[0].slots != slots || slots < 10 {
		t.Errorf("first limits set again: error %v, %d slots, want %d", err, b.compartments[0].slots, slots)
	}
	l.Queue = 0
	if err := b.Reconfigure(now, l); err != nil || b.compartments[0].queueSlots+b.compartments[1].queueSlots != 0 {
		t.Errorf("Queue 0: error %v, queue slots %d and %d, want none",
			err, b.compartments[0].queueSlots, b.compartments[1].queueSlots)
	}
	l.Queue = 10
	err := b.Reconfigure(now, l)
	if err != nil || first.queueSlots+second.queueSlots > 10 || second.queueSlots == 0 {
		t.Errorf("Queue 10: error %v, queue slots %d and %d, want at most 10, and some for the second tenant",
			err, b.compartments[0].queueSlots, b.compartments[1].queueSlots)
	}
}

// A lower MaxAttempts applies to open requests too; unusable limits change nothing.
func TestReconfigureAttempts(t *testing.T) {
	cfg := twoTenantConfig()
	b, h := start(t, cfg, readyList(1, 2, 3, 4))
	b.Request(time.Second, Request{ID: 1, TimeLeft: time.Second})
	l := limitsOf(cfg)
	l.MaxAttempts = 1
	if err := b.Reconfigure(time.Second, l); err != nil {
		t.Fatal(err)
	}
	b.Outcome(time.Second+ms, Outcome{ID: 1, Ending: NoConnection})
	if _, refused := h.refused[1]; !refused || len(h.sends) != 1 {
		t.Errorf("MaxAttempts lowered to 1: %d sends, refused %v; want 1 send and a refusal", len(h.sends), refused)
	}
	for name, makeUnusable := range map[string]func(*Limits){
		"no attempts":             func(l *Limits) { l.MaxAttempts = 0 },
		"an additional tenant":    func(l *Limits) { l.Tenants = append(l.Tenants, Tenant{Share: 1}) },
		"a negative share":        func(l *Limits) { l.Tenants = []Tenant{{Share: -1}, {Share: 1}} },
		"a budget without a span": func(l *Limits) { l.Budget = RetryBudget{Free: 1} },
	} {
		l := limitsOf(cfg)
		makeUnusable(&l)
		if b.Reconfigure(time.Second, l) == nil || b.cfg.MaxAttempts != 1 {
			t.Errorf("limits with %s: accepted, want an error and no change", name)
		}
	}
}
