package sidecar

import (
	"math/rand/v2"

	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
)

const (
	// nestedCallsPerRequest is how many internal checks one request of the local upstream may have
	// in flight; it sizes their compartment.
	nestedCallsPerRequest = 3
	// lowestPriority is the largest number of a priority.
	lowestPriority = 9
)

// classify returns what the balancer decides by. Priority 0 is for internal checks alone, so that the
// operators' priorities are shifted by one.
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
	routes := o.routes.of(snapshot)
	switch {
	case tenant != nil:
		class.Tenant = tenant.Name
		class.Compartment.Name = "tenant " + tenant.Name
		class.Compartment.Share = routes.tenantShares[tenant.Name]
	case routes.internalChecks[route]:
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

// pickService draws one of a route's services by their weights.
func pickService(route *config.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	sum := 0.0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	at := rand.Float64() * sum
	for _, t := range route.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return route.Targets[len(route.Targets)-1].Service
}
