package http1

import (
	"container/list"
	"time"
)

// restTime is how long a connection with no open request is left alone where room is short. Longer, and
// clients that take a new connection for each request and keep the old ones hold up all others.
const restTime = 100 * time.Millisecond

// Counters are figures of the clients' connections for the log. The closed ones are those that made room.
type Counters struct {
	Open, Strangers               int
	ClosedStrangers, ClosedAsking uint64
}

// books say which connection of a client goes where room is short. They are free of I/O, time is passed in, and the
// caller sees to it that one goroutine is in them at a time.
//
// A stranger is a connection that has asked for nothing yet, or for GET /up alone: it may be a client's that is about
// to send, or one of a crowd that connects and stays. The clients' machine bounds what it opens to us, so strangers
// that fill the books take places of clients that ask, on their own side of the wire where nothing of ours helps
// (incident r44c533). Therefore strangers at rest have a bound of their own, far below that of all, and go first
// where room is short. Connections that have asked go only at the bound on all, the one longest at rest first.
type books struct {
	most      int // connections; one more waits
	strangers int // of them strangers that nothing is open on; the oldest go beyond that

	open        int
	idleStrange list.List // of *entry with no open request that have asked for nothing, longest first
	idleAsking  list.List // the same of those that have asked
	closed      Counters
}

// entry is a connection in the books.
type entry struct {
	conn  *clientConn
	place *list.Element // in one of the lists of those at rest; nil: a request is open, or it is closed
	since time.Duration // without an open request
	asked bool          // it has sent a request that was taken
	gone  bool
}

// room makes room for one more: it returns whom to close for that, nil for nobody, or how long to wait before it is
// worth another look. What it returns is off the books.
func (b *books) room(now time.Duration) (leaves *entry, wait time.Duration, ok bool) {
	if b.open < b.most && b.idleStrange.Len() < b.strangers {
		return nil, 0, true
	}
	wait = restTime
	lists := []*list.List{&b.idleStrange, &b.idleAsking}
	if b.open < b.most {
		lists = lists[:1] // clients that ask are left alone
	}
	for _, l := range lists {
		front := l.Front()
		if front == nil {
			continue
		}
		e := front.Value.(*entry)
		rests := now - e.since
		if rests >= restTime {
			if e.asked {
				b.closed.ClosedAsking++
			} else {
				b.closed.ClosedStrangers++
			}
			b.end(e)
			return e, 0, true
		}
		wait = min(wait, restTime-rests)
	}
	// All strangers are new: any of them may be a client whose request is on its way.
	return nil, wait, b.open < b.most
}

// add takes a new connection on.
func (b *books) add(now time.Duration, e *entry) {
	b.open++
	b.rest(now, e)
}

// rest takes that a connection has no open request.
func (b *books) rest(now time.Duration, e *entry) {
	if e.gone || e.place != nil {
		return
	}
	e.since = now
	e.place = b.list(e).PushBack(e)
}

// busy takes that something has come on a connection.
func (b *books) busy(e *entry) {
	if e.place != nil {
		b.list(e).Remove(e.place)
		e.place = nil
	}
}

// asked takes that a connection has sent a request that was taken: it is a client's. Its request is open.
func (b *books) asked(e *entry) {
	b.busy(e)
	e.asked = true
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

func (b *books) list(e *entry) *list.List {
	if e.asked {
		return &b.idleAsking
	}
	return &b.idleStrange
}

func (b *books) counters() Counters {
	c := b.closed
	c.Open, c.Strangers = b.open, b.idleStrange.Len()
	return c
}
