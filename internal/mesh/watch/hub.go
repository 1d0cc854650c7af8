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

// Charters is the configuration as the Hub hands it on. Its methods are called
// from many goroutines. A change may reach a sidecar twice, so whoever applies
// frames passes over the versions already held.
type Charters interface {
	// Current is the newest version here.
	Current() (version int64)
	// Since gives the changes after a version, or false if it is too old.
	Since(version int64) (frames []json.RawMessage, ok bool)
	// Whole gives the whole configuration, nil while there is none.
	Whole() json.RawMessage
}

// HubConfig is what a Hub is made of. All fields but Sequencer and Zone are
// required.
type HubConfig struct {
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
	// Sequencer gives a hint where the sequencer is.
	Sequencer func() string
	Charters  Charters
	Client    *http.Client
	Log       *zap.Logger
}

// Hub is the core member's side: it holds the catalogue, pushes news to the
// sidecars that watch, and tells the other members.
type Hub struct {
	cfg   HubConfig
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
	charter int64
	whole   bool
	epoch   uint64
	number  uint64
	young   bool // what was sent as everything was sent while young
}

type waiter struct {
	version int64
	done    chan struct{}
}

// NewHub makes a Hub. It answers once registered and gossips while it runs.
func NewHub(cfg HubConfig) *Hub {
	return &Hub{
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

// Register puts the Hub's pages on the mux.
func (h *Hub) Register(mux *http.ServeMux) {
	rpc.Handle(mux, leasePath, maxLeaseBody, h.lease)
	rpc.Handle(mux, gossipPath, maxGossipBody, h.gossip)
	rpc.Handle(mux, rollPath, maxLeaseBody, h.roll)
	mux.HandleFunc("POST "+watchPath, h.watch)
}

// Run lets leases lapse and talks with the other members until ctx ends; then
// it ends the watches. It is called once.
func (h *Hub) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	defer close(h.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		h.tick(ctx, &running)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (h *Hub) tick(ctx context.Context, running *sync.WaitGroup) {
	inContact, peers := h.cfg.InContact(), h.cfg.Peers()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if inContact && !h.inContact {
		h.youngUntil = now + youngTime
		for _, n := range h.neighbours {
			n.ask()
		}
	}
	h.inContact = inContact
	h.table.Expire(now)
	h.spread()

	listed := make(map[string]bool, len(peers))
	for _, address := range peers {
		if address == h.cfg.Self {
			continue
		}
		listed[address] = true
		if h.neighbours[address] == nil {
			peerCtx, cancel := context.WithCancel(ctx)
			n := newNeighbour(address, cancel)
			h.neighbours[address] = n
			running.Go(func() { h.converse(peerCtx, n) })
		}
	}
	for address, n := range h.neighbours {
		if !listed[address] {
			n.cancel()
			delete(h.neighbours, address)
		}
	}
}

// now is the Hub's steady clock.
func (h *Hub) now() time.Duration { return time.Since(h.start) }

// Young says whether this member may not have heard from everybody yet.
func (h *Hub) Young() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now() < h.youngUntil
}

// Upstreams lists all upstreams known here.
func (h *Hub) Upstreams() []registry.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Upstreams(h.now())
}

// Members counts the live leases, and gives the largest count lately.
func (h *Hub) Members() (live, largest int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Members(), h.table.Largest(h.now())
}

// Behind counts the live leases whose sidecar has not applied the version.
func (h *Hub) Behind(version int64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Behind(version)
}

// WaitApplied returns 0 as soon as every live lease known here has applied the
// version, or how many have not when ctx ends. A sidecar whose lease lapses is
// no longer waited for. While Young, leases may not be known here yet.
func (h *Hub) WaitApplied(ctx context.Context, version int64) (behind int) {
	w := &waiter{version, make(chan struct{})}
	h.mu.Lock()
	if h.table.Behind(version) == 0 {
		h.mu.Unlock()
		return 0
	}
	h.waiters[w] = struct{}{}
	h.mu.Unlock()
	select {
	case <-w.done:
		return 0
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiters, w)
	return h.table.Behind(version)
}

// Beat takes a beat of an upstream that reached this member directly, and
// tells the other members. A State of Gone is a deregistration.
func (h *Hub) Beat(up registry.Upstream) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	taken, err := h.table.Beat(now, up)
	if err != nil || !taken {
		return err
	}
	for _, n := range h.neighbours {
		n.tell(up, now)
	}
	h.spread()
	return nil
}

// Publish pushes the charter to the sidecars. The caller calls it when
// Charters has something new.
func (h *Hub) Publish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.push()
}

// spread wakes whom a change of the table concerns. It is called under the
// lock after each change.
func (h *Hub) spread() {
	if h.table.Number() != h.told {
		h.push()
	}
	for w := range h.waiters {
		if h.table.Behind(w.version) == 0 {
			delete(h.waiters, w)
			close(w.done)
		}
	}
}

