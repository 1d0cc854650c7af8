package http1

import (
	"cmp"
	"container/list"
	"time"
)

// restTime is how long a connection with no open request is left alone where room is short. Longer, and
// clients that take a new connection for each request and keep the old ones hold up all others.
const minIdle = 100 * time.Millisecond

// kind is what is known of a connection by what it has asked for, or that it is being read.
type connState int

const (
	stateLingering   connState = iota // it has its last answer; what its client still sends is read over
	stateNew                          // nothing yet
	stateReading                      // a part of its request is here, the rest is still to come
	stateHealthCheck                  // GET /up alone
	stateUsedOnce                     // one request
	stateReused                       // more than one: its client comes back to it
	stateCount
)

var (
	// restsFor is how long one of a kind has to be at rest before the bound of its kind has it go. One that is read is left
	// more: what comes late may be late for our own want of CPU.
	minIdleOverLimit = [stateCount]time.Duration{stateLingering: minIdle, stateNew: minIdle, stateReading: 500 * time.Millisecond, stateHealthCheck: minIdle, stateUsedOnce: minIdle, stateReused: time.Second}
	// fullFor is how long it has to be where there is no room.
	minIdleWhenFull = [stateCount]time.Duration{stateLingering: 20 * time.Millisecond, stateNew: minIdle, stateReading: 500 * time.Millisecond, stateHealthCheck: minIdle, stateUsedOnce: minIdle, stateReused: minIdle}
	// leftFor is how long one of a kind is left at rest where there is room. (One that is read, or read over, has deadlines of its own.)
	defaultMaxIdle = [stateCount]time.Duration{stateLingering: time.Minute, stateNew: 2200 * time.Millisecond, stateReading: time.Minute, stateHealthCheck: 2 * time.Minute, stateUsedOnce: 2 * time.Minute, stateReused: 2 * time.Minute}
)

// newFor is how long one that has said nothing is left alone by a drain: its request, or its client's look at /up, is
// on its way.
const newConnGrace = 500 * time.Millisecond

// overPart is how long one of an owner with more than its part is left at rest at most where a bound is met.
const maxIdleOverShare = 50 * time.Millisecond

// ConnLimits are how many connections clients may have.
type ConnLimits struct {
	Max         int             // in all; one more waits
	MaxIdle     [stateCount]int // at rest or being read, by kind; the ones longest so go beyond that
	maxUpstream int             // that the application may open on its side
}

// NewConnLimits are the bounds for so many connections in all, of which the application may open so many on its own side.
// What rests there is left no more than half of the application's part, so that half is always free for what it opens.
func NewConnLimits(most, application int) ConnLimits {
	part := func(of int) int { return max(2, application/of) }
	return ConnLimits{Max: most, maxUpstream: application, MaxIdle: [stateCount]int{stateLingering: part(4), stateNew: part(8), stateReading: part(3), stateHealthCheck: part(16), stateUsedOnce: part(8), stateReused: 2 * part(10)}}
}

// KeepAliveConnLimits are the bounds for so many connections in all, whose clients are free to let them rest as long as Limits say: what rests goes sooner only where a newcomer needs the place. What is
// being read, or read over, has bounds of its own all the same: a body that comes a byte at a time must not hold them all.
func KeepAliveConnLimits(most int) ConnLimits {
	return ConnLimits{Max: most, MaxIdle: [stateCount]int{stateLingering: max(2, most/8), stateNew: most, stateReading: max(2, most/3), stateHealthCheck: most, stateUsedOnce: most, stateReused: most}}
}

// part are the bounds of one of so many processes. The application is one, whatever it is that it connects to: all that it may open must find room in each, and what rests is bounded as
// ever. Half of all is less: what an application in need opens to the newcomer beyond that stands unaccepted till the old process has let go of its last answers.
func (b ConnLimits) perProcess(of int) ConnLimits {
	b.Max = max(1, b.Max/max(1, of), min(b.Max, b.maxUpstream))
	return b
}

// Counters are figures of the clients' connections for the log. Rest are at rest, Closed made room, each by kind:
// that have their last answer, that said nothing, that are being read, that asked for /up alone, asked once, came back.
type Counters struct {
	Open, Most int // Most: at once, so far
	Rest       [stateCount]int
	Closed     [stateCount]uint64
}

