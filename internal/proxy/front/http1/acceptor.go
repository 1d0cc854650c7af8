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
	acceptBackoff    = 5 * time.Millisecond   // before the next attempt where the system is short of descriptors
	maxSweepInterval = 500 * time.Millisecond // between two sweeps, while any connection is idle
)

// acceptor limits how many connections clients have open: they would take the descriptors that upstreams need, and
// accepting would end in "too many open files". Its connTable decides which of them makes room. Below the limits none
// is closed: that would only cross requests.
//
// A connection's state changes under the acceptor's lock, so that making room never closes it under a request: what is
// read after its removal is discarded, and its client finds the connection closed and sends the request again.
type acceptor struct {
	listener net.Listener
	clock    clock.Clock

	mu          sync.Mutex // guards listener, table, the connections' entries and sweepTimer
	table       connTable
	sweepTimer  *time.Timer   // set while any connection is idle
	mayHaveRoom chan struct{} // has an item if a connection may have closed or become idle
	closed      chan struct{} // closed by close
	closeOnce   sync.Once
}

func newAcceptor(c clock.Clock, connLimits ConnLimits, requestLimits func() RequestLimits) *acceptor {
	return &acceptor{
		clock: c,
		table: connTable{
			limits:             connLimits,
			requestLimits:      requestLimits,
			hasUnrecordedInput: func(e *entry) bool { return e.conn.hasUnrecordedInput() },
		},
		mayHaveRoom: make(chan struct{}, 1),
		closed:      make(chan struct{}),
	}
}

// accept waits for a client, and then for room if there is none. After close it returns net.ErrClosed.
func (a *acceptor) accept() (*conn, error) {
	raw, err := a.listener.Accept()
	for ; err != nil; raw, err = a.listener.Accept() {
		if !isTemporary(err) {
			return nil, err
		}
		select {
		case <-time.After(acceptBackoff):
		case <-a.closed:
			return nil, net.ErrClosed
		}
	}
	for {
		wait, ok := a.evictForNew()
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

// isTemporary returns whether accepting may succeed later: the system is short of something, or a client has left.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// evictForNew makes room for one more connection, or returns how long to wait before another attempt.
func (a *acceptor) evictForNew() (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	removed, wait, ok := a.table.evictForNew(a.clock.Now())
	closeConns(removed)
	return wait, ok
}

// sweep closes the connections that are idle beyond the limits, now and as long as any is idle: clients at a limit of
// their own open no new ones that would cause a sweep. The caller holds the lock.
func (a *acceptor) sweep() {
	if a.sweepTimer != nil {
		return // one is due
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

// closeConns closes connections that were removed from the table. One that is being read is only woken: it responds.
func closeConns(entries []*entry) {
	for _, e := range entries {
		if e.state == stateReading || e.state == stateLingering {
			_ = e.conn.netConn.SetReadDeadline(time.Unix(1, 0))
			continue
		}
		e.conn.netConn.Close()
	}
}

// setLimits replaces the limits on connections.
func (a *acceptor) setLimits(limits ConnLimits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.limits = limits
	a.sweep()
	a.signalRoom()
}

// setListener sets where connections come from. It returns false if the acceptor was closed before, and has closed the
// listener then.
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

// close ends accepting. Open connections stay open.
func (a *acceptor) close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeOnce.Do(func() { close(a.closed) })
	if a.listener == nil {
		return nil
	}
	return a.listener.Close()
}

// closeIdle closes the connections that have had no open request for minIdle.
func (a *acceptor) closeIdle(minIdle time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	closeConns(a.table.removeIdle(a.clock.Now(), minIdle))
}

// counters count the connections.
func (a *acceptor) counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.counters()
}

// signalRoom wakes accept, and a drain.
func (a *acceptor) signalRoom() {
	select {
	case a.mayHaveRoom <- struct{}{}:
	default:
	}
}

// markBusy records that a request has begun to come on a connection, or is complete. It returns false if the connection
// was removed.
func (a *acceptor) markBusy(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markBusy(&c.entry)
	return !c.entry.removed
}

// markReading records that a part of a connection's request is still to come.
func (a *acceptor) markReading(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markReading(a.clock.Now(), &c.entry)
	a.sweep()
	a.signalRoom()
}

// markProgress records that progressBytes of a connection's request came.
func (a *acceptor) markProgress(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markProgress(a.clock.Now(), &c.entry)
}

// markLingering records that a connection has its last response while its client may still send.
func (a *acceptor) markLingering(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markBusy(&c.entry)
	a.table.markLingering(a.clock.Now(), &c.entry)
	a.sweep()
	a.signalRoom()
}

// markRequest records that a request of a connection can be accepted, and whose it is.
func (a *acceptor) markRequest(c *conn, o *owner) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markRequest(&c.entry)
	a.table.setOwner(&c.entry, o)
}

// overShare returns whether a connection ought to close with its next response: see connTable.overShare.
func (a *acceptor) overShare(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.overShare(&c.entry)
}

// setShares divides the connections among owners by weight.
func (a *acceptor) setShares(owners []*owner, weights []float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.setShares(owners, weights)
}

// markIdle records that a connection's request has its response.
func (a *acceptor) markIdle(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markIdle(a.clock.Now(), &c.entry)
	a.sweep()
	a.signalRoom()
}

// remove records that a connection has closed.
func (a *acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.remove(&c.entry)
	a.signalRoom()
}

// isRemoved returns whether a connection was removed, be it to make room.
func (a *acceptor) isRemoved(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.entry.removed
}
