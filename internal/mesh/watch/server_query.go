package watch

import "caperarch/internal/mesh/registry"

// Syncing reports whether this member may not know all sidecars yet.
func (s *Server) Syncing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() < s.syncingUntil
}

// ShareHolders lists by name the sidecars that have not left in order, in no
// particular order.
func (s *Server) ShareHolders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Holders()
}

// Upstreams lists all upstreams known here.
func (s *Server) Upstreams() []registry.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Upstreams(s.now())
}

// Counts returns the numbers of sidecars as this member knows them.
func (s *Server) Counts() registry.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Counts(s.now())
}

// Behind returns the number of live leases whose sidecar has not applied the
// version.
func (s *Server) Behind(version int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.LaggingCount(version)
}

// LaggingSidecar is a sidecar that has not applied a configuration version, as this
// member sees it.
type LaggingSidecar struct {
	registry.Lagging
	// Watching says that its watch is open here, on which Sent is the newest version
	// sent.
	Watching bool
	Sent     int64
}

// Lagging lists the sidecars with a live lease that have not applied the version.
func (s *Server) Lagging(version int64) []LaggingSidecar {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []LaggingSidecar
	for _, l := range s.table.Lagging(version) {
		lagging := LaggingSidecar{Lagging: l}
		if open := s.sessions[l.Node]; open != nil {
			lagging.Watching, lagging.Sent = true, open.configVersion.Load()
		}
		all = append(all, lagging)
	}
	return all
}
