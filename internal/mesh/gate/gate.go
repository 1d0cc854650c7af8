// Package gate is the gate beside an upstream: a decision module that all requests for the one
// upstream on this machine pass through, from all sidecars of the mesh. As nobody else reaches the
// upstream, the gate knows how many of its slots are busy.
//
// The guarantees: there are never more attempts out than the upstream has slots; nothing is sent to
// an upstream that drains or is gone; each request has one attempt at most and one answer; and a
// request that can't start in time is turned back while its caller can still go elsewhere.
//
// A Gate has no goroutines, no clock and no I/O. It is driven like policy.Balancer, by one
// goroutine; only Load and MeanServiceTime may be called from others.
package gate

import (
	"math"
	"sync/atomic"
	"time"

	"caperarch/policy"
)

const (
	// usualRank is the rank of a request that brings no AttemptTerms.
	defaultPriority = 2
	// lowestRank bounds the number of queues; what ranks lower queues with it.
	lowestPriority = 15
	// turnEvery guards the lower ranks against being kept waiting for good: of so much of the
	// slots' time that is handed out while one of them waits, one part goes to the one that has
	// waited longest.
	lowPriorityInterval = 8
	// fewestWaiting is how many may wait before an upstream with fewer slots than that; else as
	// many as it has slots. The bound guards against a queue that only makes callers late.
	minQueueCapacity = 2
	// waitShare is the part of a request's aim that it may wait for: the rest belongs to its work.
	waitDivisor = 4
	// urgentPlaces is how many times as many of the highest rank may wait.
	highPriorityQueueSlots = 4
	// urgentShare is the part of all its time that a request of the highest rank waits at most:
	// half of it is left for its work.
	highPriorityWaitDivisor = 2
	// meanShare is the weight of the past in the mean service time: high enough that one slow
	// request does not turn all others back, low enough that a change shows within some dozens of
	// requests.
	meanWeight = 16

	// shortestPause guards against callers that come back before anything can have changed.
	minRetryAfter = 10 * time.Millisecond
	// longestPause guards against a few very slow requests keeping callers away for long.
	maxRetryAfter = time.Second
	// closedPause is what callers of an upstream that takes nothing more are told.
	closedRetryAfter = 200 * time.Millisecond
	// longestLeft guards against sums that overflow.
	maxRemaining = time.Hour

	// shedTime is how long an upstream that turned a request away is taken to have one slot fewer.
	shedDuration = 200 * time.Millisecond
	// missesToDead is how many connections in a row have to fail before the upstream is taken for dead.
	maxConnectFailures = 3
	// firstDead and longestDead bound the time for which it is: it doubles from one to the other
	// for as long as no connection comes about, so that a dead upstream costs little and a new one
	// is found soon.
	minUnreachable = 100 * time.Millisecond
	maxUnreachable = 800 * time.Millisecond

	// mostSlots guards against a weight that no upstream can mean.
	maxSlots = 1 << 16
	// mostRetired bounds how many upstreams that have left are remembered, so that no late word
	// revives them.
	maxRetired = 64
)

// AttemptTerms is what a request's Terms say of it. The gate goes by Priority and LatencyTarget, and by Key and SendID
// where it is not Idempotent; the rest is for those who answer the request's caller.
type AttemptTerms struct {
	Priority      int           // 0 is the highest: internal checks
	Idempotent    bool          // it may run twice
	MaxAttempts   int           // of its caller
	LatencyTarget time.Duration // the time that its caller would like it answered in; 0: none
	Key           Key
	SendID        SendID
}

// Gate is the decision module.
type Gate struct {
	host              policy.Host
	attempts          AttemptLog
	requests          map[policy.RequestID]*request  // those that wait, and those whose attempt is out
	queues            [lowestPriority + 1][]*request // by rank, in the order of arrival
	waiting           int
	lowPriorityCredit time.Duration // of slots' time to lower ranks that wait

	upstream policy.ServerID
	state    policy.State
	slots    int
	running  int // attempts out at the upstream
	retired  []policy.ServerID

	meanService      time.Duration                     // of service; 0: not known
	meanByPriority   [lowestPriority + 1]time.Duration // of each rank
	shedUntil        []time.Duration                   // when each slot that the upstream has shed counts again, in order
	connectFailures  int                               // connections that failed in a row
	unreachableFor   time.Duration
	unreachableUntil time.Duration
	wakeAt           time.Duration // when Wake is due next; 0: nothing was asked for
	counters         policy.Counters

	load struct{ running, queued, slots, meanService atomic.Int64 }
}

