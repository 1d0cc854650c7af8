package sidecar

import "caperarch/internal/mesh/registry"

// assumedSidecars is the number of sidecars that are assumed to share retry budgets and capacity until the core
// reports a number. Tenants' limits are not divided by an assumed number, see quota.UnknownMembers.
const assumedSidecars = 64

// currentLease returns the state of this sidecar and its upstream that the next lease renewal reports.
func (s *Sidecar) currentLease() registry.Lease {
	lease := registry.Lease{
		Zone: s.settings.Self.Zone, Applied: s.config.Load().Version(), Leaving: s.draining.Load(),
		Upstream: s.endpoints.localUpstream(),
	}
	if lease.Upstream != nil && lease.Leaving && lease.Upstream.State == registry.Ready {
		lease.Upstream.State = registry.Draining // requests reach the upstream only through this sidecar's gate
	}
	return lease
}

// sidecarCount returns how many sidecars share the capacity of upstreams: the recent peak that the core reports.
func (s *Sidecar) sidecarCount() int { return countOrAssumed(s.watchClient.Counts().Peak) }

// countOrAssumed returns the number of sidecars that the core reported, or assumedSidecars if it is 0. The
// assumption exceeds the likely number, as each sidecar would take too large a share if it were too small.
func countOrAssumed(reported int) int {
	if reported > 0 {
		return reported
	}
	return assumedSidecars
}
