package watch

import "caperarch/internal/mesh/registry"

// Syncing reports whether this member may not know all sidecars yet.
func (s *Server) Syncing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() < s.syncingUntil
}

// Upstreams lists all upstreams known here.
func (s *Server) Upstreams() []registry.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Upstreams(s.now())
}

// Members returns the number of live leases, and the largest recent number.
func (s *Server) Members() (live, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members(), s.table.PeakMembers(s.now())
}

// Behind returns the number of live leases whose sidecar has not applied the
// version.
func (s *Server) Behind(version int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.MembersBehind(version)
}
