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

// unbounded is the value of a limit that the settings don't set.
const unbounded = 1_000_000

// ActiveLimits are the limits that a sidecar applies at some time. They are immutable; a change of the limits replaces
// the whole value.
type ActiveLimits struct {
	policyrollout.Active
	Limits *policyrollout.Limits
	Engine policy.Limits // the limits in the form that the decision module takes
}

// policySettings returns this sidecar's own settings, which complete and bound the fleet's policy.
func policySettings(cfg *config.Config) *policyrollout.Settings {
	settings := &policyrollout.Settings{Tenants: cfg.Tenants, NoRetryBudget: cfg.Policy.Budget.Span == 0}
	totalShare := 0.0
	for _, tenant := range cfg.Policy.Tenants {
		totalShare += tenant.Share
	}
	for _, tenant := range cfg.Policy.Tenants {
		quota := tenant.Quota
		if quota == 0 {
			quota = math.Inf(1)
		}
		settings.Limits.Share, settings.Limits.Quota = append(settings.Limits.Share, tenant.Share/totalShare),
			append(settings.Limits.Quota, quota)
	}
	settings.Limits.Attempts, settings.Limits.Open, settings.Limits.Queue = cfg.Policy.MaxAttempts,
		cfg.MaxOpenRequests, unbounded
	if settings.Limits.Open == 0 {
		settings.Limits.Open = unbounded
	}
	settings.Limits.RetryFree, settings.Limits.RetryShare = cfg.Policy.Budget.Free, cfg.Policy.Budget.Share
	// A policy can't raise the limits that the sidecar's own settings impose.
	settings.Max.Attempts, settings.Max.Open = cfg.Policy.MaxAttempts, cfg.MaxOpenRequests
	return settings
}

// resolvePolicy parses a policy's text and completes it with this sidecar's settings.
func (p *Policy) resolvePolicy(text []byte) (*policyrollout.Limits, error) {
	parsed, err := policyrollout.Parse(text)
	if err != nil {
		return nil, err
	}
	return parsed.Resolve(p.settings)
}

// checkPolicy returns an error if a policy can't be applied by this sidecar. In particular, cut_off must not be looser
// than the policy, because it replaces the policy while this sidecar is cut off.
func (p *Policy) checkPolicy(text []byte) error {
	limits, err := p.resolvePolicy(text)
	if err != nil {
		return err
	}
	if looser := policyrollout.Looser(p.cutOff.Limits, limits); looser != nil {
		return fmt.Errorf("cut_off is looser: %s", strings.Join(looser, "; "))
	}
	return nil
}

// newActiveLimits returns limits together with their form for the decision module.
func (p *Policy) newActiveLimits(active policyrollout.Active, limits *policyrollout.Limits) *ActiveLimits {
	result := &ActiveLimits{
		Active: active, Limits: limits,
		Engine: policy.Limits{MaxAttempts: limits.Attempts, Queue: limits.Queue},
	}
	for i, share := range limits.Share {
		tenant := policy.Tenant{Share: share}
		if !math.IsInf(limits.Quota[i], 1) {
			tenant.Quota = limits.Quota[i]
		}
		result.Engine.Tenants = append(result.Engine.Tenants, tenant)
	}
	if p.retrySpan > 0 {
		result.Engine.Budget = policy.RetryBudget{
			Span: p.retrySpan, Free: limits.RetryFree, Share: limits.RetryShare,
		}
	}
	return result
}

// Active returns the limits that apply at this moment. The result must not be cached: a process that was suspended has
// to find that its grant has expired, and to apply cut_off.
func (p *Policy) Active() *ActiveLimits {
	if p.fleet.now() >= time.Duration(p.activeUntil.Load()) {
		return p.cutOff
	}
	return p.active.Load()
}

// publishActive makes Active return what the replicated state says. The caller holds the lock. The node causes this
// call before it reports to the fleet which policy it applies.
func (p *Policy) publishActive() {
	p.publishMachinesOut()
	active := p.node.Active(p.now)
	until := p.node.ActiveUntil()
	if active.Mode == policyrollout.CutOff {
		p.setActive(p.cutOff, math.MaxInt64)
		return
	}
	if published := p.active.Load(); published.Active == active {
		p.activeUntil.Store(int64(until))
		return
	}
	limits, err := p.limitsOf(active)
	if err != nil { // not expected, as the policy's text was checked when it was received
		p.fleet.log.Error("policy: active version can't be applied, this sidecar applies cut_off", "error", err)
		p.setActive(p.cutOff, math.MaxInt64)
		return
	}
	p.setActive(p.newActiveLimits(active, limits), int64(until))
}

// setActive replaces the active limits. A call of Active during the replacement returns cutOff, which is at least as
// strict as the old and the new limits.
func (p *Policy) setActive(limits *ActiveLimits, until int64) {
	if p.active.Load() == limits && p.activeUntil.Load() == until {
		return
	}
	p.activeUntil.Store(0)
	p.active.Store(limits)
	p.activeUntil.Store(until)
}

// limitsOf returns the limits of the active version, or the stricter limits of both versions during a change.
func (p *Policy) limitsOf(active policyrollout.Active) (*policyrollout.Limits, error) {
	limits, err := p.versionLimits(active.New)
	if err != nil || active.Mode != policyrollout.BothVersions {
		return limits, err
	}
	old, err := p.versionLimits(active.Old)
	if err != nil {
		return nil, err
	}
	return policyrollout.Stricter(old, limits), nil
}

// versionLimits returns the limits of a version; version 0 is this sidecar's own settings.
func (p *Policy) versionLimits(version policyrollout.Ref) (*policyrollout.Limits, error) {
	if version.Version == 0 {
		return &p.settings.Limits, nil
	}
	text, available := p.node.Text(version)
	if !available {
		return nil, errors.New(policyrollout.TextMissing)
	}
	return p.resolvePolicy(text)
}
