package http1

import (
	"cmp"
	"container/list"
	"time"
)

// restTime is how long a connection with no open request is left alone where room is short. Longer, and
// clients that take a new connection for each request and keep the old ones hold up all others.
const restTime = 100 * time.Millisecond

// kind is what is known of a connection by what it has asked for, or that it is being read.
type kind int

const (
	over    kind = iota // it has its last answer; what its client still sends is read over
	silent              // nothing yet
	reading             // a part of its request is here, the rest is still to come
	visitor             // GET /up alone
	once                // one request
	kept                // more than one: its client comes back to it
	kinds
)

var (
	// restsFor is how long one of a kind has to be at rest before the bound of its kind has it go. One that is read is left
	// more: what comes late may be late for our own want of CPU.
	restsFor = [kinds]time.Duration{over: restTime, silent: restTime, reading: 500 * time.Millisecond, visitor: restTime, once: restTime, kept: time.Second}
	// fullFor is how long it has to be where there is no room.
	fullFor = [kinds]time.Duration{over: 20 * time.Millisecond, silent: restTime, reading: 500 * time.Millisecond, visitor: restTime, once: restTime, kept: restTime}
	// leftFor is how long one of a kind is left at rest where there is room. (One that is read, or read over, has deadlines of its own.)
	leftFor = [kinds]time.Duration{over: time.Minute, silent: 2200 * time.Millisecond, reading: time.Minute, visitor: 2 * time.Minute, once: 2 * time.Minute, kept: 2 * time.Minute}
)

// newFor is how long one that has said nothing is left alone by a drain: its request, or its client's look at /up, is
// on its way.
const newFor = 500 * time.Millisecond

// overPart is how long one of an owner with more than its part is left at rest at most where a bound is met.
const overPart = 50 * time.Millisecond

// ConnLimits are how many connections clients may have.
type ConnLimits struct {
	Max         int        // in all; one more waits
	MaxIdle     [kinds]int // at rest or being read, by kind; the ones longest so go beyond that
	maxUpstream int        // that the application may open on its side
}

// NewConnLimits are the bounds for so many connections in all, of which the application may open so many on its own side.
// What rests there is left no more than half of the application's part, so that half is always free for what it opens.
func NewConnLimits(most, application int) ConnLimits {
	part := func(of int) int { return max(2, application/of) }
	return ConnLimits{Max: most, maxUpstream: application, MaxIdle: [kinds]int{over: part(4), silent: part(8), reading: part(3), visitor: part(16), once: part(8), kept: 2 * part(10)}}
}

// KeepAliveConnLimits are the bounds for so many connections in all, whose clients are free to let them rest as long as Limits say: what rests goes sooner only where a newcomer needs the place. What is
// being read, or read over, has bounds of its own all the same: a body that comes a byte at a time must not hold them all.
func KeepAliveConnLimits(most int) ConnLimits {
	return ConnLimits{Max: most, MaxIdle: [kinds]int{over: max(2, most/8), silent: most, reading: max(2, most/3), visitor: most, once: most, kept: most}}
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
	Rest       [kinds]int
	Closed     [kinds]uint64
}

// books say which connection of a client goes where room is short. They are free of I/O, time is passed in, and the
// caller sees to it that one goroutine is in them at a time.
//
// Our descriptors are one bound. The other is the application's own: it may open only so many connections to us, and
// what rests there, asked nothing or asked once and never again, takes the places of requests on its side of the
// wire, where nothing of ours shows it but silence (incident r44c533: 128 at rest, nothing held, half of the requests
// never sent). Therefore each kind at rest has a bound of its own, far below that of all. So has what is being read:
// bodies that come a byte at a time must not take the places of what could be served.
type books struct {
	bounds  ConnLimits
	open    int
	rests   [kinds]list.List // of *entry with no open request, or of a request that is not whole, longest first
	figures Counters
	divided bool // owners have parts

	// speaks says whether something has come on a connection at rest that the books don't know of yet: unread in the
	// kernel's buffer, or read and on its way to busy. It does not rest then, we are late. nil: nothing ever has.
	speaks func(*entry) bool
	// limits are those on clients' connections that hold now. nil: leftFor holds.
	limits func() RequestLimits
}

// idle is how long a connection may rest by the limits that hold now; 0: they say nothing.
func (b *books) idle() time.Duration {
	if b.limits == nil {
		return 0
	}
	return b.limits().IdleTime
}

// left is how long a connection of a kind is left at rest where there is room.
func (b *books) left(e *entry, k kind) time.Duration {
	switch {
	case b.limits == nil || k == over:
		return leftFor[k]
	case k == reading:
		return max(leftFor[k], b.limits().HeadTime)
	}
	return cmp.Or(max(e.idle, b.idle()), leftFor[k])
}

// reserveOf is the share of all connections that owners' parts leave for those that have asked for nothing yet.
const reserveOf = 1.0 / 8

// owner has connections: a target whose requests come on them. The books' caller has its lock.
type owner struct {
	count int // of its connections
	part  int // that it may have where room is short; what others leave it may use too
}

// divide gives owners parts by weight; none: there are no parts.
func (b *books) divide(owners []*owner, weights []float64) {
	b.divided = len(owners) > 0
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i, o := range owners {
		o.part = max(1, int(float64(b.bounds.Max)*(1-reserveOf)*weights[i]/sum))
	}
}

