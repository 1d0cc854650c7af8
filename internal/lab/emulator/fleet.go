// Package emulator simulates a fleet in virtual time: sidecars with the real decision module, servers, clients, a
// server list and faults. A run depends on its seed only and is some thousands of times faster than real time. The
// package does no I/O.
package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"caperarch/internal/lab/virtualtime"
	"caperarch/internal/proxy/engine"
	"caperarch/policy"
)

// Class is the traffic of a request class; Config.Module has its settings.
type Class struct {
	Share float64       // of all requests
	Work  time.Duration // mean work of a request, as time on a core of speed 1
	Shape int           // shape of the gamma distribution of the work; 0 for 4, a standard deviation of some 50%
	Tail  float64       // if above 0, the work is Pareto-distributed with this coefficient of variation
	// Noise is the standard deviation of the logarithm by which the work of an attempt differs from that of its
	// request.
	Noise float64
}

// Tenant is the traffic of a tenant.
type Tenant struct {
	Share float64                         // of the request rate
	Times func(now time.Duration) float64 // factor of the tenant's traffic at a time; nil for 1
}

// Clients configures how clients react to rejections and failures.
type Clients struct {
	Retries      int           // maximum number of retries
	Backoff      time.Duration // before the first retry, doubled after each; a longer Retry-After takes precedence
	AttemptShare float64       // time-out of an attempt as a share of the deadline; 0 for all the time left
}

// Config configures a fleet. The decision modules know only the part Module.
type Config struct {
	Seed     uint64
	Sidecars int
	Rate     float64                                      // requests per second of all sidecars
	Shares   []float64                                    // relative traffic of each sidecar; nil for equal shares
	Times    func(sidecar int, now time.Duration) float64 // factor of a sidecar's traffic at a time; nil for 1
	Servers  []Server
	Classes  []Class
	Tenants  []Tenant
	Clients  Clients
	// RoundTrip is the round-trip time between a sidecar and a server.
	RoundTrip time.Duration
	// Module configures the decision modules. Balancers, Index and Tick are set for each sidecar.
	Module policy.Config
	New    func(cfg policy.Config, seed uint64, host policy.Host) (engine.Module, error) // nil for policy.New
	// Bucket is the length of a bucket of the time series; 0 for 100 ms.
	Bucket time.Duration
	// ArcStart returns the start of a sidecar's arc of servers; nil to leave it to the module.
	ArcStart func(sidecar int) float64
	Arrived  func(sidecar int, to policy.ServerID) // called for each attempt that arrives at a server; may be nil
}

// Fleet is a running simulation.
type Fleet struct {
	cfg      Config
	clock    virtualtime.Clock
	rng      *rand.Rand
	nodes    []*node
	byID     map[policy.ServerID]*node // includes removed servers
	nextNode policy.ServerID
	sidecars []*sidecar
	shares   float64 // sum of Config.Shares
	meanWork float64 // mean work of a request over all classes, in seconds
	buckets  []Bucket
	err      error
}

// Bucket counts the requests of one interval and their outcomes. An outcome counts in the bucket in which the request
// arrived.
type Bucket struct {
	Requests, InTime, Late, Refused, Failed, Attempts int
	Probes                                            int // by the time when they are sent
	// Throttled is the number of requests that the modules rejected at once in this interval, by their counters.
	Throttled     int
	Value, Earned float64
	Tenant        []Count
	Capacity      float64 // of the servers, in seconds of work per second
	InFlight      int     // requests at the servers at the start of the interval
	Overloaded    int     // overloaded servers at the start of the interval
	Work          float64 // work of the requests, in seconds
}

// Count counts the requests of a tenant.
type Count struct{ Requests, InTime, Refused int }