// request is one that waits or whose attempt is out.
type request struct {
	id        policy.RequestID
	priority  int
	arrivedAt time.Duration
	startBy   time.Duration // turned back if it still waits then
	deadline  time.Duration
	sent      bool
	sentAt    time.Duration
	upstream  policy.ServerID
	terms     *AttemptTerms // nil: it brought none
}

// fenced says whether a request must not run twice.
func (r *request) runsOnce() bool { return r.terms != nil && !r.terms.Idempotent }

// New makes a gate that decides nothing until a list names its upstream: requests are turned back
// until then.
func New(host policy.Host) *Gate {
	return &Gate{host: host, requests: make(map[policy.RequestID]*request)}
}

// Load is how many attempts are out, how many requests wait and how many slots the upstream has. It
// may be called from any goroutine; each of the figures is the latest one.
func (g *Gate) Load() (running, queued, slots int) {
	return int(g.load.running.Load()), int(g.load.queued.Load()), int(g.load.slots.Load())
}

// MeanServiceTime is the mean time of an attempt of late; 0: none has ended yet. It may be called from any
// goroutine.
func (g *Gate) MeanServiceTime() time.Duration { return time.Duration(g.load.meanService.Load()) }

// AttemptLog is what the gate remembers of requests that must not run twice.
func (g *Gate) AttemptLog() *AttemptLog { return &g.attempts }

// Start begins the gate's life.
func (g *Gate) Start(time.Duration) {}

// Request takes a request: it is sent, waits or is turned back at once.
func (g *Gate) Request(now time.Duration, q policy.Request) {
	if g.requests[q.ID] != nil {
		return
	}
	g.advance(now)
	defer g.updateTimers(now)
	priority, latencyTarget := defaultPriority, time.Duration(0)
	if v, ok := q.Terms.(*AttemptTerms); ok && v != nil {
		priority, latencyTarget = min(max(v.Priority, 0), lowestPriority), v.LatencyTarget
	}
	remaining := min(q.Left, maxRemaining)
	if latencyTarget <= 0 || latencyTarget > remaining {
		latencyTarget = remaining
	}
	r := &request{id: q.ID, priority: priority, arrivedAt: now, startBy: now + latencyTarget/waitDivisor, deadline: now + remaining}
	r.terms, _ = q.Terms.(*AttemptTerms)
	if r.runsOnce() && !g.checkAttemptLog(now, r, remaining) {
		return
	}
	if priority == 0 { // an internal check has no other try, and takes the request that made it along
		r.startBy = now + remaining/highPriorityWaitDivisor
	}
	switch {
	case remaining <= 0 || !g.accepting(now):
		g.reject(now, r)
	case g.running < g.concurrencyLimit(now): // so nothing waits
		g.requests[r.id] = r
		g.send(now, r)
	case now+g.expectedWait(now, priority) >= g.latestStart(r):
		g.reject(now, r)
	case g.queueFull(priority) && (priority == 0 || !g.displace(now, priority)):
		g.reject(now, r)
	default:
		g.requests[r.id] = r
		g.queues[priority] = append(g.queues[priority], r)
		g.waiting++
		g.counters.Queued++
	}
}

// Outcome takes the end of an attempt: its slot is free, and its request has its answer.
func (g *Gate) Outcome(now time.Duration, o policy.Outcome) {
	r := g.requests[o.ID]
	if r == nil || !r.sent || o.Attempt != 0 {
		return
	}
	delete(g.requests, o.ID)
	if r.upstream == g.upstream {
		g.running--
		g.recordOutcome(now, r, o)
	}
	if !o.Settled {
		switch o.Ending {
		case policy.Served:
		case policy.TurnedAway, policy.NoConnection, policy.NotSent, policy.Gated:
			g.reject(now, r)
		default:
			g.counters.Failed++
			g.host.Fail(r.id)
		}
	}
	g.advance(now)
	g.updateTimers(now)
}

