package sidecar

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/config"
)

// maxTenantShare is the largest share of all slots that one tenant's compartment may have: well
// under the total, whatever the tenant's rate.
const maxTenantShare = 0.35

// derivedRoutes is what a configuration means for requests beyond its routing table. It doesn't
// change once it is made.
type derivedRoutes struct {
	config         *config.Snapshot
	tenantShares   map[string]float64 // of all slots, by tenant
	internalChecks map[*config.Route]bool
}

// deriveRoutes works out what a configuration means.
func deriveRoutes(c *config.Snapshot) *derivedRoutes {
	return &derivedRoutes{config: c, tenantShares: tenantShares(c), internalChecks: internalChecks(c)}
}

// tenantShares divides the slots by the tenants' rates, or equally where none has a rate.
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

// internalChecks finds the routes of internal checks: calls that a running request makes. They have
// priority over all else, as the request that waits for them holds a slot meanwhile. Nothing in a request
// marks them. A route is one if all the time that it may take fits into the latency target of every route
// that may take longer and is none: else it could be no part of their requests.
func internalChecks(c *config.Snapshot) map[*config.Route]bool {
	checks := make(map[*config.Route]bool)
	longestFirst := func(a, b *config.Route) int { return cmp.Compare(b.Timeout, a.Timeout) }
	routes := slices.SortedFunc(slices.Values(c.Routes()), longestFirst)
	var minTarget time.Duration // of the longer routes that are no checks; 0: there is none
	for len(routes) > 0 {
		alike := 1 // routes with the same timeout can't be part of each other
		for alike < len(routes) && routes[alike].Timeout == routes[0].Timeout {
			alike++
		}
		for _, r := range routes[:alike] {
			checks[r] = minTarget > 0 && r.Timeout > 0 && r.Timeout <= minTarget &&
				r.Idempotent && (r.Public || !c.HasTenants())
		}
		for _, r := range routes[:alike] {
			if target := r.LatencyTarget; target > 0 && !checks[r] && (minTarget == 0 || target < minTarget) {
				minTarget = target
			}
		}
		routes = routes[alike:]
	}
	return checks
}

// routeCache keeps the derived routes of the configuration in force.
type routeCache struct {
	mu      sync.Mutex
	current *derivedRoutes // guarded by mu; nil: none were asked for yet
}

// of returns what is derived from a configuration, which is worked out once for each.
func (r *routeCache) of(c *config.Snapshot) *derivedRoutes {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || r.current.config != c {
		r.current = deriveRoutes(c)
	}
	return r.current
}
