package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/clock"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/route"
	"caperarch/internal/proxy/share"
)

// drainMargin is how long a pool that was taken away still takes requests that were routed to it before: those
// whose body was being read.
const drainMargin = 3 * time.Second

// RunPools is Run with several pools behind the listener: the operator's file says which request goes to which. The
// process's own settings are those of cfg; its discovery and list are not used. Each signal on reload has the
// operator's file read again.
func RunPools(ctx context.Context, cfg *config.Config, pools *config.Pools, reload <-chan os.Signal, with ...Option) error {
	return runPools(ctx, cfg, pools, nil, reload, with...)
}

// ServePools is RunPools on a listener that is there already, which it closes.
func ServePools(ctx context.Context, cfg *config.Config, pools *config.Pools, listener net.Listener, reload <-chan os.Signal, with ...Option) error {
	return runPools(ctx, cfg, pools, listener, reload, with...)
}

func runPools(ctx context.Context, cfg *config.Config, pools *config.Pools, listener net.Listener, reload <-chan os.Signal, with ...Option) error {
	d := &poolsDaemon{cfg: cfg, clock: clock.New(), log: slog.Default(), options: optionsOf(with)}
	if f := d.options.fleet; f != nil && f.Policy != nil {
		return fmt.Errorf("%s: policy: sidecars with several pools (-pools) can't agree on one yet, as it is laid over one pool's settings", f.Path)
	}
	var err error
	if d.service, err = newService(cfg, d.log, d.options); err != nil {
		return err
	}
	defer d.service.close()
	defer d.end()
	longest := cfg.MaxDeadline
	for _, p := range pools.List {
		longest = max(longest, p.Config.MaxDeadline)
	}
	d.front = fronthttp1.New(fronthttp1.Config{Route: d.route, ConnLimits: fronthttp1.NewConnLimits(cfg.ClientConns(), cfg.ApplicationConns()), MaxDeadline: longest, Log: d.log}, d.clock)
	if err := d.take(pools); err != nil {
		return err
	}
	if listener == nil { // last: what connects is served
		if listener, err = d.service.listen(cfg); err != nil {
			return err
		}
	}
	d.log.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "pools", len(pools.List))
	running, stop := context.WithCancel(context.Background())
	defer stop()
	d.service.serve(running, d.front)
	failed := make(chan error, 1)
	go func() { failed <- d.front.Serve(listener) }()
	for {
		select {
		case err := <-failed:
			return err
		case <-reload:
			d.again(pools.Path)
		case <-ctx.Done():
			d.service.leaving()
			return d.front.Drain()
		}
	}
}

// poolsDaemon has the pools that run.
type poolsDaemon struct {
	cfg   *config.Config
	clock clock.Clock
	log   *slog.Logger
	front *fronthttp1.Front
	*service
	*options
	now atomic.Pointer[routing]

	leaving sync.WaitGroup // pools that were taken away
	mu      sync.Mutex
	all     map[*livePool]bool // that run, leaving ones too
}

// routing is one state of table and pools. Requests end under the one that they came by.
type routing struct {
	table *route.Table
	pools map[string]*livePool
}

// livePool is a pool that runs.
type livePool struct {
	pool *config.Pool
	stop context.CancelFunc
	done sync.WaitGroup
	*parts
}

// take starts the pools that are new or changed, sends requests by the new table from then on, and has those that
// are gone drain. An error changes nothing.
func (d *poolsDaemon) take(pools *config.Pools) error {
	before := d.now.Load()
	next := &routing{table: pools.Table, pools: make(map[string]*livePool)}
	weights := make([]float64, len(pools.List))
	sum := 0.0
	for i, p := range pools.List {
		weights[i] = p.Weight
		sum += p.Weight
	}
	// Parts by weight. What is held is divided anew with each table: what older requests hold then counts in the
	// spaces that they took it from, and in the new ones not, for one deadline at most.
	calls := share.NewCapacity(int64(max(1, d.cfg.MaxOpenRequests)), weights)
	bodies := share.NewCapacity(d.cfg.MaxBodyBytes(), weights)
	// A part of the connections is left for those that have said nothing yet: nobody knows whose they are.
	clients := share.NewCapacity(int64(max(len(weights), d.cfg.ClientConns()*3/4)), weights)
	var fresh []*livePool
	for i, p := range pools.List {
		conns := int(float64(d.cfg.UpstreamConns()) * p.Weight / sum)
		if conns < 1 {
			return d.giveUp(fresh, fmt.Errorf("pools.%s: its part of %d connections to nodes is none: limits.sockets is too small, or there are too many pools", p.Name, d.cfg.UpstreamConns()))
		}
		var r *livePool
		if before != nil && before.pools[p.Name] != nil && before.pools[p.Name].pool.EqualExceptWeight(p) {
			r = before.pools[p.Name]
			d.service.resize(r.parts, conns)
		} else {
			var err error
			if r, err = d.start(p, conns); err != nil {
				return d.giveUp(fresh, fmt.Errorf("pools.%s: %w", p.Name, err))
			}
			fresh = append(fresh, r)
		}
		r.target.SetSharedLimits(nil)
		if pools.Bulkheads {
			r.target.SetSharedLimits(&walls{d.clock, clients, calls, bodies, i, d.cfg.MaxOpenRequests > 0})
		}
		next.pools[p.Name] = r
	}
	if pools.Bulkheads {
		targets := make([]*fronthttp1.Target, len(pools.List))
		for i, p := range pools.List {
			targets[i] = next.pools[p.Name].target
		}
		d.front.ShareAmong(targets, weights)
	} else {
		d.front.ShareAmong(nil, nil)
	}
	d.now.Store(next)
	if before == nil {
		return nil
	}
	for _, r := range before.pools {
		if next.pools[r.pool.Name] != r {
			d.leaving.Go(func() { d.drain(r) })
		}
	}
	return nil
}

