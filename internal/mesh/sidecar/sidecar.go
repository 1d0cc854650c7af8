// Package sidecar is a sidecar of the mesh: the way out for requests that begin on its machine, the gate for those that are for the upstream beside it, and what it tells the core and
// hears from it. It wires; decisions are the balancer's and the gate's.
package sidecar

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/api"
	"caperarch/internal/mesh/balancer"
	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/gate"
	"caperarch/internal/mesh/headers"
	"caperarch/internal/mesh/logring"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/watch"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/transport/http1"
	"caperarch/policy"

	"go.uber.org/zap"
)

const (
	// dialTimeout is how long a connection may take to come up, twice the way between zones and more. A machine that is gone says nothing.
	dialTimeout = 300 * time.Millisecond
	// silence is when a machine that acknowledges nothing is given up: what was sent to it may have run, and its client is told so at once.
	idleTimeout = 1200 * time.Millisecond
	// peerIdle and upstreamIdle are how long kept connections are used again; upstreams close theirs after 10 s as a rule.
	gateConnIdle     = 60 * time.Second
	upstreamConnIdle = 8 * time.Second
	// meetPause and meetMost bound the time between two looks for the upstream beside us.
	minDiscoveryBackoff = 20 * time.Millisecond
	maxDiscoveryBackoff = 2 * time.Second
	// unknownMembers is how many sidecars there are taken to be until the core says.
	assumedSidecars = 64
	// mostSends bounds attempts of one request, turned back ones included.
	maxSends = 12
	// reserved descriptors are for what is neither a client's connection nor one to others.
	reservedFiles = 300
	// mostHeld bounds requests held at once, on each of the two ways.
	maxInFlight = 400
	// bodyBytes bounds the bodies held at once, on each of the two ways.
	maxBufferedBodyBytes = 16 << 20
	// gateHeadBytes bounds a head at the gate, well over what configurations allow clients: an endless one must not hold memory.
	maxInboundHeadBytes = 1 << 20
	// lingerShare and drainShare of the grace period: new clients still come for so long, and what is held has so long to end after that.
	lingerFraction = 0.37
	drainFraction  = 0.38
	// endTime is what is left of it for what a front waits beyond that, and for the word that this sidecar has left.
	shutdownReserve = time.Second
)

// drainTimes are how long new clients still come after a SIGTERM, and how long what is held has to end after that: the process ends by itself within the grace period.
func drainTimes(grace time.Duration) (linger, longest time.Duration) {
	linger = time.Duration(lingerFraction * float64(grace))
	return linger, max(0, min(time.Duration(drainFraction*float64(grace)), grace-linger-shutdownReserve))
}

// Sidecar is a running sidecar.
type Sidecar struct {
	settings    *settings.Settings
	clock       clock.Clock
	log         *zap.Logger
	client      *http.Client
	config      atomic.Pointer[config.Snapshot]
	endpoints   *endpoints
	quota       *quotaClient
	watchClient *watch.Client
	incarnation uint64

	inbound        *inbound
	gateEngine     *engine.Engine // the gate's
	balancerEngine *engine.Engine // the balancer's
	draining       atomic.Bool
	configMu       sync.Mutex // over taking configurations
	publishMu      sync.Mutex // over own
}

