package http1

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"caperarch/internal/proxy/clock"
)

const (
	acceptPause = 5 * time.Millisecond   // before the next try where the system is short of descriptors
	sweepMost   = 500 * time.Millisecond // between two looks at what rests, while something does
)

// acceptor bounds how many connections clients hold: they would take the descriptors that upstreams
// need, and accepting would end in "too many open files". Which of them makes room is the books' to say. Below the
// bounds none is closed: that only crosses requests.
//
// A connection's state changes under its lock, so that making room never closes it under a request: what was read
// once it is off the books is thrown away unread, which its client takes as a crossing.
type acceptor struct {
	listener net.Listener
	clock    clock.Clock

	mu    sync.Mutex
	books books
	sweep *time.Timer   // set while something is at rest
	freed chan struct{} // has an item if a connection may have closed or turned idle
	done  chan struct{}
	once  sync.Once
}

func newAcceptor(c clock.Clock, bounds ConnLimits, limits func() RequestLimits) *acceptor {
	return &acceptor{
		clock: c, books: books{bounds: bounds, limits: limits, speaks: func(e *entry) bool { return e.conn.speaks() }}, freed: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// accept waits for a client, and then for room if there is none.
func (a *acceptor) accept() (*conn, error) {
	raw, err := a.listener.Accept()
	for ; err != nil; raw, err = a.listener.Accept() {
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) && !errors.Is(err, syscall.ECONNABORTED) &&
			!errors.Is(err, syscall.ENOBUFS) && !errors.Is(err, syscall.ENOMEM) {
			return nil, err
		}
		select {
		case <-time.After(acceptPause):
		case <-a.done:
			return nil, net.ErrClosed
		}
	}
	for {
		wait, ok := a.room()
		if ok {
			break
		}
		select {
		case <-a.freed:
		case <-time.After(wait):
		case <-a.done:
			raw.Close()
			return nil, net.ErrClosed
		}
	}
	c := newConn(raw, a)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.add(a.clock.Now(), &c.entry)
	a.tidy()
	return c, nil
}

// room makes room for one more, or tells how long to wait before it is worth another look.
func (a *acceptor) room() (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	leave, wait, ok := a.books.room(a.clock.Now())
	closeAll(leave)
	return wait, ok
}

// tidy closes what rests over the bounds or for too long, now and for as long as something rests: clients at a bound of
// their own open none that would have us look. The caller holds the lock.
func (a *acceptor) tidy() {
	if a.sweep != nil {
		return // a look is due
	}
	leave, again := a.books.sweep(a.clock.Now())
	closeAll(leave)
	if again > 0 {
		a.sweep = time.AfterFunc(min(again, sweepMost), func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.sweep = nil
			a.tidy()
		})
	}
}

// closeAll ends connections that are off the books. One that is being read is only woken: it answers.
func closeAll(entries []*entry) {
	for _, e := range entries {
		if e.in == reading || e.in == over {
			_ = e.conn.net.SetReadDeadline(time.Unix(1, 0))
			continue
		}
		e.conn.net.Close()
	}
}

// bound bounds connections anew.
func (a *acceptor) bound(b ConnLimits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.bounds = b
	a.tidy()
	a.signal()
}

// open has connections come from a listener; false: it was closed before.
func (a *acceptor) open(l net.Listener) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listener = l
	select {
	case <-a.done:
		l.Close()
		return false
	default:
		return true
	}
}

// close ends accepting; what is open goes on.
func (a *acceptor) close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.once.Do(func() { close(a.done) })
	if a.listener == nil {
		return nil
	}
	return a.listener.Close()
}

// closeResting closes what no request is open on, and has not been for a time.
func (a *acceptor) closeResting(least time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	closeAll(a.books.resting(a.clock.Now(), least))
}

// counters are the books' figures.
func (a *acceptor) counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.books.counters()
}

func (a *acceptor) signal() {
	select {
	case a.freed <- struct{}{}:
	default:
	}
}

// busy takes that a request has begun to come on a connection; false: it is off the books.
func (a *acceptor) busy(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.busy(&c.entry)
	return !c.entry.gone
}

// unread takes that a part of a connection's request is still to come.
func (a *acceptor) unread(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.unread(a.clock.Now(), &c.entry)
	a.tidy()
	a.signal()
}

// moves takes that a good piece of a connection's request came.
func (a *acceptor) moves(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.moves(a.clock.Now(), &c.entry)
}

// last takes that a connection has its last answer, and is read over.
func (a *acceptor) last(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.busy(&c.entry)
	a.books.last(a.clock.Now(), &c.entry)
	a.tidy()
	a.signal()
}

// asked takes that a request of a connection can be taken on, and whose it is.
func (a *acceptor) asked(c *conn, o *owner) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.asked(&c.entry)
	a.books.belongs(&c.entry, o)
}

// crowded says whether a connection ought to close with its next answer.
func (a *acceptor) crowded(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.books.crowded(&c.entry)
}

// divide gives owners parts of the connections.
func (a *acceptor) divide(owners []*owner, weights []float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.divide(owners, weights)
}

// rest takes that a connection's request has its answer.
func (a *acceptor) rest(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.rest(a.clock.Now(), &c.entry)
	a.tidy()
	a.signal()
}

// ended takes that a connection has closed.
func (a *acceptor) ended(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books.end(&c.entry)
	a.signal()
}

func (a *acceptor) isGone(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.entry.gone
}
