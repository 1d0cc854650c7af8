package sidecar

import (
	"context"
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"

	"go.uber.org/zap"
)

// instanceCheckTimeout bounds the check of a new instance. A heartbeat must be acknowledged within a second.
const instanceCheckTimeout = 300 * time.Millisecond

// Heartbeat applies a heartbeat of the local upstream; it implements api.UpstreamHandler. The heartbeat takes
// full effect without a core machine, because requests reach the upstream only through this sidecar's gate. The
// error is errs.Invalid if the heartbeat's address is not the one in the settings.
func (s *Sidecar) Heartbeat(u registry.Upstream) error {
	if u.Address != s.settings.Self.AppAddress {
		s.log.Warn("heartbeat rejected: it names another address than the settings",
			zap.String("instance", u.Instance), zap.String("address", u.Address))
		return errs.New(errs.Invalid, "address %s is not beside this sidecar", u.Address)
	}
	u.Node, u.Zone, u.Region = s.settings.Self.NodeName, s.settings.Self.Zone, s.settings.Self.Region
	before := s.endpoints.localUpstream()
	if u.State == registry.Ready && (before == nil || before.Instance != u.Instance) {
		s.checkInstance(u.Instance)
	}
	recorded := s.endpoints.recordHeartbeat(u) // false if it is older than the last one
	if recorded && (before == nil || changesRouting(*before, u)) {
		s.publishUpstream()
	}
	if u.State != registry.Ready {
		// A repeated heartbeat may arrive before the gate has applied the first one.
		s.gateEngine.Flush()
	}
	return nil
}

// changesRouting reports whether a heartbeat changes which instance receives requests, or how many.
func changesRouting(before, after registry.Upstream) bool {
	return before.Instance != after.Instance || before.State != after.State || before.Slots != after.Slots
}

// checkInstance asks a core machine whether an instance that this sidecar does not know yet was deregistered: a
// heartbeat may arrive after the deregistration, which reached a core machine or this sidecar before it restarted. An
// instance that was deregistered is then rejected by recordHeartbeat.
func (s *Sidecar) checkInstance(instance string) {
	ctx, cancel := context.WithTimeout(context.Background(), instanceCheckTimeout)
	defer cancel()
	s.watchClient.CheckInstance(ctx, instance)
}

// applyDeregistration applies that an instance was deregistered at a core machine.
func (s *Sidecar) applyDeregistration(instance string) {
	if s.endpoints.deregister(instance) {
		s.log.Info("local upstream was deregistered at a core machine", zap.String("instance", instance))
		s.publishUpstream()
	}
}

// Deregister records that a local instance has ended; it implements api.UpstreamHandler.
func (s *Sidecar) Deregister(instance string) error {
	s.endpoints.recordDeregistration(instance)
	s.publishUpstream()
	return nil
}

// applyRegistry applies registry entries that a core machine pushes. If full is true, upserts replace all earlier
// entries.
func (s *Sidecar) applyRegistry(full bool, upserts []registry.Upstream, removals []string) {
	if local := s.endpoints.localUpstream(); local != nil && slices.Contains(removals, local.Instance) {
		s.watchClient.RenewNow() // the response tells whether the local upstream was deregistered
	}
	if s.endpoints.apply(full, upserts, removals) {
		s.publishUpstream() // the local upstream reported its state to a core machine
	}
	s.balancerEngine.UpdateServers(s.endpoints.balancerListing())
}

// publishUpstream passes the current state of the local upstream to the gate, the balancer and the core, and
// returns once the gate has applied it. Calls are serialised, so that a call that read an older state can't
// overwrite the state of a later call.
func (s *Sidecar) publishUpstream() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	if u := s.endpoints.localUpstream(); u != nil {
		s.inbound.instance.Store(&u.Instance)
	}
	s.gateEngine.UpdateServers(s.endpoints.gateListing(s.settings.Self.AppAddress))
	s.gateEngine.Flush() // the caller acknowledges a heartbeat only after the gate has applied it
	s.balancerEngine.UpdateServers(s.endpoints.balancerListing())
	s.watchClient.RenewNow()
}
