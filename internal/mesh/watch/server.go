package watch

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

const (
	// tickEvery is the time between looks at lapsed leases and the peers' list.
	tickEvery = 200 * time.Millisecond
	// pushGap is the least time between two pushes, so that a burst of changes
	// makes few frames. The first change after a pause is pushed at once.
	pushGap = 5 * time.Millisecond
	// writeTimeout bounds a write to a sidecar, so that a slow one holds nothing.
	writeTimeout = 1500 * time.Millisecond
	// writePiece is how much of a frame gets a write deadline of its own, so
	// that a large frame may take longer as long as it moves.
	writePiece = 256 << 10
	// youngTime is how long after its start, or after it regained contact, a
	// member says that it may not have heard from everybody.
	youngTime = 3 * time.Second
	// maxWatches bounds the watches held, against running out of descriptors.
	maxWatches = 3000
)

// ConfigSource is the configuration as the Server hands it on. Its methods are called
// from many goroutines. A change may reach a sidecar twice, so whoever applies
// frames passes over the versions already held.
type ConfigSource interface {
	// Current is the newest version here.
	Current() (version int64)
	// Since gives the changes after a version, or false if it is too old.
	Since(version int64) (frames []json.RawMessage, ok bool)
	// Whole gives the whole configuration, nil while there is none.
	Whole() json.RawMessage
}

// ServerConfig is what a Server is made of. All fields but Leader and Zone are
// required.
type ServerConfig struct {
	// Self is this member's internal address, Zone its zone.
	Self string
	Zone string
	// Epoch differs in each process life, for example its start in nanoseconds.
	Epoch uint64
	// Peers gives the internal addresses of the core members; Self may be among
	// them.
	Peers func() []string
	// InContact says whether this member is in contact with a quorum.
	InContact func() bool
	// Leader gives a hint where the leader is.
	Leader       func() string
	ConfigSource ConfigSource
	HTTP         *http.Client
	Log          *zap.Logger
}

// Server is the core member's side: it holds the registry, pushes news to the
// sidecars that watch, and tells the other members.
type Server struct {
	cfg   ServerConfig
	start time.Time
	done  chan struct{} // closed when Run ends

	mu         sync.Mutex
	table      *registry.Table
	watches    map[string]*watch
	neighbours map[string]*neighbour
	waiters    map[*waiter]struct{}
	inContact  bool
	youngUntil time.Duration
	told       uint64 // the table's number at the last push
	pushing    bool
	pushedAt   time.Duration
}

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

type waiter struct {
	version int64
	done    chan struct{}
}

// NewServer makes a Server. It answers once registered and gossips while it runs.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg:        cfg,
		start:      time.Now(),
		done:       make(chan struct{}),
		table:      registry.New(cfg.Epoch),
		watches:    map[string]*watch{},
		neighbours: map[string]*neighbour{},
		waiters:    map[*waiter]struct{}{},
		youngUntil: youngTime,
		pushedAt:   -pushGap,
	}
}

// Register puts the Server's pages on the mux.
func (s *Server) Register(mux *http.ServeMux) {
	rpc.Handle(mux, leasePath, maxLeaseBody, s.lease)
	rpc.Handle(mux, gossipPath, maxGossipBody, s.gossip)
	rpc.Handle(mux, rollPath, maxLeaseBody, s.roll)
	mux.HandleFunc("POST "+watchPath, s.watch)
}

// Run lets leases lapse and talks with the other members until ctx ends; then
// it ends the watches. It is called once.
func (s *Server) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	defer close(s.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		s.tick(ctx, &running)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) tick(ctx context.Context, running *sync.WaitGroup) {
	inContact, peers := s.cfg.InContact(), s.cfg.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if inContact && !s.inContact {
		s.youngUntil = now + youngTime
		for _, n := range s.neighbours {
			n.ask()
		}
	}
	s.inContact = inContact
	s.table.Expire(now)
	s.spread()

	listed := make(map[string]bool, len(peers))
	for _, address := range peers {
		if address == s.cfg.Self {
			continue
		}
		listed[address] = true
		if s.neighbours[address] == nil {
			peerCtx, cancel := context.WithCancel(ctx)
			n := newNeighbour(address, cancel)
			s.neighbours[address] = n
			running.Go(func() { s.converse(peerCtx, n) })
		}
	}
	for address, n := range s.neighbours {
		if !listed[address] {
			n.cancel()
			delete(s.neighbours, address)
		}
	}
}

