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

	"caperarch/internal/call"
	"caperarch/internal/clock"
	"caperarch/internal/engine"
	fronthttp1 "caperarch/internal/front/http1"
	"caperarch/internal/h1"
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
	"caperarch/internal/transport/http1"
	"caperarch/policy"

	"go.uber.org/zap"
)

const (
	// dialTimeout is how long a connection may take to come up, twice the way between zones and more. A machine that is gone says nothing.
	dialTimeout = 300 * time.Millisecond
	// silence is when a machine that acknowledges nothing is given up: what was sent to it may have run, and its client is told so at once.
	silence = 1200 * time.Millisecond
	// peerIdle and upstreamIdle are how long kept connections are used again; upstreams close theirs after 10 s as a rule.
	peerIdle     = 60 * time.Second
	upstreamIdle = 8 * time.Second
	// meetPause and meetMost bound the time between two looks for the upstream beside us.
	meetPause = 20 * time.Millisecond
	meetMost  = 2 * time.Second
	// unknownMembers is how many sidecars there are taken to be until the core says.
	unknownMembers = 64
	// mostSends bounds attempts of one request, turned back ones included.
	mostSends = 12
	// reserved descriptors are for what is neither a client's connection nor one to others.
	reserved = 300
	// mostHeld bounds requests held at once, on each of the two ways.
	mostHeld = 400
	// bodyBytes bounds the bodies held at once, on each of the two ways.
	bodyBytes = 16 << 20
	// gateHeadBytes bounds a head at the gate, well over what configurations allow clients: an endless one must not hold memory.
	gateHeadBytes = 1 << 20
	// lingerShare and drainShare of the grace period: new clients still come for so long, and what is held has so long to end after that.
	lingerShare = 0.37
	drainShare  = 0.38
	// endTime is what is left of it for what a front waits beyond that, and for the word that this sidecar has left.
	endTime = time.Second
)

// drainTimes are how long new clients still come after a SIGTERM, and how long what is held has to end after that: the process ends by itself within the grace period.
func drainTimes(grace time.Duration) (linger, longest time.Duration) {
	linger = time.Duration(lingerShare * float64(grace))
	return linger, max(0, min(time.Duration(drainShare*float64(grace)), grace-linger-endTime))
}

// Sidecar is a running sidecar.
type Sidecar struct {
	set       *settings.Settings
	clock     clock.Clock
	log       *zap.Logger
	client    *http.Client
	charter   atomic.Pointer[config.Snapshot]
	endpoints *endpoints
	quota     *quotaClient
	news      *watch.Client
	life      uint64

	in       *inbound
	inner    *engine.Engine // the gate's
	outer    *engine.Engine // the balancer's
	stopping atomic.Bool
	mu       sync.Mutex // over taking configurations
	telling  sync.Mutex // over own
}

