// Package policyrollout is what the sidecars of a fleet agree on: limits that an operator changes everywhere or nowhere. It is free of I/O.
//
// A Policy is the operator's text, which may leave fields out; Resolve fills those in from the sidecar's own settings, and Stricter is of two such Limits. Between an
// old policy and a new one each sidecar keeps to the stricter of both, field by field, so that no request is let in by one of them alone.
package policyrollout

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"unicode/utf8"

	"caperarch/internal/proxy/strictconfig"
)

const (
	// MaxTextBytes bounds a policy's text, in bytes.
	MaxTextBytes = 64 << 10

	maxTenants   = 1000
	maxOut       = 10_000
	maxNameBytes = 128
	maxAttempts  = 100
	maxQuota     = 1e6
	maxCount     = 1e6
)

// Policy is an operator's text. A nil field is not in it: the sidecar's own settings hold.
type Policy struct {
	Tenants map[string]Tenant `toml:"tenants"`
	Limits  Bounds            `toml:"limits"`
	Retry   Retry             `toml:"retry"`
	Out     []string          `toml:"out"` // upstreams out by hand
}

// Tenant is one tenant's part.
type Tenant struct {
	Share *float64 `toml:"share"` // of what this sidecar may have out: a part of the whole, all together at most 1
	Quota *float64 `toml:"quota"` // requests a second over the fleet
}

// Bounds are a sidecar's.
type Bounds struct {
	Attempts *int `toml:"attempts"` // for one request
	Open     *int `toml:"open"`     // requests held at once
	Queue    *int `toml:"queue"`    // of these, ones that wait, over all tenants
}

// Retry is the budget of attempts behind each request's first.
type Retry struct {
	Free  *float64 `toml:"free"`  // in the settings' span, whatever the traffic
	Share *float64 `toml:"share"` // and this for each request in it
}

// Parse reads an operator's text. An error names line or field.
func Parse(text []byte) (*Policy, error) {
	switch {
	case len(text) > MaxTextBytes:
		return nil, fmt.Errorf("a policy of %d bytes, %d are possible", len(text), MaxTextBytes)
	case !utf8.Valid(text):
		return nil, fmt.Errorf("line %d: not UTF-8", 1+bytes.Count(text[:firstInvalid(text)], []byte("\n")))
	}
	p := new(Policy)
	if err := strictconfig.DecodeTOML(text, p); err != nil {
		return nil, err
	}
	return p, p.check()
}

// firstInvalid is where a text stops being UTF-8.
func firstInvalid(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return len(text)
}

// Hash names a text: who has one of this hash has this very text.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

func (p *Policy) check() error {
	number := func(field string, v *float64, least, most float64) error {
		if v != nil && !(*v >= least && *v <= most) { // not a number too
			return fmt.Errorf("%s: %v is not within %v and %v", field, *v, least, most)
		}
		return nil
	}
	count := func(field string, v *int, least, most int) error {
		if v != nil && (*v < least || *v > most) {
			return fmt.Errorf("%s: %d is not within %d and %d", field, *v, least, most)
		}
		return nil
	}
	if len(p.Tenants) > maxTenants {
		return fmt.Errorf("tenants: %d of them, %d are possible", len(p.Tenants), maxTenants)
	}
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.Tenants)) {
		t := p.Tenants[name]
		if err := errors.Join(number("tenants."+name+".share", t.Share, 1e-6, 1), number("tenants."+name+".quota", t.Quota, 1e-3, maxQuota)); err != nil {
			return err
		}
		if t.Share != nil {
			sum += *t.Share
		}
	}
	if sum > 1+1e-9 {
		return fmt.Errorf("tenants: the shares add up to %v, 1 is all there is", sum)
	}
	seen := make(map[string]bool)
	for i, id := range p.Out {
		switch {
		case id == "" || len(id) > maxNameBytes:
			return fmt.Errorf("out[%d]: an id of %d bytes, 1 to %d are possible", i, len(id), maxNameBytes)
		case seen[id]:
			return fmt.Errorf("out[%d]: %s stands there twice", i, id)
		case i >= maxOut:
			return fmt.Errorf("out: %d ids, %d are possible", len(p.Out), maxOut)
		}
		seen[id] = true
	}
	return errors.Join(
		count("limits.attempts", p.Limits.Attempts, 1, maxAttempts), count("limits.open", p.Limits.Open, 1, maxCount), count("limits.queue", p.Limits.Queue, 0, maxCount),
		number("retry.free", p.Retry.Free, 0, maxCount), number("retry.share", p.Retry.Share, 0, 1),
	)
}

