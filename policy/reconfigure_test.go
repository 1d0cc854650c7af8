package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func limitsOf(cfg Config) Limits {
	return Limits{Tenants: slices.Clone(cfg.Tenants), MaxAttempts: cfg.MaxAttempts, Queue: -1, Budget: cfg.Budget}
}

func twoTenants() Config {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Share: 0.7, Quota: 700}, {Share: 0.3, Quota: 300}}
	cfg.Balancers, cfg.Slots = 1, 0
	return cfg
}

// Equal limits change nothing, whenever they are set: the same events cause the same actions.
func TestEqualLimitsChangeNothing(t *testing.T) {
	play := func(seed uint64, again bool) []string {
		cfg := twoTenants()
		b, h := start(t, cfg, ready(1, 2, 3, 4))
		rng := rand.New(rand.NewPCG(seed, 0))
		now := time.Second
		for i := range 400 {
			now += time.Duration(rng.IntN(3)) * ms
			b.Request(now, Request{ID: RequestID(i + 1), Tenant: rng.IntN(2), TimeLeft: time.Second})
			if again && i%7 == 0 {
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
		a, b := play(seed, false), play(seed, true)
		if !slices.Equal(a, b) {
			for i := range min(len(a), len(b)) {
				if a[i] != b[i] {
					t.Fatalf("seed %d: at %d %q, with equal limits set again %q", seed, i, a[i], b[i])
				}
			}
			t.Fatalf("seed %d: %d actions, %d with equal limits set again", seed, len(a), len(b))
		}
	}
}

// Compartments shrink without cancelling attempts, and grow at once; what a tenant gives up is not another's
// unless the limits say so.
func TestReconfigureUnderLoad(t *testing.T) {
	cfg := twoTenants()
	b, h := start(t, cfg, ready(1, 2, 3, 4))
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
		t.Errorf("%d in flight of %d, slots %d of %d, the other's %d of %d, cancelled %d",
			first.used, used, first.slots, slots, second.slots, other, len(h.cancelled))
	}
	if len(h.sends) != sends {
		t.Errorf("%d sent for limits that are stricter", len(h.sends)-sends)
	}
	for i, s := range slices.Clone(h.sends) { // an end frees a slot only once few enough are in flight
		now += ms
		b.Outcome(now, Outcome{ID: s.id, Ending: Served})
		before, sent := first.used, len(h.sends) > sends && h.sends[len(h.sends)-1].id%2 == 1
		if before > first.slots && sent && i < 3 {
			t.Errorf("one more of a tenant with %d of %d in flight", before, b.compartments[0].slots)
		}
	}
	if err := b.Reconfigure(now, limitsOf(cfg)); err != nil || b.compartments[0].slots != slots || slots < 10 {
		t.Errorf("%v, slots %d of %d again", err, b.compartments[0].slots, slots)
	}
	l.Queue = 0
	if err := b.Reconfigure(now, l); err != nil || b.compartments[0].queueSlots+b.compartments[1].queueSlots != 0 {
		t.Errorf("%v, places %d and %d", err, b.compartments[0].queueSlots, b.compartments[1].queueSlots)
	}
	l.Queue = 10
	err := b.Reconfigure(now, l)
	if err != nil || first.queueSlots+second.queueSlots > 10 || second.queueSlots == 0 {
		t.Errorf("%v, places %d and %d", err, b.compartments[0].queueSlots, b.compartments[1].queueSlots)
	}
}

// Fewer attempts hold for what is under way too; what can't be used changes nothing.
func TestReconfigureAttempts(t *testing.T) {
	cfg := twoTenants()
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.Request(time.Second, Request{ID: 1, TimeLeft: time.Second})
	l := limitsOf(cfg)
	l.MaxAttempts = 1
	if err := b.Reconfigure(time.Second, l); err != nil {
		t.Fatal(err)
	}
	b.Outcome(time.Second+ms, Outcome{ID: 1, Ending: NoConnection})
	if _, refused := h.refused[1]; !refused || len(h.sends) != 1 {
		t.Errorf("%d sent, refused %v", len(h.sends), refused)
	}
	for name, spoil := range map[string]func(*Limits){
		"no attempts":           func(l *Limits) { l.MaxAttempts = 0 },
		"a tenant more":         func(l *Limits) { l.Tenants = append(l.Tenants, Tenant{Share: 1}) },
		"a negative share":      func(l *Limits) { l.Tenants = []Tenant{{Share: -1}, {Share: 1}} },
		"a budget without span": func(l *Limits) { l.Budget = RetryBudget{Free: 1} },
	} {
		l := limitsOf(cfg)
		spoil(&l)
		if b.Reconfigure(time.Second, l) == nil || b.cfg.MaxAttempts != 1 {
			t.Errorf("%s: accepted", name)
		}
	}
}