// Run is a sidecar's life: it serves until ctx ends, and then ends what it has taken.
func Run(ctx context.Context, set *settings.Settings, reload <-chan *settings.Settings, log *zap.Logger) error {
	b := &Sidecar{set: set, clock: clock.New(), log: log, client: rpc.NewClient(dialTimeout), life: uint64(time.Now().UnixNano())}
	b.charter.Store(config.Empty())
	zones := make([]string, 0, len(set.Network.Zones))
	for z := range set.Network.Zones {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	b.endpoints = newEndpoints(zones, set.Network.ListenAddresses.Inbound)
	b.news = watch.NewClient(watch.ClientConfig{
		Node: set.Self.NodeName, Incarnation: b.life, Zone: set.Self.Zone, Seeds: set.Seeds(), HTTP: b.client, State: b.lease, ConfigVersion: func() int64 { return b.charter.Load().Version() },
		OnConfig: b.take, OnRegistry: b.catalogue, Log: log,
	})
	var err error
	if b.quota, err = newQuota(set.Guarantees.Bounds, b.clock, set.Self.NodeName, b.endpoints.name, b.members, b.news.Peers, b.client, log); err != nil {
		return err
	}
	return b.run(ctx, reload)
}

func (b *Sidecar) run(ctx context.Context, reload <-chan *settings.Settings) error {
	addresses, logs := b.set.Network.ListenAddresses, logring.NewSlog(b.log)
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(b.set.Self.NodeName))
	files := b.set.Self.Limits.MaxOpenFiles - reserved
	links := http1.New(http1.Config{
		Clock: b.clock, DialTimeout: dialTimeout, ConnIdle: peerIdle, MostConns: files / 4, Rest: -1, Silence: silence,
		Dialect: toGates(),
	})
	b.in = &inbound{clock: b.clock}
	beside := http1.New(http1.Config{
		Clock: b.clock, DialTimeout: dialTimeout, ConnIdle: upstreamIdle, MostConns: files / 8,
		Dialect: b.in.toUpstream(),
	})
	var err error
	b.outer, err = engine.New(engine.Config{
		Policy: policy.Config{MaxAttempts: mostSends}, Seed: seed.Sum64(), Clock: b.clock, Transport: network{links}, Log: logs, Silent: true, Sleeps: true,
		Module: func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
			return balancer.New(balancer.Config{Zone: b.endpoints.zones[b.set.Self.Zone], Members: b.members, RetryBudget: b.quota}, host), nil
		},
	})
	if err != nil {
		return err
	}
	b.inner, err = engine.New(engine.Config{
		Policy: policy.Config{MaxAttempts: 1}, Seed: seed.Sum64(), Clock: b.clock, Transport: beside, Log: logs, Silent: true, Sleeps: true,
		Module: func(_ policy.Config, _ uint64, host policy.Host) (engine.Module, error) {
			b.in.gate = gate.New(host)
			return b.in.gate, nil
		},
	})
	if err != nil {
		return err
	}
	linger, longest := drainTimes(b.set.Guarantees.Bounds.GracePeriod)
	out := &outbound{b: b, caller: []string{b.set.Self.ServiceName}}
	outFront := fronthttp1.New(fronthttp1.Config{
		Route: fronthttp1.To(&fronthttp1.Target{Engine: b.outer, MostOpen: mostHeld, BodyBytes: bodyBytes}), Dialect: out.dialect(), Conns: fronthttp1.BoundsAtRest(files * 3 / 8), Limits: b.limits,
		Longest: longest, Linger: linger, Log: logs,
	}, b.clock)
	inFront := fronthttp1.New(fronthttp1.Config{
		Route: fronthttp1.To(&fronthttp1.Target{Engine: b.inner, MostOpen: mostHeld, BodyBytes: bodyBytes}), Dialect: b.in.dialect(), Conns: fronthttp1.BoundsOf(files/4, files/4), Limits: gateLimits,
		Longest: longest, Linger: linger, Log: logs,
	}, b.clock)

	life, stop := context.WithCancel(context.Background())
	defer stop()
	go b.outer.Run(life, call.Listing{})
	go b.inner.Run(life, call.Listing{})
	failed := make(chan error, 5)
	for address, serve := range map[string]func(net.Listener) error{
		addresses.Inbound: inFront.Serve, addresses.Outbound: outFront.Serve, addresses.ControlPlane: httpServer(b.control()), addresses.Readiness: httpServer(b.readiness()),
	} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return errs.Wrap(err, errs.Internal, "listen at %s", address)
		}
		go func() { failed <- serve(l) }()
	}
	go b.news.Run(life)
	go b.quota.run(life)
	go b.meet(life)
	b.log.Info("serving", zap.String("node", b.set.Self.NodeName), zap.Strings("seeds", b.set.Seeds()))
	for {
		select {
		case err := <-failed:
			return err
		case set := <-reload:
			b.news.SetSeeds(set.Seeds())
		case <-ctx.Done():
			return b.drain(outFront, inFront)
		}
	}
}

// drain ends without losing a request: others are told first, clients still come for a while, and what was taken is answered.
func (b *Sidecar) drain(fronts ...*fronthttp1.Front) error {
	b.stopping.Store(true)
	b.news.RenewNow()
	var all sync.WaitGroup
	for _, f := range fronts {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := f.Drain(); err != nil {
				b.log.Warn("requests were left", zap.Error(err))
			}
		}()
	}
	all.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	b.news.Leave(ctx)
	return nil
}

