// Package controlplane is a core machine of the mesh: it holds the configuration on its disk, as one of those that agree on it, and tells the sidecars that keep to it.
package controlplane

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/api"
	"caperarch/internal/mesh/config"
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
	// changeTime bounds a change: operators go on to another machine after a second of silence, longer for large bodies.
	changeTime = 900 * time.Millisecond
	// appliedTime is how long an operator's answer waits for sidecars that have not applied the change: it is settled without them, and they are told to within the bound.
	appliedTime = 350 * time.Millisecond
	// openPause is between tries to open a disk that refuses.
	openPause = 300 * time.Millisecond
	// proposePath is where the sequencer takes changes that reached another member, and readPath where it confirms that what is known is the newest.
	proposePath = "/mesh/propose"
	describe    = "/mesh/describe"
)

// Server is a running core machine.
type Server struct {
	set     *settings.Settings
	log     *zap.Logger
	client  *http.Client
	start   time.Time
	roster  *roster
	node    atomic.Pointer[replication.Node] // nil: not yet, or a reader
	news    atomic.Pointer[watch.Client]     // of a reader
	hub     *watch.Server
	machine *stateMachine

	mu     sync.Mutex
	dealer *quota.Dealer
}

// Run is a core machine's life until ctx ends.
func Run(ctx context.Context, set *settings.Settings, log *zap.Logger) error {
	s := &Server{set: set, log: log, client: rpc.NewClient(dialTimeout), start: time.Now(), roster: newRoster()}
	window := set.Guarantees.Bounds.QuotaWindow
	if window <= 0 {
		window = time.Second
	}
	var err error
	if s.dealer, err = quota.NewDealer(quota.Rules{Window: window, Overage: set.Guarantees.Bounds.QuotaOverage, Slack: set.Guarantees.Bounds.QuotaSlack}); err != nil {
		return err
	}
	s.machine = newStateMachine(log, func() {
		if s.hub != nil { // else the log is being read back
			s.hub.Publish()
		}
	})
	return s.run(ctx)
}

// open opens the disk; one that refuses is tried again until ctx ends. Without members it is one that has been founded, and what is damaged is an error.
func (s *Server) open(ctx context.Context, members []string, first bool) (*replication.Store, replication.State, error) {
	for {
		var store *replication.Store
		var state replication.State
		var err error
		if members == nil {
			store, state, err = replication.Open(s.set.Self.DataDirectory, nil, false)
		} else {
			store, state, err = replication.OpenOrForget(s.set.Self.DataDirectory, members, first, s.log)
		}
		if err == nil || members == nil && replication.Damaged(err) {
			return store, state, err
		}
		s.log.Warn("the disk refuses", zap.Error(err))
		select {
		case <-time.After(openPause):
		case <-ctx.Done():
			return nil, replication.State{}, err
		}
	}
}

func (s *Server) run(ctx context.Context) error {
	life, stop := context.WithCancel(ctx)
	defer stop()
	self := s.set.Internal()
	s.hub = watch.NewServer(watch.ServerConfig{
		Self: self, Zone: s.set.Self.Zone, Epoch: uint64(s.start.UnixNano()), Peers: s.roster.all,
		Contact: s.contact, Leader: func() string { id, _ := s.sequencer(); return id }, ConfigSource: s.machine, HTTP: s.client, Log: s.log,
	})
	inside, outside := http.NewServeMux(), http.NewServeMux()
	s.serveFounding(inside)
	replication.Register(inside, s.node.Load)
	s.hub.Register(inside)
	rpc.Handle(inside, sidecar.DealPath, dealLimit, s.deal)
	for _, whole := range []bool{true, false} {
		rpc.Raw(inside, proposeAt(whole), api.ChangeLimit, func(r *http.Request, body []byte) (*api.Taken, error) {
			change, err := read(whole, body)
			if err != nil {
				return nil, err
			}
			return s.propose(r.Context(), change)
		})
	}
	rpc.HandleGet(inside, describe, func(r *http.Request) (*json.RawMessage, error) { return s.confirm(r.Context()) })
	for _, mux := range []*http.ServeMux{inside, outside} { // sidecars pass operators' calls on inside
		api.Upstreams(mux, s)
		api.Operators(mux, s)
		s.inspect(mux)
	}
	failed := make(chan error, 2)
	for address, mux := range map[string]*http.ServeMux{self: inside, s.set.Network.ListenAddresses.ControlPlane: outside} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errs.Wrap(err, errs.Internal, "listen at %s", address)
		}
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 16 << 10}
		defer server.Close()
		go func() { failed <- server.Serve(l) }()
	}
	store, state, err := s.found(life)
	if err != nil {
		return err
	}
	if store == nil {
		s.read(life)
	} else {
		end, err := s.hold(store, state)
		if err != nil {
			return err
		}
		defer end()
	}
	go s.hub.Run(life)
	s.log.Info("serving", zap.String("address", self), zap.Strings("members", s.roster.known().Members), zap.Bool("reader", store == nil), zap.Bool("remembers", state.Hard.Remembers))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	}
}

