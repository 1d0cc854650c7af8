package http1

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"caperarch/internal/clock"
)

// lingerMost bounds in bytes what is read over behind a rejected request: several whole ones.
const lingerMost = 512 << 10

// acceptor bounds how many connections clients hold: they would take the descriptors that upstreams
// need, and accepting would end in "too many open files". Which of them makes room is the books' to say. Below the
// bounds none is closed: that only crosses requests.
type acceptor struct {
	net.Listener
	clock clock.Clock

	mu    sync.Mutex
	books books
	sweep *time.Timer   // set while something at rest is over its bound
	freed chan struct{} // has an item if a connection may have closed or turned idle
	done  chan struct{}
	once  sync.Once
}

// clientConn is one connection of a client. Its state changes under the acceptor's lock, so that
// making room never closes it under a request: what is read once it is closing is thrown away
// unread, which its client takes as a crossing.
type clientConn struct {
	net.Conn
	a     *acceptor
	entry entry
	over  time.Time // its close reads over what still comes until then; zero: it doesn't
}

func newAcceptor(l net.Listener, c clock.Clock, bounds Bounds) *acceptor {
	return &acceptor{
		Listener: l, clock: c, books: books{bounds: bounds},
		freed: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Accept waits for a client, and then for room if there is none.
func (a *acceptor) Accept() (net.Conn, error) {
	raw, err := a.Listener.Accept()
	if err != nil {
		return nil, err
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
	c := &clientConn{Conn: raw, a: a}
	c.entry.conn = c
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

// tidy closes what rests over the bounds, now and for as long as there is more of it: clients at a bound of their own
// open none that would have us look. The caller holds the lock.
func (a *acceptor) tidy() {
	if a.sweep != nil {
		return // a look is due
	}
	leave, again := a.books.sweep(a.clock.Now())
	closeAll(leave)
	if again > 0 {
		a.sweep = time.AfterFunc(again, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.sweep = nil
			a.tidy()
		})
	}
}

func closeAll(entries []*entry) {
	for _, e := range entries {
		e.conn.Conn.Close()
	}
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

// state follows what net/http does with a connection.
func (a *acceptor) state(raw net.Conn, s http.ConnState) {
	c, ok := raw.(*clientConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case http.StateActive:
		a.books.busy(&c.entry)
	case http.StateIdle:
		a.books.rest(a.clock.Now(), &c.entry)
		a.tidy()
		a.signal()
	}
}

// asked takes that a request of a connection was taken.
func (c *clientConn) asked() {
	c.a.mu.Lock()
	defer c.a.mu.Unlock()
	c.a.books.asked(&c.entry)
}

func (a *acceptor) Close() error {
	a.once.Do(func() { close(a.done) })
	return a.Listener.Close()
}

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.a.mu.Lock()
	defer c.a.mu.Unlock()
	if c.entry.gone {
		return 0, net.ErrClosed
	}
	c.a.books.busy(&c.entry)
	return n, err
}

// linger has the close read over what its client still sends, until a time. Closed with something unread a
// connection is reset, and a client that is still writing finds that instead of its answer (RFC 9112, 9.6).
func (c *clientConn) linger(until time.Time) {
	c.a.mu.Lock()
	defer c.a.mu.Unlock()
	c.over = until
}

// readOver ends our side and reads what comes until the client ends its own, for as long as linger says and for
// lingerMost bytes: one that sends without end is cut off.
func (c *clientConn) readOver() {
	c.a.mu.Lock()
	until := c.over
	c.over = time.Time{} // once
	c.a.mu.Unlock()
	if until.IsZero() || c.CloseWrite() != nil || c.Conn.SetReadDeadline(until) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerMost)
}

func (c *clientConn) Close() error {
	c.readOver()
	err := c.Conn.Close() // first: the books say what is free
	c.a.mu.Lock()
	defer c.a.mu.Unlock()
	c.a.books.end(&c.entry)
	c.a.signal()
	return err
}

// CloseWrite lets net/http end a connection softly: a reset could overtake the answer before it.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