// New returns a fleet without traffic, or the error of the decision module.
func New(cfg Config) (*Fleet, error) {
	if cfg.Bucket == 0 {
		cfg.Bucket = 100 * time.Millisecond
	}
	if cfg.New == nil {
		cfg.New = func(c policy.Config, seed uint64, host policy.Host) (engine.Module, error) {
			return policy.New(c, seed, host)
		}
	}
	if len(cfg.Tenants) != max(1, len(cfg.Module.Tenants)) || len(cfg.Classes) != len(cfg.Module.Classes) {
		return nil, fmt.Errorf("emulator: traffic of %d tenants and %d classes, but the module has %d and %d",
			len(cfg.Tenants), len(cfg.Classes), len(cfg.Module.Tenants), len(cfg.Module.Classes))
	}
	f := &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), byID: make(map[policy.ServerID]*node)}
	f.clock.Now = time.Hour // far from 0, which means "never" to the module
	for _, s := range cfg.Servers {
		f.add(s, 0)
	}
	for _, c := range cfg.Classes {
		f.meanWork += c.Share * c.Work.Seconds()
	}
	for _, share := range cfg.Shares {
		f.shares += share
	}
	for i := range cfg.Sidecars {
		s := &sidecar{f: f, index: i, open: make(map[policy.RequestID]*request)}
		if err := s.newModule(); err != nil {
			return nil, err
		}
		f.sidecars = append(f.sidecars, s)
	}
	return f, nil
}

func (f *Fleet) add(s Server, started time.Duration) *node {
	f.nextNode++
	// The multiplier scatters the IDs, so that they don't reveal the order of the servers.
	n := &node{f: f, id: policy.ServerID(uint64(f.nextNode) * 0x9e3779b97f4a7c15), spec: s,
		started: started, meanServiceTime: 0.05}
	f.nodes, f.byID[n.id] = append(f.nodes, n), n
	return n
}

// Start starts all sidecars with the present server list, and the traffic of the clients.
func (f *Fleet) Start() {
	for _, s := range f.sidecars {
		s.m.Start(f.clock.Now)
		s.m.List(f.clock.Now, policy.ListFull, f.list())
		f.next(s)
	}
}

func (f *Fleet) list() (entries []policy.Server) {
	for _, n := range f.nodes {
		if !n.gone {
			entries = append(entries, policy.Server{ID: n.id, State: policy.Ready,
				Weight: cmp.Or(n.spec.Weight, 1), Cell: n.spec.Cell, Started: n.started})
		}
	}
	return entries
}

// PublishList sends the present server list to all sidecars.
func (f *Fleet) PublishList() {
	for _, s := range f.sidecars {
		s.m.List(f.clock.Now, policy.ListFull, f.list())
	}
}

// Now returns the time since the creation of the fleet.
func (f *Fleet) Now() time.Duration { return f.clock.Now - time.Hour }

// At schedules a call at a time since the creation of the fleet.
func (f *Fleet) At(t time.Duration, callback func()) {
	f.clock.After(time.Hour+t-f.clock.Now, callback)
}

// Set changes the behaviour of the first n servers that have not been removed; of all servers if n <= 0.
func (f *Fleet) Set(n int, s State) {
	for _, node := range f.nodes {
		if node.gone {
			continue
		}
		node.set(s)
		if n--; n == 0 {
			return
		}
	}
}

// SetFastest changes the behaviour of the n servers with the highest capacity.
func (f *Fleet) SetFastest(n int, s State) {
	order := slices.Clone(f.nodes)
	slices.SortStableFunc(order, func(a, b *node) int {
		return cmp.Compare(b.spec.Speed*float64(b.spec.Cores), a.spec.Speed*float64(a.spec.Cores))
	})
	for _, node := range order[:min(n, len(order))] {
		node.set(s)
	}
}

// Replace replaces all servers by warm ones with other IDs, and publishes the list.
func (f *Fleet) Replace() {
	for _, old := range slices.Clone(f.nodes) {
		if !old.gone {
			old.shutDown()
			f.add(old.spec, 0)
		}
	}
	f.nodes = slices.DeleteFunc(f.nodes, func(n *node) bool { return n.gone && len(n.running)+len(n.waiting) == 0 })
	f.PublishList()
}

// shutDown ends a server. The connections of the requests that it holds break.
func (n *node) shutDown() {
	n.gone = true
	for _, j := range slices.Concat(n.running, n.waiting) {
		if j.ends != nil {
			j.ends.Stop()
		}
		j.end(0, policy.ConnectionLost)
	}
	n.running, n.waiting = nil, nil
}

