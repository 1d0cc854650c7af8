// Package http1 sends attempts and probes to servers over HTTP/1.1.
//
// A Transport owns the connections to its servers and the goroutine of each attempt and probe, and Close ends all of
// them. The exported methods of a Transport and of the servers that it returns are safe for concurrent use.
package http1

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/wire"
	"caperarch/policy"
)

const (
	idleMargin        = time.Second           // an idle connection is closed this long before its server would close it
	defaultReuseDelay = 10 * time.Millisecond // idle time before reuse; takeIdle has the reason
)

// Config configures a Transport.
type Config struct {
	Clock       clock.Clock
	DialTimeout time.Duration // limit for opening a connection
	IdleTimeout time.Duration // servers close connections after this idle time
	MaxConns    int           // limit on open connections to all servers together
	LoadFields  []string      // load report fields, in the order of Columns; empty: servers send no load reports
	Columns     wire.Columns  // policy field of each load report field
	// OnRequestWritten is called when the request of an attempt was written completely. It may be nil.
	OnRequestWritten func()
	Dialect          *Dialect // nil: the daemon's own protocol
	// ProcessingStart is the protocol's rule on when a server may process a request. The zero value suits every server.
	ProcessingStart ProcessingStart
	ReuseDelay      time.Duration // minimum idle time before reuse; 0: defaultReuseDelay; negative: no minimum
	UserTimeout     time.Duration // TCP_USER_TIMEOUT, the limit for unacknowledged data; 0: the system's default
	// AwaitCancelled delays the result of a cancelled attempt until the server has finished with the request. Cancel
	// then closes only the write side of the connection, which notifies the server, and the result is reported when the
	// server closes its side or responds, or when the attempt times out. Until then the server may still be processing
	// the request. If AwaitCancelled is false, Cancel closes the connection.
	AwaitCancelled bool

	// Dial opens connections, for instance in memory; nil: TCP connections of the system. A connection that is not a
	// socket cannot be checked for unread bytes before it is reused, so a late response that arrived while it was idle
	// is detected only by Dialect.MatchesRequest.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Transport sends attempts and probes to servers over persistent connections. It does not use http.Transport, because
// http.Transport retries a request by itself when a reused connection breaks, and only the policy may decide on a
// retry.
type Transport struct {
	clock            clock.Clock
	dialTimeout      time.Duration
	maxIdle          time.Duration // connections that were idle for longer are not reused
	reuseDelay       time.Duration // minimum idle time of a connection before it is reused
	loadFields       []string
	columns          wire.Columns
	probePath        string // path of the probe's request
	dialect          *Dialect
	userTimeout      time.Duration
	dial             func(ctx context.Context, address string) (net.Conn, error)
	onRequestWritten func()
	awaitCancelled   bool
	processingStart  ProcessingStart
	startDelay       time.Duration // see the constant startDelay

	closing         atomic.Bool    // Close was called, so Cancel closes connections even if awaitCancelled is set
	running         sync.WaitGroup // goroutines of exchanges
	connsBreakOften atomic.Bool    // connections break so often that requests are delayed: see requestWriter.delay

	mu          sync.Mutex             // guards the fields below
	exchanges   map[*exchange]struct{} // exchanges in flight
	closed      bool
	maxConns    int
	idle        map[*host][]*conn // idle connections of each host, the most recently used last
	openConns   int               // connections that are idle, in use or being opened
	sweeper     *time.Timer       // runs sweepIdle; set while connections are idle
	dials       int               // connections opened
	staleConns  int               // idle connections that the server had closed, or that had unread bytes
	brokenConns int               // reused connections that broke during a request
	reuse       reuseStats        // of all connections
}

// host is a server at one address. It implements call.Server. A new server at the address of a deregistered server is a
// separate host, because it must not use connections to the old server.
type host struct {
	transport    *Transport
	address      string
	fields       []h1.Field // added to each request other than a probe
	deregistered bool       // connections to the host are not kept; guarded by Transport.mu, like the field below
	reuse        reuseStats // of the host's connections
}

// New returns a transport without open connections.
func New(cfg Config) *Transport {
	t := &Transport{
		clock:       cfg.Clock,
		dialTimeout: cfg.DialTimeout,
		// Well before the server closes the connection: a request that is written as the server closes it is reset.
		maxIdle:          cfg.IdleTimeout - min(idleMargin, cfg.IdleTimeout/4),
		reuseDelay:       max(0, cmp.Or(cfg.ReuseDelay, defaultReuseDelay)),
		loadFields:       cfg.LoadFields,
		columns:          cfg.Columns,
		probePath:        "/alive",
		dialect:          cfg.Dialect,
		userTimeout:      cfg.UserTimeout,
		dial:             cfg.Dial,
		onRequestWritten: cfg.OnRequestWritten,
		awaitCancelled:   cfg.AwaitCancelled,
		processingStart:  cfg.ProcessingStart,
		startDelay:       startDelay,
		maxConns:         cfg.MaxConns,
		idle:             make(map[*host][]*conn),
		exchanges:        make(map[*exchange]struct{}),
	}
	if t.dial == nil {
		t.dial = t.dialSystem
	}
	if t.onRequestWritten == nil {
		t.onRequestWritten = func() {}
	}
	if len(cfg.LoadFields) > 0 {
		t.probePath = "/metrics/load"
	}
	return t
}

// Close cancels all exchanges, closes all connections and waits until all goroutines have ended. Nothing may be sent
// during or after Close.
func (t *Transport) Close() {
	t.closing.Store(true)
	t.mu.Lock()
	t.closed = true
	exchanges := slices.Collect(maps.Keys(t.exchanges))
	t.mu.Unlock()
	for _, x := range exchanges { // without t.mu: an exchange locks its own mutex first
		x.Cancel()
	}
	t.running.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for to, conns := range t.idle {
		t.closeIdleLocked(to, len(conns))
	}
	if t.sweeper != nil {
		t.sweeper.Stop()
	}
}

// Server returns a server for an address of the form host:port.
func (t *Transport) Server(address string) call.Server { return &host{transport: t, address: address} }

// ServerWith returns a server for an address of the form host:port. The fields are added to all requests other than
// probes.
func (t *Transport) ServerWith(address string, fields ...h1.Field) call.Server {
	return &host{transport: t, address: address, fields: fields}
}

// Send implements call.Server. It starts an attempt.
func (h *host) Send(m *call.Message, limits call.Limits, done func(call.Result)) call.Attempt {
	return h.transport.send(h, m, limits, done)
}

// Probe implements call.Server. It requests a load report.
func (h *host) Probe(done func(ok bool, load policy.Load)) {
	h.transport.probe(h, h.transport.clock.Now(), done)
}

// CloseIdle implements call.Server. It closes the host's idle connections.
func (h *host) CloseIdle() { h.transport.closeIdle(h) }

// Deregister implements call.Server. It closes the host's idle connections; other connections are closed after use.
func (h *host) Deregister() { h.transport.deregister(h) }
