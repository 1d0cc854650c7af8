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
	acceptBackoff    = 5 * time.Millisecond   // before the next try where the system is short of descriptors
	maxSweepInterval = 500 * time.Millisecond // between two looks at what rests, while something does
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

	mu          sync.Mutex
	table       connTable
	sweepTimer  *time.Timer   // set while something is at rest
	mayHaveRoom chan struct{} // has an item if a connection may have closed or turned idle
	closed      chan struct{}
	closeOnce   sync.Once
}

func newAcceptor(c clock.Clock, bounds ConnLimits, limits func() RequestLimits) *acceptor {
	return &acceptor{
		clock: c, table: connTable{limits: bounds, requestLimits: limits, hasUnrecordedInput: func(e *entry) bool { return e.conn.hasUnrecordedInput() }}, mayHaveRoom: make(chan struct{}, 1), closed: make(chan struct{}),
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
		case <-time.After(acceptBackoff):
		case <-a.closed:
			return nil, net.ErrClosed
		}
	}
	for {
		wait, ok := a.makeRoom()
		if ok {
			break
		}
		select {
		case <-a.mayHaveRoom:
		case <-time.After(wait):
		case <-a.closed:
			raw.Close()
			return nil, net.ErrClosed
		}
	}
	c := newConn(raw, a)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.add(a.clock.Now(), &c.entry)
	a.sweep()
	return c, nil
}

// room makes room for one more, or tells how long to wait before it is worth another look.
func (a *acceptor) makeRoom() (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	removed, wait, ok := a.table.makeRoom(a.clock.Now())
	closeConns(removed)
	return wait, ok
}

// tidy closes what rests over the bounds or for too long, now and for as long as something rests: clients at a bound of
// their own open none that would have us look. The caller holds the lock.
func (a *acceptor) sweep() {
	if a.sweepTimer != nil {
		return // a look is due
	}
	removed, again := a.table.sweep(a.clock.Now())
	closeConns(removed)
	if again > 0 {
		a.sweepTimer = time.AfterFunc(min(again, maxSweepInterval), func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.sweepTimer = nil
			a.sweep()
		})
	}
}

// closeAll ends connections that are off the books. One that is being read is only woken: it answers.
func closeConns(entries []*entry) {
	for _, e := range entries {
		if e.state == stateReading || e.state == stateLingering {
			_ = e.conn.netConn.SetReadDeadline(time.Unix(1, 0))
			continue
		}
		e.conn.netConn.Close()
	}
}

// bound bounds connections anew.
func (a *acceptor) setLimits(b ConnLimits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.limits = b
	a.sweep()
	a.signalRoom()
}

// open has connections come from a listener; false: it was closed before.
func (a *acceptor) setListener(l net.Listener) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listener = l
	select {
	case <-a.closed:
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
	a.closeOnce.Do(func() { close(a.closed) })
	if a.listener == nil {
		return nil
	}
	return a.listener.Close()
}

// closeResting closes what no request is open on, and has not been for a time.
func (a *acceptor) closeIdle(minIdle time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	closeConns(a.table.removeIdle(a.clock.Now(), minIdle))
}

// counters are the books' figures.
func (a *acceptor) counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.counters()
}

func (a *acceptor) signalRoom() {
	select {
	case a.mayHaveRoom <- struct{}{}:
	default:
	}
}

// busy takes that a request has begun to come on a connection; false: it is off the books.
func (a *acceptor) markBusy(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markBusy(&c.entry)
	return !c.entry.removed
}

// unread takes that a part of a connection's request is still to come.
func (a *acceptor) markReading(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markReading(a.clock.Now(), &c.entry)
	a.sweep()
	a.signalRoom()
}

// moves takes that a good piece of a connection's request came.
func (a *acceptor) markProgress(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markProgress(a.clock.Now(), &c.entry)
}

// last takes that a connection has its last answer, and is read over.
func (a *acceptor) markLingering(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markBusy(&c.entry)
	a.table.markLingering(a.clock.Now(), &c.entry)
	a.sweep()
	a.signalRoom()
}

// asked takes that a request of a connection can be taken on, and whose it is.
func (a *acceptor) markRequest(c *conn, o *owner) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markRequest(&c.entry)
	a.table.setOwner(&c.entry, o)
}

// crowded says whether a connection ought to close with its next answer.
func (a *acceptor) overShare(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.overShare(&c.entry)
}

// divide gives owners parts of the connections.
func (a *acceptor) setShares(owners []*owner, weights []float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.setShares(owners, weights)
}

// rest takes that a connection's request has its answer.
func (a *acceptor) markIdle(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markIdle(a.clock.Now(), &c.entry)
	a.sweep()
	a.signalRoom()
}

// ended takes that a connection has closed.
func (a *acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.remove(&c.entry)
	a.signalRoom()
}

func (a *acceptor) isRemoved(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.entry.removed
}
