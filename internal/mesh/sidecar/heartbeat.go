package sidecar

import (
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"

	"go.uber.org/zap"
)

// Heartbeat applies a heartbeat of the upstream beside the sidecar, for api.UpstreamHandler. It is
// complete here, also without a core: nothing reaches the upstream but through this gate. The error
// is errs.Invalid for an address that is not the settings' one.
func (s *Sidecar) Heartbeat(u registry.Upstream) error {
	if u.Address != s.settings.Self.AppAddress {
		s.log.Warn("heartbeat rejected: it names another address than the settings",
			zap.String("instance", u.Instance), zap.String("address", u.Address))
		return errs.New(errs.Invalid, "address %s is not beside this sidecar", u.Address)
	}
	u.Node, u.Zone, u.Region = s.settings.Self.NodeName, s.settings.Self.Zone, s.settings.Self.Region
	before := s.endpoints.localUpstream()
	recorded := s.endpoints.recordHeartbeat(u) // false for one that is older than the last
	if recorded && (before == nil || changesRouting(*before, u)) {
		s.publishUpstream()
	}
	if u.State != registry.Ready {
		// A repeated heartbeat may arrive while the gate has yet to handle the first one.
		s.gateEngine.Flush()
	}
	return nil
}

// changesRouting reports whether a heartbeat changes where requests go, or how many.
func changesRouting(before, after registry.Upstream) bool {
	return before.Instance != after.Instance || before.State != after.State || before.Slots != after.Slots
}

// Deregister records that an instance beside the sidecar has ended, for api.UpstreamHandler.
func (s *Sidecar) Deregister(instance string) error {
	s.endpoints.deregister(instance)
	s.publishUpstream()
	return nil
}

// applyRegistry applies the upstreams that the core pushes: all of them, or what changed.
func (s *Sidecar) applyRegistry(full bool, upserts []registry.Upstream, removals []string) {
	if s.endpoints.apply(full, upserts, removals) {
		s.publishUpstream() // a core machine received the local upstream's heartbeat
	}
	s.balancerEngine.UpdateServers(s.endpoints.balancerListing())
}

// publishUpstream passes the local upstream as it is now to the gate, the balancer and the core, and
// returns once the gate has applied it. Calls are serialised: what an earlier one read must not overwrite
// what a later one read.
func (s *Sidecar) publishUpstream() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	if u := s.endpoints.localUpstream(); u != nil {
		s.inbound.instance.Store(&u.Instance)
	}
	s.gateEngine.UpdateServers(s.endpoints.gateListing(s.settings.Self.AppAddress))
	s.gateEngine.Flush() // a heartbeat is acknowledged only after this
	s.balancerEngine.UpdateServers(s.endpoints.balancerListing())
	s.watchClient.RenewNow()
}
