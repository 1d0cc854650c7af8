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

// metricsLogInterval is the time between two lines of the log with all metrics.
const metricsLogInterval = 10 * time.Second

// service is the process as operators see it, whatever pools it has. It implements control.Handler.
type service struct {
	log            *slog.Logger
	metrics        *metrics.Set
	cordons        *cordonstore.Store
	control        net.Listener     // nil: no control calls
	maxCallers     int              // of control calls, at once
	memoryLimit    int64            // bytes of the heap; 0: no limit is known
	maxClientConns int              // of all processes of this sidecar together
	seat           *handover.Seat   // nil: this process can't be replaced while it serves
	record         *handover.Record // of the process that this one replaces; nil: none

	fleet      *fleet.Fleet // nil: sidecars know nothing of each other
	leaveFleet func()       // announces that this process leaves, and waits for that; nil: not in a fleet

	processCount atomic.Int32 // live processes of this sidecar; changed under mu

	mu      sync.Mutex
	machine handover.Machine  // guarded by mu
	pools   map[*pool]bool    // guarded by mu
	front   *fronthttp1.Front // set once by start, under mu; nil: not yet
}

// newService opens the control listener, the fleet and the seat of this process. Control calls are answered
// from start on.
func newService(cfg *config.Config, log *slog.Logger, o *options) (*service, error) {
	s := &service{
		log:            log,
		metrics:        new(metrics.Set),
		pools:          make(map[*pool]bool),
		maxCallers:     control.CallerLimit(cfg.Sockets),
		maxClientConns: cfg.ClientConns(),
		memoryLimit:    int64(cfg.MemoryMB) << 20 / 2, // well under the size at which the process is killed
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
			log.Warn("TMPDIR is not set: bans by hand end with this process, and it can't be replaced while it serves")
		}
	}
	s.openSeat(dir)
	s.cordons = cordonstore.New(dir, log)
	return s, nil
}

// close leaves the fleet, and releases the control listener and the seat.
func (s *service) close() {
	if s.leaveFleet != nil {
		s.leaveFleet()
	}
	if s.control != nil {
		s.control.Close()
	}
	if s.seat != nil {
		s.seat.Close()
	}
}

// register adds a pool; the function that it returns removes it.
func (s *service) register(p *pool) (unregister func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pools[p] = true
	s.applyPoolLimits(p)
	unfollow := s.metrics.AddUpstreams(func() (known, skipped int) {
		known, out := p.list.Counts()
		return known, min(known, out+p.engine.Avoided())
	})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pools, p)
		unfollow()
		p.list.Close()
	}
}

// start makes the front known and starts what runs beside it until ctx ends: control calls, bans, the handover to the
// next process and the log of metrics.
func (s *service) start(ctx context.Context, front *fronthttp1.Front) {
	s.mu.Lock()
	s.front = front
	s.machine.Serving()
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

// serveControl answers control calls until the listener is closed.
func (s *service) serveControl() {
	if err := control.New(s, s.maxCallers).Serve(s.control); !errors.Is(err, net.ErrClosed) {
		s.log.Error("control listener failed", "error", err)
	}
}

// logMetrics writes all metrics to the log from time to time, until ctx ends.
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

// Why the process can't serve.
var (
	errNotServing  = errors.New("clients can't connect yet, or a stop is under way")
	errEngineDown  = errors.New("an engine does not run")
	errNoUpstreams = errors.New("no upstream is known")
)

// Health returns why this process can't serve; nil: it can.
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

// Cordon bans an upstream.
func (s *service) Cordon(id string) error { return s.cordons.Cordon(id) }

// Uncordon lifts the ban.
func (s *service) Uncordon(id string) error { return s.cordons.Uncordon(id) }
