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
	// maxAllocateBytes bounds the body of a request for quota tokens.
	maxAllocateBytes = 256 << 10
	// maxAllocateContactAge is the maximum age of the leader's contact with a majority at which the
	// leader may still allocate tokens. It prevents two members from allocating at once: it is shorter
	// than the minimum election timeout (0.5 s). A voter that has confirmed the leader votes for no
	// other member within that timeout, so no other leader exists while this one still allocates.
	maxAllocateContactAge = 400 * time.Millisecond
)

// allocate answers a sidecar's request for quota tokens. Only the leader allocates tokens; any other
// member forwards the request to the leader that it knows.
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

// forwardToLeader forwards a sidecar's request to the leader. A request is forwarded once only: a member
// that receives a forwarded request and isn't the leader rejects it.
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

// checkMayAllocate returns an error unless this member is allowed to allocate tokens in the term at this
// moment. It reads the contact before the term, so that a contact confirmed in a later term is never
// taken as confirmation of an earlier term.
func (s *Server) checkMayAllocate(term replication.Term) error {
	age, ok := s.contact()
	leader, current := s.leader()
	return checkAllocator(age, ok, leader == s.ownAddress() && current == term)
}

// checkAllocator returns an error of kind NotLeader if this member no longer leads in the term, and of
// kind NoQuorum if its contact with a majority is unknown or older than maxAllocateContactAge.
func checkAllocator(contactAge time.Duration, contactKnown, isLeader bool) error {
	if !isLeader {
		return errs.New(errs.NotLeader, "the term is over")
	}
	if !contactKnown || contactAge > maxAllocateContactAge {
		return errs.New(errs.NoQuorum,
			"the term may be over: the contact with a majority is %v old", contactAge)
	}
	return nil
}
