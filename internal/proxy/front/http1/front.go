// Package http1 is the server side of the proxy. It accepts client connections, reads HTTP/1.1 requests, hands each
// request to the engine of its target, and writes the responses in the order of the requests.
//
// From Serve on, a Front owns its listener, one goroutine per connection, and the watcher that detects clients that
// leave. Drain stops all of them without losing a request. The exported methods of Front and Target are safe for
// concurrent use.
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
	// A client on the same machine sends its request at once. These limits allow for a client that is short of CPU,
	// and end a request that is still incomplete 3 s after its client connected.
	headTimeout = 2200 * time.Millisecond // for the head, from its first byte
	bodyTimeout = 2 * time.Second         // for the body, from the end of the head

	responseWriteTimeout = 3 * time.Second // for a response: a client that accepts no bytes in this time has left
	counterLogInterval   = 10 * time.Second
)

// Config configures a Front: where requests go, and the limits on clients.
type Config struct {
	// Route returns the target of a request by its head, or the reason why the request has no target. It is called
	// from many goroutines.
	Route       func(h *h1.Head) (*Target, *Rejection)
	Dialect     *Dialect      // nil: requests are parsed in the daemon's own way
	Linger      time.Duration // how long a drain keeps accepting connections; 0: defaultDrainLinger
	ConnLimits  ConnLimits    // limits on client connections
	MaxDeadline time.Duration // the longest deadline of any request class; a drain waits this long
	// RequestLimits returns the current limits on what clients send. It is called for each request and for each check
	// of idle connections. nil: only the front's own limits apply.
	RequestLimits func() RequestLimits
	Log           *slog.Logger

	// InMemory says that the listener's connections are not sockets, so the system reports no events on them: a
	// client that leaves is detected by the next write, and only bytes received together with a head are read ahead.
	InMemory bool
}

// Front accepts client connections and serves the requests on them.
type Front struct {
	cfg          Config
	clock        clock.Clock
	openRequests atomic.Int64 // requests without a response yet, for all targets
	ready        atomic.Bool  // reported by GET /up
	draining     atomic.Bool  // each connection closes with its next response
	watcher      *watcher
	acceptor     *acceptor
	pollWaits    pollWaits
	readPermits  atomic.Pointer[readPermits] // nil: the front has one target, so reads need no permits
}

// New returns a front that does not serve yet.
func New(cfg Config, c clock.Clock) *Front {
	return &Front{cfg: cfg, clock: c, acceptor: newAcceptor(c, cfg.ConnLimits, cfg.RequestLimits)}
}

// Serve accepts connections from a listener until Drain is called, and returns the reason why it ended: net.ErrClosed
// after a drain.
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
			f.pollWaits.wait() // while many clients connect at once, they wait in the listener's backlog
		}
	}
}

// SetProcessCount limits client connections to this process's part of the limits when several processes serve the
// same clients. Open connections beyond it are closed as they become idle.
func (f *Front) SetProcessCount(processes int) {
	f.acceptor.setLimits(f.cfg.ConnLimits.perProcess(processes))
}

// Ready returns whether the listener accepts connections and no drain has begun.
func (f *Front) Ready() bool { return f.ready.Load() }

// Counters returns the current counts of client connections.
func (f *Front) Counters() Counters { return f.acceptor.counters() }

// logCounters logs the counts every counterLogInterval until ended is closed.
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
