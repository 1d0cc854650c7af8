package watch

import (
	"net/http"
	"slices"
	"time"

	"caperarch/internal/mesh/registry"
)

// receiveGossip applies another member's changes. It forwards what is new here to
// the members that the sender does not reach, so that a failed link between two
// members hides nothing as long as a third reaches both.
func (s *Server) receiveGossip(_ *http.Request, request *gossipRequest) (*gossipResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	age := s.messageAge(now, request)
	newLeases := s.table.Merge(now, aged(request.Leases, age))
	for i := range request.Renewals {
		request.Renewals[i].Remaining -= age
	}
	renewed, unknown := s.table.Extend(now, request.Renewals)
	unreached := s.unreachedBy(request)
	for _, r := range request.Reports {
		if !s.table.RelayedHeartbeat(now, r.Upstream, r.Remaining-age) {
			continue
		}
		for _, p := range unreached {
			p.queueReport(r.Upstream, now)
		}
	}
	for _, p := range unreached {
		for _, node := range newLeases {
			p.queueLease(node, fullLease)
		}
		for _, node := range renewed {
			p.queueLease(node, renewalOnly)
		}
	}
	s.notifyChanged()
	return &gossipResponse{Clock: s.clock(now), Zone: s.cfg.Zone, UnknownNodes: unknown}, nil
}

// serveMemberList answers with all that is known here of sidecars and upstreams.
func (s *Server) serveMemberList(*http.Request, *struct{}) (*memberListResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return &memberListResponse{
		Clock:   s.clock(now),
		Zone:    s.cfg.Zone,
		Leases:  s.table.Leases(now),
		Reports: s.table.Unleased(now),
		Silent:  s.table.Silent(now),
	}, nil
}

// clock is this member's monotonic clock for the others to echo.
func (s *Server) clock(now time.Duration) clockReading {
	return clockReading{Epoch: s.cfg.Epoch, At: now}
}

// messageAge is how old the message may be. One that echoes no clock reading of
// this incarnation may be of any age, so what it reports counts as expired.
func (s *Server) messageAge(now time.Duration, request *gossipRequest) time.Duration {
	if request.Echo.Epoch != s.cfg.Epoch {
		return registry.LeaseTTL
	}
	return max(now-request.Echo.At-max(request.SinceEcho, 0), 0)
}

// aged subtracts a message's age from the remaining time of its leases.
func aged(leases []registry.RemoteLease, age time.Duration) []registry.RemoteLease {
	for i := range leases {
		leases[i].Remaining -= age
	}
	return leases
}

// unreachedBy returns the peers that the sender of the request does not reach.
// s.mu is held.
func (s *Server) unreachedBy(request *gossipRequest) []*gossipPeer {
	var unreached []*gossipPeer
	for address, p := range s.peers {
		if address != request.From && slices.Contains(request.UnreachedPeers, address) {
			unreached = append(unreached, p)
		}
	}
	return unreached
}
