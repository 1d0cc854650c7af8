package sidecar

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/config"
)

// maxTenantShare is the largest share of all slots that the compartment of one tenant may have. It keeps a tenant
// with a high rate from occupying all slots.
const maxTenantShare = 0.35

// derivedConfig holds values that are computed from a configuration for request classification. It is immutable.
type derivedConfig struct {
	config         *config.Snapshot
	tenantShares   map[string]float64 // fraction of all slots, by tenant
	internalChecks map[*config.Route]bool
}

// deriveConfig computes the derived values of a configuration.
func deriveConfig(c *config.Snapshot) *derivedConfig {
	return &derivedConfig{config: c, tenantShares: tenantShares(c), internalChecks: internalChecks(c)}
}

// tenantShares divides the slots in proportion to the tenants' rates. A tenant without a rate gets an equal share,
// as do all tenants if none has a rate.
func tenantShares(c *config.Snapshot) map[string]float64 {
	shares := make(map[string]float64)
	tenants, totalRate := c.Tenants(), 0.0
	for _, t := range tenants {
		totalRate += t.RatePerS
	}
	for _, t := range tenants {
		share := 1 / float64(len(tenants))
		if totalRate > 0 && t.RatePerS > 0 {
			share = t.RatePerS / totalRate
		}
		shares[t.Name] = min(maxTenantShare, share)
	}
	return shares
}

// internalChecks returns which routes are internal checks, that is, calls that an upstream makes while it runs another
// request. They have the highest priority, because the request that waits for them occupies a slot. Requests are not
// marked as internal checks, so routes are recognised by their timeouts: the timeout of an internal check is no longer
// than the latency target of any route that has a longer timeout and is no internal check itself. With a longer
// timeout it could not be a part of those routes' requests.
func internalChecks(c *config.Snapshot) map[*config.Route]bool {
	checks := make(map[*config.Route]bool)
	longestFirst := func(a, b *config.Route) int { return cmp.Compare(b.Timeout, a.Timeout) }
	routes := slices.SortedFunc(slices.Values(c.Routes()), longestFirst)
	var minTarget time.Duration // of the routes with longer timeouts that are no checks; 0: there is none
	for len(routes) > 0 {
		sameTimeout := 1 // routes with the same timeout can't be nested in each other
		for sameTimeout < len(routes) && routes[sameTimeout].Timeout == routes[0].Timeout {
			sameTimeout++
		}
		for _, r := range routes[:sameTimeout] {
			checks[r] = minTarget > 0 && r.Timeout > 0 && r.Timeout <= minTarget &&
				r.Idempotent && (r.Public || !c.HasTenants())
		}
		for _, r := range routes[:sameTimeout] {
			if target := r.LatencyTarget; target > 0 && !checks[r] && (minTarget == 0 || target < minTarget) {
				minTarget = target
			}
		}
		routes = routes[sameTimeout:]
	}
	return checks
}

// derivedConfigCache caches the derived values of the current configuration.
type derivedConfigCache struct {
	mu      sync.Mutex
	current *derivedConfig // guarded by mu; nil until the first get
}

// get returns the derived values of a configuration. It computes them again only if c is not the configuration of
// the last call.
func (r *derivedConfigCache) get(c *config.Snapshot) *derivedConfig {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || r.current.config != c {
		r.current = deriveConfig(c)
	}
	return r.current
}
