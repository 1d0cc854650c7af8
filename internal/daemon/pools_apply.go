package daemon

import (
	"fmt"

	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/clock"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/share"
)

// apply starts the pools that are new or changed, routes requests by the new table from then on, and drains the pools
// that were removed. An error changes nothing.
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

// poolWeights are the pools' weights, in their order.
func poolWeights(pools *config.Pools) []float64 {
	weights := make([]float64, len(pools.List))
	for i, p := range pools.List {
		weights[i] = p.Weight
	}
	return weights
}

// poolShare is the share of a total that a pool of this weight gets among all weights.
func poolShare(total int, weight float64, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	return int(float64(total) * weight / sum)
}

// reuseOrStart returns the pool of this specification that runs already, or starts one.
func (d *poolsDaemon) reuseOrStart(spec *config.Pool, before *routing, conns int) (p *livePool, isNew bool, err error) {
	if conns < 1 {
		return nil, false, fmt.Errorf("its part of %d connections to nodes is none: "+
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

// capacities are what all pools hold together, shared by weight. They are made anew with each table: what older
// requests hold counts against the capacities that they took it from, and not against the new ones, for one
// deadline at most.
type capacities struct {
	clients, calls, bodies *share.Capacity
	callsBounded           bool
}

func (d *poolsDaemon) newCapacities(weights []float64) *capacities {
	// Some connections are left for clients that have sent nothing yet: nobody knows which pool they will use.
	withRequest := max(len(weights), d.cfg.ClientConns()*3/4)
	return &capacities{
		clients:      share.NewCapacity(int64(withRequest), weights),
		calls:        share.NewCapacity(int64(max(1, d.cfg.MaxOpenRequests)), weights),
		bodies:       share.NewCapacity(d.cfg.MaxBodyBytes(), weights),
		callsBounded: d.cfg.MaxOpenRequests > 0,
	}
}

// bulkhead is the share of the pool of this index.
func (c *capacities) bulkhead(clk clock.Clock, pool int) *bulkhead {
	return &bulkhead{
		clock: clk, clients: c.clients, calls: c.calls, bodies: c.bodies, pool: pool, bounded: c.callsBounded,
	}
}

// shareFront divides the front's own work among the pools by weight, if the file says so.
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

// drainRemoved drains the pools that are not in the new table.
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
