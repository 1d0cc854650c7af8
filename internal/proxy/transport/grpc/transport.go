// Package grpc sends attempts to servers over gRPC, with one subchannel for each server. grpc-go's own balancing,
// retries and service configuration are off: the policy decides on every attempt.
//
// A Transport owns its subchannels and the goroutine of each attempt and probe: Close ends both. Its exported methods,
// and those of the servers that it returns, are safe for concurrent use.
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
	minBackoff = 50 * time.Millisecond // between two attempts to connect, doubled after each failed one
	maxBackoff = time.Second           // up to this: the policy's own backoff keeps calls off such a server
	idleMargin = time.Second           // an idle connection closes so much before its server would close it
)

// Config says how servers are reached.
type Config struct {
	Clock       clock.Clock
	DialTimeout time.Duration                    // how long opening a connection may take
	IdleTimeout time.Duration                    // servers close connections without a call for so long
	MaxConns    int                              // subchannels at most, a connection each
	ORCAProbes  bool                             // servers have ORCA's out-of-band service: without it probes fail
	LoadMetrics map[string]policy.LoadFields     // which fields of a load ORCA's named_metrics are
	Credentials credentials.TransportCredentials // nil: plain TCP
	UserAgent   string
}

// Transport sends attempts and probes to servers.
type Transport struct {
	cfg     Config
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	running sync.WaitGroup // attempts and probes

	mu        sync.Mutex // guards the fields below
	closed    bool
	hosts     map[*host]struct{} // those with a subchannel
	openConns int                // subchannels
	dials     int
}

// host is a server at an address.
type host struct {
	transport    *Transport
	address      string
	subchannel   *subchannel // for new calls; nil: none. Guarded by the transport's lock, as the next two
	deregistered bool
	lastUsed     time.Duration // last
}

// subchannel is a connection to a server, which grpc opens and reopens. A retired one closes with its last call.
type subchannel struct {
	clientConn   *grpc.ClientConn
	calls        int           // in flight; guarded by the transport's lock, as the next two
	retired      bool          // it gets no new calls
	lastResponse time.Duration // last
}

// New makes a transport that has no connection open yet.
func New(cfg Config) *Transport {
	if cfg.Credentials == nil {
		cfg.Credentials = insecure.NewCredentials()
	}
	t := &Transport{cfg: cfg, hosts: make(map[*host]struct{})}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Server returns the server at an address (host and port).
func (t *Transport) Server(address string) call.Server { return &host{transport: t, address: address} }

// Counters are figures for the log, by name.
func (t *Transport) Counters() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]int{"open": t.openConns, "dialled": t.dials}
}

var errNoDescriptor = errors.New("no descriptor is left for a connection")

// acquire reserves the host's subchannel for a call, and opens one if there is none. At the limit the one that has been
// without a call for longest makes room.
func (t *Transport) acquire(h *host) (*subchannel, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || h.deregistered {
		return nil, errNoDescriptor
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
			return nil, errNoDescriptor
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

// retire has a host's subchannel get no new call; it closes with its last one. The caller holds the lock.
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

// closeIfDone closes a retired subchannel without calls. The caller holds the lock.
func (t *Transport) closeIfDone(sub *subchannel) {
	if sub.retired && sub.calls == 0 {
		t.openConns--
		// Off the caller's goroutine, which may hold what grpc's callbacks wait for.
		t.running.Go(func() { _ = sub.clientConn.Close() })
	}
}

// release ends a call on its subchannel. A server that let a call time out and has not responded since it began may be
// partitioned, and its connection broken: the next call opens another, which shows that.
func (t *Transport) release(a *attempt, ending policy.Ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	switch ending {
	case policy.Served, policy.Errored, policy.NotProcessed:
		a.subchannel.lastResponse = now
	case policy.TimedOut:
		if now-a.begun >= t.cfg.DialTimeout && a.subchannel.lastResponse < a.begun && a.host.subchannel == a.subchannel {
			t.retire(a.host)
		}
	}
	a.subchannel.calls--
	t.closeIfDone(a.subchannel)
}

// Send starts an attempt: see call.Server.
func (h *host) Send(m *call.Message, limits call.Limits, done func(call.Result)) call.Attempt {
	t := h.transport
	a := &attempt{
		transport: t, host: h, message: m, sendBy: limits.SendBy, until: limits.Until,
		begun: t.cfg.Clock.Now(), done: done,
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

// CloseIdle closes the connection if no call is on it.
func (h *host) CloseIdle() {
	h.transport.mu.Lock()
	defer h.transport.mu.Unlock()
	if h.subchannel != nil && h.subchannel.calls == 0 {
		h.transport.retire(h)
	}
}

// Deregister closes the connection with its last call, and has no other opened.
func (h *host) Deregister() {
	h.transport.mu.Lock()
	defer h.transport.mu.Unlock()
	h.deregistered = true
	h.transport.retire(h)
}

// Close cancels what is under way, closes all connections and returns when nothing of it is left.
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
