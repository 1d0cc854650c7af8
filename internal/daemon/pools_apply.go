package daemon

import (
	"fmt"

	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/clock"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/share"
)

// apply starts new and changed pools, replaces the routing table, and drains the pools that were removed or replaced.
// If apply returns an error, the old routing stays in use.
func (d *poolsDaemon) apply(pools *config.Pools) error {
	before := d.routing.Load()
	weights := poolWeights(pools)
	capacities := d.newCapacities(weights)
	next := &routing{table: pools.Table, pools: make(map[string]*livePool)}
	var started []*livePool
	for i, spec := range pools.List {
		p, isNew, err := d.reuseOrStart(spec, before, poolShare(d.cfg.UpstreamConns(), spec.Weight, weights))
		if isNew {
			started = append(started, p)
		}
		if err != nil {
			for _, p := range started {
				d.stop(p)
			}
			return fmt.Errorf("pools.%s: %w", spec.Name, err)
		}
		p.target.SetSharedLimits(nil)
		if pools.Bulkheads {
			p.target.SetSharedLimits(capacities.bulkhead(d.clock, i))
		}
		next.pools[spec.Name] = p
	}
	d.shareFront(pools, next, weights)
	d.routing.Store(next)
	d.drainRemoved(before, next)
	return nil
}

// poolWeights returns the weights of the pools in the order of pools.List.
func poolWeights(pools *config.Pools) []float64 {
	weights := make([]float64, len(pools.List))
	for i, p := range pools.List {
		weights[i] = p.Weight
	}
	return weights
}

// poolShare returns the part of total that a pool with the given weight gets, rounded down. weights are the weights of
// all pools.
func poolShare(total int, weight float64, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	return int(float64(total) * weight / sum)
}

// reuseOrStart returns the running pool with this specification, resized to conns upstream connections. If no such pool
// runs, reuseOrStart starts a new pool, and isNew is true.
func (d *poolsDaemon) reuseOrStart(spec *config.Pool, before *routing, conns int) (p *livePool, isNew bool, err error) {
	if conns < 1 {
		return nil, false, fmt.Errorf("share of the %d upstream connections is 0: "+
			"limits.sockets is too small, or there are too many pools", d.cfg.UpstreamConns())
	}
	if before != nil {
		if p := before.pools[spec.Name]; p != nil && p.spec.EqualExceptWeight(spec) {
			d.service.resizePool(p.pool, conns)
			return p, false, nil
		}
	}
	p, err = d.start(spec, conns)
	return p, err == nil, err
}

// capacities are the limits on the resources of all pools together, shared among the pools by weight. Each routing
// table gets new capacities. Requests that arrived under an older table count against the older capacities only, so the
// total may exceed the limits for up to one deadline after a change.
type capacities struct {
	clients, calls, bodies *share.Capacity
	callsBounded           bool
}

// newCapacities returns unused capacities with the limits of the process.
func (d *poolsDaemon) newCapacities(weights []float64) *capacities {
	// A quarter of the client connections is reserved for clients that have not sent a request yet: the pool of such a
	// connection is unknown.
	withRequest := max(len(weights), d.cfg.ClientConns()*3/4)
	return &capacities{
		clients:      share.NewCapacity(int64(withRequest), weights),
		calls:        share.NewCapacity(int64(max(1, d.cfg.MaxOpenRequests)), weights),
		bodies:       share.NewCapacity(d.cfg.MaxBodyBytes(), weights),
		callsBounded: d.cfg.MaxOpenRequests > 0,
	}
}

// bulkhead returns the limits of the pool with the given index.
func (c *capacities) bulkhead(clk clock.Clock, pool int) *bulkhead {
	return &bulkhead{
		clock: clk, clients: c.clients, calls: c.calls, bodies: c.bodies, pool: pool, bounded: c.callsBounded,
	}
}

// shareFront makes the front divide its own processing among the pools by weight, if the pools file enables bulkheads.
func (d *poolsDaemon) shareFront(pools *config.Pools, next *routing, weights []float64) {
	if !pools.Bulkheads {
		d.front.ShareAmong(nil, nil)
		return
	}
	targets := make([]*fronthttp1.Target, len(pools.List))
	for i, spec := range pools.List {
		targets[i] = next.pools[spec.Name].target
	}
	d.front.ShareAmong(targets, weights)
}

// drainRemoved drains the pools of the old routing that are not part of the new routing.
func (d *poolsDaemon) drainRemoved(before, next *routing) {
	if before == nil {
		return
	}
	for _, p := range before.pools {
		if next.pools[p.spec.Name] != p {
			d.draining.Go(func() { d.drain(p) })
		}
	}
}
