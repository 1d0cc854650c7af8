package watch

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/rpc"
)

// watch is a sidecar's open watch: what it has had, and how to wake it.
type session struct {
	wake chan struct{}
	quit chan struct{} // closed when a newer watch of the node takes over

	// The rest belongs to the goroutine that serves the watch.
	keep             func(service string) bool
	version          int64
	needsFullConfig  bool
	epoch            uint64
	number           uint64
	sentWhileSyncing bool // what was sent as everything was sent while young
	contactLossSent  bool // it has been told that there is no contact
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	held, q, err := s.openSession(r)
	if err != nil {
		rpc.WriteError(w, err)
		return
	}
	defer s.closeSession(q.Node, held)
	out := &frameWriter{w, http.NewResponseController(w)}
	w.Header().Set("Content-Type", "application/x-ndjson")
	// A watch outlives the server's time for reading a request.
	if err := out.control.SetReadDeadline(time.Time{}); err != nil {
		rpc.WriteError(w, errs.Wrap(err, errs.Internal, "read deadline"))
		return
	}
	beats := time.NewTicker(heartbeatInterval)
	defer beats.Stop()
	for beat := true; ; {
		if err := s.sendUpdates(out, held, beat); err != nil {
			s.cfg.Log.Debug("A watch ends.", zap.String("node", q.Node), zap.Error(err))
			return
		}
		beat = false
		select {
		case <-held.wake:
		case <-beats.C:
			beat = true
		case <-held.quit:
			return
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}

// open enters a watch. One that the node still holds ends.
func (s *Server) openSession(r *http.Request) (*session, *watchRequest, error) {
	body, err := rpc.ReadBody(r, maxWatchBody)
	if err != nil {
		return nil, nil, err
	}
	q := new(watchRequest)
	if err := json.Unmarshal(body, q); err != nil {
		return nil, nil, errs.Wrap(err, errs.Malformed, "watch request")
	}
	if q.Node == "" {
		return nil, nil, errs.New(errs.Invalid, "the watch names no node")
	}
	if !s.contact().OK {
		return nil, nil, errs.New(errs.NoQuorum, "this member is not in contact with a quorum")
	}
	held := &session{
		wake: make(chan struct{}, 1), quit: make(chan struct{}),
		version: q.ConfigVersion, needsFullConfig: q.FullConfig, epoch: q.Epoch, number: q.Number,
	}
	if len(q.Services) > 0 {
		wanted := make(map[string]bool, len(q.Services))
		for _, service := range q.Services {
			wanted[service] = true
		}
		held.keep = func(service string) bool { return wanted[service] }
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.sessions[q.Node]; old != nil {
		close(old.quit)
	} else if len(s.sessions) >= maxWatches {
		return nil, nil, errs.New(errs.Busy, "this member serves %d watches and takes no more", maxWatches)
	}
	s.sessions[q.Node] = held
	return held, q, nil
}

func (s *Server) closeSession(node string, held *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[node] == held {
		delete(s.sessions, node)
	}
}

// send writes what the watch has not had yet. A member without contact hands
// out nothing and says so, so that its sidecars go elsewhere.
func (s *Server) sendUpdates(out *frameWriter, held *session, beat bool) error {
	contact := s.contact()
	if !contact.OK {
		return s.sendContactLost(out, held, contact, beat)
	}
	held.contactLossSent = false
	version, err := s.sendConfig(out, held)
	if err != nil {
		return err
	}
	f := s.nextFrame(held, contact, version, beat)
	if f.Registry == nil && f.Heartbeat == nil {
		return out.flush()
	}
	return out.frame(f)
}

// sendLost says once, and then with each beat, that there is no contact.
func (s *Server) sendContactLost(out *frameWriter, held *session, contact Contact, beat bool) error {
	if held.contactLossSent && !beat {
		return nil
	}
	held.contactLossSent = true
	return out.frame(&frame{Heartbeat: &heartbeatFrame{Contact: contact}})
}

// sendConfig writes the configuration that the watch has not had yet, and gives
// the newest version. The contact was looked at right before.
func (s *Server) sendConfig(out *frameWriter, held *session) (version int64, err error) {
	version = s.cfg.ConfigSource.Current()
	if !held.needsFullConfig && version <= held.version {
		return version, nil
	}
	frames, ok := []json.RawMessage(nil), false
	if !held.needsFullConfig {
		frames, ok = s.cfg.ConfigSource.Since(held.version)
	}
	if !ok {
		frames = []json.RawMessage{s.cfg.ConfigSource.FullConfig()}
	}
	for _, config := range frames {
		if len(config) == 0 {
			continue
		}
		if err := s.sendOneConfig(out, config); err != nil {
			return version, err
		}
	}
	held.version, held.needsFullConfig = max(version, held.version), false
	return version, nil
}

// sendOneConfig writes one frame of configuration. Reading it and writing it may
// have taken long, so its end, without which nobody can read it, is only written
// if there is still contact.
func (s *Server) sendOneConfig(out *frameWriter, config json.RawMessage) error {
	if err := out.write([]byte(`{"charter":`), config); err != nil {
		return err
	}
	if !s.contact().OK {
		return errs.New(errs.NoQuorum, "contact was lost within a frame")
	}
	return out.write([]byte("}\n"))
}

// news gives what changed in the registry for the watch, and the beat if one is
// due.
func (s *Server) nextFrame(held *session, contact Contact, version int64, beat bool) *frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	f := &frame{}
	syncing := now < s.syncingUntil
	if beat {
		f.Heartbeat = &heartbeatFrame{contact, version, s.table.Members(), s.table.PeakMembers(now), syncing}
	}
	if s.delaysRegistry(now) {
		return f
	}
	if held.sentWhileSyncing && !syncing {
		held.epoch = 0
	}
	changes := s.table.Since(now, held.epoch, held.number, held.keep)
	if changes.Full || len(changes.Upserts)+len(changes.Removals) > 0 {
		f.Registry = &registryFrame{
			Epoch: changes.Epoch, Number: changes.Number, Full: changes.Full, Syncing: syncing && changes.Full,
			Upserts: changes.Upserts,
		}
		for _, removal := range changes.Removals {
			f.Registry.Removals = append(f.Registry.Removals, removal.Instance)
		}
	}
	if changes.Full {
		held.sentWhileSyncing = syncing
	}
	held.epoch, held.number = changes.Epoch, changes.Number
	return f
}
