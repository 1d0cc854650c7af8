// Package hollow is sidecars without a data path, many in one process: each keeps a lease and a watch at a core member as a real one does, applies configurations by branch.Take and,
// where told to, asks for tokens. What they cost the core is what as many sidecars cost it.
package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/quota"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/sidecar"
	"caperarch/internal/mesh/watch"

	"go.uber.org/zap"
)

const (
	// dialTimeout is that of real sidecars.
	dialTimeout = 300 * time.Millisecond
	// askTimeout bounds an ask for tokens, as at real sidecars.
	askTimeout = 500 * time.Millisecond
	// mostTimes bounds the times of asks that are kept, against memory that the measurement itself would take.
	mostTimes = 200_000
)

// Config is what a Fleet is made of.
type Config struct {
	Count    int
	Services int      // upstreams are spread over so many
	Seeds    []string // internal addresses of core members
	Zones    []string // sidecars are spread over them
	Tenants  []string // that asks for tokens name
	// Share has all sidecars hold one charter, applied once, and no catalogue: for sizes at which one process can't bear each of them holding its own.
	Share bool
	// Over is the time over which the sidecars come, evenly; 0: all come at once.
	Over time.Duration
	// Called is how many services each sidecar calls, and hears of alone; 0: all.
	Called int
}

// Arrival is when a version came in, over all sidecars; times are in nanoseconds of the wall clock.
type Arrival struct {
	Count       int   // sidecars that have it in force
	LastArrived int64 // when its frame had come to the last of them
	LastApplied int64 // when it was in force at the last of them
}

// Report is how the fleet fares.
type Report struct {
	Connected int
	Renewals  uint64 // leases sent
	Least     int    // upstreams known to the sidecar that knows fewest; 0 where they are not held
	Versions  map[int64]Arrival
	Asks      uint64 // answered
	Failed    uint64 // not answered, or with an error
	AskP50    float64
	AskP99    float64 // in milliseconds, of the asks since the last Ask
	AskError  string  // of the ask that failed last; "": none has
}

// Fleet is the sidecars.
type Fleet struct {
	cfg      Config
	all      []*hollowSidecar
	renewals atomic.Uint64
	asks     atomic.Uint64
	failed   atomic.Uint64

	mu       sync.Mutex
	shared   *config.Snapshot
	versions map[int64]Arrival
	times    []time.Duration
	failure  string             // of the ask that failed last
	stop     context.CancelFunc // of the asking; nil: nobody asks
}

// hollowSidecar is one of them.
type hollowSidecar struct {
	fleet    *Fleet
	node     string
	zone     string
	upstream registry.Upstream
	client   *http.Client
	news     *watch.Client
	charter  atomic.Pointer[config.Snapshot]

	mu  sync.Mutex
	all map[string]registry.Upstream
}

// New makes a fleet; Run sets it going.
func New(cfg Config) *Fleet {
	f := &Fleet{cfg: cfg, shared: config.Empty(), versions: make(map[int64]Arrival)}
	life := uint64(time.Now().UnixNano())
	for i := range cfg.Count {
		zone := cfg.Zones[i%len(cfg.Zones)]
		host := fmt.Sprintf("10.%d.%d.%d", 1+i%len(cfg.Zones), i/250, 1+i%250)
		s := &hollowSidecar{fleet: f, node: fmt.Sprintf("sidecar-%s-%d", zone, i), zone: zone, client: rpc.NewClient(dialTimeout), all: make(map[string]registry.Upstream)}
		s.charter.Store(config.Empty())
		s.upstream = registry.Upstream{
			Instance: fmt.Sprintf("i-%08x%08x", i, i), Service: serviceName(i % cfg.Services), Address: host + ":8103", Node: s.node, Inbound: host + ":8109",
			Zone: zone, Region: "kochi", Version: "1.4.2", Slots: 24, State: registry.Ready, Sequence: 1,
		}
		var called func() []string
		if cfg.Called > 0 {
			names := make([]string, cfg.Called)
			for j := range names {
				names[j] = serviceName((i + j) % cfg.Services)
			}
			called = func() []string { return names }
		}
		s.news = watch.NewClient(watch.ClientConfig{
			Node: s.node, Incarnation: life, Zone: zone, Seeds: cfg.Seeds, HTTP: s.client, State: s.state, ConfigVersion: func() int64 { return s.charter.Load().Version() },
			OnConfig: s.take, OnRegistry: s.catalogue, Services: called, Log: zap.NewNop(),
		})
		f.all = append(f.all, s)
	}
	return f
}

func serviceName(i int) string { return fmt.Sprintf("service%02d", i) }

