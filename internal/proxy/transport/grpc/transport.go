// Package grpc carries attempts to servers over gRPC, one subchannel a server. grpc-go's own balancing,
// retries and service configuration are off: the module decides every attempt.
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
	firstBackoff = 50 * time.Millisecond // before a connection that failed is tried again, doubled after each
	lastBackoff  = time.Second           // up to this: the module's own pauses keep calls off such a server
	idleMargin   = time.Second           // connections close so much before a server would close them
)

// Config says how servers are reached.
type Config struct {
	Clock       clock.Clock
	DialTimeout time.Duration                    // how long a connection may take to come up
	IdleTimeout time.Duration                    // a connection with no call on it for so long is closed
	MaxConns    int                              // subchannels at most, a connection each
	Probes      bool                             // servers have ORCA's out-of-band service
	Report      map[string]policy.LoadFields     // ORCA's named_metrics that tell the module something
	Credentials credentials.TransportCredentials // nil: plain TCP
	UserAgent   string
}

// Transport is safe for concurrent use.
type Transport struct {
	cfg     Config
	ctx     context.Context // ends with Close
	stop    context.CancelFunc
	running sync.WaitGroup // attempts and probes

	mu      sync.Mutex
	closed  bool
	hosts   map[*host]struct{} // those with a subchannel
	open    int                // subchannels
	dialled int
}

// host is a server at an address.
type host struct {
	t       *Transport
	address string
	sub     *subchannel // in use for new calls; nil: none. Under the transport's lock, as the next two.
	left    bool
	used    time.Duration // last
}

// subchannel is a connection to a server, which grpc opens and opens again. One that is retired closes with its last call.
type subchannel struct {
	cc       *grpc.ClientConn
	out      int           // calls under way; under the transport's lock, as the next two
	retired  bool          // no new ones
	answered time.Duration // last
}

// New makes a transport with nothing open yet.
func New(cfg Config) *Transport {
	if cfg.Credentials == nil {
		cfg.Credentials = insecure.NewCredentials()
	}
	t := &Transport{cfg: cfg, hosts: make(map[*host]struct{})}
	t.ctx, t.stop = context.WithCancel(context.Background())
	return t
}

// Server is a server at an address.
func (t *Transport) Server(address string) call.Server { return &host{t: t, address: address} }

// Counters are for the log.
func (t *Transport) Counters() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]int{"open": t.open, "dialled": t.dialled}
}

var errNoRoom = errors.New("no descriptor is left for a connection")

// hold takes the host's subchannel for a call, opening one where there is none. At the limit the one that has
// stood without a call for longest makes room.
func (t *Transport) hold(h *host) (*subchannel, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || h.left {
		return nil, errNoRoom
	}
	h.used = t.cfg.Clock.Now()
	if h.sub != nil {
		h.sub.out++
		return h.sub, nil
	}
	if t.open >= t.cfg.MaxConns {
		var oldest *host
		for o := range t.hosts {
			if o.sub.out == 0 && (oldest == nil || o.used < oldest.used) {
				oldest = o
			}
		}
		if oldest == nil {
			return nil, errNoRoom
		}
		t.retire(oldest)
	}
	cc, err := t.dial(h.address)
	if err != nil {
		return nil, err
	}
	t.open++
	t.dialled++
	h.sub = &subchannel{cc: cc, out: 1}
	t.hosts[h] = struct{}{}
	return h.sub, nil
}

func (t *Transport) dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(t.cfg.Credentials),
		grpc.WithPerRPCCredentials(guard{t}),
		grpc.WithStatsHandler(signals{}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDisableHealthCheck(),
		grpc.WithNoProxy(),
		grpc.WithUserAgent(t.cfg.UserAgent),
		grpc.WithIdleTimeout(t.cfg.IdleTimeout-min(idleMargin, t.cfg.IdleTimeout/4)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: firstBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: lastBackoff},
			MinConnectTimeout: t.cfg.DialTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(call.MaxBufferedBody), grpc.MaxCallSendMsgSize(call.MaxBufferedBody+1<<10)),
	)
}

// retire lets a host's subchannel take no new call; it closes with its last one. The caller holds the lock.
func (t *Transport) retire(h *host) {
	sub := h.sub
	if sub == nil {
		return
	}
	h.sub = nil
	delete(t.hosts, h)
	sub.retired = true
	t.closeIfDone(sub)
}

func (t *Transport) closeIfDone(sub *subchannel) {
	if sub.retired && sub.out == 0 {
		t.open--
		// Off the caller's goroutine, which may hold what grpc's callbacks wait for.
		t.running.Go(func() { _ = sub.cc.Close() })
	}
}

// release gives a call's subchannel back. A server that let a call run into its time-out and has answered
// nothing since it began may be cut off, and its connection with it: the next call opens another, which tells.
func (t *Transport) release(a *attempt, ending policy.Ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	switch ending {
	case policy.Served, policy.Errored, policy.NotProcessed:
		a.sub.answered = now
	case policy.TimedOut:
		if now-a.begun >= t.cfg.DialTimeout && a.sub.answered < a.begun && a.h.sub == a.sub {
			t.retire(a.h)
		}
	}
	a.sub.out--
	t.closeIfDone(a.sub)
}

// Send starts an attempt.
func (h *host) Send(m *call.Message, until time.Duration, done func(call.Result)) call.Attempt {
	t := h.t
	a := &attempt{t: t, h: h, m: m, until: until, begun: t.cfg.Clock.Now(), done: done}
	ctx, cancel := context.WithCancelCause(t.ctx)
	a.ctx, a.cancel = context.WithValue(ctx, attemptKey{}, a), cancel
	t.running.Add(1)
	sub, err := t.hold(h)
	if err != nil {
		go func() {
			defer t.running.Done()
			cancel(nil)
			done(call.Result{Ending: policy.NotSent})
		}()
		return a
	}
	a.sub = sub
	go a.run()
	return a
}

// CloseIdle closes the connection if no call is on it.
func (h *host) CloseIdle() {
	h.t.mu.Lock()
	defer h.t.mu.Unlock()
	if h.sub != nil && h.sub.out == 0 {
		h.t.retire(h)
	}
}

// Deregister takes that the server is no longer listed.
func (h *host) Deregister() {
	h.t.mu.Lock()
	defer h.t.mu.Unlock()
	h.left = true
	h.t.retire(h)
}

// Close calls off what is under way, closes all connections and returns when nothing of it is left.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for h := range t.hosts {
		t.retire(h)
	}
	t.mu.Unlock()
	t.stop()
	t.running.Wait()
}
