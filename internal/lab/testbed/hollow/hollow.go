// Package hollow simulates sidecars without a data path, many in one process, as hollow nodes do for
// Kubernetes: each keeps a lease and a watch at a core member as a real one does, applies configurations
// with sidecar.ApplyUpdate and, where told to, requests tokens. What they cost the core is what as many
// sidecars cost it.
//
// A Fleet owns the sidecars: Run runs them and returns once all have ended. Its other methods may be called
// from any goroutine.
package hollow

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/sidecar"
)

// Config is what a Fleet is made of.
type Config struct {
	Count    int
	Services int      // upstreams are spread over so many
	Seeds    []string // internal addresses of core members
	Zones    []string // sidecars are spread over them
	Tenants  []string // that requests for tokens name
	// ShareConfig has all sidecars hold one configuration, applied once, and no endpoints: for sizes at
	// which one process can't bear each of them holding its own.
	ShareConfig bool `json:"Share"`
	// StartOver is the time over which the sidecars start, evenly; 0: all start at once.
	StartOver time.Duration `json:"Over"`
	// CalledServices is how many services each sidecar calls, and receives the endpoints of; 0: all.
	CalledServices int `json:"Called"`
}

// Arrival says when a version of the configuration arrived, over all sidecars. Times are in nanoseconds
// of the wall clock.
type Arrival struct {
	Count       int   // sidecars that have it in force
	LastArrived int64 // when it had been received by the last of them
	LastApplied int64 // when it was in force at the last of them
}

// Report is a summary of the fleet.
type Report struct {
	Connected      int
	Renewals       uint64 // leases sent
	MinUpstreams   int    `json:"Least"` // known to the sidecar that knows fewest; 0 where they aren't held
	Versions       map[int64]Arrival
	Requests       uint64  `json:"Asks"`     // for tokens, answered
	FailedRequests uint64  `json:"Failed"`   // not answered, or with an error
	RequestP50     float64 `json:"AskP50"`   // in milliseconds, since the last RequestTokens
	RequestP99     float64 `json:"AskP99"`   // the same
	RequestError   string  `json:"AskError"` // of the request that failed last; "": none has
}

// Fleet is a number of simulated sidecars.
type Fleet struct {
	cfg            Config
	sidecars       []*hollowSidecar
	renewals       atomic.Uint64
	requests       atomic.Uint64
	failedRequests atomic.Uint64

	mu           sync.Mutex         // guards what follows
	shared       *config.Snapshot   // with cfg.ShareConfig
	versions     map[int64]Arrival  // by version of the configuration
	requestTimes []time.Duration    // at most maxRequestTimes
	requestError string             // of the request that failed last
	stopRequests context.CancelFunc // nil: no tokens are requested
}

// New returns a fleet, which Run starts.
func New(cfg Config) *Fleet {
	f := &Fleet{cfg: cfg, shared: config.Empty(), versions: make(map[int64]Arrival)}
	incarnation := registry.Incarnation(time.Now().UnixNano())
	for i := range cfg.Count {
		f.sidecars = append(f.sidecars, newHollowSidecar(f, i, incarnation))
	}
	return f
}

// Run runs the sidecars until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var running sync.WaitGroup
	for i, s := range f.sidecars {
		startAfter := f.cfg.StartOver * time.Duration(i) / time.Duration(len(f.sidecars))
		running.Go(func() { s.run(ctx, startAfter) })
	}
	running.Wait()
}

// Report returns a summary as of now.
func (f *Fleet) Report() Report {
	r := Report{
		Renewals: f.renewals.Load(), Requests: f.requests.Load(), FailedRequests: f.failedRequests.Load(),
		Versions: make(map[int64]Arrival),
	}
	for i, s := range f.sidecars {
		if s.watch.Connected() {
			r.Connected++
		}
		upstreams := s.upstreamCount()
		if i == 0 || upstreams < r.MinUpstreams {
			r.MinUpstreams = upstreams
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.Copy(r.Versions, f.versions)
	r.RequestError = f.requestError
	if n := len(f.requestTimes); n > 0 {
		sorted := slices.Sorted(slices.Values(f.requestTimes))
		r.RequestP50, r.RequestP99 = sorted[n/2].Seconds()*1000, sorted[n*99/100].Seconds()*1000
	}
	return r
}

// apply returns the configuration after an update.
func (f *Fleet) apply(current *config.Snapshot, update json.RawMessage) (*config.Snapshot, error) {
	if !f.cfg.ShareConfig {
		return sidecar.ApplyUpdate(current, update)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	next, err := sidecar.ApplyUpdate(f.shared, update)
	if err == nil {
		f.shared = next
	}
	return next, err
}

// recordArrival counts a sidecar at which a version is now in force.
func (f *Fleet) recordArrival(version, arrivedAt int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.versions[version]
	a.Count++
	a.LastArrived = max(a.LastArrived, arrivedAt)
	a.LastApplied = max(a.LastApplied, time.Now().UnixNano())
	f.versions[version] = a
}
