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
	usualRank = 2
	// lowestRank bounds the number of queues; what ranks lower queues with it.
	lowestRank = 15
	// turnEvery guards the lower ranks against being kept waiting for good: of so much of the
	// slots' time that is handed out while one of them waits, one part goes to the one that has
	// waited longest.
	turnEvery = 8
	// fewestWaiting is how many may wait before an upstream with fewer slots than that; else as
	// many as it has slots. The bound guards against a queue that only makes callers late.
	fewestWaiting = 2
	// waitShare is the part of a request's aim that it may wait for: the rest belongs to its work.
	waitShare = 4
	// urgentPlaces is how many times as many of the highest rank may wait.
	urgentPlaces = 4
	// urgentShare is the part of all its time that a request of the highest rank waits at most:
	// half of it is left for its work.
	urgentShare = 2
	// meanShare is the weight of the past in the mean service time: high enough that one slow
	// request does not turn all others back, low enough that a change shows within some dozens of
	// requests.
	meanShare = 16

	// shortestPause guards against callers that come back before anything can have changed.
	shortestPause = 10 * time.Millisecond
	// longestPause guards against a few very slow requests keeping callers away for long.
	longestPause = time.Second
	// closedPause is what callers of an upstream that takes nothing more are told.
	closedPause = 200 * time.Millisecond
	// longestLeft guards against sums that overflow.
	longestLeft = time.Hour

	// shedTime is how long an upstream that turned a request away is taken to have one slot fewer.
	shedTime = 200 * time.Millisecond
	// missesToDead is how many connections in a row have to fail before the upstream is taken for dead.
	missesToDead = 3
	// firstDead and longestDead bound the time for which it is: it doubles from one to the other
	// for as long as no connection comes about, so that a dead upstream costs little and a new one
	// is found soon.
	firstDead   = 100 * time.Millisecond
	longestDead = 800 * time.Millisecond

	// mostSlots guards against a weight that no upstream can mean.
	mostSlots = 1 << 16
	// mostRetired bounds how many upstreams that have left are remembered, so that no late word
	// revives them.
	mostRetired = 64
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
	host     policy.Host
	fence    AttemptLog
	requests map[policy.RequestID]*request // those that wait, and those whose attempt is out
	queues   [lowestRank + 1][]*request    // by rank, in the order of arrival
	waiting  int
	owed     time.Duration // of slots' time to lower ranks that wait

	upstream policy.ServerID
	state    policy.State
	slots    int
	running  int // attempts out at the upstream
	retired  []policy.ServerID

	mean      time.Duration                 // of service; 0: not known
	means     [lowestRank + 1]time.Duration // of each rank
	shed      []time.Duration               // when each slot that the upstream has shed counts again, in order
	missed    int                           // connections that failed in a row
	deadFor   time.Duration
	deadUntil time.Duration
	wakeAt    time.Duration // when Wake is due next; 0: nothing was asked for
	count     policy.Counters

	load struct{ running, queued, slots, mean atomic.Int64 }
}

// request is one that waits or whose attempt is out.
type request struct {
	id       policy.RequestID
	rank     int
	came     time.Duration
	startBy  time.Duration // turned back if it still waits then
	deadline time.Duration
	sent     bool
	sentAt   time.Duration
	to       policy.ServerID
	terms    *AttemptTerms // nil: it brought none
}

// fenced says whether a request must not run twice.
func (r *request) fenced() bool { return r.terms != nil && !r.terms.Idempotent }

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
func (g *Gate) MeanServiceTime() time.Duration { return time.Duration(g.load.mean.Load()) }

// AttemptLog is what the gate remembers of requests that must not run twice.
func (g *Gate) AttemptLog() *AttemptLog { return &g.fence }

// Start begins the gate's life.
func (g *Gate) Start(time.Duration) {}

// Request takes a request: it is sent, waits or is turned back at once.
func (g *Gate) Request(now time.Duration, q policy.Request) {
	if g.requests[q.ID] != nil {
		return
	}
	g.advance(now)
	defer g.settle(now)
	rank, aim := usualRank, time.Duration(0)
	if v, ok := q.Terms.(*AttemptTerms); ok && v != nil {
		rank, aim = min(max(v.Priority, 0), lowestRank), v.LatencyTarget
	}
	left := min(q.Left, longestLeft)
	if aim <= 0 || aim > left {
		aim = left
	}
	r := &request{id: q.ID, rank: rank, came: now, startBy: now + aim/waitShare, deadline: now + left}
	r.terms, _ = q.Terms.(*AttemptTerms)
	if r.fenced() && !g.admit(now, r, left) {
		return
	}
	if rank == 0 { // an internal check has no other try, and takes the request that made it along
		r.startBy = now + left/urgentShare
	}
	switch {
	case left <= 0 || !g.open(now):
		g.turnAway(now, r)
	case g.running < g.capacity(now): // so nothing waits
		g.requests[r.id] = r
		g.send(now, r)
	case now+g.wait(now, rank) >= g.latest(r):
		g.turnAway(now, r)
	case g.full(rank) && (rank == 0 || !g.displace(now, rank)):
		g.turnAway(now, r)
	default:
		g.requests[r.id] = r
		g.queues[rank] = append(g.queues[rank], r)
		g.waiting++
		g.count.Queued++
	}
}

