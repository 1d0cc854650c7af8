// Package pool is an engine with its transport, list and limits, for those who call it from inside
// their own process: one call in, one final answer out.
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
	Discovery    string    // address of discovery; "": the list is Known for good
	Zones        map[string]int
	Known        call.ServerList // the servers as last known
	MaxOpen      int             // calls held at once; 0: no bound
	MaxBodyBytes int64           // of their bodies, in bytes
	SharedLimits SharedLimits    // bounds that several pools share; nil: none
	Log          *slog.Logger
}

// SharedLimits are bounds that several pools of a process share. They are safe for concurrent use.
type SharedLimits interface {
	// Acquire takes a place for a call with a body of so many bytes, or says that there is none.
	Acquire(size int64) bool
	// Release gives it back.
	Release(size int64)
}

// Transport is a call.Transport that can end.
type Transport interface {
	call.Transport
	// Close calls off what is under way, closes all connections and returns when nothing of it is left.
	Close()
}

// What a call is turned away for before it comes to the module. Nothing was sent for it.
var (
	ErrClosed      = errors.New("closed")
	ErrFull        = errors.New("too many calls or bytes of bodies are held already")
	ErrDuplicateID = errors.New("a call of this id is open")
)

// fullRetryAfter is how long one who met ErrFull ought to wait before coming back.
const fullRetryAfter = time.Second

// Pool is safe for concurrent use.
type Pool struct {
	cfg        Config
	engine     *engine.Engine
	stopEngine context.CancelFunc
	engineDone chan struct{} // closed when the engine has ended
	serverList interface{ Close() }

	bodyBytes atomic.Int64

	mu        sync.Mutex
	open      map[string]bool // ids of the calls that are held
	closed    bool
	drained   chan struct{} // closed when it is closed and holds nothing
	closeDone chan struct{} // closed when Close has let go of everything
}

// Open starts a pool, or returns an error that names the unusable field of Config.Policy.
func Open(cfg Config) (*Pool, error) {
	p := &Pool{cfg: cfg, open: make(map[string]bool), engineDone: make(chan struct{}), drained: make(chan struct{}), closeDone: make(chan struct{})}
	var follower *membership.Follower
	e, err := engine.New(engine.Config{
		Policy: cfg.Policy, Seed: cfg.Seed, Clock: cfg.Clock, Transport: cfg.Transport, Log: cfg.Log, NoCounterLog: true,
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
	members := membership.Config{
		Address: cfg.Discovery, Zones: cfg.Zones, OnDemand: cfg.Policy.ListOnDemand, OnUpdate: e.UpdateServers,
		Known: cfg.Known,
		OnError: func(err error) {
			cfg.Log.Warn("discovery", "error", err)
			e.DiscoveryFailed()
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stopEngine = stop
	switch {
	case cfg.Discovery == "":
		p.serverList = noSubscription{}
	case cfg.Policy.ListOnDemand:
		follower = membership.New(members)
		p.serverList = startFollower(follower)
	default:
		if p.serverList, err = membership.Subscribe(members); err != nil {
			stop()
			return nil, err
		}
	}
	go func() {
		defer close(p.engineDone)
		e.Run(ctx, cfg.Known)
	}()
	return p, nil
}

type noSubscription struct{}

func (noSubscription) Close() {}

// privateFollower is a follower that no other pool shares.
type privateFollower struct {
	stop context.CancelFunc
	done chan struct{}
}

func startFollower(f *membership.Follower) privateFollower {
	ctx, stop := context.WithCancel(context.Background())
	o := privateFollower{stop, make(chan struct{})}
	go func() {
		defer close(o.done)
		f.Run(ctx)
	}()
	return o
}

func (o privateFollower) Close() {
	o.stop()
	<-o.done
}

// Now is the pool's time.
func (p *Pool) Now() time.Duration { return p.cfg.Clock.Now() }

// Do carries a call out and returns its final answer. id names it among those that are open; deadline is
// on the pool's clock. The error is that of ctx where it ends first (the call is then called off, and
// nothing is promised), or one of ErrFull, ErrOpenID, ErrClosed. A stream holds the call's place until
// its Close is called.
func (p *Pool) Do(ctx context.Context, id string, q policy.Request, m *call.Message, deadline time.Duration) (call.Answer, error) {
	if err := ctx.Err(); err != nil {
		return call.Answer{}, err
	}
	if err := p.enter(id, int64(len(m.Body))); err != nil {
		return call.Answer{}, err
	}
	a, err := p.ask(ctx, q, m, deadline)
	leave := func() { p.leave(id, int64(len(m.Body))) }
	if a.Stream != nil {
		a.Stream = &trackedStream{Stream: a.Stream, leave: sync.OnceFunc(leave)}
		return a, err
	}
	leave()
	return a, err
}

func (p *Pool) ask(ctx context.Context, q policy.Request, m *call.Message, deadline time.Duration) (call.Answer, error) {
	reply := make(chan call.Answer, 1)
	number := p.engine.Submit(q, m, deadline, reply)
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		p.engine.ClientGone(number)
		select {
		case a := <-reply: // both at once: the answer is here, or a stream that must not be left open
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
		default: // it came too late to be sent
			return call.Answer{Kind: call.Refused}, nil
		}
	}
}

// closeLate closes a stream that began while its caller went away.
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

// trackedStream gives the call's place back with its end.
type trackedStream struct {
	call.Stream
	leave func()
}

// Close ends the stream and gives its place back.
func (s *trackedStream) Close() {
	s.Stream.Close()
	s.leave()
}

// Unwrap is the transport's own stream.
func (s *trackedStream) Unwrap() call.Stream { return s.Stream }

func (p *Pool) enter(id string, size int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return ErrClosed
	case p.open[id]: // servers would take a second under it for a copy of the first
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

// RetryAfterFull is when one who met ErrFull ought to come back, never later than clients heed.
func (p *Pool) RetryAfterFull() time.Duration { return min(fullRetryAfter, p.cfg.Policy.MaxRetryAfter) }

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

// signalIfDrained tells Close that nothing is held any more. The caller holds the lock.
func (p *Pool) signalIfDrained() {
	if p.closed && len(p.open) == 0 {
		select {
		case <-p.drained:
		default:
			close(p.drained)
		}
	}
}

// Close takes no further call and waits until those that are held have their answers, or ctx ends: then
// they are answered at once, refused where nothing was sent and failed where something was, and
// the error is that of ctx. Either way nothing of the pool is left when it returns. A second Close waits for
// the first.
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