// belongs takes whose request came on a connection last.
func (b *books) belongs(e *entry, o *owner) {
	if e.owner == o || e.gone {
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
func (b *books) crowded(e *entry) bool {
	return b.divided && e.owner != nil && e.owner.count > e.owner.part && float64(b.open) > float64(b.bounds.Max)*(1-reserveOf)
}

// entry is a connection in the books.
type entry struct {
	conn  *conn
	kind  kind
	owner *owner        // whose request came on it last; nil: none
	in    kind          // the list that it is in
	place *list.Element // there; nil: a whole request is open, or it is closed
	since time.Duration // in it
	idle  time.Duration // that it might rest when it began to; 0: nothing was said
	gone  bool
}

// sweep returns those that have to be closed for the bounds on what rests; they are off the books. Where something rests,
// again says when another look is due at the latest; 0: nothing does.
func (b *books) sweep(now time.Duration) (leave []*entry, again time.Duration) {
	for k := range kinds {
		for b.rests[k].Len() > 0 {
			short := time.Duration(0)
			if b.rests[k].Len() > b.bounds.MaxIdle[k] {
				short = restsFor[k]
			}
			e, wait := b.longest(now, k, short)
			if e == nil {
				if wait > 0 && (again == 0 || wait < again) {
					again = wait
				}
				break
			}
			leave = append(leave, e)
		}
	}
	return leave, again
}

// room makes room for one more: it returns whom to close for that, or, if there is none, how long to wait
// before it is worth another look.
func (b *books) room(now time.Duration) (leave []*entry, wait time.Duration, ok bool) {
	leave, _ = b.sweep(now)
	if b.open < b.bounds.Max {
		return leave, 0, true
	}
	wait = restTime
	for k := range kinds {
		e, w := b.longest(now, k, fullFor[k])
		if e != nil {
			return append(leave, e), 0, true
		}
		if w > 0 {
			wait = min(wait, w)
		}
	}
	return leave, wait, false
}

// resting takes off what no request is open on, and has not been for a time. One whose first request may be on its way is left for a while.
func (b *books) resting(now, least time.Duration) (leave []*entry) {
	for k := range kinds {
		if k == reading || k == over {
			continue
		}
		for place := b.rests[k].Front(); place != nil; {
			e := place.Value.(*entry)
			place = place.Next()
			if now-e.since < least || k == silent && now-e.since < newFor || b.speaks != nil && b.speaks(e) {
				continue
			}
			b.end(e)
			leave = append(leave, e)
		}
	}
	return leave
}

// longest takes the one of a kind off that has been at rest for longest, if that is short at least, or, with a short of 0, all the time that
// it is left, or says how long that is still to wait for. Where owners have parts, one that is within its own is left alone: what rests longest would
// be the spare connections of a quiet pool, closed for those that a flooded one comes back on all the time.
func (b *books) longest(now time.Duration, k kind, short time.Duration) (e *entry, wait time.Duration) {
	for place := b.rests[k].Front(); place != nil; {
		e = place.Value.(*entry)
		next := place.Next()
		left := b.left(e, k)
		need := left
		if short > 0 {
			need = min(short, left)
		}
		if b.divided && e.owner != nil {
			if e.owner.count <= e.owner.part {
				need = left
			} else if short > 0 {
				need = min(need, overPart)
			}
		}
		if rests := need - (now - e.since); rests > 0 {
			if wait == 0 || rests < wait {
				wait = rests
			}
			if b.divided {
				place = next // one of another owner may have to wait for less
				continue
			}
			return nil, wait
		}
		if k != over && k != reading && b.speaks != nil && b.speaks(e) {
			e.since = now // it counts as new at rest until that is taken
			b.rests[k].MoveToBack(place)
			if place = next; next == nil {
				return nil, need
			}
			continue
		}
		b.figures.Closed[k]++
		b.end(e)
		return e, 0
	}
	return nil, wait
}

// add takes a new connection on.
func (b *books) add(now time.Duration, e *entry) {
	b.open++
	b.figures.Most = max(b.figures.Most, b.open)
	b.into(now, e, silent)
}

// rest takes that a connection has no open request.
func (b *books) rest(now time.Duration, e *entry) {
	e.kind = max(e.kind, visitor)
	b.into(now, e, e.kind)
}

// unread takes that the request on a connection is not whole yet.
func (b *books) unread(now time.Duration, e *entry) { b.into(now, e, reading) }

// moves takes that a good piece of the request on a connection came: it is slow, not stuck, and others have stood for longer.
func (b *books) moves(now time.Duration, e *entry) {
	if e.place != nil && e.in == reading {
		e.since = now
		b.rests[reading].MoveToBack(e.place)
	}
}

// last takes that a connection has its last answer, while its client may still send.
func (b *books) last(now time.Duration, e *entry) { b.into(now, e, over) }

func (b *books) into(now time.Duration, e *entry, k kind) {
	if e.gone || e.place != nil {
		return
	}
	e.since, e.in, e.idle = now, k, b.idle()
	e.place = b.rests[k].PushBack(e)
}

// busy takes that something has come on a connection, or all of its request.
func (b *books) busy(e *entry) {
	if e.place == nil {
		return
	}
	b.rests[e.in].Remove(e.place)
	e.place = nil
}

// asked takes that a connection has sent a request that can be taken on.
func (b *books) asked(e *entry) {
	b.busy(e)
	e.kind = min(max(e.kind+1, once), kept)
}

// end takes a connection off; a second call passes.
func (b *books) end(e *entry) {
	if e.gone {
		return
	}
	b.busy(e)
	e.gone = true
	if e.owner != nil {
		e.owner.count--
	}
	b.open--
}

func (b *books) counters() Counters {
	c := b.figures
	c.Open = b.open
	for k := range kinds {
		c.Rest[k] = b.rests[k].Len()
	}
	return c
}
