package http1

import (
	"container/list"
	"time"
)

// restTime is how long a connection with no open request is left alone where room is short. Longer, and
// clients that take a new connection for each request and keep the old ones hold up all others.
const restTime = 100 * time.Millisecond

// kind is what is known of a connection by what it has asked for.
type kind int

const (
	stranger kind = iota // nothing yet, or GET /up alone
	once                 // one request
	kept                 // more than one: its client comes back to it
	kinds
)

// restsFor is how long one of a kind has to be at rest before the bound of its kind has it go.
var restsFor = [kinds]time.Duration{restTime, restTime, time.Second}

// Bounds are how many connections clients may have.
type Bounds struct {
	Most int        // in all; one more waits
	Rest [kinds]int // at rest, by kind; the ones longest at rest go beyond that
}

// BoundsOf are the bounds for so many connections in all, of which the application may open so many on its own side.
// What rests there is left no more than half of the application's part, so that half is always free for what it opens.
func BoundsOf(most, application int) Bounds {
	return Bounds{Most: most, Rest: [kinds]int{stranger: max(2, application/8), once: max(2, application/8), kept: max(4, application/4)}}
}

// Counters are figures of the clients' connections for the log. Rest are at rest, Closed made room, each by kind:
// that asked nothing, asked once, came back.
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
// never sent). Therefore each kind at rest has a bound of its own, far below that of all.
type books struct {
	bounds  Bounds
	open    int
	rests   [kinds]list.List // of *entry with no open request, longest first
	figures Counters
}

// entry is a connection in the books.
type entry struct {
	conn  *clientConn
	kind  kind
	place *list.Element // in the list of its kind at rest; nil: a request is open, or it is closed
	since time.Duration // without an open request
	gone  bool
}

// sweep returns those that have to be closed for the bounds on what rests; they are off the books. Where more are over a bound
// than have rested for long enough, again says when another look is due; 0: none is.
func (b *books) sweep(now time.Duration) (leave []*entry, again time.Duration) {
	for k := range kinds {
		for b.rests[k].Len() > b.bounds.Rest[k] {
			e, wait := b.longest(now, k, restsFor[k])
			if e == nil {
				if again == 0 || wait < again {
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
	if b.open < b.bounds.Most {
		return leave, 0, true
	}
	wait = restTime
	for k := range kinds {
		e, w := b.longest(now, k, restTime)
		if e != nil {
			return append(leave, e), 0, true
		}
		if b.rests[k].Len() > 0 {
			wait = min(wait, w)
		}
	}
	return leave, wait, false
}

// longest takes the one of a kind off that has been at rest for longest, if that is time at least, or says how long
// that is still to wait for.
func (b *books) longest(now time.Duration, k kind, least time.Duration) (e *entry, wait time.Duration) {
	front := b.rests[k].Front()
	if front == nil {
		return nil, 0
	}
	e = front.Value.(*entry)
	if wait = least - (now - e.since); wait > 0 {
		return nil, wait
	}
	b.figures.Closed[k]++
	b.end(e)
	return e, 0
}

// add takes a new connection on.
func (b *books) add(now time.Duration, e *entry) {
	b.open++
	b.figures.Most = max(b.figures.Most, b.open)
	b.rest(now, e)
}

// rest takes that a connection has no open request.
func (b *books) rest(now time.Duration, e *entry) {
	if e.gone || e.place != nil {
		return
	}
	e.since = now
	e.place = b.rests[e.kind].PushBack(e)
}

// busy takes that something has come on a connection.
func (b *books) busy(e *entry) {
	if e.place != nil {
		b.rests[e.kind].Remove(e.place)
		e.place = nil
	}
}

// asked takes that a connection has sent a request that can be taken on.
func (b *books) asked(e *entry) {
	b.busy(e)
	e.kind = min(e.kind+1, kept)
}

// end takes a connection off; a second call passes.
func (b *books) end(e *entry) {
	if e.gone {
		return
	}
	b.busy(e)
	e.gone = true
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