// Run is a sidecar's life: it serves until ctx ends, and then ends what it has taken.
func Run(ctx context.Context, set *settings.Settings, reload <-chan *settings.Settings, log *zap.Logger) error {
	b := &Sidecar{settings: set, clock: clock.New(), log: log, client: rpc.NewClient(dialTimeout), incarnation: uint64(time.Now().UnixNano())}
	b.config.Store(config.Empty())
	zones := make([]string, 0, len(set.Network.Zones))
	for z := range set.Network.Zones {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	b.endpoints = newEndpoints(zones, set.Network.ListenAddresses.Inbound)
	b.watchClient = watch.NewClient(watch.ClientConfig{
		Node: set.Self.NodeName, Incarnation: b.incarnation, Zone: set.Self.Zone, Seeds: set.SeedAddresses(), HTTP: b.client, State: b.currentLease, ConfigVersion: func() int64 { return b.config.Load().Version() },
		OnConfig: b.applyConfig, OnRegistry: b.applyRegistry, Log: log,
	})
	var err error
	if b.quota, err = newQuotaClient(set.Guarantees.Bounds, b.clock, set.Self.NodeName, b.endpoints.serviceName, b.sidecarCount, b.watchClient.Peers, b.client, log); err != nil {
		return err
	}
	return b.run(ctx, reload)
}

func (s *Sidecar) run(ctx context.Context, reload <-chan *settings.Settings) error {
	addresses, logs := s.settings.Network.ListenAddresses, logring.NewSlog(s.log)
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(s.settings.Self.NodeName))
	files := s.settings.Self.Limits.MaxOpenFiles - reservedFiles
	links := http1.New(http1.Config{
		Clock: s.clock, DialTimeout: dialTimeout, ConnIdle: gateConnIdle, MostConns: files / 4, Rest: -1, Silence: idleTimeout,
		Dialect: gateDialect(),
	})
	s.inbound = &inbound{clock: s.clock}
	beside := http1.New(http1.Config{
		Clock: s.clock, DialTimeout: dialTimeout, ConnIdle: upstreamConnIdle, MostConns: files / 8,
		Dialect: s.inbound.upstreamDialect(),
	})
	var err error
	s.balancerEngine, err = engine.New(engine.Config{
		Policy: policy.Config{MaxAttempts: maxSends}, Seed: seed.Sum64(), Clock: s.clock, Transport: gateTransport{links}, Log: logs, Silent: true, Sleeps: true,
		Module: func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
			return balancer.New(balancer.Config{Zone: s.endpoints.zones[s.settings.Self.Zone], Members: s.sidecarCount, RetryBudget: s.quota}, host), nil
		},
	})
	if err != nil {
		return err
	}
	s.gateEngine, err = engine.New(engine.Config{
		Policy: policy.Config{MaxAttempts: 1}, Seed: seed.Sum64(), Clock: s.clock, Transport: beside, Log: logs, Silent: true, Sleeps: true,
		Module: func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
			s.inbound.gate = gate.New(host)
			return s.inbound.gate, nil
		},
	})
	if err != nil {
		return err
	}
	linger, longest := drainTimes(s.settings.Guarantees.Bounds.GracePeriod)
	out := &outbound{b: s, callerField: []string{s.settings.Self.ServiceName}}
	outFront := fronthttp1.New(fronthttp1.Config{
		Route: fronthttp1.To(&fronthttp1.Target{Engine: s.balancerEngine, MostOpen: maxInFlight, BodyBytes: maxBufferedBodyBytes}), Dialect: out.frontDialect(), Conns: fronthttp1.BoundsAtRest(files * 3 / 8), Limits: s.clientLimits,
		Longest: longest, Linger: linger, Log: logs,
	}, s.clock)
	inFront := fronthttp1.New(fronthttp1.Config{
		Route: fronthttp1.To(&fronthttp1.Target{Engine: s.gateEngine, MostOpen: maxInFlight, BodyBytes: maxBufferedBodyBytes}), Dialect: s.inbound.frontDialect(), Conns: fronthttp1.BoundsOf(files/4, files/4), Limits: inboundLimits,
		Longest: longest, Linger: linger, Log: logs,
	}, s.clock)

	life, stop := context.WithCancel(context.Background())
	defer stop()
	go s.balancerEngine.Run(life, call.Listing{})
	go s.gateEngine.Run(life, call.Listing{})
	failed := make(chan error, 5)
	for address, serve := range map[string]func(net.Listener) error{
		addresses.Inbound: inFront.Serve, addresses.Outbound: outFront.Serve, addresses.ControlPlane: serveHTTP(s.controlHandler()), addresses.Readiness: serveHTTP(s.readinessHandler()),
	} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errs.Wrap(err, errs.Internal, "listen at %s", address)
		}
		go func() { failed <- serve(l) }()
	}
	go s.watchClient.Run(life)
	go s.quota.run(life)
	go s.discoverUpstream(life)
	s.log.Info("serving", zap.String("node", s.settings.Self.NodeName), zap.Strings("seeds", s.settings.SeedAddresses()))
	for {
		select {
		case err := <-failed:
			return err
		case set := <-reload:
			s.watchClient.SetSeeds(set.SeedAddresses())
		case <-ctx.Done():
			return s.drain(outFront, inFront)
		}
	}
}

// drain ends without losing a request: others are told first, clients still come for a while, and what was taken is answered.
func (s *Sidecar) drain(fronts ...*fronthttp1.Front) error {
	s.draining.Store(true)
	s.watchClient.RenewNow()
	var all sync.WaitGroup
	for _, f := range fronts {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := f.Drain(); err != nil {
				s.log.Warn("requests were left", zap.Error(err))
			}
		}()
	}
	all.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	s.watchClient.Leave(ctx)
	return nil
}

