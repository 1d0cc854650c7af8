// Package pool runs an engine with its transport, server list and limits for programs that embed it: one call
// in, one final answer out. A Pool owns its goroutines, and Close ends them.
package pool

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/engine"
	"caperarch/internal/proxy/membership"
	"caperarch/policy"
)

// Config is what a pool is made of.
type Config struct {
	Policy       policy.Config
	Seed         uint64
	Clock        clock.Clock
	Transport    Transport // on the same clock; the pool closes it
	Discovery    string    // address of discovery; "": the servers are Known, for good
	Zones        map[string]int
	Known        call.ServerList // the servers as last known
	MaxOpen      int             // open calls; 0: no bound
	MaxBodyBytes int64           // of the open calls' bodies; 0: no bound
	SharedLimits SharedLimits    // limits that several pools share; nil: none
	Log          *slog.Logger
}

// SharedLimits are limits that several pools of a process share. They are safe for concurrent use.
type SharedLimits interface {
	// Acquire counts a call with a body of size bytes; false: there is no capacity for it.
	Acquire(size int64) bool
	// Release gives back what Acquire took.
	Release(size int64)
}

// Transport is a call.Transport that can be closed.
type Transport interface {
	call.Transport
	// Close cancels what is in flight, closes all connections and returns when all goroutines have ended.
	Close()
}

// The errors of a call that never came to the module. Nothing was sent for it.
var (
	ErrClosed      = errors.New("closed")
	ErrFull        = errors.New("too many calls or bytes of bodies are held already")
	ErrDuplicateID = errors.New("a call of this id is open")
)

// fullRetryAfter is how long a caller that met ErrFull should wait before it retries.
const fullRetryAfter = time.Second

// Pool sends calls to the servers of one list. It is safe for concurrent use.
type Pool struct {
	cfg        Config
	engine     *engine.Engine
	stopEngine context.CancelFunc
	engineDone chan struct{} // closed when the engine has ended
	serverList closer

	bodyBytes atomic.Int64 // of the open calls

	mu        sync.Mutex      // guards what follows
	open      map[string]bool // ids of the open calls
	closed    bool
	drained   chan struct{} // closed when closed is set and no call is open
	closeDone chan struct{} // closed when Close has ended everything
}

// closer is a source of server lists; Close returns when no further list comes.
type closer interface{ Close() }

