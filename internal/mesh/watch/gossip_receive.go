package watch

import (
	"net/http"
	"slices"
	"time"

	"caperarch/internal/mesh/registry"
)

// receiveGossip applies another core machine's changes to the table. It forwards the changes that were new
// here to the peers that the sender cannot reach, so that every change passes a failed link between two core
// machines as long as a third one reaches both.
func (s *Server) receiveGossip(_ *http.Request, request *gossipRequest) (*gossipResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	age := s.messageAge(now, request)
	newLeases := s.table.Merge(now, subtractAge(request.Leases, age))
	for i := range request.Renewals {
		request.Renewals[i].Remaining -= age
	}
	renewed, unknown := s.table.Extend(now, request.Renewals)
	unreached := s.peersUnreachedBy(request)
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

// serveMemberList responds with everything that this core machine knows about sidecars and upstreams.
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

// clock returns now as a reading of this core machine's monotonic clock, which the other core machines echo.
func (s *Server) clock(now time.Duration) clockReading {
	return clockReading{Epoch: s.cfg.Epoch, At: now}
}

// messageAge returns an upper bound of the request's age. A request that does not echo a clock reading of
// this process may be of any age, so the reports in it count as expired.
func (s *Server) messageAge(now time.Duration, request *gossipRequest) time.Duration {
	if request.Echo.Epoch != s.cfg.Epoch {
		return registry.LeaseTTL
	}
	return max(now-request.Echo.At-max(request.SinceEcho, 0), 0)
}

// subtractAge subtracts a message's age from the remaining validity of its leases.
func subtractAge(leases []registry.RemoteLease, age time.Duration) []registry.RemoteLease {
	for i := range leases {
		leases[i].Remaining -= age
	}
	return leases
}

// peersUnreachedBy returns the peers that the sender of the request cannot reach. s.mu is held.
func (s *Server) peersUnreachedBy(request *gossipRequest) []*gossipPeer {
	var unreached []*gossipPeer
	for address, p := range s.peers {
		if address != request.From && slices.Contains(request.UnreachedPeers, address) {
			unreached = append(unreached, p)
		}
	}
	return unreached
}
