package daemon

import (
	"context"
	"sync"
	"time"

	"caperarch/internal/daemon/config"
)

const (
	// drainMargin is how long a removed pool still accepts requests that were routed to it before: those whose
	// body was being read.
	drainMargin = 3 * time.Second

	drainPollInterval = 10 * time.Millisecond
)

// livePool is a pool that runs.
type livePool struct {
	*pool
	spec    *config.Pool
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// start starts a pool.
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

// drain lets a pool finish the requests that were routed to it before the table changed, and stops it.
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

// stop stops a pool and waits for its goroutines; a second call does nothing.
func (d *poolsDaemon) stop(p *livePool) {
	d.mu.Lock()
	runs := d.running[p]
	delete(d.running, p)
	d.mu.Unlock()
	if runs {
		p.cancel()
		p.running.Wait()
		p.transport.Close()
		p.unregister()
	}
}

// stopAll stops all pools, draining ones too.
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