// Remove removes the first k servers and publishes the list. It returns their specifications, for Add.
func (f *Fleet) Remove(k int) (gone []Server) {
	for _, n := range f.nodes {
		if len(gone) < k && !n.gone {
			n.shutDown()
			gone = append(gone, n.spec)
		}
	}
	f.PublishList()
	return gone
}

// Add adds cold servers and publishes the list.
func (f *Fleet) Add(all []Server) {
	for _, s := range all {
		f.add(s, f.clock.Now)
	}
	f.PublishList()
}

// Run runs the simulation up to a time since the creation of the fleet.
func (f *Fleet) Run(until time.Duration) {
	for t := f.Now(); t < until; {
		b := f.bucket(t)
		b.Capacity = f.capacity()
		for _, n := range f.nodes {
			b.InFlight += len(n.running) + len(n.waiting)
			if n.overloaded {
				b.Overloaded++
			}
		}
		t = min(until, t-t%f.cfg.Bucket+f.cfg.Bucket)
		f.clock.RunTo(time.Hour + t)
	}
}

func (f *Fleet) capacity() (sum float64) {
	for _, n := range f.nodes {
		sum += n.capacity()
	}
	return sum
}

// Buckets returns the time series so far.
func (f *Fleet) Buckets() []Bucket { return f.buckets }

func (f *Fleet) bucket(t time.Duration) *Bucket {
	for len(f.buckets) <= int(t/f.cfg.Bucket) {
		f.buckets = append(f.buckets, Bucket{Tenant: make([]Count, len(f.cfg.Tenants))})
	}
	return &f.buckets[t/f.cfg.Bucket]
}

// next schedules the next request of a sidecar. Requests form a Poisson process with the present rates of the tenants.
func (f *Fleet) next(s *sidecar) {
	rate := f.rate(s.index)
	share := 0.0
	for _, t := range f.cfg.Tenants {
		share += t.Share * t.times(f.Now())
	}
	// The wait is at most 0.25 s, so that a change of the rate takes effect soon.
	wait := f.rng.ExpFloat64() / max(rate*share, 1e-9)
	if wait > 0.25 {
		f.clock.After(250*time.Millisecond, func() { f.next(s) })
		return
	}
	f.clock.After(time.Duration(wait*float64(time.Second)), func() {
		pick := f.rng.Float64() * share
		tenant := 0
		for i, t := range f.cfg.Tenants {
			if pick -= t.Share * t.times(f.Now()); pick < 0 {
				tenant = i
				break
			}
		}
		pick, class := f.rng.Float64(), 0
		for i, c := range f.cfg.Classes {
			if pick -= c.Share; pick < 0 {
				class = i
				break
			}
		}
		s.startRequest(class, tenant)
		f.next(s)
	})
}

// rate returns the present request rate of a sidecar.
func (f *Fleet) rate(sidecar int) float64 {
	rate := f.cfg.Rate / float64(f.cfg.Sidecars)
	if f.cfg.Shares != nil {
		rate = f.cfg.Rate * f.cfg.Shares[sidecar] / f.shares
	}
	if f.cfg.Times != nil {
		rate *= f.cfg.Times(sidecar, f.Now())
	}
	return rate
}

func (t *Tenant) times(now time.Duration) float64 {
	if t.Times == nil {
		return 1
	}
	return t.Times(now)
}

// work draws the work of a request, in seconds.
func (f *Fleet) work(c *Class) float64 {
	if c.Tail > 0 { // cv² = 1 / (a (a - 2))
		a := 1 + math.Sqrt(1+1/(c.Tail*c.Tail))
		return c.Work.Seconds() * (a - 1) / a / math.Pow(1-f.rng.Float64(), 1/a)
	}
	shape := c.Shape
	if shape == 0 {
		shape = 4
	}
	sum := 0.0
	for range shape {
		sum += f.rng.ExpFloat64()
	}
	return sum / float64(shape) * c.Work.Seconds()
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (f *Fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + f.rng.Float64()))
}

// backoff returns the time that a client waits before its next retry.
func (c *Clients) backoff(try int) time.Duration {
	return time.Duration(float64(c.Backoff) * math.Pow(2, float64(try)))
}
