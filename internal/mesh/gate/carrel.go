// Package gate is the gate beside an upstream: a decision module that all requests for the one upstream on this
// machine pass through, from all sidecars of the mesh. As nobody else reaches the upstream, the gate knows how many
// of its slots are busy.
//
// The guarantees: there are never more attempts out than the upstream has slots; nothing is sent to an upstream that
// drains or is gone; each request has one attempt at most and one answer; and a request that can't start in time is
// turned back while its caller can still go elsewhere.
//
// A Gate has no goroutines, no clock and no I/O. It is driven like policy.Balancer, by one goroutine; only Load and
// Mean may be called from others.
package gate

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"caperarch/policy"
)

const (
	// usualRank is the rank of a request that brings no Visit.
	usualRank = 2
	// lowestRank bounds the number of queues; what ranks lower queues with it.
	lowestRank = 15
	// turnEvery guards the lower ranks against being kept waiting for good: of so much of the slots' time that is handed
	// out while one of them waits, one part goes to the one that has waited longest.
	turnEvery = 8
	// fewestWaiting is how many may wait before an upstream with fewer slots than that; else as many as it has slots.
	// The bound guards against a queue that only makes callers late.
	fewestWaiting = 2
	// waitShare is the part of a request's aim that it may wait for: the rest belongs to its work.
	waitShare = 4
	// urgentPlaces is how many times as many of the highest rank may wait.
	urgentPlaces = 4
	// urgentShare is the part of all its time that a request of the highest rank waits at most: half of it is left for its work.
	urgentShare = 2
	// meanShare is the weight of the past in the mean service time: high enough that one slow request does not turn
	// all others back, low enough that a change shows within some dozens of requests.
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
	// firstDead and longestDead bound the time for which it is: it doubles from one to the other for as long as
	// no connection comes about, so that a dead upstream costs little and a new one is found soon.
	firstDead   = 100 * time.Millisecond
	longestDead = 800 * time.Millisecond

	// mostSlots guards against a weight that no upstream can mean.
	mostSlots = 1 << 16
	// mostRetired bounds how many upstreams that have left are remembered, so that no late word revives them.
	mostRetired = 64
)

// Visit is what a request's Terms say of it. The gate goes by Rank and Aim; the rest is for those who answer the
// request's caller.
type Visit struct {
	Rank     int           // 0 is the highest: internal checks
	Safe     bool          // it may run twice
	Attempts int           // of its caller
	Aim      time.Duration // the time that its caller would like it answered in; 0: none
}

// Gate is the decision module.
type Gate struct {
	host     policy.Host
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
}

// New makes a gate that decides nothing until a list names its upstream: requests are turned back until then.
func New(host policy.Host) *Gate {
	return &Gate{host: host, requests: make(map[policy.RequestID]*request)}
}

// Load is how many attempts are out, how many requests wait and how many slots the upstream has. It may be called
// from any goroutine; each of the figures is the latest one.
func (g *Gate) Load() (running, queued, slots int) {
	return int(g.load.running.Load()), int(g.load.queued.Load()), int(g.load.slots.Load())
}

