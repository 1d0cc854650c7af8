package controlplane

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"caperarch/internal/mesh/api"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"

	"go.uber.org/zap"
)

const (
	// changeTimeout bounds a change: operators go on to another machine after a second of silence,
	// longer for large bodies.
	changeTimeout = 900 * time.Millisecond
	// appliedTimeout is how long an operator's answer waits for sidecars that have not applied the
	// change: it is settled without them, and they are told to within the bound.
	appliedTimeout = 350 * time.Millisecond
	// proposePath is where the leader takes changes that reached another core machine, and
	// describePath where it confirms that what it holds is the newest.
	proposePath  = "/mesh/propose"
	describePath = "/mesh/describe"
)

// serveForwardedRequests serves what other core machines pass on to the leader.
func (s *Server) serveForwardedRequests(mux *http.ServeMux) {
	for _, whole := range []bool{true, false} {
		rpc.HandleRaw(mux, proposeAt(whole), api.MaxChangeBytes, func(r *http.Request, body []byte) (*meshapi.ChangeResponse, error) {
			change, err := read(whole, body)
			if err != nil {
				return nil, err
			}
			return s.propose(r.Context(), change)
		})
	}
	rpc.HandleGet(mux, describePath, func(r *http.Request) (*json.RawMessage, error) {
		return s.confirm(r.Context())
	})
}

// Change takes an operator's change. Only what the body alone shows to be wrong is refused here, which
// no order was that has been taken. All else is judged by the state machine, in the log's order.
func (s *Server) Change(r *http.Request, whole bool, body []byte) (*meshapi.ChangeResponse, error) {
	change, err := read(whole, body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout+time.Duration(len(body))*time.Microsecond)
	defer cancel()
	leader, _ := s.leader()
	switch leader {
	case "":
		return nil, errs.New(errs.NoQuorum, "no leader is known")
	case s.settings.OwnInternalAddress():
		return s.propose(ctx, change)
	}
	taken, err := rpc.Post[meshapi.ChangeResponse](ctx, s.client, "http://"+leader+proposeAt(whole), body)
	return api.CheckForwarded(change.Version(), taken, err)
}

// proposeAt is where the leader takes a change of such a kind.
func proposeAt(whole bool) string {
	if whole {
		return proposePath + "/whole"
	}
	return proposePath + "/part"
}

func read(whole bool, body []byte) (*config.Change, error) {
	if whole {
		return config.ParseReplace(body)
	}
	return config.ParseUpdate(body)
}

// propose puts a change into the log and waits until the state machine here has judged it, and, for a
// while, until sidecars have it. It answers with a proposalResult only once the command is committed, so no
// proposalResult, 200 and 412 alike, rests on an entry that may be lost.
func (s *Server) propose(ctx context.Context, change *config.Change) (*meshapi.ChangeResponse, error) {
	node := s.node.Load()
	if node == nil {
		return nil, errs.New(errs.NotLeader, "no log is held here")
	}
	number := rand.Uint64()
	told := s.stateMachine.expectResult(number)
	defer s.stateMachine.forgetResult(number)
	if _, err := node.Propose(ctx, command(number, change)); err != nil {
		return nil, err
	}
	version, err := awaitResult(ctx, told)
	if err != nil {
		return nil, err
	}
	within, cancel := context.WithTimeout(ctx, appliedTimeout)
	defer cancel()
	if behind := s.watchServer.WaitApplied(within, version); behind > 0 {
		s.log.Info("acknowledged before all have it", zap.Int64("version", version), zap.Int("behind", behind))
	}
	return &meshapi.ChangeResponse{ConfigVersion: version}, nil
}

// Describe is the configuration, as the leader has it once it knows that no other member leads.
func (s *Server) Describe(r *http.Request) (*json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	leader, _ := s.leader()
	switch leader {
	case "":
		return nil, errs.New(errs.NoQuorum, "no leader is known")
	case s.settings.OwnInternalAddress():
		return s.confirm(ctx)
	}
	return api.FetchDocument(ctx, s.client, "http://"+leader+describePath)
}

// confirm gives the configuration once a majority has confirmed that this member leads, and once all
// that was committed by then is applied.
func (s *Server) confirm(ctx context.Context) (*json.RawMessage, error) {
	node := s.node.Load()
	if node == nil {
		return nil, errs.New(errs.NotLeader, "no log is held here")
	}
	if err := node.Read(ctx); err != nil {
		return nil, err
	}
	if err := s.stateMachine.waitProcessed(ctx); err != nil {
		return nil, err
	}
	document := s.stateMachine.currentConfig().Document()
	return &document, nil
}