func (d *poolsDaemon) giveUp(fresh []*livePool, err error) error {
	for _, r := range fresh {
		d.finish(r)
	}
	return err
}

// start starts a pool.
func (d *poolsDaemon) start(p *config.Pool, conns int) (*livePool, error) {
	cfg, log := p.Config, d.log.With("pool", p.Name)
	with, err := assemble(p.Name, cfg, d.clock, conns, log, d.service, d.options)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &livePool{pool: p, stop: stop, parts: with}
	r.done.Go(func() { with.engine.Run(ctx, with.known) })
	r.done.Go(func() { with.follower.Run(ctx) })
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.all == nil {
		d.all = make(map[*livePool]bool)
	}
	d.all[r] = true
	return r, nil
}

// drain lets a pool finish what was sent to it before the table changed.
func (d *poolsDaemon) drain(r *livePool) {
	d.log.Info("pool leaves", "pool", r.pool.Name, "held", r.target.OpenRequests())
	end := time.Now().Add(drainMargin + r.pool.Config.MaxDeadline)
	time.Sleep(drainMargin)
	for r.target.OpenRequests() > 0 && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	d.finish(r)
	d.log.Info("pool has left", "pool", r.pool.Name)
}

// finish ends a pool; a second call passes.
func (d *poolsDaemon) finish(r *livePool) {
	d.mu.Lock()
	runs := d.all[r]
	delete(d.all, r)
	d.mu.Unlock()
	if runs {
		r.stop()
		r.done.Wait()
		r.transport.Close()
		r.leave()
	}
}

// end ends all pools, those that leave too.
func (d *poolsDaemon) end() {
	d.mu.Lock()
	var all []*livePool
	for r := range d.all {
		all = append(all, r)
	}
	d.mu.Unlock()
	for _, r := range all {
		d.finish(r)
	}
}

// again takes the operator's file over as it is now. One that can't be used changes nothing.
func (d *poolsDaemon) again(path string) {
	pools, err := config.ReadPools(path)
	if err == nil {
		err = d.take(pools)
	}
	if err != nil {
		d.log.Error("the new pools can't be used, the old ones stay", "error", err)
		return
	}
	d.log.Info("pools read again", "pools", len(pools.List))
}

// route says which pool a request goes to.
func (d *poolsDaemon) route(h *h1.Head) (*fronthttp1.Target, *fronthttp1.Rejection) {
	now := d.now.Load()
	q, err := route.NewRequest(h.Host, h.Target, h.Method, h.Get("X-Priority-Class"))
	if err != nil {
		return nil, &fronthttp1.Rejection{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	rule := now.table.Match(q)
	if rule == nil {
		return nil, &fronthttp1.Rejection{Status: http.StatusNotFound, Reason: "no route is for this request"}
	}
	return now.pools[rule.Pool].target, nil
}

// walls are a pool's parts of what is held.
type walls struct {
	clock   clock.Clock
	clients *share.Capacity
	calls   *share.Capacity
	bodies  *share.Capacity
	pool    int
	bounded bool // calls are
}

// BeginRead takes a place for a connection with a request.
func (w *walls) BeginRead() bool { return w.clients.Acquire(w.clock.Now(), w.pool, 1) }

// EndRead gives it back.
func (w *walls) EndRead() { w.clients.Release(w.pool, 1) }

// HasCapacity says whether Reserve would take one now.
func (w *walls) HasCapacity(size int64) bool {
	now := w.clock.Now()
	return (!w.bounded || w.calls.CanAcquire(now, w.pool, 1)) && w.bodies.CanAcquire(now, w.pool, size)
}

// Reserve takes a place for a request with a body of so many bytes.
func (w *walls) Reserve(size int64) bool {
	now := w.clock.Now()
	if w.bounded && !w.calls.Acquire(now, w.pool, 1) {
		return false
	}
	if !w.bodies.Acquire(now, w.pool, size) {
		if w.bounded {
			w.calls.Release(w.pool, 1)
		}
		return false
	}
	return true
}

// Release gives it back.
func (w *walls) Release(size int64) {
	if w.bounded {
		w.calls.Release(w.pool, 1)
	}
	w.bodies.Release(w.pool, size)
}

// Explain says which rule a request takes, for people: method and URL as a client would use them, and its class.
func Explain(pools *config.Pools, method, url, class string) (string, error) {
	r, err := http.NewRequest(method, url, nil)
	if err != nil {
		return "", err
	}
	target := r.URL.EscapedPath()
	if target == "" {
		target = "/"
	}
	if class == "" { // as the protocol has it, the first part of the path
		class = route.FirstSegment(r.URL.Path)
	}
	q, err := route.NewRequest(r.Host, target, method, class)
	if err != nil {
		return "", fmt.Errorf("%d: %w", http.StatusBadRequest, err)
	}
	rule := pools.Table.Match(q)
	if rule == nil {
		return fmt.Sprintf("host %s, path %s, method %s, class %s: no route, answered 404", q.Host, q.Path, q.Method, q.Class), nil
	}
	i := slices.IndexFunc(pools.List, func(p *config.Pool) bool { return p.Name == rule.Pool })
	return fmt.Sprintf("host %s, path %s, method %s, class %s: pool %s (discovery at %s), by line %d: the most specific that matches is for %v",
		q.Host, q.Path, q.Method, q.Class, rule.Pool, pools.List[i].Config.Discovery, rule.Line, rule), nil
}
