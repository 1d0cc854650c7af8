package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/clock"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/route"
)

// RunPools is Run with several pools behind the listener: the operator's file says which request goes to which.
// The process's own settings are those of cfg; its discovery and list are not used. Each signal on reload makes
// it read the operator's file again.
func RunPools(
	ctx context.Context, cfg *config.Config, pools *config.Pools, reload <-chan os.Signal, with ...Option,
) error {
	return runPools(ctx, cfg, pools, nil, reload, with...)
}

// ServePools is RunPools on an open listener, which it closes.
func ServePools(
	ctx context.Context, cfg *config.Config, pools *config.Pools, listener net.Listener, reload <-chan os.Signal,
	with ...Option,
) error {
	return runPools(ctx, cfg, pools, listener, reload, with...)
}

// runPools is RunPools, on a listener of its own if there is none yet.
func runPools(
	ctx context.Context, cfg *config.Config, pools *config.Pools, listener net.Listener, reload <-chan os.Signal,
	with ...Option,
) error {
	d := &poolsDaemon{cfg: cfg, clock: clock.New(), log: slog.Default(), options: newOptions(with)}
	if f := d.options.fleet; f != nil && f.Policy != nil {
		return fmt.Errorf("%s: policy: sidecars with several pools (-pools) can't agree on one yet, "+
			"as it is laid over one pool's settings", f.Path)
	}
	var err error
	if d.service, err = newService(cfg, d.log, d.options); err != nil {
		return err
	}
	defer d.service.close()
	defer d.stopAll()
	d.front = fronthttp1.New(fronthttp1.Config{
		Route:       d.route,
		ConnLimits:  fronthttp1.NewConnLimits(cfg.ClientConns(), cfg.ApplicationConns()),
		MaxDeadline: maxDeadline(cfg, pools),
		Log:         d.log,
	}, d.clock)
	if err := d.apply(pools); err != nil {
		return err
	}
	if listener == nil { // last: a client that connects is served
		if listener, err = d.service.listen(cfg); err != nil {
			return err
		}
	}
	d.log.Info("serving", "name", cfg.Name, "listen", listener.Addr(), "pools", len(pools.List))
	running, stop := context.WithCancel(context.Background())
	defer stop()
	d.service.start(running, d.front)
	return d.service.serveUntil(ctx, listener, reload, func() { d.reload(pools.Path) })
}

// maxDeadline is the longest deadline of any class of the process or of a pool.
func maxDeadline(cfg *config.Config, pools *config.Pools) time.Duration {
	longest := cfg.MaxDeadline
	for _, p := range pools.List {
		longest = max(longest, p.Config.MaxDeadline)
	}
	return longest
}

// poolsDaemon runs several pools. Its methods but route belong to the goroutine of RunPools.
type poolsDaemon struct {
	cfg     *config.Config
	clock   clock.Clock
	log     *slog.Logger
	front   *fronthttp1.Front
	service *service
	options *options

	routing  atomic.Pointer[routing] // in force now
	draining sync.WaitGroup          // removed pools

	mu      sync.Mutex
	running map[*livePool]bool // removed pools that drain included; guarded by mu
}

// routing is one state of table and pools. A request ends under the one by which it arrived.
type routing struct {
	table *route.Table
	pools map[string]*livePool
}

// reload applies the operator's file as it is now. One that can't be used changes nothing.
func (d *poolsDaemon) reload(path string) {
	pools, err := config.ReadPools(path)
	if err == nil {
		err = d.apply(pools)
	}
	if err != nil {
		d.log.Error("pools file not usable, the old pools stay", "error", err)
		return
	}
	d.log.Info("pools reloaded", "pools", len(pools.List))
}

// route returns the target of a request. It may be called from any goroutine.
func (d *poolsDaemon) route(h *h1.Head) (*fronthttp1.Target, *fronthttp1.Rejection) {
	now := d.routing.Load()
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
