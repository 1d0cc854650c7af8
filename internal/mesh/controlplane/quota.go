package controlplane

import (
	"net/http"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/quota"
	"caperarch/internal/mesh/replication"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/sidecar"
)

const (
	// maxAllocateBytes bounds the body of a request for tokens.
	maxAllocateBytes = 256 << 10
	// maxAllocateContactAge is how old the leader's contact with a majority may be for it to
	// allocate tokens. It guards against two allocators at once: it is shorter than the minimum
	// election timeout (0.5 s), and no voter that confirmed the leader votes for another one within
	// that time, so no other leader exists while this one still allocates.
	maxAllocateContactAge = 400 * time.Millisecond
)

// allocate answers a sidecar's request for tokens. Only the leader allocates; any other member
// forwards the request to the leader that it knows.
func (s *Server) allocate(
	r *http.Request, request *sidecar.AllocateRequest,
) (*sidecar.AllocateResponse, error) {
	leader, term := s.leader()
	if leader != s.ownAddress() {
		return s.forwardToLeader(r, leader, request)
	}
	shareHolders := s.watchServer.Counts().ShareHolders
	s.allocatorMu.Lock()
	defer s.allocatorMu.Unlock()
	now := s.now()
	limits := sidecar.TenantLimits(s.stateMachine.currentConfig())
	if err := s.allocator.Configure(now, limits, max(1, shareHolders)); err != nil {
		return nil, err
	}
	if err := s.checkMayAllocate(term); err != nil {
		return nil, err
	}
	epoch := quota.Epoch(term)
	response, err := s.allocator.Allocate(now, epoch, request.Node, &request.Request)
	if err != nil {
		return nil, err
	}
	return &sidecar.AllocateResponse{Response: response}, nil
}

// forwardToLeader forwards a request to the leader, once: a member that isn't the leader rejects one
// that was forwarded.
func (s *Server) forwardToLeader(
	r *http.Request, leader string, request *sidecar.AllocateRequest,
) (*sidecar.AllocateResponse, error) {
	if leader == "" || request.Forwarded {
		return nil, errs.New(errs.NotLeader, "nobody deals here")
	}
	request.Forwarded = true
	url := "http://" + leader + sidecar.AllocatePath
	return rpc.Call[sidecar.AllocateRequest, sidecar.AllocateResponse](r.Context(), s.client, url, request)
}

// checkMayAllocate returns an error unless this member may allocate in the term, at this moment. The
// contact is read first and the term after it, so that a contact of a later term confirms no earlier
// one.
func (s *Server) checkMayAllocate(term replication.Term) error {
	age, ok := s.contact()
	leader, current := s.leader()
	return checkAllocator(age, ok, leader == s.ownAddress() && current == term)
}

// checkAllocator rejects the allocation without a recent contact, or when the term is over.
func checkAllocator(contactAge time.Duration, contactKnown, leads bool) error {
	if !leads {
		return errs.New(errs.NotLeader, "the term is over")
	}
	if !contactKnown || contactAge > maxAllocateContactAge {
		return errs.New(errs.NoQuorum,
			"the term may be over: the contact with a majority is %v old", contactAge)
	}
	return nil
}
