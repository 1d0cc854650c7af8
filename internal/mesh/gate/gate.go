// Package gate implements the admission control in front of one upstream instance. A Gate is a decision module: every
// request for the upstream on this machine passes through the gate, from all sidecars of the mesh. No request reaches
// the upstream in another way, so the gate knows how many of the upstream's slots are in use. A slot is the capacity to
// process one request.
//
// The gate owns the queue of requests that wait for a slot, the statistics of the upstream's past attempts, and the
// AttemptLog of non-idempotent requests. It guarantees:
//
//   - It sends an attempt only while fewer attempts are in flight than the upstream has slots.
//   - It sends nothing to an upstream that is draining or deregistered.
//   - Each request has at most one attempt, and exactly one answer unless its caller has left.
//   - It rejects a request that cannot start in time while the caller still has time to try another upstream.
//   - It cancels the attempt of an idempotent request once the caller has left.
//
// A Gate has no goroutines, no clock and no I/O: package engine reports events to it, and executes its decisions as the
// policy.Host. All its methods are called from one goroutine, under the rules of policy.Balancer, except for Load,
// MeanServiceTime and the methods of AttemptLog, which any goroutine may call.
package gate

import (
	"time"

	"caperarch/policy"
)

// Gate decides which requests are sent to the upstream, and when.
type Gate struct {
	host     policy.Host
	attempts AttemptLog
	requests map[policy.RequestID]*request // requests that are queued or have their attempt in flight
	queue    queue
	// lowPriorityCredit is the slot time that went to the highest waiting priority while requests of lower
	// priorities were queued as well, less the slot time that went to lower priorities in return. See nextToRun.
	lowPriorityCredit time.Duration

	upstream policy.ServerID
	state    policy.State // state of the upstream
	slots    int
	inFlight int               // number of attempts in flight at the upstream
	retired  []policy.ServerID // former upstreams, newest last: later updates of them are ignored

	health   health
	wakeAt   time.Duration // time of the requested Wake; 0: no Wake was requested
	counters policy.Counters
	load     publishedLoad
}

// New returns a gate without an upstream. The gate rejects all requests until List names an upstream.
func New(host policy.Host) *Gate {
	return &Gate{host: host, requests: make(map[policy.RequestID]*request)}
}

// AttemptLog returns the gate's record of non-idempotent requests.
func (g *Gate) AttemptLog() *AttemptLog { return &g.attempts }

// Start does nothing: a gate has no work before its first List.
func (g *Gate) Start(time.Duration) {}

// Request sends, queues or rejects an arriving request. A request whose ID is in use already is ignored.
func (g *Gate) Request(now time.Duration, q policy.Request) {
	if g.requests[q.ID] != nil {
		return
	}
	g.advance(now)
	defer g.endEvent(now)
	r := newRequest(now, q)
	if r.atMostOnce() && !g.checkAttemptLog(now, r) {
		return
	}
	switch {
	case r.deadline <= now || !g.accepting(now):
		g.reject(now, r)
	case g.inFlight < g.concurrencyLimit(now): // advance has left the queue empty in this case
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

// Outcome records the end of an attempt: it frees the attempt's slot, and answers the request unless the request has
// its answer already.
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

// answer answers a request whose attempt has ended without a response for its client.
func (g *Gate) answer(now time.Duration, r *request, ending policy.Ending) {
	switch {
	case ending == policy.Served:
	case ending.NeverRan(), ending == policy.GateRejected:
		g.reject(now, r)
	default: // the attempt may have run
		g.fail(r)
	}
}

// Wake rejects queued requests that can no longer start in time, and assigns slots that are available again.
func (g *Gate) Wake(now time.Duration) {
	if now >= g.wakeAt {
		g.wakeAt = 0
	}
	g.advance(now)
	g.endEvent(now)
}

// ClientGone handles that the caller of a request has left, so that nobody receives the answer. A queued request is
// removed from the queue. An attempt in flight is cancelled if MayCancel allows that; the attempt keeps its slot until
// its Outcome, as the upstream may still process the request.
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

// Probed does nothing: the gate requests no health checks.
func (g *Gate) Probed(time.Duration, policy.ServerID, bool, policy.Load) {}

// StreamStarted does nothing: the slot stays in use until the Outcome.
func (g *Gate) StreamStarted(policy.RequestID) {}

// Reconfigure does nothing: the gate's limits depend on the server list only.
func (g *Gate) Reconfigure(time.Duration, policy.Limits) error { return nil }

// Counters returns the totals since the gate was created.
func (g *Gate) Counters() policy.Counters { return g.counters }

// send starts the only attempt of a request. The attempt has no timeout of its own: it may last until the caller's
// deadline.
func (g *Gate) send(now time.Duration, r *request) {
	r.sent, r.sentAt, r.upstream = true, now, g.upstream
	g.inFlight++
	g.counters.Ordinary++
	g.host.Send(r.id, g.upstream, 0)
}
