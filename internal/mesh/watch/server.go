package watch

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
)

const (
	// tickEvery is the time between looks at lapsed leases and the peers' list.
	tickInterval = 200 * time.Millisecond
	// pushGap is the least time between two pushes, so that a burst of changes
	// makes few frames. The first change after a pause is pushed at once.
	minPushInterval = 5 * time.Millisecond
	// writeTimeout bounds a write to a sidecar, so that a slow one holds nothing.
	writeTimeout = 1500 * time.Millisecond
	// writePiece is how much of a frame gets a write deadline of its own, so
	// that a large frame may take longer as long as it moves.
	writeChunk = 256 << 10
	// youngTime is how long after its start, or after it regained contact, a
	// member says that it may not have heard from everybody.
	syncingPeriod = 3 * time.Second
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
	// FullConfig gives the whole configuration, nil while there is none.
	FullConfig() json.RawMessage
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
	// Contact says how long ago a majority is known to have confirmed the leader
	// that this member follows, counted only once all that was committed then is
	// in ConfigSource; ok is false while that is unknown. It is called often, and
	// from many goroutines.
	Contact func() (age time.Duration, ok bool)
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

	mu                   sync.Mutex
	table                *registry.Table
	sessions             map[string]*session
	peers                map[string]*gossipPeer
	waiters              map[*waiter]struct{}
	inContact            bool
	hadContact           bool
	observedAt           time.Duration // when the contact was looked at last
	registryDelayedUntil time.Duration // registry news may wait until then
	syncingUntil         time.Duration
	lastPushed           uint64 // the table's number at the last push
	pushScheduled        bool
	pushedAt             time.Duration
}

// NewServer makes a Server. It answers once registered and gossips while it runs.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg:          cfg,
		start:        time.Now(),
		done:         make(chan struct{}),
		table:        registry.New(cfg.Epoch),
		sessions:     map[string]*session{},
		peers:        map[string]*gossipPeer{},
		waiters:      map[*waiter]struct{}{},
		syncingUntil: syncingPeriod,
		pushedAt:     -minPushInterval,
	}
}

// Register puts the Server's pages on the mux.
func (s *Server) Register(mux *http.ServeMux) {
	rpc.Handle(mux, leasePath, maxLeaseBody, s.renewLease)
	rpc.Handle(mux, gossipPath, maxGossipBody, s.receiveGossip)
	rpc.Handle(mux, memberListPath, maxLeaseBody, s.memberList)
	mux.HandleFunc("POST "+watchPath, s.serveWatch)
}

// Run lets leases lapse and talks with the other members until ctx ends; then
// it ends the watches. It is called once.
func (s *Server) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	defer close(s.done)
	tick := time.NewTicker(tickInterval)
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
	s.contact()
	peers := s.cfg.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(s.now())
	s.notifyChanged()

	listed := make(map[string]bool, len(peers))
	for _, address := range peers {
		if address == s.cfg.Self {
			continue
		}
		listed[address] = true
		if s.peers[address] == nil {
			peerCtx, cancel := context.WithCancel(ctx)
			n := newGossipPeer(address, cancel)
			s.peers[address] = n
			running.Go(func() { s.gossipWith(peerCtx, n) })
		}
	}
	for address, n := range s.peers {
		if !listed[address] {
			n.cancel()
			delete(s.peers, address)
		}
	}
}

// now is the Server's steady clock.
func (s *Server) now() time.Duration { return time.Since(s.start) }
