package policyrollout

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Limits is a resolved policy, in which all fields are set. Sidecars apply Limits.
type Limits struct {
	Share             []float64 // by tenant: fraction of the sidecar's requests in flight
	Quota             []float64 // by tenant: requests per second over the whole fleet; math.Inf(1): no quota
	Attempts          int       // per request, including the first
	Open              int       // requests in flight at the same time
	Queue             int       // the part of these requests that may wait
	RetryFree         float64   // retries per budget period, independent of the traffic
	RetryShare        float64   // additional retries per request in the period
	DisabledUpstreams []string  // sorted ids
}

// Settings holds a sidecar's own settings, which supply the fields that a policy leaves out.
type Settings struct {
	Tenants       map[string]int // numbers of the tenants, by name
	Limits        Limits
	Max           Limits // Attempts, Open and Queue that the sidecar's memory and descriptors allow; 0: no bound
	NoRetryBudget bool   // this sidecar has no retry budget that a policy could change
}

// Resolve returns the limits of a policy, with fields that the policy leaves out filled in from the settings.
// It returns an error that names the field if this sidecar can't apply the policy: because the settings lack
// a tenant, because a bound exceeds what the sidecar supports, or because the settings lack a retry budget or
// quotas.
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
		// The quotas of all tenants add up to the fleet's capacity, so either all tenants have a quota or
		// none.
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

// setTenants sets the shares and quotas that a policy has for its tenants.
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
	// the tenants that the policy does not name share the rest in the proportions of the settings
	l.fitShares(p, s)
	return nil
}

// setBounds sets the bounds that a policy has for each sidecar.
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

// quotaCount returns the number of tenants with a quota.
func (l *Limits) quotaCount() (n int) {
	for _, q := range l.Quota {
		if q < noQuota {
			n++
		}
	}
	return n
}

// fitShares reduces the shares of tenants without a share in the policy, so that the sum of all shares is at
// most 1.
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

// clone returns a deep copy.
func (l *Limits) clone() *Limits {
	c := *l
	c.Share, c.Quota, c.DisabledUpstreams =
		slices.Clone(l.Share), slices.Clone(l.Quota), slices.Clone(l.DisabledUpstreams)
	return &c
}

// noQuota is the quota of a tenant without a limit.
var noQuota = math.Inf(1)
