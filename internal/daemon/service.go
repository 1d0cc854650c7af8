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

// figuresEvery is how often the figures go to the log.
const figuresEvery = 10 * time.Second

// service is what operators see of the process, whatever pools it has.
type service struct {
	log     *slog.Logger
	figures *metrics.Set
	keeper  *cordonstore.Store
	control net.Listener     // nil: operators call nowhere
	callers int              // at once
	memory  int64            // bytes that the heap may have; 0: no limit is known
	most    int              // clients' connections, of all processes of this sidecar together
	seat    *handover.Seat   // nil: a process that comes while this one lives finds its address in use
	record  *handover.Record // what the process before told; nil: nothing

	fleet   *fleet.Fleet // nil: sidecars know nothing of each other
	parting func()       // has the fleet told that this one leaves; nil: there is none

	divided atomic.Int32 // processes that live; changed under the lock

	mu      sync.Mutex
	machine handover.Machine
	front   *fronthttp1.Front // nil: not yet
	parts   map[*parts]bool
}

// newService listens where operators call. Their calls are answered once serve is called.
func newService(cfg *config.Config, log *slog.Logger, o *options) (*service, error) {
	s := &service{
		log: log, figures: new(metrics.Set), parts: make(map[*parts]bool), callers: control.CallerLimit(cfg.Sockets),
		most:   cfg.ClientConns(),
		memory: int64(cfg.MemoryMB) << 20 / 2, // well under what the process is killed at
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
	s.sit(dir)
	s.keeper = cordonstore.New(dir, log)
	return s, nil
}

func (s *service) close() {
	if s.parting != nil {
		s.parting()
	}
	if s.control != nil {
		s.control.Close()
	}
	if s.seat != nil {
		s.seat.Close()
	}
}

// enter takes an engine on; the function that it returns takes it off.
func (s *service) enter(p *parts) (leave func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts[p] = true
	s.fit(p)
	unfollow := s.figures.FollowUpstreams(func() (known, skipped int) {
		known, out := p.list.Counts()
		return known, min(known, out+p.engine.Avoided())
	})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.parts, p)
		unfollow()
		p.list.Close()
	}
}

// serve answers operators until ctx ends.
func (s *service) serve(ctx context.Context, f *fronthttp1.Front) {
	s.mu.Lock()
	s.front = f
	s.machine.Serving()
	f.SetProcessCount(s.parted())
	s.mu.Unlock()
	s.join()
	if s.control == nil {
		return
	}
	go s.watch(ctx)
	s.log.Info("operators", "control", s.control.Addr())
	go s.keeper.Run(ctx)
	go func() {
		if err := control.New(s, s.callers).Serve(s.control); !errors.Is(err, net.ErrClosed) {
			s.log.Error("operators can't call any more", "error", err)
		}
	}()
	go func() {
		ticker := time.NewTicker(figuresEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.log.Info("figures", "now", s.figures.Snapshot())
			case <-ctx.Done():
				return
			}
		}
	}()
}

// What health says no for.
var (
	errNotYet  = errors.New("clients can't connect yet, or a stop is under way")
	errEngine  = errors.New("an engine does not run")
	errNoLists = errors.New("no upstream is known")
)

// Health says why this process can't serve; nil: it can.
func (s *service) Health() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.front == nil || !s.front.Ready() {
		return errNotYet
	}
	known := 0
	for p := range s.parts {
		if !p.engine.Running() {
			return errEngine
		}
		n, _ := p.list.Counts()
		known += n
	}
	if known == 0 {
		return errNoLists
	}
	return nil
}

// Counters writes the figures.
func (s *service) Counters(to io.Writer) error { return s.figures.Snapshot().WriteText(to) }

// Cordon takes an upstream out by hand.
func (s *service) Cordon(id string) error { return s.keeper.Cordon(id) }

// Uncordon has it used again.
func (s *service) Uncordon(id string) error { return s.keeper.Uncordon(id) }