// Run is the sidecars' life until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var running sync.WaitGroup
	for i, s := range f.all {
		running.Go(func() {
			timer := time.NewTimer(f.cfg.Over * time.Duration(i) / time.Duration(len(f.all)))
			defer timer.Stop()
			select {
			case <-timer.C:
				s.news.Run(ctx)
			case <-ctx.Done():
			}
		})
	}
	running.Wait()
}

// Ask has every sidecar ask for tokens once in so long, as a real one does for tenants with a limit; 0 ends it.
func (f *Fleet) Ask(every time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop != nil {
		f.stop()
		f.stop = nil
	}
	f.times = nil
	if every <= 0 {
		return
	}
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	for _, s := range f.all {
		go s.ask(ctx, every)
	}
}

// Report tells how the fleet fares now.
func (f *Fleet) Report() Report {
	r := Report{Renewals: f.renewals.Load(), Asks: f.asks.Load(), Failed: f.failed.Load(), Versions: make(map[int64]Arrival)}
	for i, s := range f.all {
		if s.news.Connected() {
			r.Connected++
		}
		s.mu.Lock()
		if i == 0 || len(s.all) < r.Least {
			r.Least = len(s.all)
		}
		s.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for v, a := range f.versions {
		r.Versions[v] = a
	}
	r.AskError = f.failure
	if n := len(f.times); n > 0 {
		sorted := slices.Sorted(slices.Values(f.times))
		r.AskP50, r.AskP99 = sorted[n/2].Seconds()*1000, sorted[n*99/100].Seconds()*1000
	}
	return r
}

func (s *hollowSidecar) state() registry.Lease {
	s.fleet.renewals.Add(1)
	u := s.upstream
	return registry.Lease{Zone: s.zone, Applied: s.charter.Load().Version(), Upstream: &u}
}

// take applies a configuration as a real sidecar does, and notes when it came and when it was in force.
func (s *hollowSidecar) take(frame json.RawMessage) bool {
	arrived := time.Now().UnixNano()
	held := s.charter.Load()
	next, err := s.fleet.apply(held, frame)
	if err != nil {
		return false
	}
	s.charter.Store(next)
	if next != held {
		s.fleet.note(next.Version(), arrived)
		s.news.RenewNow()
	}
	return true
}

// apply is the charter after a frame.
func (f *Fleet) apply(held *config.Snapshot, frame json.RawMessage) (*config.Snapshot, error) {
	if !f.cfg.Share {
		return sidecar.ApplyUpdate(held, frame)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := sidecar.ApplyUpdate(f.shared, frame)
	if err == nil {
		f.shared = next
	}
	return next, err
}

func (f *Fleet) note(version, arrived int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.versions[version]
	a.Count++
	a.LastArrived = max(a.LastArrived, arrived)
	a.LastApplied = max(a.LastApplied, time.Now().UnixNano())
	f.versions[version] = a
}

func (s *hollowSidecar) catalogue(full bool, upserts []registry.Upstream, removals []string) {
	if s.fleet.cfg.Share {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if full {
		clear(s.all)
	}
	for _, u := range upserts {
		s.all[u.Instance] = u
	}
	for _, instance := range removals {
		delete(s.all, instance)
	}
}

// ask asks for tokens until ctx ends, from a moment of its own on.
func (s *hollowSidecar) ask(ctx context.Context, every time.Duration) {
	asks := make([]quota.Demand, 0, len(s.fleet.cfg.Tenants))
	for _, tenant := range s.fleet.cfg.Tenants {
		asks = append(asks, quota.Demand{Tenant: tenant, Want: 1.5})
	}
	timer := time.NewTimer(rand.N(every))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		begun := time.Now()
		err := s.askOnce(ctx, asks)
		took := time.Since(begun)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.fleet.failed.Add(1)
		} else {
			s.fleet.asks.Add(1)
		}
		s.fleet.mu.Lock()
		if err != nil {
			s.fleet.failure = err.Error()
		}
		if len(s.fleet.times) < mostTimes {
			s.fleet.times = append(s.fleet.times, took)
		}
		s.fleet.mu.Unlock()
		timer.Reset(max(0, every-took))
	}
}

func (s *hollowSidecar) askOnce(ctx context.Context, asks []quota.Demand) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peers := s.news.Peers()
	if len(peers) == 0 {
		return context.DeadlineExceeded
	}
	_, err := rpc.Call[sidecar.AllocateRequest, sidecar.AllocateResponse](ctx, s.client, "http://"+peers[0]+sidecar.AllocatePath, &sidecar.AllocateRequest{Node: s.node, Demands: asks})
	return err
}
