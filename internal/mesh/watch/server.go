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
	// tickInterval is the time between checks for expired leases and for changes
	// of the member list.
	tickInterval = 200 * time.Millisecond
	// syncingPeriod is how long after its start, or after it regained contact, a
	// member says that it may not know all sidecars yet.
	syncingPeriod = 3 * time.Second
)

// ConfigSource is the configuration that the Server distributes. Its methods are
// called from many goroutines. A change may reach a sidecar twice, so whoever
// applies frames skips versions that it already has.
type ConfigSource interface {
	// Current is the newest version here.
	Current() (version int64)
	// Since returns the changes after a version, or false if it is too old.
	Since(version int64) (frames []json.RawMessage, ok bool)
	// FullConfig returns the full configuration, nil while there is none.
	FullConfig() json.RawMessage
}

// ServerConfig is what a Server is made of. All fields but Leader and Zone are
// required.
type ServerConfig struct {
	// Self is this member's internal address, Zone its zone.
	Self string
	Zone string
	// Epoch differs in each incarnation of the process, for example its start in
	// nanoseconds.
	Epoch registry.Epoch
	// ShareHolders are the sidecars that an earlier process of this member knew last,
	// by name.
	ShareHolders []string
	// Peers returns the internal addresses of the core machines; Self may be among
	// them.
	Peers func() []string
	// Contact says how long ago a majority is known to have confirmed the leader
	// that this member follows, counted only once all that was committed then is
	// in ConfigSource; ok is false while that is unknown. It is called often, and
	// from many goroutines.
	Contact func() (age time.Duration, ok bool)
	// Leader returns a hint where the leader is.
	Leader       func() string
	ConfigSource ConfigSource
	HTTP         *http.Client
	Log          *zap.Logger
}

// Server is the core machine's side: it owns the registry table, pushes updates
// to the sidecars that watch, and gossips with the other members.
type Server struct {
	cfg   ServerConfig
	start time.Time
	done  chan struct{} // closed when Run ends

	// mu guards the fields below. No call to another process is made under it.
	mu       sync.Mutex
	table    *registry.Table
	sessions map[string]*session    // open watches by node
	peers    map[string]*gossipPeer // other core machines by address
	waiters  map[*waiter]struct{}

	// All times are readings of now().
	contact              contactState
	observedAt           time.Duration // when the contact was checked last
	registryDelayedUntil time.Duration // see delaysRegistry
	syncingUntil         time.Duration

	lastPushed    registry.ChangeNumber // the table's number at the last push
	lastPushedAt  time.Duration
	pushScheduled bool
}

// NewServer makes a Server. It answers once registered, and gossips while Run
// runs.
func NewServer(cfg ServerConfig) *Server {
	table := registry.New(cfg.Epoch)
	table.RestoreHolders(0, cfg.ShareHolders)
	return &Server{
		cfg:          cfg,
		start:        time.Now(),
		done:         make(chan struct{}),
		table:        table,
		sessions:     map[string]*session{},
		peers:        map[string]*gossipPeer{},
		waiters:      map[*waiter]struct{}{},
		syncingUntil: syncingPeriod,
		lastPushedAt: -minPushInterval,
	}
}

// Register puts the Server's routes on the mux.
func (s *Server) Register(mux *http.ServeMux) {
	rpc.Handle(mux, leasePath, maxLeaseBody, s.renewLease)
	rpc.Handle(mux, gossipPath, maxGossipBody, s.receiveGossip)
	rpc.Handle(mux, memberListPath, maxLeaseBody, s.serveMemberList)
	mux.HandleFunc("POST "+watchPath, s.serveWatch)
}

// Run lets leases expire and gossips with the other members until ctx ends;
// then it ends the watches. It is called once.
func (s *Server) Run(ctx context.Context) {
	var gossiping sync.WaitGroup
	defer gossiping.Wait()
	defer close(s.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx, &gossiping)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick checks the contact, the leases and the member list.
func (s *Server) tick(ctx context.Context, gossiping *sync.WaitGroup) {
	s.checkContact()
	addresses := s.cfg.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(s.now())
	s.notifyChanged()
	s.updatePeers(ctx, gossiping, addresses)
}

// updatePeers starts to gossip with the members that are new, and ends it with
// those no longer listed. s.mu is held.
func (s *Server) updatePeers(ctx context.Context, gossiping *sync.WaitGroup, addresses []string) {
	listed := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		if address == s.cfg.Self {
			continue
		}
		listed[address] = true
		if s.peers[address] == nil {
			peerCtx, cancel := context.WithCancel(ctx)
			p := newGossipPeer(address, cancel)
			s.peers[address] = p
			gossiping.Go(func() { s.gossipWith(peerCtx, p) })
		}
	}
	for address, p := range s.peers {
		if !listed[address] {
			p.cancel()
			delete(s.peers, address)
		}
	}
}

// now is the Server's monotonic clock: the time since it was made.
func (s *Server) now() time.Duration { return time.Since(s.start) }
