// Package http1 is the application's side: it takes requests over HTTP/1.1 and answers them.
package http1

import (
	"cmp"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/metrics"
	"caperarch/policy"
)

const (
	// A client beside us sends a request at once. These leave room for one that is short of CPU and
	// end those that never finish within 3 s of connecting.
	headTimeout          = 2200 * time.Millisecond // over the head, from its first byte
	bodyTimeout          = 2 * time.Second         // over the body, once the head is here
	rejectLinger         = 500 * time.Millisecond  // the rest of a rejected request is read over for so long
	responseWriteTimeout = 3 * time.Second         // a client that doesn't take its answer for so long is gone
	counterLogInterval   = 10 * time.Second
	maxTimeoutFactor     = 10 // a time-out of more than so many deadlines of its class is no usable one
)

// Engine answers what the front takes: see engine.Engine.
type Engine interface {
	Submit(q policy.Request, m *call.Message, deadline time.Duration, reply chan<- call.Answer) policy.RequestID
	ClientGone(id policy.RequestID)
	Done() <-chan struct{}
}

// Target is where requests go: an engine, what requests it takes and how many at once. Its counts are its own, and so
// are the ids that are open: the same X-Request-ID at two targets is two requests.
type Target struct {
	Engine       Engine
	Classes      map[string]int // class by name, its settings at that place in ClassOf
	ClassOf      []policy.Class
	Tenants      map[string]int   // tenant by name; empty where there are none
	MaxOpen      int              // requests held at once; 0: no bound but that on connections
	MaxBodyBytes int64            // of their bodies
	Metrics      []*metrics.Class // by class; nil: nobody counts

	sharedLimits    atomic.Pointer[SharedLimits]
	owner           owner        // of connections, under the acceptor's lock
	maxOpenOverride atomic.Int64 // requests held at once, where that is not MostOpen; 0: it is
	processes       atomic.Int64 // processes that BodyBytes is divided among; 0: one
	permitFlow      atomic.Int64 // its place in the gate's queue
	openRequests    atomic.Int64 // requests with no answer yet
	openBodyBytes   atomic.Int64 // of their bodies

	mu      sync.Mutex
	openIDs map[string]bool // ids of the requests that have no answer yet
}

// SharedLimits are bounds that several targets share.
type SharedLimits interface {
	// BeginRead takes a place for a client's connection whose request's body is to be read, or says that there is none.
	BeginRead() bool
	// EndRead gives it back.
	EndRead()
	// Reserve takes a place for a request with a body of so many bytes, or says that there is none.
	Reserve(size int64) bool
	// HasCapacity says whether there would be one now. Nothing is taken.
	HasCapacity(size int64) bool
	// Release gives it back.
	Release(size int64)
}

// SetSharedLimits has what is taken on from now on counted there too; nil: no longer.
func (t *Target) SetSharedLimits(w SharedLimits) {
	if w == nil {
		t.sharedLimits.Store(nil)
		return
	}
	t.sharedLimits.Store(&w)
}

// class is the series of a class.
func (t *Target) classMetrics(i int) *metrics.Class {
	if i < len(t.Metrics) {
		return t.Metrics[i]
	}
	return nil
}

// OpenRequests is how many requests have no answer yet.
func (t *Target) OpenRequests() int64 { return t.openRequests.Load() }

// Config says where requests go and how many clients there may be.
type Config struct {
	// Route says where a request goes, by its head, or why it goes nowhere. It is called from many goroutines.
	Route         func(h *h1.Head) (*Target, *Rejection)
	Dialect       *Dialect             // nil: the daemon's own
	Linger        time.Duration        // new connections go on coming for so long after a stop is asked for; 0: lingerTime
	ConnLimits    ConnLimits           // on clients' connections
	MaxDeadline   time.Duration        // the longest deadline of any class: what a drain waits for
	RequestLimits func() RequestLimits // on what clients send, asked for each request and each look at what rests; nil: none but the front's own
	Log           *slog.Logger

	// InMemory says that the listener's connections are no sockets: the system tells nothing of them, so that a client
	// that leaves is noticed by the next write, and only what comes with a head is read ahead.
	InMemory bool
}

// RouteTo routes all requests to one target.
func RouteTo(t *Target) func(*h1.Head) (*Target, *Rejection) {
	return func(*h1.Head) (*Target, *Rejection) { return t, nil }
}

