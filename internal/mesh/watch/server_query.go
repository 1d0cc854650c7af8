package watch

import "caperarch/internal/mesh/registry"

// Syncing reports whether this core machine may not know all sidecars yet.
func (s *Server) Syncing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() < s.syncingUntil
}

// ShareHolders returns the names of the sidecars whose lease is live or has expired without a final lease
// from Leave. The result has no particular order.
func (s *Server) ShareHolders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Holders()
}

// Upstreams lists all upstreams that this core machine knows.
func (s *Server) Upstreams() []registry.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Upstreams(s.now())
}

// Counts returns the numbers of sidecars that this core machine knows.
func (s *Server) Counts() registry.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Counts(s.now())
}

// CountBehind returns the number of live leases whose sidecar has not applied the configuration version.
func (s *Server) CountBehind(version int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.LaggingCount(version)
}

// LaggingSidecar is a sidecar that has not applied a configuration version, as this core machine knows it.
type LaggingSidecar struct {
	registry.Lagging
	// Watching is true if the sidecar's watch is open at this core machine. SentVersion is then the newest
	// configuration version sent on that watch.
	Watching    bool
	SentVersion int64
}

// Lagging lists the sidecars with a live lease that have not applied the configuration version.
func (s *Server) Lagging(version int64) []LaggingSidecar {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []LaggingSidecar
	for _, l := range s.table.Lagging(version) {
		lagging := LaggingSidecar{Lagging: l}
		if active := s.sessions[l.Node]; active != nil {
			lagging.Watching, lagging.SentVersion = true, active.configVersion.Load()
		}
		all = append(all, lagging)
	}
	return all
}