// Outcome takes the end of an attempt: its slot is free, and its request has its answer.
func (g *Gate) Outcome(now time.Duration, o policy.Outcome) {
	r := g.requests[o.ID]
	if r == nil || !r.sent || o.Attempt != 0 {
		return
	}
	delete(g.requests, o.ID)
	if r.to == g.upstream {
		g.running--
		g.learn(now, r, o)
	}
	if !o.Settled {
		switch o.Ending {
		case policy.Served:
		case policy.TurnedAway, policy.NoConnection, policy.NotSent, policy.Gated:
			g.turnAway(now, r)
		default:
			g.count.Failed++
			g.host.Fail(r.id)
		}
	}
	g.advance(now)
	g.settle(now)
}

// Wake turns back what can't start in time any more, and hands out slots that count again.
func (g *Gate) Wake(now time.Duration) {
	if now >= g.wakeAt {
		g.wakeAt = 0
	}
	g.advance(now)
	g.settle(now)
}

// Probed takes the report of a probe, which the gate asks for none of.
func (g *Gate) Probed(time.Duration, policy.ServerID, bool, policy.Load) {}

// ClientGone takes that a caller quit: it waits no more. What runs for it keeps its slot until it
// ends, as the upstream is still at it.
func (g *Gate) ClientGone(now time.Duration, id policy.RequestID) {
	if r := g.requests[id]; r != nil && !r.sent {
		g.mark(r, turnedAway)
		g.leave(r)
	}
	g.advance(now)
	g.settle(now)
}

// StreamBegun takes that a request has its answer while its attempt goes on. Its slot stays busy
// until the Outcome.
func (g *Gate) StreamBegun(policy.RequestID) {}

// Reconfigure has nothing to change: the gate goes by the list alone.
func (g *Gate) Reconfigure(time.Duration, policy.Limits) error { return nil }

// Counters tell what the gate did since it was made.
func (g *Gate) Counters() policy.Counters { return g.count }

// settle asks for the next call of Wake, only if something waits, and shows the load.
func (g *Gate) settle(now time.Duration) {
	if g.waiting > 0 {
		due := time.Duration(math.MaxInt64)
		for _, line := range g.queues {
			for _, r := range line {
				due = min(due, g.latest(r))
			}
		}
		if len(g.shed) > 0 {
			due = min(due, g.shed[0])
		}
		if g.wakeAt == 0 || due < g.wakeAt {
			g.wakeAt = due
			g.host.Wake(due - now)
		}
	}
	g.count.Avoided = 0
	if g.state == policy.Ready && now < g.deadUntil {
		g.count.Avoided = 1
	}
	g.load.running.Store(int64(g.running))
	g.load.queued.Store(int64(g.waiting))
	g.load.slots.Store(int64(g.slots))
	g.load.mean.Store(int64(g.mean))
}

// send starts a request's one attempt, which may last until its caller's deadline: an upstream's
// silence is no reason to end it sooner.
func (g *Gate) send(now time.Duration, r *request) {
	r.sent, r.sentAt, r.to = true, now, g.upstream
	g.running++
	g.count.Ordinary++
	g.host.Send(r.id, g.upstream, 0)
}

// refuse turns a request back, which has not run, with the time when a slot is expected to be free
// for it.
func (g *Gate) refuse(now time.Duration, r *request) {
	pause := closedPause
	switch {
	case g.state == policy.Ready && now < g.deadUntil:
		pause = g.deadUntil - now
	case g.state == policy.Ready:
		pause = g.wait(now, r.rank)
	}
	g.count.Refused++
	g.host.Refuse(r.id, min(max(pause, shortestPause), longestPause))
}

// admit asks the fence for a request that must not run twice, and answers one that may not go on.
func (g *Gate) admit(now time.Duration, r *request, left time.Duration) bool {
	switch g.fence.admit(now, r.terms.Key, r.terms.SendID, max(0, left)) {
	case neverRan:
		g.refuse(now, r)
		return false
	case mayHaveRun:
		g.count.Failed++
		g.host.Fail(r.id)
		return false
	}
	return true
}

// turnAway refuses a request that has not run. A later send of it may come.
func (g *Gate) turnAway(now time.Duration, r *request) {
	g.mark(r, turnedAway)
	g.refuse(now, r)
}

// mark has the fence know how far a request came.
func (g *Gate) mark(r *request, to phase) {
	if r.fenced() {
		g.fence.move(r.terms.Key, to)
	}
}
