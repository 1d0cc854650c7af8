package policyrollout

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Limits is a policy with all fields: what a sidecar applies.
type Limits struct {
	Share             []float64 // by tenant, fractions
	Quota             []float64 // by tenant, requests per second over the fleet; math.Inf(1): none
	Attempts          int
	Open              int
	Queue             int
	RetryFree         float64
	RetryShare        float64
	DisabledUpstreams []string // sorted
}

// Settings are a sidecar's own settings, by which a policy is resolved.
type Settings struct {
	Tenants       map[string]int // number by name
	Limits        Limits
	Max           Limits // what its own memory and descriptors allow: Attempts, Open and Queue; 0: no bound
	NoRetryBudget bool   // there is no retry budget here that could be changed
}

// Resolve fills in from the settings what a policy leaves out. A tenant that the settings don't
// have, or a bound above what this sidecar supports, can't be applied here: the error names the
// field.
func (p *Policy) Resolve(s *Settings) (*Limits, error) {
	l := s.Limits.clone()
	if err := l.setTenants(p, s); err != nil {
		return nil, err
	}
	if err := l.setBounds(p, s); err != nil {
		return nil, err
	}
	if s.NoRetryBudget && p.Retry != (Retry{}) {
		return nil, errors.New("retry: the settings here have no retry budget, and so no span that it could be over")
	}
	if s.Limits.quotaCount() == 0 {
		// Quotas of all tenants add up to the fleet's capacity.
		if with := l.quotaCount(); with != 0 && with != len(l.Quota) {
			return nil, fmt.Errorf(
				"tenants: the settings here have no quotas, the policy has them for %d of %d: all are to have one, or none",
				with, len(l.Quota),
			)
		}
	}
	if p.Retry.Free != nil {
		l.RetryFree = *p.Retry.Free
	}
	if p.Retry.Share != nil {
		l.RetryShare = *p.Retry.Share
	}
	l.DisabledUpstreams = append(l.DisabledUpstreams, p.DisabledUpstreams...)
	slices.Sort(l.DisabledUpstreams)
	l.DisabledUpstreams = slices.Compact(l.DisabledUpstreams)
	return l, nil
}

// setTenants sets the shares and quotas of a policy.
func (l *Limits) setTenants(p *Policy, s *Settings) error {
	for _, name := range slices.Sorted(maps.Keys(p.Tenants)) {
		i, known := s.Tenants[name]
		if !known || i < 0 || i >= len(l.Share) || i >= len(l.Quota) {
			return fmt.Errorf("tenants.%s: no such tenant here", name)
		}
		t := p.Tenants[name]
		if t.Share != nil {
			l.Share[i] = *t.Share
		}
		if t.Quota != nil {
			l.Quota[i] = *t.Quota
		}
	}
	// Tenants that are not named share the rest, in the proportions of the settings.
	l.fitShares(p, s)
	return nil
}

// setBounds sets the bounds of a policy.
func (l *Limits) setBounds(p *Policy, s *Settings) error {
	for _, f := range []struct {
		name string
		v    *int
		to   *int
		most int
	}{
		{"limits.attempts", p.Limits.Attempts, &l.Attempts, s.Max.Attempts},
		{"limits.open", p.Limits.Open, &l.Open, s.Max.Open},
		{"limits.queue", p.Limits.Queue, &l.Queue, s.Max.Queue},
	} {
		if f.v == nil {
			continue
		}
		if f.most > 0 && *f.v > f.most {
			return fmt.Errorf("%s: %d is over what this sidecar bears, %d", f.name, *f.v, f.most)
		}
		*f.to = *f.v
	}
	return nil
}

// quotaCount returns how many tenants have a quota.
func (l *Limits) quotaCount() (n int) {
	for _, q := range l.Quota {
		if q < noQuota {
			n++
		}
	}
	return n
}

// fitShares keeps the sum of all shares at 1 at most: those that the policy does not name are
// reduced.
func (l *Limits) fitShares(p *Policy, s *Settings) {
	named := make([]bool, len(l.Share))
	namedSum := 0.0
	for name, t := range p.Tenants {
		if t.Share != nil {
			named[s.Tenants[name]] = true
			namedSum += *t.Share
		}
	}
	rest := 0.0
	for i, v := range l.Share {
		if !named[i] {
			rest += v
		}
	}
	if left := max(0, 1-namedSum); rest > left {
		for i := range l.Share {
			if !named[i] {
				l.Share[i] *= left / rest
			}
		}
	}
}

func (l *Limits) clone() *Limits {
	c := *l
	c.Share, c.Quota, c.DisabledUpstreams = slices.Clone(l.Share), slices.Clone(l.Quota), slices.Clone(l.DisabledUpstreams)
	return &c
}

// noQuota is a quota that bounds nothing.
var noQuota = math.Inf(1)
