package fleet

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/policy"
)

// unbounded stands for a bound that the settings don't have.
const unbounded = 1_000_000

// ActiveLimits is what a sidecar applies for a while. It is immutable: another one replaces it.
type ActiveLimits struct {
	policyrollout.Active
	Limits *policyrollout.Limits
	Engine policy.Limits
}

// policySettings returns this sidecar's own settings, as a policy sees them.
func policySettings(cfg *config.Config) *policyrollout.Settings {
	s := &policyrollout.Settings{Tenants: cfg.Tenants, NoRetryBudget: cfg.Policy.Budget.Span == 0}
	sum := 0.0
	for _, t := range cfg.Policy.Tenants {
		sum += t.Share
	}
	for _, t := range cfg.Policy.Tenants {
		quota := t.Quota
		if quota == 0 {
			quota = math.Inf(1)
		}
		s.Limits.Share, s.Limits.Quota = append(s.Limits.Share, t.Share/sum), append(s.Limits.Quota, quota)
	}
	s.Limits.Attempts, s.Limits.Open, s.Limits.Queue = cfg.Policy.MaxAttempts, cfg.MaxOpenRequests, unbounded
	if s.Limits.Open == 0 {
		s.Limits.Open = unbounded
	}
	s.Limits.RetryFree, s.Limits.RetryShare = cfg.Policy.Budget.Free, cfg.Policy.Budget.Share
	// A policy can't raise what the platform allows a sidecar.
	s.Max.Attempts, s.Max.Open = cfg.Policy.MaxAttempts, cfg.MaxOpenRequests
	return s
}

// resolvePolicy completes a text by this sidecar's settings.
func (p *Policy) resolvePolicy(text []byte) (*policyrollout.Limits, error) {
	parsed, err := policyrollout.Parse(text)
	if err != nil {
		return nil, err
	}
	return parsed.Resolve(p.settings)
}

// checkPolicy returns why a policy can't be applied here.
func (p *Policy) checkPolicy(text []byte) error {
	l, err := p.resolvePolicy(text)
	if err != nil {
		return err
	}
	if looser := policyrollout.Looser(p.cutOff.Limits, l); looser != nil {
		return fmt.Errorf("cut_off is looser: %s", strings.Join(looser, "; "))
	}
	return nil
}

// newActiveLimits returns limits in the form that the engine takes.
func (p *Policy) newActiveLimits(now policyrollout.Active, l *policyrollout.Limits) *ActiveLimits {
	in := &ActiveLimits{Active: now, Limits: l, Engine: policy.Limits{MaxAttempts: l.Attempts, Queue: l.Queue}}
	for i, share := range l.Share {
		t := policy.Tenant{Share: share}
		if !math.IsInf(l.Quota[i], 1) {
			t.Quota = l.Quota[i]
		}
		in.Engine.Tenants = append(in.Engine.Tenants, t)
	}
	if p.retrySpan > 0 {
		in.Engine.Budget = policy.RetryBudget{Span: p.retrySpan, Free: l.RetryFree, Share: l.RetryShare}
	}
	return in
}

// Active returns what applies at this moment. Ask it wherever something depends on it: a process
// that was stopped finds itself cut off.
func (p *Policy) Active() *ActiveLimits {
	if p.fleet.now() >= time.Duration(p.activeUntil.Load()) {
		return p.cutOff
	}
	return p.active.Load()
}

// publishActive has Active return what the node applies. The caller holds the lock; the node itself
// causes the call before it tells the fleet what it applies.
func (p *Policy) publishActive() {
	p.publishMachinesOut()
	active := p.node.Active(p.now)
	until := p.node.ActiveUntil()
	if active.Mode == policyrollout.CutOff {
		p.setActive(p.cutOff, math.MaxInt64)
		return
	}
	if in := p.active.Load(); in.Active == active {
		p.activeUntil.Store(int64(until))
		return
	}
	l, err := p.limitsOf(active)
	if err != nil { // its text was checked when it arrived
		p.fleet.log.Error("policy: what the fleet goes by can't be applied, this sidecar is cut off", "error", err)
		p.setActive(p.cutOff, math.MaxInt64)
		return
	}
	p.setActive(p.newActiveLimits(active, l), int64(until))
}

// setActive replaces what applies. A caller of Active between the two stores gets cutOff, which is
// no looser than either.
func (p *Policy) setActive(in *ActiveLimits, until int64) {
	if p.active.Load() == in && p.activeUntil.Load() == until {
		return
	}
	p.activeUntil.Store(0)
	p.active.Store(in)
	p.activeUntil.Store(until)
}

// limitsOf returns the limits of one version, or the stricter of two.
func (p *Policy) limitsOf(active policyrollout.Active) (*policyrollout.Limits, error) {
	l, err := p.versionLimits(active.New)
	if err != nil || active.Mode != policyrollout.BothVersions {
		return l, err
	}
	old, err := p.versionLimits(active.Old)
	if err != nil {
		return nil, err
	}
	return policyrollout.Stricter(old, l), nil
}

// versionLimits returns the limits of one version.
func (p *Policy) versionLimits(r policyrollout.Ref) (*policyrollout.Limits, error) {
	if r.Version == 0 {
		return &p.settings.Limits, nil
	}
	text, here := p.node.Text(r)
	if !here {
		return nil, errors.New(policyrollout.TextMissing)
	}
	return p.resolvePolicy(text)
}