// Wake turns back what can't start in time any more, and hands out slots that count again.
func (g *Gate) Wake(now time.Duration) {
	if now >= g.wakeAt {
		g.wakeAt = 0
	}
	g.advance(now)
	g.updateTimers(now)
}

// Probed takes the report of a probe, which the gate asks for none of.
func (g *Gate) Probed(time.Duration, policy.ServerID, bool, policy.Load) {}

// ClientGone takes that a caller quit: it waits no more. What runs for it keeps its slot until it
// ends, as the upstream is still at it.
func (g *Gate) ClientGone(now time.Duration, id policy.RequestID) {
	if r := g.requests[id]; r != nil && !r.sent {
		g.recordPhase(r, rejected)
		g.removeQueued(r)
	}
	g.advance(now)
	g.updateTimers(now)
}

// StreamBegun takes that a request has its answer while its attempt goes on. Its slot stays busy
// until the Outcome.
func (g *Gate) StreamBegun(policy.RequestID) {}

// Reconfigure has nothing to change: the gate goes by the list alone.
func (g *Gate) Reconfigure(time.Duration, policy.Limits) error { return nil }

// Counters tell what the gate did since it was made.
func (g *Gate) Counters() policy.Counters { return g.counters }

// settle asks for the next call of Wake, only if something waits, and shows the load.
func (g *Gate) updateTimers(now time.Duration) {
	if g.waiting > 0 {
		due := time.Duration(math.MaxInt64)
		for _, line := range g.queues {
			for _, r := range line {
				due = min(due, g.latestStart(r))
			}
		}
		if len(g.shedUntil) > 0 {
			due = min(due, g.shedUntil[0])
		}
		if g.wakeAt == 0 || due < g.wakeAt {
			g.wakeAt = due
			g.host.Wake(due - now)
		}
	}
	g.counters.Avoided = 0
	if g.state == policy.Ready && now < g.unreachableUntil {
		g.counters.Avoided = 1
	}
	g.load.running.Store(int64(g.running))
	g.load.queued.Store(int64(g.waiting))
	g.load.slots.Store(int64(g.slots))
	g.load.meanService.Store(int64(g.meanService))
}

// send starts a request's one attempt, which may last until its caller's deadline: an upstream's
// silence is no reason to end it sooner.
func (g *Gate) send(now time.Duration, r *request) {
	r.sent, r.sentAt, r.upstream = true, now, g.upstream
	g.running++
	g.counters.Ordinary++
	g.host.Send(r.id, g.upstream, 0)
}

// refuse turns a request back, which has not run, with the time when a slot is expected to be free
// for it.
func (g *Gate) sendRejection(now time.Duration, r *request) {
	pause := closedRetryAfter
	switch {
	case g.state == policy.Ready && now < g.unreachableUntil:
		pause = g.unreachableUntil - now
	case g.state == policy.Ready:
		pause = g.expectedWait(now, r.priority)
	}
	g.counters.Refused++
	g.host.Refuse(r.id, min(max(pause, minRetryAfter), maxRetryAfter))
}

// admit asks the fence for a request that must not run twice, and answers one that may not go on.
func (g *Gate) checkAttemptLog(now time.Duration, r *request, remaining time.Duration) bool {
	switch g.attempts.admit(now, r.terms.Key, r.terms.SendID, max(0, remaining)) {
	case notExecuted:
		g.sendRejection(now, r)
		return false
	case mayHaveExecuted:
		g.counters.Failed++
		g.host.Fail(r.id)
		return false
	}
	return true
}

// turnAway refuses a request that has not run. A later send of it may come.
func (g *Gate) reject(now time.Duration, r *request) {
	g.recordPhase(r, rejected)
	g.sendRejection(now, r)
}

// mark has the fence know how far a request came.
func (g *Gate) recordPhase(r *request, to phase) {
	if r.runsOnce() {
		g.attempts.setPhase(r.terms.Key, to)
	}
}
