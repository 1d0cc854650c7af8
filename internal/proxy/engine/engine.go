// Package engine runs a decision module, usually a policy.Balancer. It calls the module from one goroutine and carries
// out the module's decisions. It guarantees that each request gets exactly one final answer, and that the module gets
// exactly one Outcome for each attempt. The package is independent of the protocol.
//
// Run is called once. All other exported methods of Engine may be called from any goroutine.
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
	eventQueueSize     = 256 // events that wait for Run before post blocks

	// uploadRetryAfter is the Retry-After of a refused request whose body was streamed.
	uploadRetryAfter = 200 * time.Millisecond
)

// Config holds the settings and dependencies of an engine.
type Config struct {
	Policy       policy.Config
	Seed         uint64
	Clock        clock.Clock
	Transport    call.Transport // uses the same clock
	Log          *slog.Logger
	Watch        func() // subscribes to the server list; nil: the list is pushed without a subscription
	NoCounterLog bool   // disables the periodic log line with the counters
	// SleepsWhenIdle says that the module sets no timers while no request is open. A long time between two events then
	// does not indicate that the process was suspended.
	SleepsWhenIdle bool

	// AttemptEnded, if not nil, is called at the end of each attempt. It must not block.
	AttemptEnded func(to policy.ServerID, end policy.Ending)

	// CancelAbandonedUpload reports whether the attempt that streams a request's body is cancelled when the request's
	// client disconnects. The module cannot decide that, as the request has ended for it. nil: it is not cancelled.
	CancelAbandonedUpload func(q policy.Request) bool

	// Limits returns the limits that apply now; nil: the limits of Policy apply permanently. It is called before each
	// event, so that a process that was suspended applies a change before it decides anything. Before it returns, Limits
	// must hand over everything else that has to be applied by then, such as a server list. The value that the returned
	// pointer refers to must not change: the limits are applied again when the pointer changes.
	Limits func() *policy.Limits

	// Module creates the decision module; nil: policy.New. Recordings, for example, wrap the module.
	Module func(cfg policy.Config, seed uint64, host policy.Host) (Module, error)
}

// Module is a decision module: a policy.Balancer, or a wrapper that passes every call on to a policy.Balancer.
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

// Engine owns a decision module. The goroutine of Run handles all events in order; the other methods hand events over
// to it.
type Engine struct {
	Config
	module      Module
	maxAttempts int // of one request

	lastID    atomic.Uint64
	avoided   atomic.Int64 // policy.Counters.Avoided
	abandoned abandonedCounters
	running   atomic.Bool // Run has applied the first server list and has not returned
	events    chan func(now time.Duration)
	done      chan struct{} // closed when Run returns

	repeatsHeldBack atomic.Int64

	// The fields up to timer are used by the goroutine of Run only.
	appliedLimits *policy.Limits // the limits that the module uses; nil: the limits of Policy
	now           time.Duration  // time of the current event
	requests      map[policy.RequestID]*request
	servers       map[policy.ServerID]*server // the listed servers
	inFlight      map[policy.ServerID]int     // attempts that have not ended, by server
	unsent        []policy.Outcome            // outcomes to report to the module after the current event
	wakes         []time.Duration             // times at which Module.Wake is due, in order
	timer         *time.Timer                 // set to the first of wakes

	pendingReady chan struct{} // holds an element if there are pending updates
	mu           sync.Mutex    // guards pending
	pending      pendingUpdates
}

// server is a listed server with its address in the list.
type server struct {
	call.Server
	address string
}

// New returns an engine, or an error that names the unusable field of Config.Policy. It starts no goroutine.
func New(cfg Config) (*Engine, error) {
	e := &Engine{
		Config: cfg, maxAttempts: cfg.Policy.MaxAttempts,
		events:       make(chan func(time.Duration), eventQueueSize),
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

// post hands an event over to Run. It blocks while the event queue is full; Run never waits for a goroutine that posts.
// After Run has returned, events are dropped.
func (e *Engine) post(event func(now time.Duration)) {
	select {
	case e.events <- event:
	case <-e.done:
	}
}

// Run starts the module, applies the list of known servers and then handles events until ctx is done. It is called
// once. Requests that are open when ctx is done are answered: refused if no attempt was sent, failed otherwise.
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

// shutdown handles the events handed over so far, cancels the attempts in flight and answers the open requests, so that
// each submitted request gets its answer.
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

// drainEvents handles the events in the queue.
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

// Avoided returns the number of ready servers that are ejected. It is up to 100 ms old. Avoided does not block.
func (e *Engine) Avoided() int { return int(e.avoided.Load()) }

// Running reports whether Run handles events.
func (e *Engine) Running() bool { return e.running.Load() }

// Done returns a channel that is closed when Run has returned. Events that are handed over later are dropped.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Flush waits until all events and server lists that were handed over before have been handled, or Run has returned.
func (e *Engine) Flush() {
	handled := make(chan struct{})
	e.post(func(time.Duration) {
		e.applyPendingIfAny() // server lists do not pass through the event queue
		close(handled)
	})
	select {
	case <-handled:
	case <-e.done:
	}
}

// ReportIdle calls report with the servers of ids that have no attempt in flight, after the server lists that were
// handed over before have been applied. It does not block; report is called from the goroutine of Run and must not
// block.
func (e *Engine) ReportIdle(ids []policy.ServerID, report func(idle []policy.ServerID)) {
	go e.post(func(time.Duration) {
		e.applyPendingIfAny()
		report(slices.DeleteFunc(slices.Clone(ids), func(id policy.ServerID) bool { return e.inFlight[id] > 0 }))
	})
}

// attemptReturned counts an attempt at a server that has ended, including its streamed answer.
func (e *Engine) attemptReturned(at policy.ServerID) {
	if e.inFlight[at]--; e.inFlight[at] <= 0 {
		delete(e.inFlight, at)
	}
}

// applyLimits reconfigures the module if Config.Limits returns other limits than before.
func (e *Engine) applyLimits() {
	if e.Config.Limits == nil {
		return
	}
	l := e.Config.Limits()
	e.applyPendingIfAny() // Limits may have handed over a server list
	if l == nil || l == e.appliedLimits {
		return
	}
	e.appliedLimits = l
	if err := e.module.Reconfigure(e.now, *l); err != nil {
		e.Log.Error("limits rejected, the previous ones stay in force", "error", err)
	}
}

// reportUnsent reports the sends that were not carried out to the module. It is called after the event in which the
// module requested them, as the methods of policy.Host must not call back into the module.
func (e *Engine) reportUnsent() {
	for len(e.unsent) > 0 {
		o := e.unsent[0]
		e.unsent = e.unsent[1:]
		e.reportOutcome(o)
	}
}
