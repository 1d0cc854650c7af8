// Package hollow simulates many sidecars without a data path in one process, like the hollow nodes of Kubernetes. Each
// simulated sidecar keeps a lease and a watch at a core member as a real sidecar does, applies configurations with
// sidecar.ApplyUpdate and, if enabled, requests tokens. The simulated sidecars put the same load on the core as the
// same number of real sidecars.
//
// A Fleet owns the sidecars. Run runs them and returns when all have ended. The other methods may be called from any
// goroutine.
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

// Config configures a Fleet.
type Config struct {
	Count    int
	Services int      // number of services that the upstreams are distributed over
	Seeds    []string // internal addresses of core members
	Zones    []string // the sidecars are distributed over the zones
	Tenants  []string // tenants that the sidecars request tokens for
	// ShareConfig makes all sidecars share one configuration, which is applied once, and keep no endpoints. It is for
	// fleets so large that one process can't hold a configuration per sidecar.
	ShareConfig bool `json:"Share"`
	// StartOver is the time over which the starts of the sidecars are evenly distributed; 0 starts all at once.
	StartOver time.Duration `json:"Over"`
	// CalledServices is the number of services that each sidecar calls and receives the endpoints of; 0 means all.
	CalledServices int `json:"Called"`
}

// Arrival describes how a configuration version reached the fleet. Times are wall-clock times in nanoseconds.
type Arrival struct {
	Count       int   // sidecars that have applied the version
	LastArrived int64 // when the last of them received the version
	LastApplied int64 // when the last of them applied the version
}

// Report is a summary of the fleet.
type Report struct {
	Connected      int
	Renewals       uint64 // lease renewals sent
	MinUpstreams   int    `json:"Least"` // smallest number of upstreams that a sidecar knows; 0 with ShareConfig
	Versions       map[int64]Arrival
	Requests       uint64  `json:"Asks"`     // token requests that were answered
	FailedRequests uint64  `json:"Failed"`   // token requests that timed out or failed
	RequestP50     float64 `json:"AskP50"`   // median time of a token request since the last RequestTokens, in ms
	RequestP99     float64 `json:"AskP99"`   // 99th percentile of the same times, in ms
	RequestError   string  `json:"AskError"` // error of the last failed token request; "" if none failed
}

// Fleet is a number of simulated sidecars.
type Fleet struct {
	cfg            Config
	sidecars       []*hollowSidecar
	renewals       atomic.Uint64
	requests       atomic.Uint64
	failedRequests atomic.Uint64

	mu           sync.Mutex         // guards the fields below
	shared       *config.Snapshot   // the configuration of all sidecars with cfg.ShareConfig
	versions     map[int64]Arrival  // by configuration version
	requestTimes []time.Duration    // at most maxRequestTimes
	requestError string             // error of the last failed token request
	stopRequests context.CancelFunc // nil if no tokens are requested
}

// New returns a fleet. Run starts it.
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

// Report returns a summary of the present state.
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

// recordArrival counts a sidecar that has applied a version.
func (f *Fleet) recordArrival(version, arrivedAt int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.versions[version]
	a.Count++
	a.LastArrived = max(a.LastArrived, arrivedAt)
	a.LastApplied = max(a.LastApplied, time.Now().UnixNano())
	f.versions[version] = a
}
