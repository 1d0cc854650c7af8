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
	acceptBackoff    = 5 * time.Millisecond   // wait before the next accept when the system is short of resources
	maxSweepInterval = 500 * time.Millisecond // longest time between two sweeps while any connection is idle
)

// acceptor accepts client connections and limits how many are open. Without a limit the client connections would use
// up the file descriptors that upstream connections need, and accept would fail with "too many open files". When the
// limit is reached, the connTable decides which connection is closed. Below the limits no connection is closed,
// because the close could cross a request that the client is just sending.
//
// A connection's state changes under the acceptor's lock, so eviction never closes a connection that has a complete
// request open. Bytes read from a connection after its removal from the table are discarded: the client finds the
// connection closed and sends the request again.
type acceptor struct {
	listener net.Listener
	clock    clock.Clock

	mu          sync.Mutex // guards listener, table, sweepTimer and the entry of each connection
	table       connTable
	sweepTimer  *time.Timer   // set while any connection is idle
	mayHaveRoom chan struct{} // receives an item when a connection may have closed or become idle
	closed      chan struct{} // closed by acceptor.close
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

// accept waits for a client to connect, and then until the limits allow one more connection. It returns net.ErrClosed
// after close.
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

// isTemporary returns whether a later accept may succeed: the system is short of descriptors or memory, or the client
// aborted its connection before it was accepted.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// evictForNew closes connections until the limits allow one more. If no connection may be closed yet, ok is false and
// wait is the time until the next attempt.
func (a *acceptor) evictForNew() (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	removed, wait, ok := a.table.evictForNew(a.clock.Now())
	closeConns(removed)
	return wait, ok
}

// sweep closes the connections that have been idle for longer than the limits allow, and schedules the next sweep
// while any connection is idle. The timer is needed because clients that have reached their own connection limit open
// no new connection that would cause a sweep. The caller holds the lock.
func (a *acceptor) sweep() {
	if a.sweepTimer != nil {
		return // the next sweep is already scheduled
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

// closeConns closes connections that were removed from the table. If a connection's goroutine is reading a request or
// discarding input, only its read is interrupted: the goroutine sends the response of an unfinished request and
// closes the connection itself.
func closeConns(entries []*entry) {
	for _, e := range entries {
		if e.state == stateReading || e.state == stateLingering {
			_ = e.conn.netConn.SetReadDeadline(time.Unix(1, 0))
			continue
		}
		e.conn.netConn.Close()
	}
}

// setLimits replaces the limits on client connections.
func (a *acceptor) setLimits(limits ConnLimits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.limits = limits
	a.sweep()
	a.signalRoom()
}

// setListener sets the listener that connections are accepted from. If the acceptor is already closed, it closes the
// listener and returns false.
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

// close closes the listener. Open connections stay open.
func (a *acceptor) close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeOnce.Do(func() { close(a.closed) })
	if a.listener == nil {
		return nil
	}
	return a.listener.Close()
}

// closeIdle closes the connections that have had no open request for at least minIdle.
func (a *acceptor) closeIdle(minIdle time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	closeConns(a.table.removeIdle(a.clock.Now(), minIdle))
}

// counters returns the current connection counts.
func (a *acceptor) counters() Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.counters()
}

// signalRoom wakes accept, and Drain, which waits for the number of open connections to fall.
func (a *acceptor) signalRoom() {
	select {
	case a.mayHaveRoom <- struct{}{}:
	default:
	}
}

// markBusy records that the first bytes of a request were received on a connection, or that its request is complete.
// It returns false if the connection was removed from the table.
func (a *acceptor) markBusy(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markBusy(&c.entry)
	return !c.entry.removed
}

// markReading records that a request was received in part and the connection waits for the rest.
func (a *acceptor) markReading(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markReading(a.clock.Now(), &c.entry)
	a.sweep()
	a.signalRoom()
}

// markProgress records that progressBytes more of a connection's request were received.
func (a *acceptor) markProgress(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markProgress(a.clock.Now(), &c.entry)
}

// markLingering records that the last response was sent on a connection whose client may still be sending.
func (a *acceptor) markLingering(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markBusy(&c.entry)
	a.table.markLingering(a.clock.Now(), &c.entry)
	a.sweep()
	a.signalRoom()
}

// markRequest records that a connection has sent a request that passed its checks, and the owner (the target) of the
// request.
func (a *acceptor) markRequest(c *conn, o *owner) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markRequest(&c.entry)
	a.table.setOwner(&c.entry, o)
}

// overShare returns whether a connection should close with its next response: see connTable.overShare.
func (a *acceptor) overShare(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.overShare(&c.entry)
}

// setShares divides the connections among the owners in proportion to their weights.
func (a *acceptor) setShares(owners []*owner, weights []float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.setShares(owners, weights)
}

// markIdle records that the request on a connection has its response, and that no other request is open on it.
func (a *acceptor) markIdle(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.markIdle(a.clock.Now(), &c.entry)
	a.sweep()
	a.signalRoom()
}

// remove removes a closed connection from the table.
func (a *acceptor) remove(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.remove(&c.entry)
	a.signalRoom()
}

// isRemoved returns whether a connection was removed from the table: it was evicted, or it has closed.
func (a *acceptor) isRemoved(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.entry.removed
}
