// Package emulator is a fleet in virtual time: sidecars with the decision module inside, servers,
// clients, a list, and what goes wrong. It runs from a seed, to the same end every time, some
// thousands of times faster than the real one. It is free of I/O.
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

// Class is a class's traffic beside its settings in Config.Module.
type Class struct {
	Share float64       // of the requests
	Work  time.Duration // mean, on a core of speed 1
	Shape int           // gamma-distributed of this shape; 0: 4, some 50% of standard deviation
	Tail  float64       // above 0: Pareto-distributed instead, with this coefficient of variation
	// each attempt's own work differs from its request's by so much (standard deviation of the logarithm)
	Noise float64
}

// Tenant is a tenant's traffic.
type Tenant struct {
	Share float64                         // of the rate
	Times func(now time.Duration) float64 // its traffic is so many times the usual; nil: 1
}

// Clients say what clients do with a refusal or a failure.
type Clients struct {
	Retries      int           // further tries at most
	Backoff      time.Duration // before the first of them, doubled after each; a longer Retry-After is heeded
	AttemptShare float64       // of the deadline that one try is waited for; 0: all that is left of it
}

// Config is a fleet. The module is told none of it but what Module has.
type Config struct {
	Seed     uint64
	Sidecars int
	Rate     float64                                      // requests a second over all sidecars
	Shares   []float64                                    // of each sidecar, against the others'; nil: even ones
	Times    func(sidecar int, now time.Duration) float64 // its traffic is so many times the usual; nil: 1
	Servers  []Server
	Classes  []Class
	Tenants  []Tenant
	Clients  Clients
	// from a sidecar to a server and back
	RoundTrip time.Duration
	// Balancers, Index and Tick are set for each
	Module policy.Config
	New    func(cfg policy.Config, seed uint64, host policy.Host) (engine.Module, error) // nil: policy.New
	Bucket time.Duration                                                                 // of the series; 0: 100 ms
	// what each is told of its place; nil: nothing
	ArcStart func(sidecar int) float64
	Arrived  func(sidecar int, to policy.ServerID) // hears of each attempt that arrives at a server; nil: nobody does
}

// Fleet is a fleet under way.
type Fleet struct {
	cfg      Config
	clock    virtualtime.Clock
	rng      *rand.Rand
	nodes    []*node
	byID     map[policy.ServerID]*node // gone ones too
	nextNode policy.ServerID
	sidecars []*sidecar
	shares   float64 // sum of Config.Shares
	meanWork float64 // s of work a request, over the classes
	buckets  []Bucket
	err      error
}

// Bucket is what came, and what became of it, in one stretch of the time. Requests count in the
// bucket that they came in.
type Bucket struct {
	Requests, InTime, Late, Refused, Failed, Attempts int
	Probes                                            int // as they go out
	// refused at once, as seen by the module's counters, in this stretch
	Throttled     int
	Value, Earned float64
	Tenant        []Count
	Capacity      float64 // work that the servers can do, in seconds of work a second
	InFlight      int     // requests that the servers hold as it begins
	Overloaded    int     // servers that are slower as they were crowded
	Work          float64 // work asked for
}

// Count counts a tenant's requests.
type Count struct{ Requests, InTime, Refused int }

// New makes a fleet at rest, or returns the module's error.
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
		return nil, fmt.Errorf("emulator: %d tenants and %d classes, the module has %d and %d",
			len(cfg.Tenants), len(cfg.Classes), len(cfg.Module.Tenants), len(cfg.Module.Classes))
	}
	f := &Fleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), byID: make(map[policy.ServerID]*node)}
	f.clock.Now = time.Hour // far from 0, which to the module is never
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
		if err := s.module(); err != nil {
			return nil, err
		}
		f.sidecars = append(f.sidecars, s)
	}
	return f, nil
}

func (f *Fleet) add(s Server, started time.Duration) *node {
	f.nextNode++
	// Ids that tell nothing of the order.
	n := &node{f: f, id: policy.ServerID(uint64(f.nextNode) * 0x9e3779b97f4a7c15), spec: s,
		started: started, recent: 0.05}
	f.nodes, f.byID[n.id] = append(f.nodes, n), n
	return n
}