// push wakes the watches now, or when pushGap is over. The lock is held.
func (h *Hub) push() {
	h.told = h.table.Number()
	if h.pushing {
		return
	}
	if wait := h.pushedAt + pushGap - h.now(); wait > 0 {
		h.pushing = true
		time.AfterFunc(wait, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.pushing = false
			h.wakeAll()
		})
		return
	}
	h.wakeAll()
}

func (h *Hub) wakeAll() {
	h.pushedAt = h.now()
	for _, w := range h.watches {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (h *Hub) lease(_ *http.Request, l *registry.Lease) (*LeaseAnswer, error) {
	inContact, version := h.cfg.InContact(), h.cfg.Charters.Current()
	a := &LeaseAnswer{
		TTL:    registry.LeaseTime.Seconds(),
		Zone:   h.cfg.Zone,
		Caught: inContact && l.Applied >= version,
	}
	if h.cfg.Sequencer != nil {
		a.Sequencer = h.cfg.Sequencer()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	changed, err := h.table.Renew(now, *l)
	if err != nil {
		return nil, err
	}
	for _, n := range h.neighbours {
		n.mark(l.Node, changed)
	}
	h.spread()
	a.Members, a.Largest, a.Young = h.table.Members(), h.table.Largest(now), now < h.youngUntil
	a.Peers = append(a.Peers, Peer{h.cfg.Self, h.cfg.Zone})
	for _, n := range h.neighbours {
		a.Peers = append(a.Peers, Peer{n.address, n.zone})
	}
	return a, nil
}

func (h *Hub) watch(w http.ResponseWriter, r *http.Request) {
	held, q, err := h.open(r)
	if err != nil {
		rpc.Answer(w, err)
		return
	}
	defer h.close(q.Node, held)
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
		if err := h.send(out, held, beat); err != nil {
			h.cfg.Log.Debug("A watch ends.", zap.String("node", q.Node), zap.Error(err))
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
		case <-h.done:
			return
		}
	}
}

// open enters a watch. One that the node still holds ends.
func (h *Hub) open(r *http.Request) (*watch, *watchRequest, error) {
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
	if !h.cfg.InContact() {
		return nil, nil, errs.New(errs.NoQuorum, "this member is not in contact with a quorum")
	}
	held := &watch{
		wake: make(chan struct{}, 1), quit: make(chan struct{}),
		charter: q.Charter, whole: q.Whole, epoch: q.Epoch, number: q.Number,
	}
	if len(q.Services) > 0 {
		wanted := make(map[string]bool, len(q.Services))
		for _, s := range q.Services {
			wanted[s] = true
		}
		held.keep = func(service string) bool { return wanted[service] }
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.watches[q.Node]; old != nil {
		close(old.quit)
	} else if len(h.watches) >= maxWatches {
		return nil, nil, errs.New(errs.Busy, "this member serves %d watches and takes no more", maxWatches)
	}
	h.watches[q.Node] = held
	return held, q, nil
}

func (h *Hub) close(node string, held *watch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.watches[node] == held {
		delete(h.watches, node)
	}
}

// send writes what the watch has not had yet. A member out of contact says
// nothing, so that its sidecars go elsewhere.
func (h *Hub) send(out *deadlined, held *watch, beat bool) error {
	if !h.cfg.InContact() {
		return nil
	}
	version := h.cfg.Charters.Current()
	if held.whole || version > held.charter {
		frames, ok := []json.RawMessage(nil), false
		if !held.whole {
			frames, ok = h.cfg.Charters.Since(held.charter)
		}
		if !ok {
			frames = []json.RawMessage{h.cfg.Charters.Whole()}
		}
		for _, f := range frames {
			if len(f) == 0 {
				continue
			}
			if err := out.write([]byte(`{"charter":`), f, []byte("}\n")); err != nil {
				return err
			}
		}
		held.charter, held.whole = max(version, held.charter), false
	}

	h.mu.Lock()
	now := h.now()
	young := now < h.youngUntil
	if held.young && !young {
		held.epoch = 0
	}
	news := h.table.Since(now, held.epoch, held.number, held.keep)
	b := beatFrame{version, h.table.Members(), h.table.Largest(now), young}
	h.mu.Unlock()

	f := frame{}
	if news.Full || len(news.Upserts)+len(news.Removals) > 0 {
		f.Catalogue = &catalogueFrame{
			Epoch: news.Epoch, Number: news.Number, Full: news.Full, Young: young && news.Full, Upserts: news.Upserts,
		}
		for _, r := range news.Removals {
			f.Catalogue.Removals = append(f.Catalogue.Removals, r.Instance)
		}
	}
	if news.Full {
		held.young = young
	}
	held.epoch, held.number = news.Epoch, news.Number
	if beat {
		f.Beat = &b
	}
	if f.Catalogue == nil && f.Beat == nil {
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