func serveHTTP(h http.Handler) func(net.Listener) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	return s.Serve
}

// limits bound clients, by the configuration in force.
func (s *Sidecar) clientLimits() fronthttp1.Limits {
	l := s.config.Load().Limits()
	return fronthttp1.Limits{HeadBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeadTime: l.HeaderTimeout, IdleTime: l.IdleTimeout}
}

// gateLimits bound other sidecars, which bound their clients: a head that one of them took, under a newer configuration than ours maybe, is longer by the fields that it has set.
func inboundLimits() fronthttp1.Limits { return fronthttp1.Limits{HeadBytes: maxInboundHeadBytes} }

// network reaches gates: an address is that of a sidecar's inbound side, with the instance beside it that a request is for.
type gateTransport struct{ *http1.Transport }

// Server is the upstream at such an address.
func (n gateTransport) Server(address string) call.Server {
	at, instance, _ := strings.Cut(address, " ")
	return n.ServerWith(at, h1.Field{Name: headers.Target, Value: instance})
}

// toGates is how attempts go to gates.
func gateDialect() *http1.Dialect {
	return &http1.Dialect{
		Timeout: headers.Timeout, Mine: headers.MatchesAttempt, Judge: classifyGateResponse, SignField: headers.SendIDField, Sign: headers.NewSendIDSource().Next,
	}
}

// toUpstream is how attempts go to the upstream beside the gate.
func (i *inbound) upstreamDialect() *http1.Dialect {
	return &http1.Dialect{Timeout: headers.Timeout, Mine: headers.MatchesAttempt, Judge: i.classifyUpstreamResponse}
}

// judgeGate says what a gate's answer proves.
func classifyGateResponse(res *http.Response) (policy.Ending, policy.Load) {
	ending, load := headers.ClassifyGateResponse(res)
	headers.StripGateLoad(res.Header)
	return ending, load
}

// members is how many sidecars share quotas and budgets: the largest number lately, or, as long as the core has told none, more than are likely, as each would take the whole for its own.
func (s *Sidecar) sidecarCount() int {
	if n := s.watchClient.PeakMembers(); n > 0 {
		return n
	}
	return assumedSidecars
}

// lease is what this sidecar tells the core.
func (s *Sidecar) currentLease() registry.Lease {
	l := registry.Lease{Zone: s.settings.Self.Zone, Applied: s.config.Load().Version(), Leaving: s.draining.Load(), Upstream: s.endpoints.localUpstream()}
	if l.Upstream != nil && l.Leaving && l.Upstream.State == registry.Ready {
		l.Upstream.State = registry.Draining // no gate will be here soon
	}
	return l
}

// catalogue takes news of the upstreams.
func (s *Sidecar) applyRegistry(full bool, upserts []registry.Upstream, removals []string) {
	if s.endpoints.apply(full, upserts, removals) {
		s.publishUpstream() // a core machine took its word, as we were not there
	}
	s.balancerEngine.List(s.endpoints.balancerListing())
}

// ConfigUpdate is a change of the configuration as it is pushed: the changes that lead on from a version, or a whole charter.
type ConfigUpdate struct {
	Version int64             `json:"version"`
	Changes []json.RawMessage `json:"changes,omitempty"`
	Full    json.RawMessage   `json:"whole,omitempty"`
}

// take takes a configuration that is pushed; false: the whole is needed. Nothing older than what holds is ever taken.
func (s *Sidecar) applyConfig(frame json.RawMessage) bool {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	next, err := ApplyUpdate(s.config.Load(), frame)
	if err != nil {
		s.log.Warn("a configuration that does not follow", zap.Error(err))
		return false
	}
	s.config.Store(next)
	s.quota.configure(next)
	s.log.Info("configuration", zap.Int64("version", next.Version()))
	s.watchClient.RenewNow()
	return true
}

// readiness tells whether clients are to come here: there is a configuration and an upstream, and no stop was asked for.
func (s *Sidecar) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if s.draining.Load() || s.config.Load().Version() == 0 || !s.endpoints.hasReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// control is what the upstream beside us calls, and operators: their calls are passed on.
func (s *Sidecar) controlHandler() http.Handler {
	mux := http.NewServeMux()
	api.RegisterUpstreamRoutes(mux, s)
	api.RegisterOperatorRoutes(mux, api.Forwarder{Client: s.client, To: s.watchClient.Peers})
	return mux
}