// hold has this machine hold the log, until what it returns is called.
func (s *Server) hold(store *replication.Store, state replication.State) (end func(), err error) {
	post := replication.NewPost(s.set.Internal(), s.client, func(from string, msgs []replication.Message) {
		if node := s.node.Load(); node != nil {
			node.Deliver(from, msgs)
		}
	}, s.log)
	node, err := replication.Start(replication.NodeConfig{
		ID: s.set.Internal(), Disk: store, State: state, Send: post.Send, Apply: s.machine.apply, Restore: s.machine.restore, Snapshot: s.machine.snapshot, Log: s.log,
	})
	if err != nil {
		post.Close()
		return nil, err
	}
	s.node.Store(node)
	return func() {
		_ = node.Close()
		post.Close()
	}, nil
}

// read has this machine follow the configuration, as sidecars do.
func (s *Server) read(ctx context.Context) {
	news := watch.NewClient(watch.ClientConfig{
		Node: s.set.Self.NodeName, Life: uint64(s.start.UnixNano()), Zone: s.set.Self.Zone, Seeds: s.roster.known().Members, HTTP: s.client,
		State:         func() registry.Lease { return registry.Lease{Zone: s.set.Self.Zone, Applied: s.machine.Current()} },
		ConfigVersion: s.machine.Current, OnConfig: func(frame json.RawMessage) bool {
			defer func() { s.news.Load().Poke() }()
			return s.machine.follow(frame)
		}, OnRegistry: func(bool, []registry.Upstream, []string) {},
		Of: func(address string) bool { return slices.Contains(s.roster.known().Members, address) }, RenewEvery: readerRenewEvery, Log: s.log,
	})
	s.news.Store(news)
	go news.Run(ctx)
	go s.announce(ctx)
}

// sequencer is the member that leads, as far as is known here, and its view.
func (s *Server) sequencer() (string, uint64) {
	if node := s.node.Load(); node != nil {
		return node.Sequencer()
	}
	f := s.roster.known()
	return f.Sequencer, f.View
}

// inContact says whether what is known here is what a majority holds.
func (s *Server) inContact() bool {
	if node := s.node.Load(); node != nil {
		return node.InContact()
	}
	news := s.news.Load()
	return news != nil && news.Connected()
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Change takes an operator's change. What can be seen to be wrong by itself is refused here; all else is settled in the log's order.
func (s *Server) Change(r *http.Request, whole bool, body []byte) (*api.Taken, error) {
	change, err := read(whole, body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTime+time.Duration(len(body))*time.Microsecond)
	defer cancel()
	sequencer, _ := s.sequencer()
	switch sequencer {
	case "":
		return nil, errs.New(errs.NoQuorum, "no sequencer is known")
	case s.set.Internal():
		return s.propose(ctx, change)
	}
	return rpc.Post[api.Taken](ctx, s.client, "http://"+sequencer+proposeAt(whole), body)
}

// proposeAt is where the sequencer takes a change of such a kind.
func proposeAt(whole bool) string {
	if whole {
		return proposePath + "/whole"
	}
	return proposePath + "/part"
}

func read(whole bool, body []byte) (*config.Change, error) {
	if whole {
		return config.ReadReplace(body)
	}
	return config.ReadUpdate(body)
}

// propose puts a change into the log and waits until it is settled, and, for a while, until sidecars have it.
func (s *Server) propose(ctx context.Context, change *config.Change) (*api.Taken, error) {
	node := s.node.Load()
	if node == nil {
		return nil, errs.New(errs.NotSequencer, "no log is held here")
	}
	number := rand.Uint64()
	told := s.machine.expect(number)
	defer s.machine.forget(number)
	if _, err := node.Propose(ctx, command(number, change)); err != nil {
		return nil, err
	}
	version, err := await(ctx, told)
	if err != nil {
		return nil, err
	}
	within, cancel := context.WithTimeout(ctx, appliedTime)
	defer cancel()
	if behind := s.hub.WaitApplied(within, version); behind > 0 {
		s.log.Info("acknowledged before all have it", zap.Int64("version", version), zap.Int("behind", behind))
	}
	return &api.Taken{ConfigVersion: version}, nil
}

// Describe is the configuration, as the sequencer has it once it knows that no other is one.
func (s *Server) Describe(r *http.Request) (*json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTime)
	defer cancel()
	sequencer, _ := s.sequencer()
	switch sequencer {
	case "":
		return nil, errs.New(errs.NoQuorum, "no sequencer is known")
	case s.set.Internal():
		return s.confirm(ctx)
	}
	return rpc.Get[json.RawMessage](ctx, s.client, "http://"+sequencer+describe)
}

func (s *Server) confirm(ctx context.Context) (*json.RawMessage, error) {
	node := s.node.Load()
	if node == nil {
		return nil, errs.New(errs.NotSequencer, "no log is held here")
	}
	if err := node.Read(ctx); err != nil {
		return nil, err
	}
	if err := s.machine.idle(ctx); err != nil {
		return nil, err
	}
	document := s.machine.current().Document()
	return &document, nil
}

// Beat takes a heartbeat that reached a core machine, as the sidecar beside its upstream did not take it.
func (s *Server) Beat(u registry.Upstream) error {
	if host, _, err := net.SplitHostPort(u.Address); err == nil {
		for _, known := range s.hub.Upstreams() {
			if h, _, err := net.SplitHostPort(known.Inbound); err == nil && h == host {
				u.Node, u.Inbound = known.Node, known.Inbound
			}
		}
	}
	return s.hub.Beat(u)
}

// Deregister takes that an instance has ended.
func (s *Server) Deregister(instance string) error {
	return s.hub.Beat(registry.Upstream{Instance: instance, State: registry.Gone})
}
