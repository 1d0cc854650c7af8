package http1

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// restTime is how long a connection with no open request is left alone where room is short. Longer, and
// clients that take a new connection for each request and keep the old ones hold up all others.
const restTime = 100 * time.Millisecond

// lingerMost bounds in bytes what is read over behind a rejected request: several whole ones.
const lingerMost = 512 << 10

// acceptor bounds how many connections clients hold: they would take the descriptors that upstreams
// need, and accepting would end in "too many open files". At the bound the connection that has been
// longest without a request makes room. Below it none is closed: that only crosses requests.
type acceptor struct {
	net.Listener
	most int

	mu    sync.Mutex
	open  int
	idle  list.List     // of *clientConn with no open request, longest first
	freed chan struct{} // has an item if a connection may have closed or turned idle
	done  chan struct{}
	once  sync.Once
}

// clientConn is one connection of a client. Its state changes under the acceptor's lock, so that
// making room never closes it under a request: what is read once it is closing is thrown away
// unread, which its client takes as a crossing.
type clientConn struct {
	net.Conn
	a      *acceptor
	place  *list.Element // in idle; nil: a request is open, or it is closed
	since  time.Time     // without an open request
	closed bool
	over   time.Time // its close reads over what still comes until then; zero: it doesn't
}

func newAcceptor(l net.Listener, most int) *acceptor {
	return &acceptor{Listener: l, most: most, freed: make(chan struct{}, 1), done: make(chan struct{})}
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
	c := &clientConn{Conn: raw, a: a, since: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	c.place = a.idle.PushBack(c)
	return c, nil
}

// room makes room for one more, or tells how long to wait before it is worth another look.
func (a *acceptor) room() (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open < a.most {
		return 0, true
	}
	wait = restTime
	now := time.Now()
	if e := a.idle.Front(); e != nil {
		c := e.Value.(*clientConn)
		if wait = restTime - now.Sub(c.since); wait <= 0 {
			a.end(c)
			c.Conn.Close()
			return 0, true
		}
	}
	return wait, false
}

// end takes a connection off the books. The caller holds the lock.
func (a *acceptor) end(c *clientConn) {
	if c.closed {
		return
	}
	c.closed = true
	a.open--
	a.busy(c)
	a.signal()
}

func (a *acceptor) busy(c *clientConn) {
	if c.place != nil {
		a.idle.Remove(c.place)
		c.place = nil
	}
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
	switch {
	case c.closed:
	case s == http.StateActive:
		a.busy(c)
	case s == http.StateIdle && c.place == nil:
		c.since = time.Now()
		c.place = a.idle.PushBack(c)
		a.signal()
	}
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
	if c.closed {
		return 0, net.ErrClosed
	}
	c.a.busy(c)
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
	c.a.end(c)
	return err
}

// CloseWrite lets net/http end a connection softly: a reset could overtake the answer before it.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
