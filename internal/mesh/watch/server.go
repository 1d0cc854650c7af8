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
	// tickInterval is the time between two checks of the contact, of expired leases and of the list of core
	// machines.
	tickInterval = 200 * time.Millisecond
	// syncingPeriod is how long a core machine reports, after its start or after it regained contact, that it
	// may not know all sidecars yet.
	syncingPeriod = 3 * time.Second
)

// ConfigSource provides the configuration that a Server distributes. Its methods are called concurrently. A
// sidecar may receive a change twice, so it must skip versions that it has already applied.
type ConfigSource interface {
	// Current returns the newest version that this core machine knows.
	Current() (version int64)
	// Since returns the changes after a version. ok is false if the changes since that version are no longer
	// available.
	Since(version int64) (frames []json.RawMessage, ok bool)
	// FullConfig returns the full configuration, nil if there is none.
	FullConfig() json.RawMessage
}

// ServerConfig configures a Server. All fields but Leader, Zone and ShareHolders are required.
type ServerConfig struct {
	// Self is the internal address of this core machine, Zone its zone.
	Self string
	Zone string
	// Epoch must differ in each run of the process, for example the start time in nanoseconds.
	Epoch registry.Epoch
	// ShareHolders are the names of the sidecars that held a share when an earlier process of this core
	// machine recorded them last.
	ShareHolders []string
	// Peers returns the internal addresses of the core machines. The result may include Self.
	Peers func() []string
	// Contact returns the time since a majority is known to have confirmed the leader that this core machine
	// follows. A confirmation counts only once everything that was committed at its time is in ConfigSource.
	// ok is false while there is none. Contact is called often and concurrently.
	Contact func() (age time.Duration, ok bool)
	// Leader returns the probable address of the leader.
	Leader       func() string
	ConfigSource ConfigSource
	HTTP         *http.Client
	Log          *zap.Logger
}

// Server runs on a core machine: it owns the registry table, pushes updates to the sidecars that have a watch
// open, and gossips with the other core machines.
type Server struct {
	cfg       ServerConfig
	createdAt time.Time
	done      chan struct{} // closed when Run ends

	// mu guards the fields below. It is never held during a call to another process.
	mu       sync.Mutex
	table    *registry.Table
	sessions map[string]*session    // open watches, keyed by node
	peers    map[string]*gossipPeer // other core machines, keyed by address
	waiters  map[*waiter]struct{}

	// All times below are readings of now().
	contact              contactState
	contactCheckedAt     time.Duration // time of the last contact check
	registryDelayedUntil time.Duration // see delaysRegistry
	syncingUntil         time.Duration

	lastPushedNumber registry.ChangeNumber // the table's change number at the last push
	lastPushedAt     time.Duration
	pushScheduled    bool
}

// NewServer returns a Server. It serves requests once its routes are registered, and gossips while Run runs.
func NewServer(cfg ServerConfig) *Server {
	table := registry.New(cfg.Epoch)
	table.RestoreHolders(0, cfg.ShareHolders)
	return &Server{
		cfg:          cfg,
		createdAt:    time.Now(),
		done:         make(chan struct{}),
		table:        table,
		sessions:     map[string]*session{},
		peers:        map[string]*gossipPeer{},
		waiters:      map[*waiter]struct{}{},
		syncingUntil: syncingPeriod,
		lastPushedAt: -minPushInterval,
	}
}

// Register registers the Server's routes on a mux.
func (s *Server) Register(mux *http.ServeMux) {
	rpc.Handle(mux, leasePath, maxLeaseBody, s.renewLease)
	rpc.Handle(mux, gossipPath, maxGossipBody, s.receiveGossip)
	rpc.Handle(mux, memberListPath, maxLeaseBody, s.serveMemberList)
	mux.HandleFunc("POST "+watchPath, s.serveWatch)
}

// Run expires leases and gossips with the other core machines until ctx ends; then it ends all watches. It
// must be called only once.
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

// tick checks the contact, expires leases and applies changes of the list of core machines.
func (s *Server) tick(ctx context.Context, gossiping *sync.WaitGroup) {
	s.checkContact()
	addresses := s.cfg.Peers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(s.now())
	s.notifyChanged()
	s.updatePeers(ctx, gossiping, addresses)
}

// updatePeers starts gossip with core machines that were added to the list and stops gossip with removed
// ones. s.mu is held.
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

// now returns the Server's monotonic clock: the time since the Server was created.
func (s *Server) now() time.Duration { return time.Since(s.createdAt) }