// Mean is the mean time of an attempt of late; 0: none has ended yet. It may be called from any goroutine.
func (g *Gate) Mean() time.Duration { return time.Duration(g.load.mean.Load()) }

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
	if v, ok := q.Terms.(*Visit); ok && v != nil {
		rank, aim = min(max(v.Rank, 0), lowestRank), v.Aim
	}
	left := min(q.Left, longestLeft)
	if aim <= 0 || aim > left {
		aim = left
	}
	r := &request{id: q.ID, rank: rank, came: now, startBy: now + aim/waitShare, deadline: now + left}
	if rank == 0 { // an internal check has no other try, and takes the request that made it along
		r.startBy = now + left/urgentShare
	}
	switch {
	case left <= 0 || !g.open(now):
		g.refuse(now, r)
	case g.running < g.capacity(now): // so nothing waits
		g.requests[r.id] = r
		g.send(now, r)
	case now+g.wait(now, rank) >= g.latest(r):
		g.refuse(now, r)
	case g.full(rank) && (rank == 0 || !g.displace(now, rank)):
		g.refuse(now, r)
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
			g.refuse(now, r)
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

// List takes what is said of the upstream. One that drains or is gone is sent nothing more, whatever is said of it
// later; another one in its place is.
func (g *Gate) List(now time.Duration, kind policy.ListKind, entries []policy.Server) {
	if kind == policy.ListFailed {
		return
	}
	known := func(e policy.Server) bool { return e.ID == g.upstream }
	if kind != policy.ListDelta && g.state == policy.Ready && !slices.ContainsFunc(entries, known) {
		g.retire(policy.Gone)
	}
	for _, e := range entries {
		switch {
		case e.State != policy.Ready && known(e) && g.state == policy.Ready:
			g.retire(e.State)
		case slices.Contains(g.retired, e.ID):
		case e.State != policy.Ready:
			g.remember(e.ID)
		default:
			g.take(e)
		}
	}
	g.advance(now)
	g.settle(now)
}

// Probed takes the report of a probe, which the gate asks for none of.
func (g *Gate) Probed(time.Duration, policy.ServerID, bool, policy.Load) {}

// ClientGone takes that a caller quit: it waits no more. What runs for it keeps its slot until it ends, as the
// upstream is still at it.
func (g *Gate) ClientGone(now time.Duration, id policy.RequestID) {
	if r := g.requests[id]; r != nil && !r.sent {
		g.leave(r)
	}
	g.advance(now)
	g.settle(now)
}

// StreamBegun takes that a request has its answer while its attempt goes on. Its slot stays busy until the Outcome.
func (g *Gate) StreamBegun(policy.RequestID) {}

// Reconfigure has nothing to change: the gate goes by the list alone.
func (g *Gate) Reconfigure(time.Duration, policy.Limits) error { return nil }

// Counters tell what the gate did since it was made.
func (g *Gate) Counters() policy.Counters { return g.count }

// take has the upstream be the one of the entry, with its slots. The one before is sent nothing more.
func (g *Gate) take(e policy.Server) {
	if g.state == policy.Ready && e.ID != g.upstream {
		g.retire(policy.Gone)
	}
	if g.state != policy.Ready {
		g.upstream, g.state = e.ID, policy.Ready
		g.slots, g.mean, g.shed = 1, 0, nil
		g.means = [lowestRank + 1]time.Duration{}
		g.missed, g.deadFor, g.deadUntil = 0, 0, 0
		g.running = 0 // what is out at the one before is no load of this one
		for _, r := range g.requests {
			if r.sent && r.to == e.ID {
				g.running++
			}
		}
	}
	if !(e.Weight >= 1) || math.IsInf(e.Weight, 0) {
		g.host.Log(fmt.Sprintf("the upstream has no usable number of slots (%v): it stays at %d", e.Weight, g.slots))
		return
	}
	g.slots = int(min(e.Weight, mostSlots))
}

// retire has nothing sent to the upstream any more.
func (g *Gate) retire(state policy.State) {
	g.state = state
	g.remember(g.upstream)
}

// remember has no later word revive an upstream.
func (g *Gate) remember(id policy.ServerID) {
	if g.retired = append(g.retired, id); len(g.retired) > mostRetired {
		g.retired = slices.Delete(g.retired, 0, 1)
	}
}

// learn takes what the end of an attempt says of the upstream.
func (g *Gate) learn(now time.Duration, r *request, o policy.Outcome) {
	switch o.Ending {
	case policy.Served, policy.Errored, policy.Rejected, policy.TurnedAway: // it answered, so it lives
		g.missed, g.deadFor, g.deadUntil = 0, 0, 0
	}
	switch o.Ending {
	case policy.NotSent, policy.Gated:
	case policy.TurnedAway:
		if g.shed = append(g.shed, now+shedTime); len(g.shed) > g.slots {
			g.shed = slices.Delete(g.shed, 0, 1)
		}
	case policy.NoConnection:
		g.miss(now, r)
	default: // it held a slot that long
		for _, mean := range []*time.Duration{&g.mean, &g.means[r.rank]} {
			if took := now - r.sentAt; *mean == 0 {
				*mean = took
			} else {
				*mean += (took - *mean) / meanShare
			}
		}
	}
}

// miss takes that a connection failed. After some in a row the upstream is taken for dead for a while. Requests then
// pass again, and the first of them that fails alike has it taken for dead for longer.
func (g *Gate) miss(now time.Duration, r *request) {
	if r.sentAt < g.deadUntil {
		return // sent before it was taken for dead: nothing new
	}
	if g.missed++; g.missed >= missesToDead {
		g.deadFor = min(max(2*g.deadFor, firstDead), longestDead)
		g.deadUntil = now + g.deadFor
	}
}

// open says whether the upstream may be sent anything.
func (g *Gate) open(now time.Duration) bool { return g.state == policy.Ready && now >= g.deadUntil }

// capacity is how many attempts may be out now. One at least, so that the upstream has its chance.
func (g *Gate) capacity(now time.Duration) int {
	g.shed = slices.DeleteFunc(g.shed, func(until time.Duration) bool { return now >= until })
	return max(1, g.slots-len(g.shed))
}

// room is how many requests may wait below the highest rank.
func (g *Gate) room() int { return max(fewestWaiting, g.slots) }

// full says whether no more of a rank may wait. Those of the highest have places of their own: they are short, and bounded by their time, and none below would ever wait beside them.
func (g *Gate) full(rank int) bool {
	if rank == 0 {
		return len(g.queues[0]) >= urgentPlaces*g.room()
	}
	return g.waiting-len(g.queues[0]) >= g.room()
}

// wait is how long one more request of a rank is expected to wait for a slot.
func (g *Gate) wait(now time.Duration, rank int) time.Duration {
	position := 1
	for _, line := range g.queues[:rank+1] {
		position += len(line)
	}
	return time.Duration(float64(g.mean) * float64(position) / float64(g.capacity(now)))
}

// latest is when a request has to have started: within its share of the aim, and early enough to end in time.
func (g *Gate) latest(r *request) time.Duration { return min(r.startBy, r.deadline-g.expected(r.rank)) }

// advance turns back what has no chance any more, hands out what slots are free, and keeps the queue to its length.
func (g *Gate) advance(now time.Duration) {
	open := g.open(now)
	for rank := range g.queues {
		for i := 0; i < len(g.queues[rank]); {
			if r := g.queues[rank][i]; open && now < g.latest(r) {
				i++
			} else {
				g.turnBack(now, r)
			}
		}
	}
	for g.waiting > 0 && g.running < g.capacity(now) {
		r := g.next()
		g.unqueue(r)
		g.send(now, r)
	}
	for g.waiting-len(g.queues[0]) > g.room() {
		g.turnBack(now, g.last())
	}
}

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

// next is the request whose turn it is: the first of the highest rank or, once in turnEvery, the one of a lower rank
// that has waited longest. Something waits.
func (g *Gate) next() *request {
	var first, lower *request
	for _, line := range g.queues {
		switch {
		case len(line) == 0:
		case first == nil:
			first = line[0]
		case lower == nil || line[0].came < lower.came:
			lower = line[0]
		}
	}
	switch {
	case lower == nil:
		g.owed = 0
	case g.owed >= (turnEvery-1)*g.expected(lower.rank):
		g.owed -= (turnEvery - 1) * g.expected(lower.rank)
		return lower
	default:
		g.owed += g.expected(first.rank)
	}
	return first
}

// expected is how long a request of a rank holds a slot. Where nothing is known all are alike.
func (g *Gate) expected(rank int) time.Duration {
	return cmp.Or(g.means[rank], g.mean, time.Millisecond)
}

// last is the one that came last of the lowest rank that waits. Something waits.
func (g *Gate) last() *request {
	for rank := lowestRank; ; rank-- {
		if line := g.queues[rank]; len(line) > 0 {
			return line[len(line)-1]
		}
	}
}

// displace makes room for a rank: the last one of the lowest rank is turned back, if that is a lower one.
func (g *Gate) displace(now time.Duration, rank int) bool {
	r := g.last()
	if r.rank <= rank {
		return false
	}
	g.turnBack(now, r)
	return true
}

// turnBack ends a request that waits.
func (g *Gate) turnBack(now time.Duration, r *request) {
	g.leave(r)
	g.refuse(now, r)
}

// leave takes a request that waits out of the gate.
func (g *Gate) leave(r *request) {
	g.unqueue(r)
	delete(g.requests, r.id)
}

// unqueue takes a request out of the queue.
func (g *Gate) unqueue(r *request) {
	line := g.queues[r.rank]
	i := slices.Index(line, r)
	g.queues[r.rank] = slices.Delete(line, i, i+1)
	g.waiting--
}

// send starts a request's one attempt, which may last until its caller's deadline: an upstream's silence is no
// reason to end it sooner.
func (g *Gate) send(now time.Duration, r *request) {
	r.sent, r.sentAt, r.to = true, now, g.upstream
	g.running++
	g.count.Ordinary++
	g.host.Send(r.id, g.upstream, 0)
}

// refuse turns a request back, which has not run, with the time when a slot is expected to be free for it.
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