// now is the Server's steady clock.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// Young says whether this member may not have heard from everybody yet.
func (s *Server) Young() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() < s.youngUntil
}

// Upstreams lists all upstreams known here.
func (s *Server) Upstreams() []registry.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Upstreams(s.now())
}

// Members counts the live leases, and gives the largest count lately.
func (s *Server) Members() (live, largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members(), s.table.Largest(s.now())
}

// Behind counts the live leases whose sidecar has not applied the version.
func (s *Server) Behind(version int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Behind(version)
}

// WaitApplied returns 0 as soon as every live lease known here has applied the
// version, or how many have not when ctx ends. A sidecar whose lease lapses is
// no longer waited for. While Young, leases may not be known here yet.
func (s *Server) WaitApplied(ctx context.Context, version int64) (behind int) {
	w := &waiter{version, make(chan struct{})}
	s.mu.Lock()
	if s.table.Behind(version) == 0 {
		s.mu.Unlock()
		return 0
	}
	s.waiters[w] = struct{}{}
	s.mu.Unlock()
	select {
	case <-w.done:
		return 0
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w)
	return s.table.Behind(version)
}

// Beat takes a beat of an upstream that reached this member directly, and
// tells the other members. A State of Gone is a deregistration.
func (s *Server) Beat(up registry.Upstream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	taken, err := s.table.Beat(now, up)
	if err != nil || !taken {
		return err
	}
	for _, n := range s.neighbours {
		n.tell(up, now)
	}
	s.spread()
	return nil
}

// Publish pushes the configuration to the sidecars. The caller calls it when
// ConfigSource has something new.
func (s *Server) Publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push()
}

// spread wakes whom a change of the table concerns. It is called under the
// lock after each change.
func (s *Server) spread() {
	if s.table.Number() != s.told {
		s.push()
	}
	for w := range s.waiters {
		if s.table.Behind(w.version) == 0 {
			delete(s.waiters, w)
			close(w.done)
		}
	}
}

// push wakes the watches now, or when pushGap is over. The lock is held.
func (s *Server) push() {
	s.told = s.table.Number()
	if s.pushing {
		return
	}
	if wait := s.pushedAt + pushGap - s.now(); wait > 0 {
		s.pushing = true
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pushing = false
			s.wakeAll()
		})
		return
	}
	s.wakeAll()
}

func (s *Server) wakeAll() {
	s.pushedAt = s.now()
	for _, w := range s.watches {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (s *Server) lease(_ *http.Request, l *registry.Lease) (*LeaseAnswer, error) {
	inContact, version := s.cfg.InContact(), s.cfg.ConfigSource.Current()
	a := &LeaseAnswer{
		TTL:    registry.LeaseTime.Seconds(),
		Zone:   s.cfg.Zone,
		Caught: inContact && l.Applied >= version,
	}
	if s.cfg.Leader != nil {
		a.Leader = s.cfg.Leader()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	changed, err := s.table.Renew(now, *l)
	if err != nil {
		return nil, err
	}
	for _, n := range s.neighbours {
		n.mark(l.Node, changed)
	}
	s.spread()
	a.Members, a.Largest, a.Young = s.table.Members(), s.table.Largest(now), now < s.youngUntil
	a.Peers = append(a.Peers, Peer{s.cfg.Self, s.cfg.Zone})
	for _, n := range s.neighbours {
		a.Peers = append(a.Peers, Peer{n.address, n.zone})
	}
	return a, nil
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

// deadlined writes an answer with a deadline for each piece.
type deadlined struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

func (d *deadlined) write(parts ...[]byte) error {
	for _, p := range parts {
		for len(p) > 0 {
			n := min(len(p), writePiece)
			if err := d.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			if _, err := d.w.Write(p[:n]); err != nil {
				return err
			}
			p = p[n:]
		}
	}
	return nil
}

func (d *deadlined) flush() error {
	if err := d.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return d.control.Flush()
}
