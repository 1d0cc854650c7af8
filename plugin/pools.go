package plugin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/route"
	"caperarch/internal/proxy/share"
)

// PoolsConfig configures a client with several pools, in addition to the pools file of the operator. The limits apply
// to all pools together, and each pool gets a share in proportion to its weight. 0 selects the default of a limit.
type PoolsConfig struct {
	MaxConnections int
	MaxCalls       int
	MaxBodyBytes   int64

	Log *slog.Logger // nil: logging is disabled
}

// pools holds the cores of a client with several pools. Each core has its own server list and balancing policy.
type pools struct {
	table *route.Table
	cores map[string]*Core
}

// OpenPools starts a client with several pools from the daemon's TOML file of pools and routes, which
// docs/operate/pools.md describes. The most specific route that matches the Host, Path, Method and Class of a call
// selects its pool. A call that matches no route, or whose host or path is ambiguous, returns an *InvalidError. Of the
// limits and listen addresses in the configuration files of the pools, only caps.max_open applies. A pool may borrow
// unused shares of calls and body bytes from other pools; shares of connections are fixed. Errors name the file, line
// and field. The caller must call Close.
func OpenPools(path string, cfg PoolsConfig) (*Client, error) {
	file, err := config.ReadPools(path)
	if err != nil {
		return nil, fmt.Errorf("caperarch: %w", err)
	}
	for field, n := range map[string]int64{
		"MaxConnections": int64(cfg.MaxConnections), "MaxCalls": int64(cfg.MaxCalls), "MaxBodyBytes": cfg.MaxBodyBytes,
	} {
		if n < 0 {
			return nil, &InvalidError{"PoolsConfig." + field, fmt.Sprintf("got %d, want 0 or more", n)}
		}
	}
	opened := &pools{table: file.Table, cores: make(map[string]*Core)}
	for i, poolConfig := range poolConfigs(file, cfg) {
		core, err := openPool(poolConfig)
		if err != nil {
			cancelled, cancel := context.WithCancel(context.Background())
			cancel()
			_ = opened.close(cancelled) // no call is in flight yet
			return nil, fmt.Errorf("caperarch: %s: pools.%s: %w", path, file.List[i].Name, err)
		}
		opened.cores[poolConfig.Name] = core
	}
	return &Client{pools: opened}, nil
}

// poolConfigs returns the configurations of the pools, with the limits of the client divided among them by weight.
func poolConfigs(file *config.Pools, cfg PoolsConfig) []Config {
	var weights []float64
	totalWeight := 0.0
	for _, p := range file.List {
		weights = append(weights, p.Weight)
		totalWeight += p.Weight
	}
	maxConns, maxBodies := orDefault(cfg.MaxConnections, DefaultMaxConnections),
		orDefault(cfg.MaxBodyBytes, DefaultMaxBodyBytes)
	calls := share.NewCapacity(int64(orDefault(cfg.MaxCalls, DefaultMaxCalls)), weights)
	bodies := share.NewCapacity(maxBodies, weights)
	var configs []Config
	for i, p := range file.List {
		poolConfig := configFromFile(p.Config)
		poolConfig.Name, poolConfig.Log = p.Name, cfg.Log
		poolConfig.MaxConnections = int(float64(maxConns) * p.Weight / totalWeight)
		poolConfig.MaxBodyBytes = maxBodies
		poolConfig.sharedLimits = bulkhead{clock: clock.New(), calls: calls, bodies: bodies, pool: i}
		configs = append(configs, poolConfig)
	}
	return configs
}

// openPool opens the core of one pool. It fails if the pool's share of the connections is less than one.
func openPool(cfg Config) (*Core, error) {
	if cfg.MaxConnections < 1 {
		return nil, errors.New("the pool's share of the connections is less than 1: " +
			"MaxConnections is too small, or there are too many pools")
	}
	return OpenCore(cfg, newHTTP1Transport)
}

// route returns the core of the pool that the routing table selects for a call.
func (p *pools) route(host, target, method, class string) (*Core, error) {
	if class == "" { // the daemon also derives the class from the first path segment
		class = route.FirstSegment(target)
	}
	q, err := route.NewRequest(host, target, method, class)
	if err != nil {
		return nil, &InvalidError{"Request.Path", err.Error()}
	}
	rule := p.table.Match(q)
	if rule == nil {
		return nil, &InvalidError{"Request.Path", "no route matches the call"}
	}
	return p.cores[rule.Pool], nil
}

// close closes all pools concurrently, because draining one pool may take until ctx ends.
func (p *pools) close(ctx context.Context) error {
	var (
		closing sync.WaitGroup
		mu      sync.Mutex
		errs    []error
	)
	for name, core := range p.cores {
		closing.Go(func() {
			if err := core.Close(ctx); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, fmt.Errorf("pools.%s: %w", name, err))
			}
		})
	}
	closing.Wait()
	return errors.Join(errs...)
}

// bulkhead limits a pool to its share of the client's calls and body bytes, so that one pool can't starve the
// others.
type bulkhead struct {
	clock         clock.Clock
	calls, bodies *share.Capacity
	pool          int // its index in the capacities
}

// Acquire reserves capacity for a call with a body of size bytes. It returns false if the pool has not enough capacity.
func (b bulkhead) Acquire(size int64) bool {
	now := b.clock.Now()
	if !b.calls.Acquire(now, b.pool, 1) {
		return false
	}
	if !b.bodies.Acquire(now, b.pool, size) {
		b.calls.Release(b.pool, 1)
		return false
	}
	return true
}

// Release returns the capacity that Acquire reserved for a call with a body of size bytes.
func (b bulkhead) Release(size int64) {
	b.calls.Release(b.pool, 1)
	b.bodies.Release(b.pool, size)
}
