// Package engine runs a policy.Balancer. It calls the Balancer from one goroutine, carries out what the
// Balancer decides, and guarantees that each request gets exactly one final answer and the Balancer exactly
// one Outcome for each attempt. It is independent of the protocol.
//
// Run is called once; all other exported methods of Engine may be called from any goroutine.
package engine

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

const (
	counterLogInterval = 10 * time.Second
	eventQueue         = 256 // events that wait for Run before those who post them wait

	// uploadRetryAfter is how long a client is told to wait before it sends a streamed body again.
	uploadRetryAfter = 200 * time.Millisecond
)

// Config is what an engine is made of.
type Config struct {
	Policy       policy.Config
	Seed         uint64
	Clock        clock.Clock
	Transport    call.Transport // on the same clock
	Log          *slog.Logger
	Watch        func() // subscribes to the server list; nil: it is pushed
	NoCounterLog bool   // the counters are not logged
	// SleepsWhenIdle says that the module sets no timers while no request is open, so that a long time
	// between two events does not show that the process was stopped.
	SleepsWhenIdle bool

	// AttemptEnded is called with the end of each attempt, and must not block; nil: not called.
	AttemptEnded func(to policy.ServerID, end policy.Ending)

	// CancelAbandonedUpload says whether the attempt that streams a request's body is cancelled when the
	// request's client goes: the module has no say in it any more. nil: it is not.
	CancelAbandonedUpload func(q policy.Request) bool

	// Limits returns the limits that apply now; nil: those of Policy, for good. It is called before each
	// event, so that a process that was stopped learns of a change before it decides anything, and must
	// first hand over whatever else has to be applied by then. The value it returns must not change: the
	// limits are applied again when the pointer is another.
	Limits func() *policy.Limits

	// Module makes the decision module; nil: policy.New. Recordings wrap it, for example.
	Module func(cfg policy.Config, seed uint64, host policy.Host) (Module, error)
}

// Module is a decision module: a policy.Balancer, or a wrapper that passes every call on to one.
type Module interface {
	Start(now time.Duration)
	Request(now time.Duration, q policy.Request)
	Outcome(now time.Duration, o policy.Outcome)
	Wake(now time.Duration)
	List(now time.Duration, kind policy.ListKind, entries []policy.Server)
	Probed(now time.Duration, id policy.ServerID, ok bool, l policy.Load)
	ClientGone(now time.Duration, id policy.RequestID)
	StreamStarted(id policy.RequestID)
	Reconfigure(now time.Duration, l policy.Limits) error
	Counters() policy.Counters
}

func newBalancer(cfg policy.Config, seed uint64, host policy.Host) (Module, error) {
	return policy.New(cfg, seed, host)
}

// Engine owns a decision module. All events pass through the goroutine of Run, in order; the methods hand
// them over.
type Engine struct {
	Config
	module      Module
	maxAttempts int // for one request

	lastID    atomic.Uint64
	avoided   atomic.Int64 // policy.Counters.Avoided
	abandoned abandonedCounters
	running   atomic.Bool // Run has applied the first list, and has not returned
	events    chan func(now time.Duration)
	done      chan struct{} // closed when Run returns

	repeatsHeldBack atomic.Int64

	// The fields below belong to Run's goroutine.
	appliedLimits *policy.Limits // as the module has them; nil: those of Policy
	now           time.Duration  // the time of the current event
	requests      map[policy.RequestID]*request
	servers       map[policy.ServerID]*server // the listed ones
	inFlight      map[policy.ServerID]int     // attempts whose end has not come
	unsent        []policy.Outcome            // to be reported after the current event
	wakes         []time.Duration             // when Module.Wake is due, in order
	timer         *time.Timer                 // set for the first of wakes

	pendingReady chan struct{} // holds an item if there are pending updates
	mu           sync.Mutex    // guards pending
	pending      pendingUpdates
}

// server is a listed server and the address that it was reached at when it was listed.
type server struct {
	call.Server
	address string
}

// New makes an engine, or returns an error that names the unusable field of Config.Policy. It starts no
// goroutine.
func New(cfg Config) (*Engine, error) {
	e := &Engine{
		Config: cfg, maxAttempts: cfg.Policy.MaxAttempts,
		events:       make(chan func(time.Duration), eventQueue),
		done:         make(chan struct{}),
		requests:     make(map[policy.RequestID]*request),
		servers:      make(map[policy.ServerID]*server),
		inFlight:     make(map[policy.ServerID]int),
		pendingReady: make(chan struct{}, 1),
		timer:        time.NewTimer(time.Hour),
	}
	if e.Config.Watch == nil {
		e.Config.Watch = func() {}
	}
	if e.Config.Module == nil {
		e.Config.Module = newBalancer
	}
	var err error
	e.module, err = e.Config.Module(cfg.Policy, cfg.Seed, host{e})
	if err != nil {
		return nil, err
	}
	return e, nil
}

