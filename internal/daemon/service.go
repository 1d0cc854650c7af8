package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/daemon/control"
	"caperarch/internal/daemon/cordonstore"
	"caperarch/internal/daemon/handover"
	"caperarch/internal/fleet"
	fronthttp1 "caperarch/internal/proxy/front/http1"
	"caperarch/internal/proxy/metrics"
)

// metricsLogInterval is the interval at which all metrics are logged.
const metricsLogInterval = 10 * time.Second

// service implements the functions of the process that do not depend on the number of pools: control calls, bans,
// metrics, fleet membership and the handover between processes. It implements control.Handler.
type service struct {
	log            *slog.Logger
	metrics        *metrics.Set
	cordons        *cordonstore.Store
	control        net.Listener          // nil: the control port is disabled
	maxCallers     int                   // maximum number of concurrent control callers
	memoryLimit    int64                 // heap limit in bytes; 0: no limit is known
	maxClientConns int                   // maximum number of client connections of all processes of this sidecar
	coordinator    *handover.Coordinator // nil: this process can't be replaced while it serves
	record         *handover.Record      // handover record of the process that this process replaces; nil: none

	fleet      *fleet.Fleet // nil: this process belongs to no fleet
	leaveFleet func()       // announces that this process leaves the fleet, and waits; nil: it has not joined a fleet

	processCount atomic.Int32 // number of live processes of this sidecar; written only under mu

	mu           sync.Mutex
	stateMachine handover.StateMachine // guarded by mu
	pools        map[*pool]bool        // guarded by mu
	front        *fronthttp1.Front     // set once by start, under mu; nil before start
}

// newService opens the control listener, creates the fleet member and registers this process with the other processes
// of its sidecar. start begins to answer control calls.
func newService(cfg *config.Config, log *slog.Logger, o *options) (*service, error) {
	s := &service{
		log:            log,
		metrics:        new(metrics.Set),
		pools:          make(map[*pool]bool),
		maxCallers:     control.CallerLimit(cfg.Sockets),
		maxClientConns: cfg.ClientConns(),
		memoryLimit:    int64(cfg.MemoryMB) << 20 / 2, // half of the size at which the process is killed
	}
	if o.fleet != nil {
		var err error
		if s.fleet, err = fleet.New(cfg, o.fleet, log); err != nil {
			return nil, err
		}
	}
	dir := ""
	if cfg.Control != "" {
		var err error
		if s.control, err = control.Listen(cfg.Control); err != nil {
			return nil, fmt.Errorf("control: %w", err)
		}
		if dir = os.Getenv("TMPDIR"); dir == "" {
			log.Warn("TMPDIR is not set: bans end with this process, and the process can't be replaced while it serves")
		}
	}
	s.openCoordinator(dir)
	s.cordons = cordonstore.New(dir, log)
	return s, nil
}

// close leaves the fleet, closes the control listener and releases the locks of this process.
func (s *service) close() {
	if s.leaveFleet != nil {
		s.leaveFleet()
	}
	if s.control != nil {
		s.control.Close()
	}
	if s.coordinator != nil {
		s.coordinator.Close()
	}
}

// register adds a pool and returns the function that removes the pool.
func (s *service) register(p *pool) (unregister func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[p] = true
	s.applyPoolLimits(p)
	unfollow := s.metrics.AddUpstreams(func() (known, skipped int) {
		known, excluded := p.list.Counts()
		return known, min(known, excluded+p.engine.Avoided())
	})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pools, p)
		unfollow()
		p.list.Close()
	}
}

// start registers the front and starts the goroutines that run until ctx is done: control calls, bans, the handover to
// a successor, and the log of metrics.
func (s *service) start(ctx context.Context, front *fronthttp1.Front) {
	s.mu.Lock()
	s.front = front
	s.stateMachine.SetServing()
	front.SetProcessCount(s.processes())
	s.mu.Unlock()
	s.joinFleet()
	if s.control == nil {
		return
	}
	go s.watchProcesses(ctx)
	s.log.Info("control calls accepted", "address", s.control.Addr())
	go s.cordons.Run(ctx)
	go s.serveControl()
	go s.logMetrics(ctx)
}

// serveControl serves control calls until the control listener is closed.
func (s *service) serveControl() {
	if err := control.New(s, s.maxCallers).Serve(s.control); !errors.Is(err, net.ErrClosed) {
		s.log.Error("control listener failed", "error", err)
	}
}

// logMetrics logs all metrics at intervals of metricsLogInterval until ctx is done.
func (s *service) logMetrics(ctx context.Context) {
	ticker := time.NewTicker(metricsLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.log.Info("figures", "now", s.metrics.Snapshot())
		case <-ctx.Done():
			return
		}
	}
}

// Errors of Health.
var (
	errNotServing  = errors.New("clients can't connect yet, or a stop is under way")
	errEngineDown  = errors.New("an engine does not run")
	errNoUpstreams = errors.New("no upstream is known")
)

// Health returns nil if this process can serve requests, or an error that states why it can't.
func (s *service) Health() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.front == nil || !s.front.Ready() {
		return errNotServing
	}
	known := 0
	for p := range s.pools {
		if !p.engine.Running() {
			return errEngineDown
		}
		listed, _ := p.list.Counts()
		known += listed
	}
	if known == 0 {
		return errNoUpstreams
	}
	return nil
}

// Counters writes all metrics.
func (s *service) Counters(to io.Writer) error { return s.metrics.Snapshot().WriteText(to) }

// Cordon bans an upstream in all pools.
func (s *service) Cordon(id string) error { return s.cordons.Cordon(id) }

// Uncordon lifts the ban on an upstream in all pools.
func (s *service) Uncordon(id string) error { return s.cordons.Uncordon(id) }
