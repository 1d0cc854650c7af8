// Package engine gives a decision module its life: it owns one Balancer, sees to it that each call gets
// exactly one final answer and the module exactly one outcome for each attempt, and knows no protocol.
package engine

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

const (
	counterLogInterval = 10 * time.Second // how often the module's counters go to the log
	eventQueue         = 256

	uploadRetryAfter = 200 * time.Millisecond // before a client sends a large body anew

	// The module is woken every 100 ms at least. Where more than stalledAfter has passed between two events,
	// the process was stopped: what was told in the meantime is heard before anything is sent, for
	// hearWithin at most. Else requests that waited would go to servers that drain or are gone by then.
	stalledAfter = 500 * time.Millisecond
	catchUpLimit = 50 * time.Millisecond
)

// Config is what an engine is made of.
type Config struct {
	Policy         policy.Config
	Seed           uint64
	Clock          clock.Clock
	Transport      call.Transport // on the same clock
	Log            *slog.Logger
	Watch          func() // subscribes to the list; nil: it comes by itself
	NoCounterLog   bool   // no counters in the log
	SleepsWhenIdle bool   // the module asks for no wakes where nothing is open: a long time between two events is no sign that the process was stopped

	// AttemptEnded hears how each attempt ended, and must not wait; nil: nobody does.
	AttemptEnded func(to policy.ServerID, end policy.Ending)

	// Limits are those that hold at this very moment, asked for before each event, so that a process that stood still finds out before it decides anything; nil:
	// those of Policy, for good. What it returns must not change: another pointer is another limit. What else it has to have taken up is to be handed over by then.
	Limits func() *policy.Limits

	// Module makes the decision module; nil: policy.New. It is for what stands before one, such as a recording.
	Module func(cfg policy.Config, seed uint64, host policy.Host) (Module, error)
}

// Module is a decision module: policy.Balancer, or what stands before one and passes everything on.
type Module interface {
	Start(now time.Duration)
	Request(now time.Duration, q policy.Request)
	Outcome(now time.Duration, o policy.Outcome)
	Wake(now time.Duration)
	List(now time.Duration, kind policy.ListKind, entries []policy.Server)
	Probed(now time.Duration, id policy.ServerID, ok bool, l policy.Load)
	ClientGone(now time.Duration, id policy.RequestID)
	StreamBegun(id policy.RequestID)
	Reconfigure(now time.Duration, l policy.Limits) error
	Counters() policy.Counters
}

func newBalancer(cfg policy.Config, seed uint64, host policy.Host) (Module, error) {
	return policy.New(cfg, seed, host)
}

// Engine owns the Balancer. All of its events pass through one goroutine, Run, in order; the other parts
// hand them over. Everything that must happen once a request or once an attempt, the final answer and
// the Outcome, is kept here.
type Engine struct {
	Config
	module      Module
	maxAttempts int // attempts for one request at most

	lastID        atomic.Uint64
	avoided       atomic.Int64   // Counters.Avoided
	appliedLimits *policy.Limits // as the module has them
	running       atomic.Bool    // Run has taken the list known so far, and has not ended
	events        chan func(now time.Duration)
	done          chan struct{}
	now           time.Duration // the time of the event under way
	requests      map[policy.RequestID]*request
	servers       map[policy.ServerID]*server // those that are listed and not gone
	inFlight      map[policy.ServerID]int     // attempts with no end yet
	unsent        []policy.Outcome            // owed once the event under way is over
	wakes         []time.Duration             // when Wake is due, in order
	timer         *time.Timer                 // set for the first of them

	pendingReady chan struct{} // has an item if there is news
	mu           sync.Mutex
	pending      pendingUpdates
}

// server is a server at an address.
type server struct {
	call.Server
	address string
}

// request is one in the table. It stays until it has its answer and all its attempts have ended.
type request struct {
	message     *call.Message
	reply       chan<- call.Answer
	deadline    time.Duration
	attempts    []call.Attempt // by number; nil: was not sent
	inFlight    int            // attempts with no Outcome yet
	bodyClaimed bool           // an attempt passes its body on while it comes: there is no other for it
	finished    bool           // it has its final answer, or its client has gone
	timedOut    bool           // its last attempt did: what a failure is called
	lastResult  *call.Result   // the last answer that was no service
}

// New makes an engine, or returns an error that names the unusable field of Config.Policy. Nothing runs
// until Run is called.
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
	var err error
	if e.Config.Module == nil {
		e.Config.Module = newBalancer
	}
	if e.module, err = e.Config.Module(cfg.Policy, cfg.Seed, host{e}); err != nil {
		return nil, err
	}
	return e, nil
}

// post hands over an event. It waits where many are under way; the engine itself never waits for
// those who post. After the end events are thrown away.
func (e *Engine) post(event func(now time.Duration)) {
	select {
	case e.events <- event:
	case <-e.done:
	}
}