// Limits is a policy with every field there: what a sidecar goes by.
type Limits struct {
	Share      []float64 // by tenant, a part of the whole
	Quota      []float64 // by tenant, requests a second over the fleet; math.Inf(1): none
	Attempts   int
	Open       int
	Queue      int
	RetryFree  float64
	RetryShare float64
	Out        []string // in order
}

// Settings are a sidecar's own, by which a policy is resolved.
type Settings struct {
	Tenants       map[string]int // number by name
	Limits        Limits
	Max           Limits // what its own memory and descriptors bear: Attempts, Open and Queue; 0: no bound
	NoRetryBudget bool   // there is no retry budget here, so none can be changed
}

// Resolve fills in from the settings what a policy leaves out. A tenant that the settings don't have, or a bound over what this sidecar bears, can't be applied here: the
// error names the field.
func (p *Policy) Resolve(s *Settings) (*Limits, error) {
	l := s.Limits.clone()
	for _, name := range slices.Sorted(maps.Keys(p.Tenants)) {
		i, known := s.Tenants[name]
		if !known || i < 0 || i >= len(l.Share) || i >= len(l.Quota) {
			return nil, fmt.Errorf("tenants.%s: no such tenant here", name)
		}
		if t := p.Tenants[name]; t.Share != nil {
			l.Share[i] = *t.Share
		}
		if t := p.Tenants[name]; t.Quota != nil {
			l.Quota[i] = *t.Quota
		}
	}
	// Those that are not named share what is left, as the settings have them to one another.
	l.fitShares(p, s)
	for _, f := range []struct {
		name string
		v    *int
		to   *int
		most int
	}{
		{"limits.attempts", p.Limits.Attempts, &l.Attempts, s.Max.Attempts}, {"limits.open", p.Limits.Open, &l.Open, s.Max.Open},
		{"limits.queue", p.Limits.Queue, &l.Queue, s.Max.Queue},
	} {
		if f.v == nil {
			continue
		}
		if f.most > 0 && *f.v > f.most {
			return nil, fmt.Errorf("%s: %d is over what this sidecar bears, %d", f.name, *f.v, f.most)
		}
		*f.to = *f.v
	}
	if s.NoRetryBudget && p.Retry != (Retry{}) {
		return nil, errors.New("retry: the settings here have no retry budget, and so no span that it could be over")
	}
	if s.Limits.quotaCount() == 0 {
		if with := l.quotaCount(); with != 0 && with != len(l.Quota) { // together they say how much the fleet's servers are there for
			return nil, fmt.Errorf("tenants: the settings here have no quotas, the policy has them for %d of %d: all are to have one, or none", with, len(l.Quota))
		}
	}
	if p.Retry.Free != nil {
		l.RetryFree = *p.Retry.Free
	}
	if p.Retry.Share != nil {
		l.RetryShare = *p.Retry.Share
	}
	l.Out = append(l.Out, p.Out...)
	slices.Sort(l.Out)
	l.Out = slices.Compact(l.Out)
	return l, nil
}

// quotaCount is how many tenants have one.
func (l *Limits) quotaCount() (n int) {
	for _, q := range l.Quota {
		if q < noQuota {
			n++
		}
	}
	return n
}

// fitShares keeps the sum of all shares at 1 at most: those that the policy does not name give way.
func (l *Limits) fitShares(p *Policy, s *Settings) {
	named := make([]bool, len(l.Share))
	said := 0.0
	for name, t := range p.Tenants {
		if t.Share != nil {
			named[s.Tenants[name]] = true
			said += *t.Share
		}
	}
	rest := 0.0
	for i, v := range l.Share {
		if !named[i] {
			rest += v
		}
	}
	if left := max(0, 1-said); rest > left {
		for i := range l.Share {
			if !named[i] {
				l.Share[i] *= left / rest
			}
		}
	}
}

func (l *Limits) clone() *Limits {
	c := *l
	c.Share, c.Quota, c.Out = slices.Clone(l.Share), slices.Clone(l.Quota), slices.Clone(l.Out)
	return &c
}

// noQuota is a quota that bounds nothing.
var noQuota = math.Inf(1)
