// Package http1 sends attempts and probes to servers over HTTP/1.1.
//
// A Transport owns the connections that it keeps to its servers, and the goroutine of each attempt and probe: Close
// ends both. Its exported methods, and those of the servers that it returns, are safe for concurrent use.
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
	idleMargin        = time.Second           // a connection is used no more so long before its server closes it
	defaultReuseDelay = 10 * time.Millisecond // see takeIdle
)

// Config says how servers are reached.
type Config struct {
	Clock       clock.Clock
	DialTimeout time.Duration // how long opening a connection may take
	IdleTimeout time.Duration // servers close connections that were idle so long
	MaxConns    int           // connections to all servers together
	LoadFields  []string      // names of a load report's fields, in the order of Columns; none: there are no reports
	Columns     wire.Columns
	// OnRequestWritten is called when an attempt was written completely; nil: nobody counts.
	OnRequestWritten func()
	Dialect          *Dialect      // nil: the daemon's own
	ReuseDelay       time.Duration // a connection is idle so long before reuse; 0: defaultReuseDelay, negative: none
	UserTimeout      time.Duration // TCP_USER_TIMEOUT: connections without an acknowledgement break; 0: the system's
	// AwaitCancelled has a cancelled attempt last until its server has ended it: Cancel ends our side of the
	// connection, which tells the server, and the result follows when the server ends its own side, answers all the
	// same, or the attempt times out. Until then the server may be at work on it. false: Cancel closes the connection.
	AwaitCancelled bool

	// Dial opens connections in place of the system's own dialer, in memory for instance; nil: the system's. On a
	// connection that is no socket nothing can be seen without reading it, so what came while it was idle is found
	// only by the next response's id.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Transport sends attempts and probes to the servers, over connections that it keeps. It is not http.Transport because
// that sends again by itself when a kept connection breaks: an attempt that nobody decided on.
type Transport struct {
	clock            clock.Clock
	dialTimeout      time.Duration
	maxIdle          time.Duration // connections idle for longer are not used again
	reuseDelay       time.Duration // connections are idle so long before they are used again
	loadFields       []string
	columns          wire.Columns
	probePath        string
	dialect          *Dialect
	userTimeout      time.Duration
	dial             func(ctx context.Context, address string) (net.Conn, error)
	onRequestWritten func()
	awaitCancelled   bool
	lastByteDelay    time.Duration // how long writeRequest keeps a request's last byte back at most

	closing    atomic.Bool    // Close was called: Cancel closes connections whatever awaitCancelled says
	running    sync.WaitGroup // exchanges
	connsBreak atomic.Bool    // connections break so often that writeRequest keeps the last byte back

	mu          sync.Mutex             // guards the fields below
	exchanges   map[*exchange]struct{} // under way
	closed      bool
	maxConns    int
	idle        map[*host][]*conn // the most recently used last
	openConns   int               // idle, in use or being opened
	sweeper     *time.Timer       // set while there are idle ones
	dials       int
	staleConns  int // idle ones found closed by their server, or with bytes left over
	brokenConns int // idle ones that broke under the request that they were taken for
	reuse       reuseStats
}

// host is a server at an address. A new server at the address of a deregistered one is another host: connections to the
// old one are not its own.
type host struct {
	transport    *Transport
	address      string
	fields       []h1.Field // that each request has besides its own
	deregistered bool       // connections to it are not kept; guarded by the transport's lock, as is the next
	reuse        reuseStats // of its connections
}

// New makes a transport that has no connection open yet.
func New(cfg Config) *Transport {
	t := &Transport{
		clock:       cfg.Clock,
		dialTimeout: cfg.DialTimeout,
		// Well before the server closes it: a request written from then on would end as a reset.
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
		lastByteDelay:    lastByteDelay,
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

// Close cancels what is under way, closes all connections and returns when nothing of it is left. Nothing may be sent
// by then or later.
func (t *Transport) Close() {
	t.closing.Store(true)
	t.mu.Lock()
	t.closed = true
	exchanges := slices.Collect(maps.Keys(t.exchanges))
	t.mu.Unlock()
	for _, x := range exchanges { // which take their own lock first
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

// Server returns the server at an address (host and port).
func (t *Transport) Server(address string) call.Server { return &host{transport: t, address: address} }

// ServerWith returns the server at an address (host and port) whose requests, but for probes, have some fields besides
// their own.
func (t *Transport) ServerWith(address string, fields ...h1.Field) call.Server {
	return &host{transport: t, address: address, fields: fields}
}

// Send starts an attempt: see call.Server.
func (h *host) Send(m *call.Message, limits call.Limits, done func(call.Result)) call.Attempt {
	return h.transport.send(h, m, limits, done)
}

// Probe asks for a load report: see call.Server.
func (h *host) Probe(done func(ok bool, load policy.Load)) {
	h.transport.probe(h, h.transport.clock.Now(), done)
}

// CloseIdle closes the idle connections.
func (h *host) CloseIdle() { h.transport.closeIdle(h) }

// Deregister closes the idle connections, and has no others kept.
func (h *host) Deregister() { h.transport.deregister(h) }