// Run gives the Balancer its life: start, the servers known so far, then event after event, until ctx
// ends. It is called once. What is still open then is answered: refused where nothing was sent, else failed.
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
			e.Log.Info("counters", "module", fmt.Sprintf("%+v", e.module.Counters()), "upstream", e.Transport.Counters())
		case <-ctx.Done():
			e.shutdown()
			return
		}
	}
}

// shutdown takes what was handed over by now, answers what is open and calls off what is out. So a request that
// was taken on has its one answer, whatever it was in the middle of.
func (e *Engine) shutdown() {
	for {
		select {
		case event := <-e.events:
			e.now = e.Clock.Now()
			event(e.now)
			e.reportUnsent()
			continue
		default:
		}
		break
	}
	for id, r := range e.requests {
		for _, a := range r.attempts {
			if a != nil {
				a.Cancel()
			}
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

// Avoided is how many ready servers the module gives no turns now, some 100 ms late at most. It never waits.
func (e *Engine) Avoided() int { return int(e.avoided.Load()) }

// Running says whether Run takes events.
func (e *Engine) Running() bool { return e.running.Load() }

// Done is closed when Run has returned: what is handed over from then on is thrown away.
func (e *Engine) Done() <-chan struct{} { return e.done }

// Flush waits until all that was handed over before it has been taken, lists of servers included.
func (e *Engine) Flush() {
	taken := make(chan struct{})
	e.post(func(time.Duration) {
		e.catchUp() // news has a way of its own, which may come behind this one
		close(taken)
	})
	select {
	case <-taken:
	case <-e.done:
	}
}

// ReportIdle has told called with those of some servers at which nothing is out, once what was told of the list before it is taken. It does not wait, and told must not.
func (e *Engine) ReportIdle(ids []policy.ServerID, told func(quiet []policy.ServerID)) {
	go e.post(func(time.Duration) {
		e.catchUp()
		told(slices.DeleteFunc(slices.Clone(ids), func(id policy.ServerID) bool { return e.inFlight[id] > 0 }))
	})
}

// attemptReturned takes that an attempt at a server has its end.
func (e *Engine) attemptReturned(at policy.ServerID) {
	if e.inFlight[at]--; e.inFlight[at] <= 0 {
		delete(e.inFlight, at)
	}
}

// catchUp takes the news, if there is some.
func (e *Engine) catchUp() {
	select {
	case <-e.pendingReady:
		e.applyPending()
	default:
	}
}

// applyLimits has the module go by the limits that hold now.
func (e *Engine) applyLimits() {
	if e.Config.Limits == nil {
		return
	}
	l := e.Config.Limits()
	e.catchUp() // servers that are out by them, or by what else the fleet has settled
	if l == nil || l == e.appliedLimits {
		return
	}
	e.appliedLimits = l
	if err := e.module.Reconfigure(e.now, *l); err != nil {
		e.Log.Error("limits that the module can't take, the last ones hold", "error", err)
	}
}

// advance brings the time up to date before an event, the limits too, and the list after the process was stopped.
func (e *Engine) advance() {
	defer e.applyLimits()
	before := e.now
	if e.now = e.Clock.Now(); e.now-before < stalledAfter || e.SleepsWhenIdle {
		return
	}
	e.Log.Warn("stopped for a while", "time", e.now-before)
	within := time.NewTimer(catchUpLimit)
	defer within.Stop()
	for {
		select {
		case <-e.pendingReady:
			e.now = e.Clock.Now()
			e.applyPending()
			continue
		case <-within.C:
		}
		e.now = e.Clock.Now()
		return
	}
}

// fireTimers calls the module once for all timers that are due.
func (e *Engine) fireTimers() {
	due := 0
	for due < len(e.wakes) && e.wakes[due] <= e.now {
		due++
	}
	if e.wakes = slices.Delete(e.wakes, 0, due); due > 0 {
		e.module.Wake(e.now)
		e.avoided.Store(int64(e.module.Counters().Avoided))
	}
	e.setTimer()
}

func (e *Engine) setTimer() {
	if len(e.wakes) > 0 {
		e.timer.Reset(e.wakes[0] - e.now)
	}
}

// reportUnsent tells the module of the sends that were not carried out. It waits until the module has
// returned, as Host's methods must not call back.
func (e *Engine) reportUnsent() {
	for len(e.unsent) > 0 {
		o := e.unsent[0]
		e.unsent = e.unsent[1:]
		e.reportOutcome(o)
	}
}

func (e *Engine) applyList(news call.ServerList, kind policy.ListKind) {
	before := maps.Clone(e.servers)
	if news.Full {
		clear(e.servers)
	}
	for _, s := range news.Servers {
		switch known, address := before[s.ID], news.Addresses[s.ID]; {
		case s.State == policy.Deregistered:
			delete(e.servers, s.ID)
		case known != nil && known.address == address:
			e.servers[s.ID] = known
		default:
			e.servers[s.ID] = &server{e.Transport.Server(address), address}
		}
	}
	for id, s := range before {
		if e.servers[id] != s {
			s.Deregister()
		}
	}
	e.module.List(e.now, kind, news.Servers)
}

// Submit takes a request on; its ID is the engine's. Its final answer goes to reply, which must have room
// for it. m must not change any more. The number that Ask returns names the request for Gone.
func (e *Engine) Submit(q policy.Request, m *call.Message, deadline time.Duration, reply chan<- call.Answer) policy.RequestID {
	q.ID = policy.RequestID(e.lastID.Add(1))
	if m.Upload != nil {
		m.Upload.OnClaim(func() { e.post(func(time.Duration) { e.bodyClaimed(q.ID) }) })
	}
	e.post(func(now time.Duration) {
		q.TimeLeft = deadline - now
		e.requests[q.ID] = &request{message: m, deadline: deadline, reply: reply}
		e.module.Request(now, q)
	})
	return q.ID
}

// bodyClaimed takes that an attempt passes a request's body on from here on: the module has no more say in it, its end is the attempt's.
func (e *Engine) bodyClaimed(id policy.RequestID) {
	if r := e.requests[id]; r != nil && !r.finished && !r.bodyClaimed {
		r.bodyClaimed = true
		// Settled, with no word on the server: a client that sends slowly must hold no slot that others need.
		e.module.Outcome(e.now, policy.Outcome{ID: id, Attempt: len(r.attempts) - 1, Ending: policy.NotSent, Finished: true})
	}
}

// ClientGone takes that a request's client has gone: nothing is owed to it any more, its attempts are called
// off. One that has its answer is passed over.
func (e *Engine) ClientGone(id policy.RequestID) {
	e.post(func(now time.Duration) {
		if r := e.requests[id]; r != nil && !r.finished {
			e.finish(id, r, nil)
			e.module.ClientGone(now, id)
		}
	})
}

// finish ends a request with its one answer, or with none where the client has gone.
func (e *Engine) finish(id policy.RequestID, r *request, a *call.Answer) {
	r.finished = true
	if a != nil {
		r.reply <- *a
	}
	if r.inFlight == 0 {
		delete(e.requests, id)
	}
}

// reportOutcome tells the module how an attempt ended, once for each.
func (e *Engine) reportOutcome(o policy.Outcome) {
	r := e.requests[o.ID]
	r.inFlight--
	o.Finished = r.finished
	if !r.bodyClaimed { // else the module has had its word
		e.module.Outcome(e.now, o)
	}
	if r.finished && r.inFlight == 0 {
		delete(e.requests, o.ID)
	}
}

// attemptEnded takes the end of an attempt. The first answer of a server goes to the client at once and
// settles the request.
func (e *Engine) attemptEnded(id policy.RequestID, number int, res call.Result) {
	r := e.requests[id]
	if res.Stream != nil && !res.Detached {
		e.streamBegun(id, r, res)
		return
	}
	r.timedOut = res.Ending == policy.TimedOut
	switch {
	case r.finished:
		if res.Stream != nil { // too late: nobody takes it
			go res.Stream.Close()
		}
	case res.Ending == policy.Served:
		e.finish(id, r, &call.Answer{Kind: call.Served, Status: res.Status, Header: res.Header, Trailer: res.Trailer, Body: res.Body, Stream: res.Stream})
	case r.bodyClaimed:
		e.endOwned(id, r, &res)
	case res.Ending == policy.Errored || res.Ending == policy.InvalidRequest:
		r.lastResult = &res
	}
	e.reportOutcome(policy.Outcome{ID: id, Attempt: number, Ending: res.Ending, Load: res.Load})
}

// endOwned answers a request whose body only this attempt could pass on, by what its end proves.
func (e *Engine) endOwned(id policy.RequestID, r *request, res *call.Result) {
	switch res.Ending {
	case policy.NoConnection, policy.NotProcessed, policy.NotSent, policy.GateRejected: // it never ran
		e.finish(id, r, &call.Answer{Kind: call.Refused, RetryAfter: uploadRetryAfter})
	default:
		e.finish(id, r, &call.Answer{Kind: call.Failed, TimedOut: r.timedOut, LastResult: r.lastResult})
	}
}

// streamBegun takes that an attempt's answer is passed on while it comes. The request is over with it: the
// answer is the client's now, and the attempt's end only frees its slot.
func (e *Engine) streamBegun(id policy.RequestID, r *request, res call.Result) {
	if r.finished { // too late: nobody takes it
		go res.Stream.Close() // from outside: its end is handed over to the goroutine that this is
		return
	}
	e.finish(id, r, &call.Answer{Kind: call.Served, Status: res.Status, Header: res.Header, Stream: res.Stream})
	e.module.StreamBegun(id)
}
