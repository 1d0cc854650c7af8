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

// maxSessions is the maximum number of open watches; it keeps the process from running out of file
// descriptors.
const maxSessions = 3000

// session is the state of a sidecar's open watch: what has been sent on it, and how to wake the goroutine
// that serves it.
type session struct {
	wake     chan struct{}
	replaced chan struct{} // closed when a newer watch of the same node replaces this one
	// configVersion is the newest configuration version sent. Only the goroutine that serves the watch writes
	// it.
	configVersion atomic.Int64

	// Only the goroutine that serves the watch accesses the fields below.

	// wantsService reports whether the watch includes the upstreams of a service. If it is nil, the watch
	// includes all services.
	wantsService func(service string) bool
	// needsFullConfig is true if the full configuration has to be sent regardless of configVersion.
	needsFullConfig bool
	// registryEpoch and registryNumber identify the registry state that was sent last.
	registryEpoch  registry.Epoch
	registryNumber registry.ChangeNumber
	// fullWhileSyncing is true if the last full registry was sent while this core machine was syncing.
	// Another full registry is then due after the sync.
	fullWhileSyncing bool
	// contactLossSent is true if the sidecar has been notified of the current loss of contact.
	contactLossSent bool
}

// newSession returns the session for a watch request.
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

// serveWatch responds to a watch request with a stream of frames until the sidecar or this core machine ends
// the stream.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	node, opened, err := s.openSession(r)
	if err != nil {
		rpc.WriteError(w, err)
		return
	}
	defer s.closeSession(node, opened)
	out := &frameWriter{w: w, control: http.NewResponseController(w)}
	w.Header().Set("Content-Type", "application/x-ndjson")
	// A watch stays open for longer than the server's read timeout of a request.
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

// openSession reads a watch request and adds its session. A session that the node already has open ends. The
// error is of kind Malformed, TooLarge, Invalid, NoQuorum or Busy.
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

// closeSession removes a session, unless a newer session of the same node has replaced it.
func (s *Server) closeSession(node string, ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[node] == ended {
		delete(s.sessions, node)
	}
}
