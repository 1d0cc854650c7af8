package controlplane

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"caperarch/internal/mesh/api"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"

	"go.uber.org/zap"
)

const (
	// changeTimeout bounds a change request: operators' clients go on to another machine after a
	// second without an answer, longer for large bodies.
	changeTimeout = 900 * time.Millisecond
	// changeTimePerByte is added to that for each byte of its body.
	changeTimePerByte = time.Microsecond
	// appliedTimeout is how long an operator's answer waits for sidecars that have not applied the
	// change: it is complete without them, and pushes to them go on.
	appliedTimeout = 350 * time.Millisecond
)

// The paths at which the leader receives what reached another core machine: the two forms of a
// change request, and the request for the configuration, which it answers once it has confirmed
// that it leads.
const (
	proposeReplacePath = "/mesh/propose/whole"
	proposeUpdatePath  = "/mesh/propose/part"
	describePath       = "/mesh/describe"
)

// changeForm is one of the two forms of a change request.
type changeForm struct {
	// path is where the leader receives it from other core machines.
	path  string
	parse func(body []byte) (*config.Change, error)
}

var (
	replaceForm = changeForm{path: proposeReplacePath, parse: config.ParseReplace}
	updateForm  = changeForm{path: proposeUpdatePath, parse: config.ParseUpdate}
)

// serveForwardedRequests serves what other core machines forward to the leader.
func (s *Server) serveForwardedRequests(mux *http.ServeMux) {
	for _, form := range []changeForm{replaceForm, updateForm} {
		rpc.HandleRaw(mux, form.path, api.MaxChangeBytes,
			func(r *http.Request, body []byte) (*meshapi.ChangeResponse, error) {
				change, err := form.parse(body)
				if err != nil {
					return nil, err
				}
				return s.propose(r.Context(), change)
			})
	}
	rpc.HandleGet(mux, describePath, func(r *http.Request) (*json.RawMessage, error) {
		return s.describeAsLeader(r.Context())
	})
}

// Replace applies an operator's request to replace the whole configuration.
func (s *Server) Replace(r *http.Request, body []byte) (*meshapi.ChangeResponse, error) {
	return s.change(r, replaceForm, body)
}

// Update applies an operator's request to update items of the configuration.
func (s *Server) Update(r *http.Request, body []byte) (*meshapi.ChangeResponse, error) {
	return s.change(r, updateForm, body)
}

// change applies an operator's change request. It rejects only what is invalid by the body alone: no
// such request can have been applied before. All else is decided by the state machine, in the order
// of the log.
func (s *Server) change(r *http.Request, form changeForm, body []byte) (*meshapi.ChangeResponse, error) {
	change, err := form.parse(body)
	if err != nil {
		return nil, err
	}
	timeout := changeTimeout + time.Duration(len(body))*changeTimePerByte
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	leader, isOwn, err := s.leaderForRequest()
	switch {
	case err != nil:
		return nil, err
	case isOwn:
		return s.propose(ctx, change)
	}
	response, err := rpc.Post[meshapi.ChangeResponse](ctx, s.client, "http://"+leader+form.path, body)
	return api.CheckForwarded(change.Version(), response, err)
}

// propose puts a change into the log and waits until the state machine here has decided on it, and,
// for a while, until sidecars have applied it. It answers only once the command is committed, so no
// answer, 200 and 412 alike, rests on an entry that may be lost.
func (s *Server) propose(ctx context.Context, change *config.Change) (*meshapi.ChangeResponse, error) {
	node, err := s.runningNode()
	if err != nil {
		return nil, err
	}
	id := newProposalID()
	result := s.stateMachine.expectResult(id)
	defer s.stateMachine.forgetResult(id)
	if _, err := node.Propose(ctx, encodeCommand(id, change)); err != nil {
		return nil, err
	}
	version, err := awaitResult(ctx, result)
	if err != nil {
		return nil, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, appliedTimeout)
	defer cancel()
	if behind := s.watchServer.WaitApplied(waitCtx, version); behind > 0 {
		s.log.Info("change acknowledged before all sidecars applied it",
			zap.Int64("version", version), zap.Int("behind", behind))
	}
	s.recordAcknowledgement(version)
	return &meshapi.ChangeResponse{ConfigVersion: version}, nil
}

// Describe is the configuration, as the leader has it once it knows that no other member leads.
func (s *Server) Describe(r *http.Request) (*json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	leader, isOwn, err := s.leaderForRequest()
	switch {
	case err != nil:
		return nil, err
	case isOwn:
		return s.describeAsLeader(ctx)
	}
	return api.FetchDocument(ctx, s.client, "http://"+leader+describePath)
}

// describeAsLeader returns the configuration once a majority has confirmed that this member leads, and
// once all that was committed by then is applied.
func (s *Server) describeAsLeader(ctx context.Context) (*json.RawMessage, error) {
	node, err := s.runningNode()
	if err != nil {
		return nil, err
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
