// Package pool runs an engine with its transport, server list and limits for programs that embed it. Pool.Do sends one
// call and returns its final answer. A Pool owns its goroutines, and Close ends them.
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

// Config configures a Pool.
type Config struct {
	Policy       policy.Config
	Seed         uint64 // seed of the policy's random numbers
	Clock        clock.Clock
	Transport    Transport       // uses the same clock; closed by Pool.Close
	Discovery    string          // address of discovery; "": the pool uses the servers in Known permanently
	Zones        map[string]int  // zone number by name
	Known        call.ServerList // server list to start with
	MaxOpen      int             // limit on open calls; 0: no limit
	MaxBodyBytes int64           // limit on the bytes of all open calls' bodies; 0: no limit
	SharedLimits SharedLimits    // limits that several pools share; may be nil
	Log          *slog.Logger
}

// SharedLimits are limits that several pools of a process share. Implementations must be safe for concurrent use.
type SharedLimits interface {
	// Acquire reserves capacity for a call with a body of size bytes. It returns false if the capacity is exhausted.
	Acquire(size int64) bool
	// Release returns the capacity that Acquire reserved.
	Release(size int64)
}

// Transport is a call.Transport that can be closed.
type Transport interface {
	call.Transport
	// Close cancels all attempts, closes all connections and waits until all goroutines have ended.
	Close()
}

// Errors of a call that Do did not pass to the engine. No request was sent for the call.
var (
	ErrClosed      = errors.New("closed")
	ErrFull        = errors.New("too many calls or bytes of bodies are held already")
	ErrDuplicateID = errors.New("a call of this id is open")
)

// fullRetryAfter is the delay after which a caller that got ErrFull should retry.
const fullRetryAfter = time.Second

// Pool sends calls to the servers of one server list. It is safe for concurrent use.
type Pool struct {
	cfg        Config
	engine     *engine.Engine
	stopEngine context.CancelFunc
	engineDone chan struct{} // closed when the engine's goroutine has ended
	serverList closer

	bodyBytes atomic.Int64 // bytes of the open calls' bodies

	mu        sync.Mutex      // guards the fields below
	open      map[string]bool // ids of the open calls
	closed    bool            // Close was called
	drained   chan struct{}   // closed when the pool is closed and no call is open
	closeDone chan struct{}   // closed when the first call of Close returns
}

// closer is a source of server lists. No list is delivered after Close has returned.
type closer interface{ Close() }

// Open starts a pool. If Config.Policy is invalid, the error names the invalid field.
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
		p.serverList = staticServerList{}
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

// staticServerList is the source of a server list that does not change.
type staticServerList struct{}

// Close has no effect.
func (staticServerList) Close() {}

// runningFollower is a follower with its goroutine, which is not shared with other pools.
type runningFollower struct {
	stop context.CancelFunc
	done chan struct{} // closed when the follower's goroutine has ended
}

// startFollower starts a goroutine that runs a follower.
func startFollower(f *membership.Follower) runningFollower {
	ctx, stop := context.WithCancel(context.Background())
	running := runningFollower{stop, make(chan struct{})}
	go func() {
		defer close(running.done)
		f.Run(ctx)
	}()
	return running
}

// Close stops the follower and waits for its goroutine.
func (f runningFollower) Close() {
	f.stop()
	<-f.done
}

// Now returns the time on the pool's clock.
func (p *Pool) Now() time.Duration { return p.cfg.Clock.Now() }

// Do sends a call and returns its final answer. id identifies the call among the open calls, and deadline is a time of
// the pool's clock. If ctx ends first, Do cancels the call and returns the error of ctx; the servers may or may not
// have processed the call. Otherwise the error is nil, ErrFull, ErrDuplicateID or ErrClosed. If the answer has a
// Stream, the call stays open until Stream.Close is called.
func (p *Pool) Do(
	ctx context.Context, id string, q policy.Request, m *call.Message, deadline time.Duration,
) (call.Answer, error) {
	if err := ctx.Err(); err != nil {
		return call.Answer{}, err
	}
	if err := p.admit(id, int64(len(m.Body))); err != nil {
		return call.Answer{}, err
	}
	a, err := p.submit(ctx, q, m, deadline)
	release := func() { p.release(id, int64(len(m.Body))) }
	if a.Stream != nil {
		a.Stream = &trackedStream{Stream: a.Stream, release: sync.OnceFunc(release)}
		return a, err
	}
	release()
	return a, err
}

// submit passes a call to the engine. It waits until the call has its answer, ctx ends or the engine ends.
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
		case a := <-reply: // the answer arrived at the same time; its stream, if any, must be closed
			return a, nil
		default:
		}
		if m.Stream {
			go closeLateStream(p.engine, reply)
		}
		return call.Answer{}, ctx.Err()
	case <-p.engine.Done():
		select {
		case a := <-reply:
			return a, nil
		default: // submitted after the engine's end, so nothing was sent
			return call.Answer{Kind: call.Refused}, nil
		}
	}
}

// closeLateStream closes a stream that started after the context of its caller had ended.
func closeLateStream(e *engine.Engine, reply <-chan call.Answer) {
	e.Flush()
	select {
	case a := <-reply:
		if a.Stream != nil {
			a.Stream.Close()
		}
	default:
	}
}

// trackedStream is the stream of an open call. Closing the stream ends the call.
type trackedStream struct {
	call.Stream
	release func()
}

// Close ends the stream and the call.
func (s *trackedStream) Close() {
	s.Stream.Close()
	s.release()
}

// Unwrap returns the stream of the transport.
func (s *trackedStream) Unwrap() call.Stream { return s.Stream }

// admit counts a call as open, or returns the error that prevents it.
func (p *Pool) admit(id string, size int64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return ErrClosed
	case p.open[id]: // servers would drop the call as a repeat of the first call
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

// RetryAfterFull returns the delay after which a caller that got ErrFull should retry. It is at most the policy's
// MaxRetryAfter, the longest delay that clients respect.
func (p *Pool) RetryAfterFull() time.Duration { return min(fullRetryAfter, p.cfg.Policy.MaxRetryAfter) }

// release counts a call as ended.
func (p *Pool) release(id string, size int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bodyBytes.Add(-size)
	if p.cfg.SharedLimits != nil {
		p.cfg.SharedLimits.Release(size)
	}
	delete(p.open, id)
	p.signalIfDrained()
}

// signalIfDrained closes drained if the pool is closed and no call is open. The caller holds p.mu.
func (p *Pool) signalIfDrained() {
	if p.closed && len(p.open) == 0 {
		select {
		case <-p.drained:
		default:
			close(p.drained)
		}
	}
}

// Close rejects further calls and waits until all open calls have ended. If ctx ends first, Close ends the open calls
// immediately: a call for which nothing was sent is refused, and any other call fails. Close then returns the error of
// ctx. When Close returns, all goroutines of the pool have ended and its connections are closed. A second call of Close
// waits for the first call.
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
