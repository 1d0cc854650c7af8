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
	// changeTimeout bounds a change request. Operators' clients try another machine after one second
	// without an answer, and later than that if the request body is large.
	changeTimeout = 900 * time.Millisecond
	// changeTimeoutPerByte is added to changeTimeout for each byte of the request body.
	changeTimeoutPerByte = time.Microsecond
	// waitAppliedTimeout bounds how long the answer to an operator waits for sidecars that have not applied
	// the change. The change is committed by then, and pushes to these sidecars continue after the
	// answer.
	waitAppliedTimeout = 350 * time.Millisecond
)

// Paths at which the leader serves requests that other core machines forward: the two forms of a change
// request, and the request for the configuration. The leader answers the latter once a majority has
// confirmed its leadership.
const (
	proposeReplacePath = "/mesh/propose/whole"
	proposeUpdatePath  = "/mesh/propose/part"
	describePath       = "/mesh/describe"
)

// changeForm is a form of change request: a replacement of the whole configuration or an update of some
// items.
type changeForm struct {
	// path is the path at which the leader serves this form for other core machines.
	path  string
	parse func(body []byte) (*config.Change, error)
}

var (
	replaceForm = changeForm{path: proposeReplacePath, parse: config.ParseReplace}
	updateForm  = changeForm{path: proposeUpdatePath, parse: config.ParseUpdate}
)

// serveForwardedRequests registers the routes for requests that other core machines forward to the
// leader.
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

// change applies an operator's change request. Before the proposal it rejects only a request whose body
// is invalid by itself, since such a request can't have been applied earlier. The state machine decides
// on all other requests, in log order.
func (s *Server) change(r *http.Request, form changeForm, body []byte) (*meshapi.ChangeResponse, error) {
	change, err := form.parse(body)
	if err != nil {
		return nil, err
	}
	timeout := changeTimeout + time.Duration(len(body))*changeTimeoutPerByte
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	leader, isLocal, err := s.leaderForRequest()
	switch {
	case err != nil:
		return nil, err
	case isLocal:
		return s.propose(ctx, change)
	}
	response, err := rpc.Post[meshapi.ChangeResponse](ctx, s.client, "http://"+leader+form.path, body)
	return api.CheckForwarded(change.Version(), response, err)
}

// propose appends a change to the log and waits until the state machine of this machine has applied or
// rejected it. If the change was applied, propose also waits, for at most waitAppliedTimeout, until the
// sidecars have applied it. propose answers only after the command is committed, so neither a success
// (200) nor a rejection (412) depends on a log entry that may still be lost.
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
	waitCtx, cancel := context.WithTimeout(ctx, waitAppliedTimeout)
	defer cancel()
	if behind := s.watchServer.WaitApplied(waitCtx, version); behind > 0 {
		s.log.Info("change acknowledged before all sidecars applied it",
			zap.Int64("version", version), zap.Int("behind", behind))
	}
	s.recordAcknowledgement(version)
	return &meshapi.ChangeResponse{ConfigVersion: version}, nil
}

// Describe returns the configuration of the leader, read after a majority has confirmed the leadership.
func (s *Server) Describe(r *http.Request) (*json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	leader, isLocal, err := s.leaderForRequest()
	switch {
	case err != nil:
		return nil, err
	case isLocal:
		return s.describeAsLeader(ctx)
	}
	return api.FetchDocument(ctx, s.client, "http://"+leader+describePath)
}

// describeAsLeader returns this member's configuration once a majority has confirmed that this member is
// the leader and all entries committed by then have been applied.
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