// books say which connection of a client goes where room is short. They are free of I/O, time is passed in, and the
// caller sees to it that one goroutine is in them at a time.
//
// Our descriptors are one bound. The other is the application's own: it may open only so many connections to us, and
// what rests there, asked nothing or asked once and never again, takes the places of requests on its side of the
// wire, where nothing of ours shows it but silence (incident r44c533: 128 at rest, nothing held, half of the requests
// never sent). Therefore each kind at rest has a bound of its own, far below that of all. So has what is being read:
// bodies that come a byte at a time must not take the places of what could be served.
type connTable struct {
	limits    ConnLimits
	open      int
	idle      [stateCount]list.List // of *entry with no open request, or of a request that is not whole, longest first
	counts    Counters
	hasShares bool // owners have parts

	// speaks says whether something has come on a connection at rest that the books don't know of yet: unread in the
	// kernel's buffer, or read and on its way to busy. It does not rest then, we are late. nil: nothing ever has.
	hasUnrecordedInput func(*entry) bool
	// limits are those on clients' connections that hold now. nil: leftFor holds.
	requestLimits func() RequestLimits
}

// idle is how long a connection may rest by the limits that hold now; 0: they say nothing.
func (b *connTable) idleTimeout() time.Duration {
	if b.requestLimits == nil {
		return 0
	}
	return b.requestLimits().IdleTime
}

// left is how long a connection of a kind is left at rest where there is room.
func (b *connTable) maxIdle(e *entry, k connState) time.Duration {
	switch {
	case b.requestLimits == nil || k == stateLingering:
		return defaultMaxIdle[k]
	case k == stateReading:
		return max(defaultMaxIdle[k], b.requestLimits().HeadTime)
	}
	return cmp.Or(max(e.idleTimeout, b.idleTimeout()), defaultMaxIdle[k])
}

// reserveOf is the share of all connections that owners' parts leave for those that have asked for nothing yet.
const newConnReserve = 1.0 / 8

// owner has connections: a target whose requests come on them. The books' caller has its lock.
type owner struct {
	count int // of its connections
	share int // that it may have where room is short; what others leave it may use too
}

// divide gives owners parts by weight; none: there are no parts.
func (b *connTable) setShares(owners []*owner, weights []float64) {
	b.hasShares = len(owners) > 0
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i, o := range owners {
		o.share = max(1, int(float64(b.limits.Max)*(1-newConnReserve)*weights[i]/sum))
	}
}

// belongs takes whose request came on a connection last.
func (b *connTable) setOwner(e *entry, o *owner) {
	if e.owner == o || e.removed {
		return
	}
	if e.owner != nil {
		e.owner.count--
	}
	o.count++
	e.owner = o
}

// crowded says whether a connection's owner has more than its part where room is short: it ought to close with its
// next answer, so that what is kept for newcomers is free when they come. That crosses no request.
func (b *connTable) overShare(e *entry) bool {
	return b.hasShares && e.owner != nil && e.owner.count > e.owner.share && float64(b.open) > float64(b.limits.Max)*(1-newConnReserve)
}

// entry is a connection in the books.
type entry struct {
	conn        *conn
	use         connState
	owner       *owner        // whose request came on it last; nil: none
	state       connState     // the list that it is in
	element     *list.Element // there; nil: a whole request is open, or it is closed
	since       time.Duration // in it
	idleTimeout time.Duration // that it might rest when it began to; 0: nothing was said
	removed     bool
}

// sweep returns those that have to be closed for the bounds on what rests; they are off the books. Where something rests,
// again says when another look is due at the latest; 0: nothing does.
func (b *connTable) sweep(now time.Duration) (removed []*entry, again time.Duration) {
	for k := range stateCount {
		for b.idle[k].Len() > 0 {
			minIdle := time.Duration(0)
			if b.idle[k].Len() > b.limits.MaxIdle[k] {
				minIdle = minIdleOverLimit[k]
			}
			e, wait := b.removeLongestIdle(now, k, minIdle)
			if e == nil {
				if wait > 0 && (again == 0 || wait < again) {
					again = wait
				}
				break
			}
			removed = append(removed, e)
		}
	}
	return removed, again
}

// room makes room for one more: it returns whom to close for that, or, if there is none, how long to wait
// before it is worth another look.
func (b *connTable) makeRoom(now time.Duration) (removed []*entry, wait time.Duration, ok bool) {
	removed, _ = b.sweep(now)
	if b.open < b.limits.Max {
		return removed, 0, true
	}
	wait = minIdle
	for k := range stateCount {
		e, w := b.removeLongestIdle(now, k, minIdleWhenFull[k])
		if e != nil {
			return append(removed, e), 0, true
		}
		if w > 0 {
			wait = min(wait, w)
		}
	}
	return removed, wait, false
}