// post hands an event over to Run. It blocks while the queue is full; the engine itself never waits for those
// who post. Once Run has returned events are dropped.
func (e *Engine) post(event func(now time.Duration)) {
	select {
	case e.events <- event:
	case <-e.done:
	}
}

// Run starts the module, applies the list of servers known so far and then handles events until ctx ends. It
// is called once. The requests that are open then are answered: refused where nothing was sent, else failed.
func (e *Engine) Run(ctx context.Context, known call.ServerList) {
	defer close(e.done)
	defer e.timer.Stop()
	e.now = e.Clock.Now()
	e.module.Start(e.now)
	known.Full = true
	e.applyList(known, policy.ListCached)
	e.running.Store(true)
	defer e.running.Store(false)
	var counters <-chan time.Time
	if !e.NoCounterLog {
		ticker := time.NewTicker(counterLogInterval)
		defer ticker.Stop()
		counters = ticker.C
	}
	for {
		e.reportUnsent()
		select {
		case event := <-e.events:
			e.advance()
			event(e.now)
		case <-e.pendingReady:
			e.now = e.Clock.Now()
			e.applyLimits()
			e.applyPending()
		case <-e.timer.C:
			e.advance()
			e.fireTimers()
		case <-counters:
			e.Log.Info("counters", "module", fmt.Sprintf("%+v", e.module.Counters()), "upstream", e.Transport.Counters(),
				"repeats_held_back", e.RepeatsHeldBack())
		case <-ctx.Done():
			e.shutdown()
			return
		}
	}
}

// shutdown handles the events handed over so far, cancels the attempts in flight and answers the open
// requests, so that each submitted request has its one answer.
func (e *Engine) shutdown() {
	e.drainEvents()
	for id, r := range e.requests {
		for _, a := range r.attempts {
			a.cancel()
		}
		switch {
		case r.finished:
		case len(r.attempts) == 0:
			e.finish(id, r, &call.Answer{Kind: call.Refused})
		default:
			e.finish(id, r, &call.Answer{Kind: call.Failed, LastResult: r.lastResult})
		}
	}
	for _, s := range e.servers {
		s.Deregister()
	}
}

// drainEvents handles the events that were handed over by now.
func (e *Engine) drainEvents() {
	for {
		select {
		case event := <-e.events:
			e.now = e.Clock.Now()
			event(e.now)
			e.reportUnsent()
		default:
			return
		}
	}
}

// Avoided returns how many ready servers are ejected, as of the last 100 ms. It never blocks.
func (e *Engine) Avoided() int { return int(e.avoided.Load()) }

// Running says whether Run handles events.
func (e *Engine) Running() bool { return e.running.Load() }

// Done returns a channel that is closed when Run has returned. Events handed over from then on are dropped.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Flush waits until everything that was handed over before has been handled, server lists included, or Run
// has returned.
func (e *Engine) Flush() {
	handled := make(chan struct{})
	e.post(func(time.Duration) {
		e.catchUp() // server lists don't pass through the event queue
		close(handled)
	})
	select {
	case <-handled:
	case <-e.done:
	}
}

// ReportIdle has report called with those of the servers that have no attempt in flight, once the lists
// handed over before are applied. It does not block, and report must not.
func (e *Engine) ReportIdle(ids []policy.ServerID, report func(idle []policy.ServerID)) {
	go e.post(func(time.Duration) {
		e.catchUp()
		report(slices.DeleteFunc(slices.Clone(ids), func(id policy.ServerID) bool { return e.inFlight[id] > 0 }))
	})
}

// attemptReturned counts an attempt at a server that has ended.
func (e *Engine) attemptReturned(at policy.ServerID) {
	if e.inFlight[at]--; e.inFlight[at] <= 0 {
		delete(e.inFlight, at)
	}
}

// applyLimits has the module go by the limits that apply now.
func (e *Engine) applyLimits() {
	if e.Config.Limits == nil {
		return
	}
	l := e.Config.Limits()
	e.catchUp() // Limits may have handed over a list without some servers
	if l == nil || l == e.appliedLimits {
		return
	}
	e.appliedLimits = l
	if err := e.module.Reconfigure(e.now, *l); err != nil {
		e.Log.Error("limits rejected, the previous ones stay in force", "error", err)
	}
}

// reportUnsent reports the sends that were not carried out to the module. It runs after the event that asked
// for them, as Host's methods must not call back into the module.
func (e *Engine) reportUnsent() {
	for len(e.unsent) > 0 {
		o := e.unsent[0]
		e.unsent = e.unsent[1:]
		e.reportOutcome(o)
	}
}
