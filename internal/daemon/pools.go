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

// RunPools is like Run but serves several pools of upstreams. The pools file assigns requests to pools. The limits and
// the addresses of the process are those of cfg; the discovery address and the server list of cfg are not used. On each
// signal from reload, RunPools reads the pools file again.
func RunPools(
	ctx context.Context, cfg *config.Config, pools *config.Pools, reload <-chan os.Signal, with ...Option,
) error {
	return runPools(ctx, cfg, pools, nil, reload, with...)
}

// ServePools is like RunPools but serves on the given listener, which it closes.
func ServePools(
	ctx context.Context, cfg *config.Config, pools *config.Pools, listener net.Listener, reload <-chan os.Signal,
	with ...Option,
) error {
	return runPools(ctx, cfg, pools, listener, reload, with...)
}

// runPools implements RunPools and ServePools. If listener is nil, runPools opens one on the configured address.
func runPools(
	ctx context.Context, cfg *config.Config, pools *config.Pools, listener net.Listener, reload <-chan os.Signal,
	with ...Option,
) error {
	d := &poolsDaemon{cfg: cfg, clock: clock.New(), log: slog.Default(), options: newOptions(with)}
	if f := d.options.fleet; f != nil && f.Policy != nil {
		return fmt.Errorf("%s: policy: not supported together with several pools (-pools), "+
			"because the fleet's policy changes the settings of a single pool", f.Path)
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
	// The listener is opened last, so that a client that connects is served immediately.
	if listener == nil {
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

// maxDeadline returns the longest deadline of all classes of the process and of the pools.
func maxDeadline(cfg *config.Config, pools *config.Pools) time.Duration {
	longest := cfg.MaxDeadline
	for _, p := range pools.List {
		longest = max(longest, p.Config.MaxDeadline)
	}
	return longest
}

// poolsDaemon runs several pools. Only route is safe for concurrent use; the goroutine of RunPools calls the other
// methods. A goroutine for each removed pool calls drain and stop.
type poolsDaemon struct {
	cfg     *config.Config
	clock   clock.Clock
	log     *slog.Logger
	front   *fronthttp1.Front
	service *service
	options *options

	routing  atomic.Pointer[routing] // current routing
	draining sync.WaitGroup          // goroutines that drain removed pools

	mu      sync.Mutex
	running map[*livePool]bool // all pools that are not stopped, including draining pools; guarded by mu
}

// routing is an immutable routing table with its pools. A request completes in the pool that the routing selected when
// the request arrived.
type routing struct {
	table *route.Table
	pools map[string]*livePool
}

// reload reads and applies the pools file. If the file is invalid, the old pools stay in use.
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

// route returns the target of a request, or a rejection. It is safe for concurrent use.
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
