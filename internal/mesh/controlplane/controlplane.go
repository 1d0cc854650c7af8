// Package controlplane is a core machine of the mesh: it holds the configuration on its disk, as one of those that agree on it, and tells the sidecars that keep to it.
package controlplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/api"
	"caperarch/internal/mesh/cluster"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/quota"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/replication"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/sidecar"
	"caperarch/internal/mesh/watch"

	"go.uber.org/zap"
)

const (
	// dialTimeout is how long a connection to another machine may take to come up.
	dialTimeout = 300 * time.Millisecond
	// openRetryInterval is between tries to open a disk that refuses.
	openRetryInterval = 300 * time.Millisecond
)

// Server is a running core machine.
type Server struct {
	settings     *settings.Settings
	log          *zap.Logger
	client       *http.Client
	startedAt    time.Time
	memberList   *cluster.MemberList
	node         atomic.Pointer[replication.Node] // nil: not yet
	watchServer  *watch.Server
	stateMachine *stateMachine

	mu        sync.Mutex
	allocator *quota.Allocator
}

// Run is a core machine's life until ctx ends. Settings that are written anew come by reload.
func Run(ctx context.Context, set *settings.Settings, reload <-chan *settings.Settings, log *zap.Logger) error {
	own := cluster.Announcement{ID: replication.NewMemberID(set.OwnInternalAddress(), ""), Zone: set.Self.Zone}
	s := &Server{settings: set, log: log, client: rpc.NewClient(dialTimeout), startedAt: time.Now(), memberList: cluster.NewMemberList(own, set.SeedAddresses())}
	window := set.Guarantees.Bounds.QuotaWindow
	if window <= 0 {
		window = time.Second
	}
	var err error
	if s.allocator, err = quota.NewAllocator(quota.Rules{Window: window, Overage: set.Guarantees.Bounds.QuotaOverage, Slack: set.Guarantees.Bounds.QuotaSlack}); err != nil {
		return err
	}
	s.stateMachine = newStateMachine(log, func() {
		if s.watchServer != nil { // else the log is being read back
			s.watchServer.Publish()
		}
	})
	return s.run(ctx, reload)
}

func (s *Server) run(ctx context.Context, reload <-chan *settings.Settings) error {
	// The machine goes on serving while it hands over, so its life outlasts ctx.
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go s.watchSettings(life, reload)
	s.watchServer = watch.NewServer(watch.ServerConfig{
		Self: s.settings.OwnInternalAddress(), Zone: s.settings.Self.Zone, Epoch: uint64(s.startedAt.UnixNano()),
		Peers:   func() []string { return s.memberList.Addresses(s.now()) },
		Contact: s.contact,
		Leader:  func() string { address, _ := s.leader(); return address },
		HTTP:    s.client, ConfigSource: s.stateMachine, Log: s.log,
	})
	failed, closeListeners, err := s.serve()
	if err != nil {
		return err
	}
	defer closeListeners()
	store, state, err := s.identify(ctx)
	if err != nil {
		return err
	}
	node, end, err := s.startReplica(life, store, state)
	if err != nil {
		return err
	}
	defer end()
	go s.watchServer.Run(life)
	s.log.Info("serving", zap.String("member", string(state.ID)), zap.Any("voters", node.Status().Membership.Voters))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		s.leave(node)
		return nil
	}
}

// serve listens at the machine's two addresses: one for the mesh itself, one for operators and upstreams.
func (s *Server) serve() (failed <-chan error, closeAll func(), err error) {
	inside, outside := http.NewServeMux(), http.NewServeMux()
	s.serveAnnouncements(inside)
	replication.RegisterRoutes(inside, s.node.Load)
	s.watchServer.Register(inside)
	rpc.Handle(inside, sidecar.AllocatePath, maxAllocateBytes, s.allocate)
	s.serveForwardedRequests(inside)
	for _, mux := range []*http.ServeMux{inside, outside} { // sidecars pass operators' calls on inside
		api.RegisterUpstreamRoutes(mux, s)
		api.RegisterOperatorRoutes(mux, s)
		s.inspect(mux)
	}
	var servers []*http.Server
	closeAll = func() {
		for _, server := range servers {
			_ = server.Close()
		}
	}
	ended := make(chan error, 2)
	for address, mux := range map[string]*http.ServeMux{s.settings.OwnInternalAddress(): inside, s.settings.Network.ListenAddresses.ControlPlane: outside} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			closeAll()
			return nil, nil, errs.Wrap(err, errs.Internal, "listen at %s", address)
		}
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 16 << 10}
		servers = append(servers, server)
		go func() { ended <- server.Serve(l) }()
	}
	return ended, closeAll, nil
}

// hold has this machine hold the log, until what it returns is called.
func (s *Server) startReplica(ctx context.Context, store *replication.Store, state replication.State) (*replication.Node, func(), error) {
	own := s.memberList.Local()
	own.ID, own.Cluster = state.ID, state.Cluster
	s.memberList.SetLocal(own)
	transport := replication.NewTransport(state.ID, s.client, func(from replication.MemberID, msgs []replication.Message) {
		if node := s.node.Load(); node != nil {
			node.Deliver(from, msgs)
		}
	}, s.log)
	node, err := replication.StartNode(replication.NodeConfig{
		Storage: store, State: state, Send: transport.Send, Apply: s.stateMachine.apply, Restore: s.stateMachine.restore,
		Snapshot: s.stateMachine.snapshot, AppliedIndex: s.stateMachine.appliedIndex, Logger: s.log,
	})
	if err != nil {
		transport.Close()
		return nil, nil, err
	}
	s.node.Store(node)
	s.memberList.SetMembership(node.Status().Membership)
	go s.announcePeriodically(ctx, node)
	go s.manageVoters(ctx, node)
	return node, func() {
		_ = node.Close()
		transport.Close()
	}, nil
}

// leader is the address of the leader, as far as is known here, and its term.
func (s *Server) leader() (address string, term uint64) {
	node := s.node.Load()
	if node == nil {
		return "", 0
	}
	status := node.Status()
	return status.Leader.Address(), uint64(status.Term)
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// Heartbeat takes a heartbeat that reached a core machine, as the sidecar beside its upstream did not take it.
func (s *Server) Heartbeat(u registry.Upstream) error {
	if host, _, err := net.SplitHostPort(u.Address); err == nil {
		for _, known := range s.watchServer.Upstreams() {
			if h, _, err := net.SplitHostPort(known.Inbound); err == nil && h == host {
				u.Node, u.Inbound = known.Node, known.Inbound
			}
		}
	}
	return s.watchServer.Heartbeat(u)
}

// Deregister takes that an instance has ended.
func (s *Server) Deregister(instance string) error {
	return s.watchServer.Heartbeat(registry.Upstream{Instance: instance, State: registry.Deregistered})
}