// resting takes off what no request is open on, and has not been for a time. One whose first request may be on its way is left for a while.
func (b *connTable) removeIdle(now, minIdle time.Duration) (removed []*entry) {
	for k := range stateCount {
		if k == stateReading || k == stateLingering {
			continue
		}
		for element := b.idle[k].Front(); element != nil; {
			e := element.Value.(*entry)
			element = element.Next()
			if now-e.since < minIdle || k == stateNew && now-e.since < newConnGrace || b.hasUnrecordedInput != nil && b.hasUnrecordedInput(e) {
				continue
			}
			b.remove(e)
			removed = append(removed, e)
		}
	}
	return removed
}

// longest takes the one of a kind off that has been at rest for longest, if that is short at least, or, with a short of 0, all the time that
// it is left, or says how long that is still to wait for. Where owners have parts, one that is within its own is left alone: what rests longest would
// be the spare connections of a quiet pool, closed for those that a flooded one comes back on all the time.
func (b *connTable) removeLongestIdle(now time.Duration, k connState, minIdle time.Duration) (e *entry, wait time.Duration) {
	for element := b.idle[k].Front(); element != nil; {
		e = element.Value.(*entry)
		next := element.Next()
		allowed := b.maxIdle(e, k)
		need := allowed
		if minIdle > 0 {
			need = min(minIdle, allowed)
		}
		if b.hasShares && e.owner != nil {
			if e.owner.count <= e.owner.share {
				need = allowed
			} else if minIdle > 0 {
				need = min(need, maxIdleOverShare)
			}
		}
		if remaining := need - (now - e.since); remaining > 0 {
			if wait == 0 || remaining < wait {
				wait = remaining
			}
			if b.hasShares {
				element = next // one of another owner may have to wait for less
				continue
			}
			return nil, wait
		}
		if k != stateLingering && k != stateReading && b.hasUnrecordedInput != nil && b.hasUnrecordedInput(e) {
			e.since = now // it counts as new at rest until that is taken
			b.idle[k].MoveToBack(element)
			if element = next; next == nil {
				return nil, need
			}
			continue
		}
		b.counts.Closed[k]++
		b.remove(e)
		return e, 0
	}
	return nil, wait
}

// add takes a new connection on.
func (b *connTable) add(now time.Duration, e *entry) {
	b.open++
	b.counts.Most = max(b.counts.Most, b.open)
	b.pushIdle(now, e, stateNew)
}

// rest takes that a connection has no open request.
func (b *connTable) markIdle(now time.Duration, e *entry) {
	e.use = max(e.use, stateHealthCheck)
	b.pushIdle(now, e, e.use)
}

// unread takes that the request on a connection is not whole yet.
func (b *connTable) markReading(now time.Duration, e *entry) { b.pushIdle(now, e, stateReading) }

// moves takes that a good piece of the request on a connection came: it is slow, not stuck, and others have stood for longer.
func (b *connTable) markProgress(now time.Duration, e *entry) {
	if e.element != nil && e.state == stateReading {
		e.since = now
		b.idle[stateReading].MoveToBack(e.element)
	}
}

// last takes that a connection has its last answer, while its client may still send.
func (b *connTable) markLingering(now time.Duration, e *entry) { b.pushIdle(now, e, stateLingering) }

func (b *connTable) pushIdle(now time.Duration, e *entry, k connState) {
	if e.removed || e.element != nil {
		return
	}
	e.since, e.state, e.idleTimeout = now, k, b.idleTimeout()
	e.element = b.idle[k].PushBack(e)
}

// busy takes that something has come on a connection, or all of its request.
func (b *connTable) markBusy(e *entry) {
	if e.element == nil {
		return
	}
	b.idle[e.state].Remove(e.element)
	e.element = nil
}

// asked takes that a connection has sent a request that can be taken on.
func (b *connTable) markRequest(e *entry) {
	b.markBusy(e)
	e.use = min(max(e.use+1, stateUsedOnce), stateReused)
}

// end takes a connection off; a second call passes.
func (b *connTable) remove(e *entry) {
	if e.removed {
		return
	}
	b.markBusy(e)
	e.removed = true
	if e.owner != nil {
		e.owner.count--
	}
	b.open--
}

func (b *connTable) counters() Counters {
	c := b.counts
	c.Open = b.open
	for k := range stateCount {
		c.Rest[k] = b.idle[k].Len()
	}
	return c
}