// Open starts a pool, or returns an error that names the unusable field of Config.Policy.
func Open(cfg Config) (*Pool, error) {
	p := &Pool{
		cfg: cfg, open: make(map[string]bool),
		engineDone: make(chan struct{}), drained: make(chan struct{}), closeDone: make(chan struct{}),
	}
	var follower *membership.Follower
	e, err := engine.New(engine.Config{
		Policy: cfg.Policy, Seed: cfg.Seed, Clock: cfg.Clock, Transport: cfg.Transport, Log: cfg.Log,
		NoCounterLog: true,
		Watch: func() {
			if follower != nil {
				follower.Trigger()
			}
		},
	})
	if err != nil {
		return nil, err
	}
	p.engine = e
	discovery := membership.Config{
		Address: cfg.Discovery, Zones: cfg.Zones, OnDemand: cfg.Policy.ListOnDemand, Known: cfg.Known,
		OnUpdate: e.UpdateServers,
		OnError: func(err error) {
			cfg.Log.Warn("discovery", "error", err)
			e.DiscoveryFailed()
		},
	}
	switch {
	case cfg.Discovery == "":
		p.serverList = noSubscription{}
	case cfg.Policy.ListOnDemand:
		follower = membership.New(discovery)
		p.serverList = startFollower(follower)
	default:
		p.serverList, err = membership.Subscribe(discovery)
		if err != nil {
			return nil, err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stopEngine = stop
	go func() {
		defer close(p.engineDone)
		e.Run(ctx, cfg.Known)
	}()
	return p, nil
}

// noSubscription is the closer of a pool whose server list never changes.
type noSubscription struct{}

// Close does nothing.
func (noSubscription) Close() {}

// privateFollower is a running follower that no other pool shares.
type privateFollower struct {
	stop context.CancelFunc
	done chan struct{}
}

func startFollower(f *membership.Follower) privateFollower {
	ctx, stop := context.WithCancel(context.Background())
	running := privateFollower{stop, make(chan struct{})}
	go func() {
		defer close(running.done)
		f.Run(ctx)
	}()
	return running
}

// Close stops the follower and waits for its end.
func (f privateFollower) Close() {
	f.stop()
	<-f.done
}

// Now returns the time on the pool's clock.
func (p *Pool) Now() time.Duration { return p.cfg.Clock.Now() }

// Do carries a call out and returns its final answer. id identifies it among the open calls; deadline is on
// the pool's clock. The error is that of ctx where it ends first (the call is then cancelled, and nothing is
// promised), or one of ErrFull, ErrDuplicateID, ErrClosed. With a Stream in its answer the call stays open
// until Stream.Close is called.
func (p *Pool) Do(
	ctx context.Context, id string, q policy.Request, m *call.Message, deadline time.Duration,
) (call.Answer, error) {
	if err := ctx.Err(); err != nil {
		return call.Answer{}, err
	}
	if err := p.enter(id, int64(len(m.Body))); err != nil {
		return call.Answer{}, err
	}
	a, err := p.submit(ctx, q, m, deadline)
	leave := func() { p.leave(id, int64(len(m.Body))) }
	if a.Stream != nil {
		a.Stream = &trackedStream{Stream: a.Stream, leave: sync.OnceFunc(leave)}
		return a, err
	}
	leave()
	return a, err
}

// submit hands a call to the engine and waits for its answer, for ctx or for the engine's end.
func (p *Pool) submit(
	ctx context.Context, q policy.Request, m *call.Message, deadline time.Duration,
) (call.Answer, error) {
	reply := make(chan call.Answer, 1)
	id := p.engine.Submit(q, m, deadline, reply)
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		p.engine.ClientGone(id)
		select {
		case a := <-reply: // both at once; the answer may hold a stream, which must be closed
			return a, nil
		default:
		}
		if m.Stream {
			go closeLate(p.engine, reply)
		}
		return call.Answer{}, ctx.Err()
	case <-p.engine.Done():
		select {
		case a := <-reply:
			return a, nil
		default: // submitted too late to be sent
			return call.Answer{Kind: call.Refused}, nil
		}
	}
}

// closeLate closes a stream that began after its caller had gone.
func closeLate(e *engine.Engine, reply <-chan call.Answer) {
	e.Flush()
	select {
	case a := <-reply:
		if a.Stream != nil {
			a.Stream.Close()
		}
	default:
	}
}

// trackedStream is the stream of an open call, which ends with it.
type trackedStream struct {
	call.Stream
	leave func()
}

// Close ends the stream and the call.
func (s *trackedStream) Close() {
	s.Stream.Close()
	s.leave()
}

// Unwrap returns the transport's stream.
func (s *trackedStream) Unwrap() call.Stream { return s.Stream }

// enter counts a call as open, or returns why it can't be.
func (p *Pool) enter(id string, size int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return ErrClosed
	case p.open[id]: // servers would drop it as a repeat of the first
		return ErrDuplicateID
	case p.cfg.MaxOpen > 0 && len(p.open) >= p.cfg.MaxOpen,
		p.cfg.MaxBodyBytes > 0 && p.bodyBytes.Load()+size > p.cfg.MaxBodyBytes:
		return ErrFull
	}
	if p.cfg.SharedLimits != nil && !p.cfg.SharedLimits.Acquire(size) {
		return ErrFull
	}
	p.bodyBytes.Add(size)
	p.open[id] = true
	return nil
}

// RetryAfterFull is how long a caller that met ErrFull should wait, at most as long as clients heed.
func (p *Pool) RetryAfterFull() time.Duration { return min(fullRetryAfter, p.cfg.Policy.MaxRetryAfter) }

// leave counts a call as ended.
func (p *Pool) leave(id string, size int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bodyBytes.Add(-size)
	if p.cfg.SharedLimits != nil {
		p.cfg.SharedLimits.Release(size)
	}
	delete(p.open, id)
	p.signalIfDrained()
}

// signalIfDrained tells Close that no call is open any more. The caller holds mu.
func (p *Pool) signalIfDrained() {
	if p.closed && len(p.open) == 0 {
		select {
		case <-p.drained:
		default:
			close(p.drained)
		}
	}
}

// Close rejects further calls and waits until the open ones have their answers, or ctx ends: then they are
// answered at once, refused where nothing was sent and failed where something was, and the error is that of
// ctx. Either way all of the pool's goroutines have ended and its connections are closed when it returns. A
// second Close waits for the first.
func (p *Pool) Close(ctx context.Context) error {
	p.mu.Lock()
	first := !p.closed
	p.closed = true
	p.signalIfDrained()
	p.mu.Unlock()
	if !first {
		<-p.closeDone
		return nil
	}
	defer close(p.closeDone)
	var err error
	select {
	case <-p.drained:
	case <-ctx.Done():
		err = ctx.Err()
	}
	p.serverList.Close()
	p.stopEngine()
	<-p.engineDone
	p.cfg.Transport.Close()
	return err
}
