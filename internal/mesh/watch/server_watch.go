package watch

import (
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/rpc"
)

type watch struct {
	wake chan struct{}
	quit chan struct{} // closed when a newer watch of the node takes over

	// The rest belongs to the goroutine that serves the watch.
	keep    func(service string) bool
	version int64
	whole   bool
	epoch   uint64
	number  uint64
	young   bool // what was sent as everything was sent while young
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	held, q, err := s.open(r)
	if err != nil {
		rpc.Answer(w, err)
		return
	}
	defer s.close(q.Node, held)
	out := &deadlined{w, http.NewResponseController(w)}
	w.Header().Set("Content-Type", "application/x-ndjson")
	// A watch outlives the server's time for reading a request.
	if err := out.control.SetReadDeadline(time.Time{}); err != nil {
		rpc.Answer(w, errs.Wrap(err, errs.Internal, "read deadline"))
		return
	}
	beats := time.NewTicker(beatEvery)
	defer beats.Stop()
	for beat := true; ; {
		if err := s.send(out, held, beat); err != nil {
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
func (s *Server) open(r *http.Request) (*watch, *watchRequest, error) {
	body, err := rpc.Body(r, maxWatchBody)
	if err != nil {
		return nil, nil, err
	}
	q := new(watchRequest)
	if err := json.Unmarshal(body, q); err != nil {
		return nil, nil, errs.Wrap(err, errs.Unreadable, "watch request")
	}
	if q.Node == "" {
		return nil, nil, errs.New(errs.Invalid, "the watch names no node")
	}
	if !s.cfg.InContact() {
		return nil, nil, errs.New(errs.NoQuorum, "this member is not in contact with a quorum")
	}
	held := &watch{
		wake: make(chan struct{}, 1), quit: make(chan struct{}),
		version: q.ConfigVersion, whole: q.Whole, epoch: q.Epoch, number: q.Number,
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
	if old := s.watches[q.Node]; old != nil {
		close(old.quit)
	} else if len(s.watches) >= maxWatches {
		return nil, nil, errs.New(errs.Busy, "this member serves %d watches and takes no more", maxWatches)
	}
	s.watches[q.Node] = held
	return held, q, nil
}

func (s *Server) close(node string, held *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches[node] == held {
		delete(s.watches, node)
	}
}

// send writes what the watch has not had yet. A member out of contact says
// nothing, so that its sidecars go elsewhere.
func (s *Server) send(out *deadlined, held *watch, beat bool) error {
	if !s.cfg.InContact() {
		return nil
	}
	version := s.cfg.ConfigSource.Current()
	if held.whole || version > held.version {
		frames, ok := []json.RawMessage(nil), false
		if !held.whole {
			frames, ok = s.cfg.ConfigSource.Since(held.version)
		}
		if !ok {
			frames = []json.RawMessage{s.cfg.ConfigSource.Whole()}
		}
		for _, f := range frames {
			if len(f) == 0 {
				continue
			}
			if err := out.write([]byte(`{"charter":`), f, []byte("}\n")); err != nil {
				return err
			}
		}
		held.version, held.whole = max(version, held.version), false
	}

	s.mu.Lock()
	now := s.now()
	young := now < s.youngUntil
	if held.young && !young {
		held.epoch = 0
	}
	news := s.table.Since(now, held.epoch, held.number, held.keep)
	b := beatFrame{version, s.table.Members(), s.table.Largest(now), young}
	s.mu.Unlock()

	f := frame{}
	if news.Full || len(news.Upserts)+len(news.Removals) > 0 {
		f.Registry = &registryFrame{
			Epoch: news.Epoch, Number: news.Number, Full: news.Full, Young: young && news.Full, Upserts: news.Upserts,
		}
		for _, r := range news.Removals {
			f.Registry.Removals = append(f.Registry.Removals, r.Instance)
		}
	}
	if news.Full {
		held.young = young
	}
	held.epoch, held.number = news.Epoch, news.Number
	if beat {
		f.Beat = &b
	}
	if f.Registry == nil && f.Beat == nil {
		return out.flush()
	}
	line, err := json.Marshal(&f)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode a frame")
	}
	if err := out.write(line, []byte("\n")); err != nil {
		return err
	}
	return out.flush()
}
