// Package controlplane is a core machine of the mesh. It stores the configuration as one replica of
// those that agree on it, applies operators' change requests to it, pushes it to the sidecars and
// keeps their leases. While it leads it also allocates the tenants' quotas and chooses the voters.
//
// Run owns everything that it starts. When it returns the replica with its disk and the listeners are
// closed, and the watch server and the loops that announce this machine and manage the voters have been
// cancelled. All other functions are called by those, from any goroutine.
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
	// dialTimeout is how long a connection to another machine may take to open.
	dialTimeout = 300 * time.Millisecond
	// defaultQuotaWindow holds where the settings name none.
	defaultQuotaWindow = time.Second
)

// Server is a running core machine.
type Server struct {
	settings     *settings.Settings
	log          *zap.Logger
	client       *http.Client
	startedAt    time.Time
	memberList   *cluster.MemberList
	node         atomic.Pointer[replication.Node] // nil until this machine belongs to a cluster
	watchServer  *watch.Server
	stateMachine *stateMachine

	// allocatorMu guards the allocator.
	allocatorMu sync.Mutex
	allocator   *quota.Allocator

	// propagationMu guards propagation.
	propagationMu sync.Mutex
	propagation   propagation
}

// Run runs a core machine until ctx ends and this machine has left in order, or until it fails. Settings
// that are read again arrive by reload. Errors are of the kinds of package errs.
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

// configurationChanged pushes another version in force to the sidecars.
func (s *Server) configurationChanged() {
	if s.watchServer != nil {
		s.watchServer.Publish()
	}
}

func (s *Server) run(ctx context.Context, reload <-chan *settings.Settings) error {
	// The machine keeps serving while it transfers leadership, so its loops outlast ctx.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.watchSettings(running, reload)
	shareHolders := s.restoredShareHolders()
	s.watchServer = s.newWatchServer(shareHolders)
	failed, closeListeners, err := s.listen()
	if err != nil {
		return err
	}
	defer closeListeners()
	store, state, err := s.openIdentity(ctx)
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
	go s.keepShareHolders(running, slices.Clone(shareHolders))
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

// watchSettings applies reloaded settings until ctx ends: of them only the seeds, the addresses at
// which other machines may be found, can change.
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

// ownAddress is this machine's internal address.
func (s *Server) ownAddress() string { return s.settings.OwnInternalAddress() }

// now is the time since the start, by a steady clock.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// sleep waits and says whether it did, false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
