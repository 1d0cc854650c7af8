package watch

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

// maxSessions bounds the open watches, against running out of file descriptors.
const maxSessions = 3000

// session is a sidecar's open watch: what has been sent on it, and how to wake
// it.
type session struct {
	wake     chan struct{}
	replaced chan struct{} // closed when a newer watch of the node takes over
	// configVersion is the newest version sent. Only the goroutine that serves the
	// watch writes it.
	configVersion atomic.Int64

	// The rest belongs to the goroutine that serves the watch.

	// wantsService reports whether the sidecar calls a service; nil means all.
	wantsService func(service string) bool
	// needsFullConfig has the full configuration sent whatever version was sent.
	needsFullConfig bool
	// registryEpoch and registryNumber are the registry state sent.
	registryEpoch  registry.Epoch
	registryNumber registry.ChangeNumber
	// fullWhileSyncing means that the last full registry was sent while this
	// member was syncing, so another has to follow.
	fullWhileSyncing bool
	// contactLossSent means that the loss of contact was sent to the sidecar.
	contactLossSent bool
}

// newSession makes the session that a request asks for.
func newSession(request *watchRequest) *session {
	opened := &session{
		wake:            make(chan struct{}, 1),
		replaced:        make(chan struct{}),
		needsFullConfig: request.FullConfig,
		registryEpoch:   request.Epoch,
		registryNumber:  request.Number,
	}
	opened.configVersion.Store(request.ConfigVersion)
	if len(request.Services) > 0 {
		wanted := make(map[string]bool, len(request.Services))
		for _, service := range request.Services {
			wanted[service] = true
		}
		opened.wantsService = func(service string) bool { return wanted[service] }
	}
	return opened
}

// serveWatch answers with a stream of frames until the sidecar or this member
// ends it.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	node, opened, err := s.openSession(r)
	if err != nil {
		rpc.WriteError(w, err)
		return
	}
	defer s.closeSession(node, opened)
	out := &frameWriter{w: w, control: http.NewResponseController(w)}
	w.Header().Set("Content-Type", "application/x-ndjson")
	// A watch outlives the server's time for reading a request.
	if err := out.control.SetReadDeadline(time.Time{}); err != nil {
		rpc.WriteError(w, errs.Wrap(err, errs.Internal, "read deadline"))
		return
	}
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	heartbeatDue := true
	for {
		if err := s.sendUpdates(out, opened, heartbeatDue); err != nil {
			s.cfg.Log.Debug("watch ended", zap.String("node", node), zap.Error(err))
			return
		}
		heartbeatDue = false
		select {
		case <-opened.wake:
		case <-heartbeats.C:
			heartbeatDue = true
		case <-opened.replaced:
			return
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

// openSession enters the watch that the request asks for. Another one that the
// node has open ends. The error is of kind Malformed, TooLarge, Invalid,
// NoQuorum or Busy.
func (s *Server) openSession(r *http.Request) (node string, opened *session, err error) {
	body, err := rpc.ReadBody(r, maxWatchBody)
	if err != nil {
		return "", nil, err
	}
	request := new(watchRequest)
	if err := json.Unmarshal(body, request); err != nil {
		return "", nil, errs.Wrap(err, errs.Malformed, "watch request")
	}
	if request.Node == "" {
		return "", nil, errs.New(errs.Invalid, "the watch names no node")
	}
	if !s.checkContact().OK {
		return "", nil, errs.New(errs.NoQuorum, "this member is not in contact with a quorum")
	}
	opened = newSession(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.sessions[request.Node]; old != nil {
		close(old.replaced)
	} else if len(s.sessions) >= maxSessions {
		return "", nil, errs.New(errs.Busy, "this member serves %d watches and takes no more", maxSessions)
	}
	s.sessions[request.Node] = opened
	return request.Node, opened, nil
}

// closeSession forgets a watch, unless a newer one has replaced it already.
func (s *Server) closeSession(node string, ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[node] == ended {
		delete(s.sessions, node)
	}
}
