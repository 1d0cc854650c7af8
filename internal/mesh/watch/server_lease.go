package watch

import (
	"net/http"

	"caperarch/internal/mesh/registry"
)

// Syncing says whether this member may not have heard from everybody yet.
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

// Members counts the live leases, and gives the largest count lately.
func (s *Server) Members() (live, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members(), s.table.PeakMembers(s.now())
}

// Heartbeat takes a beat of an upstream that reached this member directly, and
// tells the other members. A State of Gone is a deregistration.
func (s *Server) Heartbeat(up registry.Upstream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	taken, err := s.table.Heartbeat(now, up)
	if err != nil || !taken {
		return err
	}
	for _, n := range s.peers {
		n.queueReport(up, now)
	}
	s.notifyChanged()
	return nil
}

func (s *Server) renewLease(_ *http.Request, l *registry.Lease) (*LeaseResponse, error) {
	contact := s.contact()
	version := s.cfg.ConfigSource.Current() // read after the contact, which vouches for it
	a := &LeaseResponse{
		TTL:      registry.LeaseTTL.Seconds(),
		Zone:     s.cfg.Zone,
		Contact:  contact,
		CaughtUp: contact.OK && l.Applied >= version,
	}
	if s.cfg.Leader != nil {
		a.Leader = s.cfg.Leader()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	changed, err := s.table.Renew(now, *l)
	if err != nil {
		return nil, err
	}
	for _, n := range s.peers {
		n.queueLease(l.Node, changed)
	}
	s.notifyChanged()
	a.Members, a.PeakMembers, a.Syncing = s.table.Members(), s.table.PeakMembers(now), now < s.syncingUntil
	a.Peers = append(a.Peers, Peer{s.cfg.Self, s.cfg.Zone})
	for _, n := range s.peers {
		a.Peers = append(a.Peers, Peer{n.address, n.zone})
	}
	return a, nil
}
