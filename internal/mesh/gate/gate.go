// Package gate is the admission control in front of one upstream: a decision module that all
// requests for the upstream on this machine pass through, from all sidecars of the mesh. As nothing
// else reaches the upstream, the gate knows how many of its slots are in use.
//
// It owns the queue of requests that wait for a slot, what it has learnt of the upstream, and the
// AttemptLog of requests that must not run twice. Promises:
//
//   - there are never more attempts in flight than the upstream has slots;
//   - nothing is sent to an upstream that drains or is deregistered;
//   - each request has one attempt at most and one answer;
//   - a request that can't start in time is rejected while its caller can still go elsewhere;
//   - no attempt of an idempotent request goes on once its caller has left.
//
// A Gate has no goroutines, no clock and no I/O. One goroutine drives it, as policy.Balancer says;
// only Load, MeanServiceTime and the AttemptLog may be used from others.
package gate

import (
	"time"

	"caperarch/policy"
)

// Gate is the decision module.
type Gate struct {
	host     policy.Host
	attempts AttemptLog
	requests map[policy.RequestID]*request // in the queue, or with their attempt in flight
	queue    queue
	// lowPriorityCredit is the slots' time that lower priorities have waited for, see nextToRun.
	lowPriorityCredit time.Duration

	upstream policy.ServerID
	state    policy.State // of the upstream
	slots    int
	inFlight int               // attempts at the upstream
	retired  []policy.ServerID // former upstreams, newest last: later updates of them are ignored

	health   health
	wakeAt   time.Duration // when Wake is due next; 0: nothing was asked for
	counters policy.Counters
	load     publishedLoad
}

// New makes a gate without an upstream: requests are rejected until a list names one.
func New(host policy.Host) *Gate {
	return &Gate{host: host, requests: make(map[policy.RequestID]*request)}
}

// AttemptLog is what the gate remembers of requests that must not run twice.
func (g *Gate) AttemptLog() *AttemptLog { return &g.attempts }

// Start does nothing: a gate has nothing to do before its first list.
func (g *Gate) Start(time.Duration) {}

// Request receives a request: it is sent, queued or rejected at once.
func (g *Gate) Request(now time.Duration, q policy.Request) {
	if g.requests[q.ID] != nil {
		return
	}
	g.advance(now)
	defer g.endEvent(now)
	r := newRequest(now, q)
	if r.runsOnce() && !g.checkAttemptLog(now, r) {
		return
	}
	switch {
	case r.deadline <= now || !g.accepting(now):
		g.reject(now, r)
	case g.inFlight < g.concurrencyLimit(now): // so the queue is empty
		g.requests[r.id] = r
		g.send(now, r)
	case now+g.expectedWait(now, r.priority) >= g.latestStart(r):
		g.reject(now, r)
	case g.queueFull(r.priority) && !g.displaceFor(now, r):
		g.reject(now, r)
	default:
		g.requests[r.id] = r
		g.queue.add(r)
		g.counters.Queued++
	}
}

// Outcome records the end of an attempt: its slot is free, and its request has its answer.
func (g *Gate) Outcome(now time.Duration, o policy.Outcome) {
	r := g.requests[o.ID]
	if r == nil || !r.sent || o.Attempt != 0 {
		return
	}
	delete(g.requests, o.ID)
	if r.upstream == g.upstream {
		g.inFlight--
		g.health.record(now, r, o.Ending, g.slots)
	}
	if !o.Finished {
		g.answer(now, r, o.Ending)
	}
	g.advance(now)
	g.endEvent(now)
}

// answer ends a request whose attempt gave its client nothing.
func (g *Gate) answer(now time.Duration, r *request, ending policy.Ending) {
	switch {
	case ending == policy.Served:
	case ending.NeverRan(), ending == policy.GateRejected:
		g.reject(now, r)
	default: // it may have run
		g.fail(r)
	}
}

// Wake rejects what can't start in time any more, and assigns slots that count again.
func (g *Gate) Wake(now time.Duration) {
	if now >= g.wakeAt {
		g.wakeAt = 0
	}
	g.advance(now)
	g.endEvent(now)
}

// ClientGone handles that the caller of a request has left: nobody is left to read its answer. One that
// is queued is removed, and an attempt that may be cancelled is. It keeps its slot until its Outcome, as
// the upstream may still work on it.
func (g *Gate) ClientGone(now time.Duration, id policy.RequestID) {
	switch r := g.requests[id]; {
	case r == nil:
	case !r.sent:
		g.recordPhase(r, rejected)
		g.removeQueued(r)
	case r.mayCancel:
		g.host.Cancel(id, 0)
	}
	g.advance(now)
	g.endEvent(now)
}

// Probed does nothing: the gate asks for no health checks.
func (g *Gate) Probed(time.Duration, policy.ServerID, bool, policy.Load) {}

// StreamStarted does nothing: the slot stays in use until the Outcome.
func (g *Gate) StreamStarted(policy.RequestID) {}

// Reconfigure does nothing: the gate depends on the list alone.
func (g *Gate) Reconfigure(time.Duration, policy.Limits) error { return nil }

// Counters returns counts of what the gate did since it was made.
func (g *Gate) Counters() policy.Counters { return g.counters }

// send starts a request's one attempt. It has no timeout of its own, as it may last until its
// caller's deadline.
func (g *Gate) send(now time.Duration, r *request) {
	r.sent, r.sentAt, r.upstream = true, now, g.upstream
	g.inFlight++
	g.counters.Ordinary++
	g.host.Send(r.id, g.upstream, 0)
}
