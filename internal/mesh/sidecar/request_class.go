package sidecar

import (
	"math/rand/v2"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
)

const (
	// nestedCallsPerRequest is the number of concurrent internal checks per request of the local upstream. It
	// determines the minimum size of their compartment.
	nestedCallsPerRequest = 3
	// lowestPriority is the numerically largest priority.
	lowestPriority = 9
)

// classify returns the request class that the balancer bases its decisions on. Priority 0 is reserved for internal
// checks, so the priorities of routes and tenants are increased by one.
func (o *outbound) classify(
	snapshot *config.Snapshot, route *config.Route, tenant *config.Tenant,
) *balancer.RequestClass {
	service := pickService(route)
	class := &balancer.RequestClass{
		Service:       o.endpoints.serviceNumber(service),
		Idempotent:    route.Idempotent,
		MaxAttempts:   route.MaxAttempts,
		LatencyTarget: route.LatencyTarget,
		ConfigVersion: snapshot.Version(),
	}
	if class.LatencyTarget <= 0 {
		class.LatencyTarget = defaultLatencyTarget
	}
	priority := route.Priority
	if tenant != nil && tenant.Priority >= 0 {
		priority = tenant.Priority
	}
	class.Priority = min(max(0, priority+1), lowestPriority)
	derived := o.derived.get(snapshot)
	switch {
	case tenant != nil:
		class.Tenant = tenant.Name
		class.Compartment.Name = "tenant " + tenant.Name
		class.Compartment.Share = derived.tenantShares[tenant.Name]
	case derived.internalChecks[route]:
		class.Priority = 0
		class.Compartment.Name = "checks of " + service
		class.Compartment.Share = o.endpoints.slotShare(service)
		class.Compartment.MinSlots = nestedCallsPerRequest * o.endpoints.localSlots()
	default:
		class.Compartment.Name = "service " + service
		class.Compartment.Share = o.endpoints.slotShare(service)
	}
	return class
}

// pickService selects one of a route's services at random, by weight.
func pickService(route *config.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	sum := 0.0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	point := rand.Float64() * sum
	for _, t := range route.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}
