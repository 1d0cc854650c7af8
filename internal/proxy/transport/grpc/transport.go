// Package grpc sends attempts to servers over gRPC, with one subchannel for each server. The load balancing, retries
// and service configuration of grpc-go are disabled, because the policy decides on every attempt.
//
// A Transport owns its subchannels and the goroutine of each attempt and probe, and Close ends all of them. The
// exported methods of a Transport and of the servers that it returns are safe for concurrent use.
package grpc

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

const (
	minBackoff = 50 * time.Millisecond // first delay between attempts to connect; the delay doubles after each failure
	maxBackoff = time.Second           // short, because the policy's own backoff keeps calls off an unreachable server
	idleMargin = time.Second           // an idle connection is closed this long before its server would close it
)

// Config configures a Transport.
type Config struct {
	Clock       clock.Clock
	DialTimeout time.Duration                    // limit for opening a connection
	IdleTimeout time.Duration                    // servers close a connection without calls after this time
	MaxConns    int                              // limit on subchannels, which have one connection each
	ORCAProbes  bool                             // servers have ORCA's out-of-band service; if false, probes fail
	LoadMetrics map[string]policy.LoadFields     // field of policy.Load for each name in ORCA's named_metrics
	Credentials credentials.TransportCredentials // nil: TCP without TLS
	UserAgent   string
}

// Transport sends attempts and probes to servers.
type Transport struct {
	cfg     Config
	ctx     context.Context // cancelled by Close
	cancel  context.CancelFunc
	running sync.WaitGroup // attempts, probes and the closing of subchannels

	mu        sync.Mutex // guards the fields below
	closed    bool
	hosts     map[*host]struct{} // hosts that have a subchannel
	openConns int                // open subchannels
	dials     int
}

// host is a server at one address. It implements call.Server.
type host struct {
	transport    *Transport
	address      string
	subchannel   *subchannel // for new calls; may be nil; guarded by Transport.mu, like the fields below
	deregistered bool
	lastUsed     time.Duration // time at which the last call started
}

// subchannel is a connection to a server, which grpc-go opens and reopens. A retired subchannel is closed when its last
// call ends.
type subchannel struct {
	clientConn   *grpc.ClientConn
	calls        int           // calls in flight; guarded by Transport.mu, like the fields below
	retired      bool          // the subchannel gets no new calls
	lastResponse time.Duration // time of the last response
}

// New returns a transport without open connections.
func New(cfg Config) *Transport {
	if cfg.Credentials == nil {
		cfg.Credentials = insecure.NewCredentials()
	}
	t := &Transport{cfg: cfg, hosts: make(map[*host]struct{})}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Server returns a server for an address of the form host:port.
func (t *Transport) Server(address string) call.Server { return &host{transport: t, address: address} }

// Counters returns counters for the log, by name.
func (t *Transport) Counters() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]int{"open": t.openConns, "dialled": t.dials}
}

var errNoSubchannel = errors.New("connection limit reached, or host deregistered, or transport closed")

// acquire reserves the host's subchannel for a call, and opens a subchannel if the host has none. When MaxConns is
// reached, it retires the least recently used subchannel that has no calls.
func (t *Transport) acquire(h *host) (*subchannel, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || h.deregistered {
		return nil, errNoSubchannel
	}
	h.lastUsed = t.cfg.Clock.Now()
	if h.subchannel != nil {
		h.subchannel.calls++
		return h.subchannel, nil
	}
	if t.openConns >= t.cfg.MaxConns {
		var oldest *host
		for o := range t.hosts {
			if o.subchannel.calls == 0 && (oldest == nil || o.lastUsed < oldest.lastUsed) {
				oldest = o
			}
		}
		if oldest == nil {
			return nil, errNoSubchannel
		}
		t.retire(oldest)
	}
	cc, err := t.dial(h.address)
	if err != nil {
		return nil, err
	}
	t.openConns++
	t.dials++
	h.subchannel = &subchannel{clientConn: cc, calls: 1}
	t.hosts[h] = struct{}{}
	return h.subchannel, nil
}

func (t *Transport) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(t.cfg.Credentials),
		grpc.WithPerRPCCredentials(sendGuard{t}),
		grpc.WithStatsHandler(statsHandler{}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDisableHealthCheck(),
		grpc.WithNoProxy(),
		grpc.WithUserAgent(t.cfg.UserAgent),
		grpc.WithIdleTimeout(t.cfg.IdleTimeout-min(idleMargin, t.cfg.IdleTimeout/4)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: t.cfg.DialTimeout,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(call.MaxBufferedBody),
			grpc.MaxCallSendMsgSize(call.MaxBufferedBody+1<<10),
		),
	)
}

// retire stops a host's subchannel from getting new calls. The subchannel is closed when its last call ends. The caller
// holds Transport.mu.
func (t *Transport) retire(h *host) {
	sub := h.subchannel
	if sub == nil {
		return
	}
	h.subchannel = nil
	delete(t.hosts, h)
	sub.retired = true
	t.closeIfDone(sub)
}

// closeIfDone closes a subchannel that is retired and has no calls. The caller holds Transport.mu.
func (t *Transport) closeIfDone(sub *subchannel) {
	if sub.retired && sub.calls == 0 {
		t.openConns--
		// On a separate goroutine, because the caller may hold a lock that callbacks of grpc-go wait for.
		t.running.Go(func() { _ = sub.clientConn.Close() })
	}
}

// release ends a call on its subchannel. If the call timed out and the server has not responded on this subchannel
// since the call started, the server may be partitioned and the connection broken, so release retires the subchannel.
// The next call then opens a new connection, which fails if the server is partitioned.
func (t *Transport) release(a *attempt, ending policy.Ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	switch ending {
	case policy.Served, policy.Errored, policy.NotProcessed:
		a.subchannel.lastResponse = now
	case policy.TimedOut:
		if now-a.started >= t.cfg.DialTimeout && a.subchannel.lastResponse < a.started && a.host.subchannel == a.subchannel {
			t.retire(a.host)
		}
	}
	a.subchannel.calls--
	t.closeIfDone(a.subchannel)
}

// Send implements call.Server. It starts an attempt.
func (h *host) Send(m *call.Message, limits call.Limits, done func(call.Result)) call.Attempt {
	t := h.transport
	a := &attempt{
		transport: t, host: h, message: m, sendBy: limits.SendBy, until: limits.Until,
		started: t.cfg.Clock.Now(), done: done,
	}
	ctx, cancel := context.WithCancelCause(t.ctx)
	a.ctx, a.cancel = context.WithValue(ctx, attemptKey{}, a), cancel
	t.running.Add(1)
	sub, err := t.acquire(h)
	if err != nil {
		go func() {
			defer t.running.Done()
			cancel(nil)
			done(call.Result{Ending: policy.NotSent})
		}()
		return a
	}
	a.subchannel = sub
	go a.run()
	return a
}

// CloseIdle implements call.Server. It closes the connection if the connection has no calls.
func (h *host) CloseIdle() {
	h.transport.mu.Lock()
	defer h.transport.mu.Unlock()
	if h.subchannel != nil && h.subchannel.calls == 0 {
		h.transport.retire(h)
	}
}

// Deregister implements call.Server. The connection is closed when its last call ends, and no connection is opened
// again.
func (h *host) Deregister() {
	h.transport.mu.Lock()
	defer h.transport.mu.Unlock()
	h.deregistered = true
	h.transport.retire(h)
}

// Close cancels all attempts and probes, closes all connections and waits until their goroutines have ended.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for h := range t.hosts {
		t.retire(h)
	}
	t.mu.Unlock()
	t.cancel()
	t.running.Wait()
}
