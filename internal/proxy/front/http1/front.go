// Package http1 is the server side of the proxy: it accepts clients' connections, reads their HTTP/1.1 requests, hands
// each to the engine of its target and writes the responses in the requests' order.
//
// A Front owns its listener from Serve on, the goroutine of each connection, and the watcher that notices clients that
// leave. Drain ends them without losing a request. All that a Front and its Targets export is safe for concurrent use.
package http1

import (
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/h1"
)

const (
	// A client beside us sends a request at once. These leave room for one that is short of CPU and
	// end those that never finish within 3 s of connecting.
	headTimeout = 2200 * time.Millisecond // over the head, from its first byte
	bodyTimeout = 2 * time.Second         // over the body, once the head is here

	responseWriteTimeout = 3 * time.Second // a client that doesn't take its response for so long is gone
	counterLogInterval   = 10 * time.Second
)

// Config says where requests go and how many clients there may be.
type Config struct {
	// Route returns a request's target by its head, or why there is none. It is called from many goroutines.
	Route       func(h *h1.Head) (*Target, *Rejection)
	Dialect     *Dialect      // nil: the daemon's own
	Linger      time.Duration // a drain goes on accepting connections for so long; 0: defaultDrainLinger
	ConnLimits  ConnLimits    // on clients' connections
	MaxDeadline time.Duration // the longest deadline of any class: what a drain waits for
	// RequestLimits are the current limits on what clients send. It is called for each request and for each look at
	// idle connections. nil: none but the front's own.
	RequestLimits func() RequestLimits
	Log           *slog.Logger

	// InMemory says that the listener's connections are no sockets: the system tells nothing of them, so that a client
	// that leaves is noticed by the next write, and only what comes with a head is read ahead.
	InMemory bool
}

// Front accepts clients' connections and serves the requests on them.
type Front struct {
	cfg          Config
	clock        clock.Clock
	openRequests atomic.Int64 // requests without a response yet, of all targets
	ready        atomic.Bool  // what GET /up reports
	draining     atomic.Bool  // each connection closes with its next response
	watcher      *watcher
	acceptor     *acceptor
	pollWaits    pollWaits
	readPermits  atomic.Pointer[readPermits] // nil: there is one target, nothing is shared
}

// New makes a front.
func New(cfg Config, c clock.Clock) *Front {
	return &Front{cfg: cfg, clock: c, acceptor: newAcceptor(c, cfg.ConnLimits, cfg.RequestLimits)}
}

// Serve accepts connections on a listener until Drain is called, and returns why it ended: net.ErrClosed after a drain.
func (f *Front) Serve(l net.Listener) error {
	if f.cfg.InMemory {
		f.watcher = new(watcher)
	} else {
		var err error
		if f.watcher, err = newWatcher(); err != nil {
			return err
		}
		defer f.watcher.close()
	}
	defer f.pollWaits.close()
	if !f.acceptor.setListener(l) {
		return net.ErrClosed
	}
	f.ready.Store(true)
	ended := make(chan struct{})
	defer close(ended)
	go f.logCounters(ended)
	for {
		c, err := f.acceptor.accept()
		if err != nil {
			return err
		}
		go f.serve(c)
		if f.readPermits.Load() != nil {
			f.pollWaits.wait() // a crowd that connects waits in the listener's queue, not in ours
		}
	}
}

// SetProcessCount limits clients' connections to this process' share where so many processes serve them. Open
// connections beyond that are closed as they become idle.
func (f *Front) SetProcessCount(processes int) {
	f.acceptor.setLimits(f.cfg.ConnLimits.perProcess(processes))
}

// Ready returns whether the listener accepts connections and no drain has begun.
func (f *Front) Ready() bool { return f.ready.Load() }

// Counters count the clients' connections.
func (f *Front) Counters() Counters { return f.acceptor.counters() }

func (f *Front) logCounters(ended <-chan struct{}) {
	ticker := time.NewTicker(counterLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.cfg.Log.Info("clients", "connections", f.Counters(), "held", f.openRequests.Load())
		case <-ended:
			return
		}
	}
}
