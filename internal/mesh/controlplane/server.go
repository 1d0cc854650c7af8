// Package controlplane implements a core machine of the mesh. A core machine holds a replica of the
// configuration, applies operators' change requests to it, pushes it to the sidecars and keeps the
// sidecars' leases. The leader also allocates the tenants' quota tokens and chooses the voters.
//
// Run owns all resources that it starts. When Run returns, the replica, its storage and the listeners
// are closed, and the watch server and the goroutines that announce this machine and manage the voters
// have been cancelled. Run, these goroutines and the HTTP handlers call all other functions,
// concurrently.
package controlplane

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/cluster"
	"caperarch/internal/mesh/httpclient"
	"caperarch/internal/mesh/quota"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/replication"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/watch"

	"go.uber.org/zap"
)

const (
	// dialTimeout bounds the time to open a connection to another machine.
	dialTimeout = 300 * time.Millisecond
	// defaultQuotaWindow is the quota window if the settings contain none.
	defaultQuotaWindow = time.Second
)

// Server is a core machine of the control plane.
type Server struct {
	settings     *settings.Settings
	log          *zap.Logger
	client       *http.Client
	startedAt    time.Time
	memberList   *cluster.MemberList
	node         atomic.Pointer[replication.Node] // nil until the replica has started
	watchServer  *watch.Server
	stateMachine *stateMachine

	// allocatorMu guards the allocator.
	allocatorMu sync.Mutex
	allocator   *quota.Allocator

	// propagationMu guards propagation.
	propagationMu sync.Mutex
	propagation   propagation
}

// Run runs a core machine until ctx ends and the machine has left the cluster in order, or until it
// fails. Reloaded settings are received on reload. Errors are of the kinds of package errs.
func Run(
	ctx context.Context, set *settings.Settings, reload <-chan *settings.Settings, log *zap.Logger,
) error {
	s, err := newServer(set, log)
	if err != nil {
		return err
	}
	return s.run(ctx, reload)
}

func newServer(set *settings.Settings, log *zap.Logger) (*Server, error) {
	local := cluster.Announcement{
		ID:   replication.NewMemberID(set.OwnInternalAddress(), ""),
		Zone: set.Self.Zone,
	}
	s := &Server{
		settings:    set,
		log:         log,
		client:      httpclient.New(dialTimeout),
		startedAt:   time.Now(),
		memberList:  cluster.NewMemberList(local, set.SeedAddresses()),
		propagation: propagation{applyTime: set.Guarantees.Bounds.ConfigApply},
	}
	var err error
	if s.allocator, err = newAllocator(set); err != nil {
		return nil, err
	}
	s.stateMachine = newStateMachine(log, s.configurationChanged)
	return s, nil
}

func newAllocator(set *settings.Settings) (*quota.Allocator, error) {
	bounds := set.Guarantees.Bounds
	window := bounds.QuotaWindow
	if window <= 0 {
		window = defaultQuotaWindow
	}
	return quota.NewAllocator(quota.Rules{
		Window:  window,
		Overage: bounds.QuotaOverage,
		Slack:   bounds.QuotaSlack,
	})
}

// configurationChanged pushes the new configuration to the sidecars after a different version has taken
// effect.
func (s *Server) configurationChanged() {
	if s.watchServer != nil {
		s.watchServer.Publish()
	}
}

func (s *Server) run(ctx context.Context, reload <-chan *settings.Settings) error {
	// The machine keeps serving while it transfers leadership, so its goroutines run until after ctx has
	// ended.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.watchSettings(running, reload)
	shareHolders := s.restoreShareHolders()
	s.watchServer = s.newWatchServer(shareHolders)
	failed, closeListeners, err := s.listen()
	if err != nil {
		return err
	}
	defer closeListeners()
	store, state, err := s.openInitializedStore(ctx)
	if err != nil {
		return err
	}
	node, closeReplica, err := s.startReplica(running, store, state)
	if err != nil {
		return err
	}
	defer closeReplica()
	go s.watchServer.Run(running)
	go s.logLagging(running)
	go s.persistShareHolders(running, slices.Clone(shareHolders))
	s.log.Info("serving",
		zap.String("member", string(state.ID)), zap.Any("voters", node.Status().Membership.Voters))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		s.leave(node)
		return nil
	}
}

func (s *Server) newWatchServer(shareHolders []string) *watch.Server {
	return watch.NewServer(watch.ServerConfig{
		Self:         s.ownAddress(),
		Zone:         s.settings.Self.Zone,
		Epoch:        registry.Epoch(s.startedAt.UnixNano()),
		ShareHolders: shareHolders,
		Peers:        func() []string { return s.memberList.Addresses(s.now()) },
		Contact:      s.contact,
		Leader:       func() string { address, _ := s.leader(); return address },
		HTTP:         s.client,
		ConfigSource: s.stateMachine,
		Log:          s.log,
	})
}

// watchSettings applies reloaded settings until ctx ends. Only the seed addresses, at which other core
// machines may be found, can change without a restart.
func (s *Server) watchSettings(ctx context.Context, reload <-chan *settings.Settings) {
	for {
		select {
		case set, ok := <-reload:
			if !ok {
				return
			}
			s.memberList.SetSeeds(set.SeedAddresses())
		case <-ctx.Done():
			return
		}
	}
}

// ownAddress returns this machine's internal address.
func (s *Server) ownAddress() string { return s.settings.OwnInternalAddress() }

// now returns the time since the start of the server, by a monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
