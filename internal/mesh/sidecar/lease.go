package sidecar

import "caperarch/internal/mesh/registry"

// assumedSidecars is how many sidecars are assumed to share retry budgets and capacity until the core reports
// a number. Tenants' limits are divided by no assumption, see quota.UnknownMembers.
const assumedSidecars = 64

// currentLease is what this sidecar reports of itself and its upstream when it renews its lease.
func (s *Sidecar) currentLease() registry.Lease {
	lease := registry.Lease{
		Zone: s.settings.Self.Zone, Applied: s.config.Load().Version(), Leaving: s.draining.Load(),
		Upstream: s.endpoints.localUpstream(),
	}
	if lease.Upstream != nil && lease.Leaving && lease.Upstream.State == registry.Ready {
		lease.Upstream.State = registry.Draining // without its gate nothing reaches it
	}
	return lease
}

// sidecarCount is how many sidecars share the capacity of upstreams: the largest recent number.
func (s *Sidecar) sidecarCount() int { return countOrAssumed(s.watchClient.Counts().Peak) }

// countOrAssumed is the number of sidecars that the core reported. Until it reports one it is more than
// there are likely to be: with a smaller number each sidecar would take too large a share.
func countOrAssumed(reported int) int {
	if reported > 0 {
		return reported
	}
	return assumedSidecars
}