// Front is the application's side.
type Front struct {
	cfg          Config
	clock        clock.Clock
	openRequests atomic.Int64 // requests with no answer yet, of all targets
	ready        atomic.Bool  // what GET /up tells
	draining     atomic.Bool  // each connection closes with its next answer
	watcher      *watcher
	acceptor     *acceptor
	pollWaits    pollWaits
	readPermits  atomic.Pointer[readPermits] // nil: there is one target, nothing is shared
}

// New makes a front.
func New(cfg Config, c clock.Clock) *Front {
	return &Front{cfg: cfg, clock: c, acceptor: newAcceptor(c, cfg.ConnLimits, cfg.RequestLimits)}
}

// Serve takes requests on a listener until Drain is called, and returns why it ended: net.ErrClosed after a drain.
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

// SetProcessCount bounds clients' connections to this process' part of so many processes'. What is open over that goes as it rests.
func (f *Front) SetProcessCount(parts int) { f.acceptor.setLimits(f.cfg.ConnLimits.perProcess(parts)) }

// Ready says whether the listener takes connections and no stop is asked for.
func (f *Front) Ready() bool { return f.ready.Load() }

// Counters are figures of the clients' connections.
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

// Dialect is what requests say of themselves where that is not the daemon's own way. With one there is no GET /up, and an id may be open more than once.
type Dialect struct {
	// ParseRequest takes what a request says of itself; what it can't be taken on for is a rejection. It is called from many goroutines, and what it returns holds no part of h but strings.
	ParseRequest func(h *h1.Head) (q policy.Request, left time.Duration, bad *Rejection)
	// RewriteHeaders changes what goes on to a server.
	RewriteHeaders func(q *policy.Request, fields http.Header)
	// CanPipeline says whether a request may be worked on while those before it on its connection are open, and may have others beside it that came behind it: an
	// idempotent one may. Such a request without a body is read ahead, at most aheadMost of them; answers go back in the order of the requests. An
	// answer that closes the connection has those behind it called off. nil: one at a time.
	CanPipeline func(q *policy.Request) bool
	// ProxyHeaders are the fields of an answer that is not a server's; h is its request's head, a is nil for a rejection.
	ProxyHeaders func(h *h1.Head, a *call.Answer) http.Header
}

// Rejection is why a request can't be taken on: an answer for its client alone.
type Rejection struct {
	Status     int
	Reason     string
	KeepAlive  bool          // the head is sound: its connection goes on
	RetryAfter time.Duration // Retry-After; 0: none
}

// room says whether so many requests more, with so many bytes of bodies, could be held now. Nothing is taken.
func (t *Target) hasCapacity(requests, size int64) bool {
	return t.openRequests.Load()+requests <= t.maxOpen() && t.openBodyBytes.Load()+size <= t.maxBodyBytes()
}

// mostOpen is how many requests may be held now.
func (t *Target) maxOpen() int64 {
	if bound := t.maxOpenOverride.Load(); bound > 0 {
		return bound
	}
	return int64(cmp.Or(max(0, t.MaxOpen), math.MaxInt64))
}

// SetMaxOpen has fewer requests held than MostOpen says, or as many again. What is held stays.
func (t *Target) SetMaxOpen(most int) { t.maxOpenOverride.Store(int64(most)) }

func (t *Target) maxBodyBytes() int64 { return t.MaxBodyBytes / max(1, t.processes.Load()) }

// SetProcessCount has this process hold the bytes of bodies that are its part of so many processes'.
func (t *Target) SetProcessCount(parts int) { t.processes.Store(int64(parts)) }

// take takes a place for a request with a body of so many bytes, or says that there is none.
func (t *Target) reserve(size int64) bool {
	held, bytes := t.openRequests.Add(1), t.openBodyBytes.Add(size)
	if held > t.maxOpen() || bytes > t.maxBodyBytes() {
		t.release(size)
		return false
	}
	return true
}

// give gives it back.
func (t *Target) release(size int64) {
	t.openRequests.Add(-1)
	t.openBodyBytes.Add(-size)
}

// enter takes an id into use. One that is open belongs to another request: upstreams would take a
// second under it for a copy of the first.
func (t *Target) registerID(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.openIDs[id] {
		return false
	}
	if t.openIDs == nil {
		t.openIDs = make(map[string]bool)
	}
	t.openIDs[id] = true
	return true
}

func (t *Target) unregisterID(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openIDs, id)
}