func httpServer(h http.Handler) func(net.Listener) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	return s.Serve
}

// limits bound clients, by the configuration in force.
func (b *Sidecar) limits() fronthttp1.Limits {
	l := b.charter.Load().Limits()
	return fronthttp1.Limits{HeadBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeadTime: l.HeaderTimeout, IdleTime: l.IdleTimeout}
}

// gateLimits bound other sidecars, which bound their clients: a head that one of them took, under a newer configuration than ours maybe, is longer by the fields that it has set.
func gateLimits() fronthttp1.Limits { return fronthttp1.Limits{HeadBytes: gateHeadBytes} }

// network reaches gates: an address is that of a sidecar's inbound side, with the instance beside it that a request is for.
type network struct{ *http1.Transport }

// Server is the upstream at such an address.
func (n network) Server(address string) call.Server {
	at, instance, _ := strings.Cut(address, " ")
	return n.ServerWith(at, h1.Field{Name: headers.Target, Value: instance})
}

// toGates is how attempts go to gates.
func toGates() *http1.Dialect {
	return &http1.Dialect{
		Timeout: headers.Timeout, Mine: headers.Mine, Judge: judgeGate, SignField: headers.SendField, Sign: headers.NewSends().Next,
	}
}

// toUpstream is how attempts go to the upstream beside the gate.
func (i *inbound) toUpstream() *http1.Dialect {
	return &http1.Dialect{Timeout: headers.Timeout, Mine: headers.Mine, Judge: i.judge}
}

// judgeGate says what a gate's answer proves.
func judgeGate(res *http.Response) (policy.Ending, policy.Load) {
	ending, load := headers.JudgeGate(res)
	headers.Bare(res.Header)
	return ending, load
}

// members is how many sidecars share quotas and budgets: the largest number lately, or, as long as the core has told none, more than are likely, as each would take the whole for its own.
func (b *Sidecar) members() int {
	if n := b.news.PeakMembers(); n > 0 {
		return n
	}
	return unknownMembers
}

// lease is what this sidecar tells the core.
func (b *Sidecar) lease() registry.Lease {
	l := registry.Lease{Zone: b.set.Self.Zone, Applied: b.charter.Load().Version(), Leaving: b.stopping.Load(), Upstream: b.endpoints.beside()}
	if l.Upstream != nil && l.Leaving && l.Upstream.State == registry.Ready {
		l.Upstream.State = registry.Draining // no gate will be here soon
	}
	return l
}

// catalogue takes news of the upstreams.
func (b *Sidecar) catalogue(full bool, upserts []registry.Upstream, removals []string) {
	if b.endpoints.take(full, upserts, removals) {
		b.own() // a core machine took its word, as we were not there
	}
	b.outer.List(b.endpoints.listing())
}

// ConfigUpdate is a change of the configuration as it is pushed: the changes that lead on from a version, or a whole charter.
type ConfigUpdate struct {
	Version int64             `json:"version"`
	Changes []json.RawMessage `json:"changes,omitempty"`
	Full    json.RawMessage   `json:"whole,omitempty"`
}

// take takes a configuration that is pushed; false: the whole is needed. Nothing older than what holds is ever taken.
func (b *Sidecar) take(frame json.RawMessage) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, err := ApplyUpdate(b.charter.Load(), frame)
	if err != nil {
		b.log.Warn("a configuration that does not follow", zap.Error(err))
		return false
	}
	b.charter.Store(next)
	b.quota.configure(next)
	b.log.Info("configuration", zap.Int64("version", next.Version()))
	b.news.RenewNow()
	return true
}

// readiness tells whether clients are to come here: there is a configuration and an upstream, and no stop was asked for.
func (b *Sidecar) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if b.stopping.Load() || b.charter.Load().Version() == 0 || !b.endpoints.known() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// control is what the upstream beside us calls, and operators: their calls are passed on.
func (b *Sidecar) control() http.Handler {
	mux := http.NewServeMux()
	api.RegisterUpstreamRoutes(mux, b)
	api.RegisterOperatorRoutes(mux, api.Forwarder{Client: b.client, To: b.news.Peers})
	return mux
}