// Heartbeat takes a heartbeat of the upstream beside us. It is settled here, also with the core gone: nothing comes to the upstream but through our gate.
func (s *Sidecar) Heartbeat(u registry.Upstream) error {
	if u.Address != s.settings.Self.AppAddress {
		s.log.Warn("a beat of another address", zap.String("instance", u.Instance), zap.String("address", u.Address))
		return errs.New(errs.Invalid, "address %s is not beside this sidecar", u.Address)
	}
	u.Node, u.Zone, u.Region = s.settings.Self.NodeName, s.settings.Self.Zone, s.settings.Self.Region
	before := s.endpoints.localUpstream()
	taken := s.endpoints.recordHeartbeat(u) // else it has said something later before
	if taken && (before == nil || before.Instance != u.Instance || before.State != u.State || before.Slots != u.Slots) {
		s.publishUpstream()
	}
	if u.State != registry.Ready {
		s.gateEngine.Flush() // sent once more, it may come while the gate has yet to hear of the first
	}
	return nil
}

// Deregister takes that an instance beside us has ended.
func (s *Sidecar) Deregister(instance string) error {
	s.endpoints.deregister(instance)
	s.publishUpstream()
	return nil
}

// meet asks the upstream beside us who it is, until it has told by itself: its next beat may be more than a second away, and requests for it would be turned back until then.
func (s *Sidecar) discoverUpstream(ctx context.Context) {
	for pause := minDiscoveryBackoff; s.endpoints.localUpstream() == nil; pause = min(2*pause, maxDiscoveryBackoff) {
		if s.config.Load().Version() > 0 { // it tells the path
			if u, ok := s.queryUpstream(ctx); ok && s.endpoints.adoptDiscovered(u) {
				s.publishUpstream()
				return
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// introduced asks once.
func (s *Sidecar) queryUpstream(ctx context.Context) (registry.Upstream, bool) {
	path := "/health"
	if s := s.config.Load().Service(s.settings.Self.ServiceName); s != nil && s.HealthPath != "" {
		path = s.HealthPath
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.settings.Self.AppAddress+path, nil)
	if err != nil {
		return registry.Upstream{}, false
	}
	r.Close = true
	answer, err := s.client.Do(r)
	if err != nil {
		return registry.Upstream{}, false
	}
	answer.Body.Close()
	u := registry.Upstream{
		Instance: answer.Header.Get(headers.Instance), Service: s.settings.Self.ServiceName, Address: s.settings.Self.AppAddress, Node: s.settings.Self.NodeName, Zone: s.settings.Self.Zone, Region: s.settings.Self.Region,
		Slots: headers.ParseSlots(answer.Header.Get(headers.Load)),
	}
	return u, answer.StatusCode == http.StatusOK && u.Instance != "" && u.Slots > 0
}

// own has the gate, our own way out and the core know of the upstream beside us as it is now. One call after the other: what an earlier one read must not be told behind a later one's.
func (s *Sidecar) publishUpstream() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	if u := s.endpoints.localUpstream(); u != nil {
		s.inbound.instance.Store(&u.Instance)
	}
	s.gateEngine.List(s.endpoints.gateListing(s.settings.Self.AppAddress))
	s.gateEngine.Flush() // what it said holds before it is acknowledged
	s.balancerEngine.List(s.endpoints.balancerListing())
	s.watchClient.RenewNow()
}

// ApplyUpdate is the charter after a frame, applied on the one that holds.
func ApplyUpdate(current *config.Snapshot, frame json.RawMessage) (*config.Snapshot, error) {
	var update ConfigUpdate
	if err := json.Unmarshal(frame, &update); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "frame")
	}
	if update.Version <= current.Version() {
		return current, nil
	}
	next, err := current, error(nil)
	if update.Full != nil {
		if next, err = config.Decode(update.Full); err != nil {
			return nil, err
		}
	}
	for _, raw := range update.Changes {
		change, err := config.DecodeChange(raw)
		if err != nil {
			return nil, err
		}
		if change.Version() <= next.Version() {
			continue
		}
		if next, _, err = next.Apply(change); err != nil {
			return nil, err
		}
	}
	if next.Version() != update.Version {
		return nil, errs.New(errs.Invalid, "a frame of version %d leads to %d", update.Version, next.Version())
	}
	return next, nil
}
