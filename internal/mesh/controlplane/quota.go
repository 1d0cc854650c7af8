package controlplane

import (
	"net/http"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/sidecar"
)

const (
	// maxAllocateBytes bounds the body of a request for tokens.
	maxAllocateBytes = 256 << 10
	// maxAllocatorContactAge is how old the leader's contact with a majority may be for it to deal
	// tokens. It guards against two dealers at once: it is shorter than the least election
	// time-out (0.5 s), and nobody who confirmed the leader votes for another one within that
	// time, so no other leader exists while this one still deals.
	maxAllocatorContactAge = 400 * time.Millisecond
)

// deal answers a sidecar's request for tokens. Only the leader deals; any other member passes the
// request on to the leader that it knows.
func (s *Server) allocate(r *http.Request, request *sidecar.AllocateRequest) (*sidecar.AllocateResponse, error) {
	leader, term := s.leader()
	if leader != s.settings.OwnInternalAddress() {
		return s.forwardToLeader(r, leader, request)
	}
	live, largest := s.watchServer.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if err := s.allocator.Configure(now, sidecar.TenantLimits(s.stateMachine.currentConfig()), max(1, live, largest)); err != nil {
		return nil, err
	}
	if err := s.checkMayAllocate(term); err != nil {
		return nil, err
	}
	grants, closed, err := s.allocator.Allocate(now, term, request.Node, request.Demands)
	if err != nil {
		return nil, err
	}
	return &sidecar.AllocateResponse{Epoch: term, Grants: grants, Throttled: closed}, nil
}

// forwardToLeader passes a request on to the leader, once: a member that is no leader refuses one that
// was passed.
func (s *Server) forwardToLeader(r *http.Request, leader string, request *sidecar.AllocateRequest) (*sidecar.AllocateResponse, error) {
	if leader == "" || request.Forwarded {
		return nil, errs.New(errs.NotLeader, "nobody deals here")
	}
	request.Forwarded = true
	url := "http://" + leader + sidecar.AllocatePath
	return rpc.Call[sidecar.AllocateRequest, sidecar.AllocateResponse](r.Context(), s.client, url, request)
}

// checkMayAllocate says whether this member may deal in the term, at this moment. The contact is asked for
// first and the term after it, so that a contact of a later term vouches for no earlier one.
func (s *Server) checkMayAllocate(term uint64) error {
	age, ok := s.contact()
	leader, now := s.leader()
	return checkAllocator(age, ok, leader == s.settings.OwnInternalAddress() && now == term)
}

// checkAllocator refuses to deal without a contact young enough, or when the term is over.
func checkAllocator(age time.Duration, contact, leads bool) error {
	if !leads {
		return errs.New(errs.NotLeader, "the term is over")
	}
	if !contact || age > maxAllocatorContactAge {
		return errs.New(errs.NoQuorum, "the term may be over: the contact with a majority is %v old", age)
	}
	return nil
}