// Heartbeat takes a heartbeat of the upstream beside us. It is settled here, also with the core gone: nothing comes to the upstream but through our gate.
func (b *Sidecar) Heartbeat(u registry.Upstream) error {
	if u.Address != b.set.Self.AppAddress {
		b.log.Warn("a beat of another address", zap.String("instance", u.Instance), zap.String("address", u.Address))
		return errs.New(errs.Invalid, "address %s is not beside this sidecar", u.Address)
	}
	u.Node, u.Zone, u.Region = b.set.Self.NodeName, b.set.Self.Zone, b.set.Self.Region
	before := b.endpoints.beside()
	taken := b.endpoints.tell(u) // else it has said something later before
	if taken && (before == nil || before.Instance != u.Instance || before.State != u.State || before.Slots != u.Slots) {
		b.own()
	}
	if u.State != registry.Ready {
		b.inner.Flush() // sent once more, it may come while the gate has yet to hear of the first
	}
	return nil
}

// Deregister takes that an instance beside us has ended.
func (b *Sidecar) Deregister(instance string) error {
	b.endpoints.gone(instance)
	b.own()
	return nil
}

// meet asks the upstream beside us who it is, until it has told by itself: its next beat may be more than a second away, and requests for it would be turned back until then.
func (b *Sidecar) meet(ctx context.Context) {
	for pause := meetPause; b.endpoints.beside() == nil; pause = min(2*pause, meetMost) {
		if b.charter.Load().Version() > 0 { // it tells the path
			if u, ok := b.introduced(ctx); ok && b.endpoints.meet(u) {
				b.own()
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
func (b *Sidecar) introduced(ctx context.Context) (registry.Upstream, bool) {
	path := "/health"
	if s := b.charter.Load().Service(b.set.Self.ServiceName); s != nil && s.HealthPath != "" {
		path = s.HealthPath
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.set.Self.AppAddress+path, nil)
	if err != nil {
		return registry.Upstream{}, false
	}
	r.Close = true
	answer, err := b.client.Do(r)
	if err != nil {
		return registry.Upstream{}, false
	}
	answer.Body.Close()
	u := registry.Upstream{
		Instance: answer.Header.Get(headers.Instance), Service: b.set.Self.ServiceName, Address: b.set.Self.AppAddress, Node: b.set.Self.NodeName, Zone: b.set.Self.Zone, Region: b.set.Self.Region,
		Slots: headers.Slots(answer.Header.Get(headers.Load)),
	}
	return u, answer.StatusCode == http.StatusOK && u.Instance != "" && u.Slots > 0
}

// own has the gate, our own way out and the core know of the upstream beside us as it is now. One call after the other: what an earlier one read must not be told behind a later one's.
func (b *Sidecar) own() {
	b.telling.Lock()
	defer b.telling.Unlock()
	if u := b.endpoints.beside(); u != nil {
		b.in.instance.Store(&u.Instance)
	}
	b.inner.List(b.endpoints.besideListing(b.set.Self.AppAddress))
	b.inner.Flush() // what it said holds before it is acknowledged
	b.outer.List(b.endpoints.listing())
	b.news.RenewNow()
}

// ApplyUpdate is the charter after a frame, applied on the one that holds.
func ApplyUpdate(held *config.Snapshot, frame json.RawMessage) (*config.Snapshot, error) {
	var f ConfigUpdate
	if err := json.Unmarshal(frame, &f); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "frame")
	}
	if f.Version <= held.Version() {
		return held, nil
	}
	next, err := held, error(nil)
	if f.Full != nil {
		if next, err = config.Decode(f.Full); err != nil {
			return nil, err
		}
	}
	for _, raw := range f.Changes {
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
	if next.Version() != f.Version {
		return nil, errs.New(errs.Invalid, "a frame of version %d leads to %d", f.Version, next.Version())
	}
	return next, nil
}
