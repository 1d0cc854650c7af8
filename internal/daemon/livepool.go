package daemon

import (
	"context"
	"sync"
	"time"

	"caperarch/internal/daemon/config"
)

const (
	// drainMargin is how long a removed pool still accepts requests that were routed to it before its removal and whose
	// body was still being read.
	drainMargin = 3 * time.Second

	drainPollInterval = 10 * time.Millisecond // interval of checks for open requests of a draining pool
)

// livePool is a running pool.
type livePool struct {
	*pool
	spec    *config.Pool
	cancel  context.CancelFunc
	running sync.WaitGroup // goroutines of the pool
}

// start builds and starts a pool with at most maxConns upstream connections.
func (d *poolsDaemon) start(spec *config.Pool, maxConns int) (*livePool, error) {
	log := d.log.With("pool", spec.Name)
	built, err := newPool(spec.Name, spec.Config, d.clock, maxConns, log, d.service, d.options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &livePool{pool: built, spec: spec, cancel: cancel}
	p.running.Go(func() { built.engine.Run(ctx, built.initial) })
	p.running.Go(func() { built.follower.Run(ctx) })
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		d.running = make(map[*livePool]bool)
	}
	d.running[p] = true
	return p, nil
}

// drain waits until a removed pool has finished the requests that were routed to it before its removal, and stops the
// pool. It waits at most drainMargin plus the pool's longest deadline.
func (d *poolsDaemon) drain(p *livePool) {
	d.log.Info("pool draining", "pool", p.name, "open_requests", p.target.OpenRequests())
	end := time.Now().Add(drainMargin + p.spec.Config.MaxDeadline)
	time.Sleep(drainMargin)
	for p.target.OpenRequests() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	d.stop(p)
	d.log.Info("pool stopped", "pool", p.name)
}

// stop stops a pool and waits for its goroutines. It does nothing if the pool is stopped already.
func (d *poolsDaemon) stop(p *livePool) {
	d.mu.Lock()
	isRunning := d.running[p]
	delete(d.running, p)
	d.mu.Unlock()
	if isRunning {
		p.cancel()
		p.running.Wait()
		p.transport.Close()
		p.unregister()
	}
}

// stopAll stops all pools, including draining pools.
func (d *poolsDaemon) stopAll() {
	d.mu.Lock()
	var all []*livePool
	for p := range d.running {
		all = append(all, p)
	}
	d.mu.Unlock()
	for _, p := range all {
		d.stop(p)
	}
}