// Start starts all sidecars with the list as it is, and the clients' traffic.
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

// PublishList has all sidecars hear the list as it is now.
func (f *Fleet) PublishList() {
	for _, s := range f.sidecars {
		s.m.List(f.clock.Now, policy.ListFull, f.list())
	}
}

// Now is the time since the fleet was made.
func (f *Fleet) Now() time.Duration { return f.clock.Now - time.Hour }

// At asks for a call at a time since the fleet was made.
func (f *Fleet) At(t time.Duration, do func()) { f.clock.After(time.Hour+t-f.clock.Now, do) }

// Set has the first n servers that are not gone behave in a way from now on, n <= 0: all.
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

// SetFastest is Set for the n servers that can do most.
func (f *Fleet) SetFastest(n int, s State) {
	order := slices.Clone(f.nodes)
	slices.SortStableFunc(order, func(a, b *node) int {
		return cmp.Compare(b.spec.Speed*float64(b.spec.Cores), a.spec.Speed*float64(a.spec.Cores))
	})
	for _, node := range order[:min(n, len(order))] {
		node.set(s)
	}
}

// Replace has all servers leave and as many come under other ids, warm, and tells the sidecars.
func (f *Fleet) Replace() {
	for _, old := range slices.Clone(f.nodes) {
		if !old.gone {
			old.leaves()
			f.add(old.spec, 0)
		}
	}
	f.nodes = slices.DeleteFunc(f.nodes, func(n *node) bool { return n.gone && len(n.running)+len(n.waiting) == 0 })
	f.PublishList()
}

// leaves ends a server: what it holds ends as its process does.
func (n *node) leaves() {
	n.gone = true
	for _, j := range slices.Concat(n.running, n.waiting) {
		if j.ends != nil {
			j.ends.Stop()
		}
		j.end(0, policy.ConnectionLost)
	}
	n.running, n.waiting = nil, nil
}

// Remove has the first k servers leave, and tells the sidecars. It returns their builds, for Add.
func (f *Fleet) Remove(k int) (gone []Server) {
	for _, n := range f.nodes {
		if len(gone) < k && !n.gone {
			n.leaves()
			gone = append(gone, n.spec)
		}
	}
	f.PublishList()
	return gone
}

// Add has servers come, cold, and tells the sidecars.
func (f *Fleet) Add(all []Server) {
	for _, s := range all {
		f.add(s, f.clock.Now)
	}
	f.PublishList()
}

// Run plays up to a time since the fleet was made.
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

// Buckets is the series so far.
func (f *Fleet) Buckets() []Bucket { return f.buckets }

func (f *Fleet) bucket(t time.Duration) *Bucket {
	for len(f.buckets) <= int(t/f.cfg.Bucket) {
		f.buckets = append(f.buckets, Bucket{Tenant: make([]Count, len(f.cfg.Tenants))})
	}
	return &f.buckets[t/f.cfg.Bucket]
}

// next asks for a sidecar's next request: a Poisson stream, of each tenant's rate at that time.
func (f *Fleet) next(s *sidecar) {
	rate := f.rate(s.index)
	most := 0.0
	for _, t := range f.cfg.Tenants {
		most += t.Share * t.times(f.Now())
	}
	// A quarter of a second at most, so that a rate that changes is soon gone by.
	wait := f.rng.ExpFloat64() / max(rate*most, 1e-9)
	if wait > 0.25 {
		f.clock.After(250*time.Millisecond, func() { f.next(s) })
		return
	}
	f.clock.After(time.Duration(wait*float64(time.Second)), func() {
		pick := f.rng.Float64() * most
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
		s.ask(class, tenant)
		f.next(s)
	})
}

// rate is that of a sidecar now.
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

// work draws a request's work, in seconds.
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

// jitter spreads a time by half of it either way.
func (f *Fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + f.rng.Float64()))
}

// backoff before a client's further try.
func (c *Clients) backoff(try int) time.Duration {
	return time.Duration(float64(c.Backoff) * math.Pow(2, float64(try)))
}
