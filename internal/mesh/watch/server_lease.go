package watch

import (
	"net/http"

	"caperarch/internal/mesh/registry"
)

// Heartbeat applies an upstream's heartbeat that reached this core machine directly and queues it for the
// other core machines. A heartbeat with State Deregistered deregisters the upstream. An invalid heartbeat
// returns the registry's error, of kind Invalid.
func (s *Server) Heartbeat(upstream registry.Upstream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	applied, err := s.table.Heartbeat(now, upstream)
	if err != nil || !applied {
		return err
	}
	for _, p := range s.peers {
		p.queueReport(upstream, now)
	}
	s.notifyChanged()
	return nil
}

// renewLease applies a sidecar's lease renewal and returns this core machine's view of the mesh.
func (s *Server) renewLease(_ *http.Request, request *leaseRequest) (*LeaseResponse, error) {
	lease := &request.Lease
	contact := s.checkContact()
	// The version is read after the contact check: contact means that ConfigSource holds everything that a
	// majority had committed Contact.Age ago.
	version := s.cfg.ConfigSource.Current()
	response := &LeaseResponse{
		TTL:      registry.LeaseTTL.Seconds(),
		Zone:     s.cfg.Zone,
		Contact:  contact,
		CaughtUp: contact.OK && lease.Applied >= version,
	}
	if contact.OK {
		response.Version = version
	}
	if s.cfg.Leader != nil {
		response.Leader = s.cfg.Leader()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	changed, err := s.table.Renew(now, *lease)
	if err != nil {
		return nil, err
	}
	response.Deregistered = s.deregisteredInstances(request)
	if newest := s.table.Incarnation(lease.Node); newest > lease.Incarnation {
		response.NewerIncarnation = newest
	}
	update := renewalOnly
	if changed {
		update = fullLease
	}
	for _, p := range s.peers {
		p.queueLease(lease.Node, update)
	}
	s.notifyChanged()
	response.Counts = s.table.Counts(now)
	response.Syncing = now < s.syncingUntil
	peers := s.listPeers()
	response.PeersDigest = digestPeers(peers)
	if request.KnownPeersDigest != response.PeersDigest {
		response.Peers = peers
	}
	return response, nil
}

// deregisteredInstances returns the instances of a lease request that were deregistered: an upstream that could not
// reach its own sidecar has deregistered at a core machine, or its sidecar has restarted since. s.mu is held.
func (s *Server) deregisteredInstances(request *leaseRequest) (deregistered []string) {
	up := request.Lease.Upstream
	if up != nil && up.State != registry.Deregistered && s.table.IsDeregistered(up.Instance) {
		deregistered = append(deregistered, up.Instance)
	}
	if request.NewInstance != "" && s.table.IsDeregistered(request.NewInstance) {
		deregistered = append(deregistered, request.NewInstance)
	}
	return deregistered
}

// listPeers lists all core machines, this one first. s.mu is held.
func (s *Server) listPeers() []Peer {
	peers := []Peer{{Address: s.cfg.Self, Zone: s.cfg.Zone}}
	for _, p := range s.peers {
		peers = append(peers, Peer{Address: p.address, Zone: p.zone})
	}
	return peers
}
