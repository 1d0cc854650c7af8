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

// PoolsConfig is what a client with several pools has beside the operator's file. Bounds are over all pools, 0 stands
// for the default; each pool has its part of them by its weight.
type PoolsConfig struct {
	MaxConnections int
	MaxCalls       int
	MaxBodyBytes   int64

	Log *slog.Logger // nil: nothing is logged
}

// pools are several pools behind one client: an engine, a list and a module each.
type pools struct {
	table *route.Table
	cores map[string]*Core
}

// OpenPools starts a client with several pools, by the daemon's file of pools and routes (TOML;
// docs/operate/pools.md). Calls go by their Host, Path, Method and Class to the pool that the most specific
// route names; a call that none matches is an *InvalidError, and so is one whose host or path can be read in
// two ways. The limits and listen addresses of the pools' own files are passed over but for caps.max_open.
// Calls and bytes of bodies are parts with lending, connections are fixed parts. The error names the file, line
// and field. The client needs a Close.
func OpenPools(path string, cfg PoolsConfig) (*Client, error) {
	file, err := config.ReadPools(path)
	if err != nil {
		return nil, fmt.Errorf("caperarch: %w", err)
	}
	for field, n := range map[string]int64{
		"MaxConnections": int64(cfg.MaxConnections), "MaxCalls": int64(cfg.MaxCalls), "MaxBodyBytes": cfg.MaxBodyBytes,
	} {
		if n < 0 {
			return nil, &InvalidError{"PoolsConfig." + field, fmt.Sprintf("%d is below 0", n)}
		}
	}
	all := &pools{table: file.Table, cores: make(map[string]*Core)}
	for i, one := range poolConfigs(file, cfg) {
		core, err := openPool(one)
		if err != nil {
			ended, stop := context.WithCancel(context.Background())
			stop()
			_ = all.close(ended) // no call is open yet
			return nil, fmt.Errorf("caperarch: %s: pools.%s: %w", path, file.List[i].Name, err)
		}
		all.cores[one.Name] = core
	}
	return &Client{pools: all}, nil
}

// poolConfigs are the configurations of the pools, with the client's bounds divided among them by weight.
func poolConfigs(file *config.Pools, cfg PoolsConfig) []Config {
	var weights []float64
	sum := 0.0
	for _, p := range file.List {
		weights = append(weights, p.Weight)
		sum += p.Weight
	}
	maxConns, maxBodies := or(cfg.MaxConnections, DefaultMaxConnections), or(cfg.MaxBodyBytes, DefaultMaxBodyBytes)
	calls := share.NewCapacity(int64(or(cfg.MaxCalls, DefaultMaxCalls)), weights)
	bodies := share.NewCapacity(maxBodies, weights)
	var all []Config
	for i, p := range file.List {
		one := configOf(p.Config)
		one.Name, one.Log = p.Name, cfg.Log
		one.MaxConnections = int(float64(maxConns) * p.Weight / sum)
		one.MaxBodyBytes = maxBodies
		one.sharedLimits = bulkhead{clock: clock.New(), calls: calls, bodies: bodies, pool: i}
		all = append(all, one)
	}
	return all
}

// openPool opens the core of one pool.
func openPool(cfg Config) (*Core, error) {
	if cfg.MaxConnections < 1 {
		return nil, errors.New("its part of the connections is none: " +
			"MaxConnections is too small, or there are too many pools")
	}
	return OpenCore(cfg, overHTTP1)
}

// route is the pool that a call goes to.
func (p *pools) route(host, target, method, class string) (*Core, error) {
	if class == "" { // as at the daemon, the first part of the path
		class = route.FirstSegment(target)
	}
	q, err := route.NewRequest(host, target, method, class)
	if err != nil {
		return nil, &InvalidError{"Request.Path", err.Error()}
	}
	rule := p.table.Match(q)
	if rule == nil {
		return nil, &InvalidError{"Request.Path", "no route is for this call"}
	}
	return p.cores[rule.Pool], nil
}

// close closes all pools at the same time: each may need the whole time that there is.
func (p *pools) close(ctx context.Context) error {
	var (
		all  sync.WaitGroup
		mu   sync.Mutex
		errs []error
	)
	for name, core := range p.cores {
		all.Go(func() {
			if err := core.Close(ctx); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, fmt.Errorf("pools.%s: %w", name, err))
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// bulkhead is a pool's share of the calls and bodies that the client holds, so that none can crowd out the others.
type bulkhead struct {
	clock         clock.Clock
	calls, bodies *share.Capacity
	pool          int // its index in the capacities
}

// Acquire reserves capacity for a call with a body of so many bytes; false: there is none.
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

// Release returns what Acquire took.
func (b bulkhead) Release(size int64) {
	b.calls.Release(b.pool, 1)
	b.bodies.Release(b.pool, size)
}
