package http1

import (
	"bufio"
	"context"
	"errors"
	"math"
	"slices"
	"syscall"
	"time"
)

var (
	errDeadlinePassed = errors.New("time limit for the request passed before the request was written")
	errConnLimit      = errors.New("connection limit reached and no connection is idle")
)

// Resize sets the limit on connections. Idle connections in excess of the limit are closed immediately.
func (t *Transport) Resize(maxConns int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = maxConns
	for to, conns := range t.idle {
		if n := min(len(conns), t.openConns-maxConns); n > 0 {
			t.closeIdleLocked(to, n)
		}
	}
}

// Busy returns the number of connections that are in use or being opened.
func (t *Transport) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.openConns
	for _, conns := range t.idle {
		n -= len(conns)
	}
	return n
}

// Counters returns counters for the log, by name.
func (t *Transport) Counters() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]int{
		"open": t.openConns, "dialled": t.dials, "stale": t.staleConns, "broken": t.brokenConns,
	}
}

// acquireConn returns an idle connection that is usable, or opens a connection.
func (t *Transport) acquireConn(x *exchange, to *host, until time.Duration) (*conn, error) {
	for {
		c, err := t.takeIdle(to)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return t.openConn(x, to, until)
		}
		if c.isUsable() {
			return c, nil
		}
		t.mu.Lock()
		t.staleConns++
		t.mu.Unlock()
		t.discard(c)
	}
}

// openConn opens a connection. takeIdle has already counted the connection in openConns and dials.
func (t *Transport) openConn(x *exchange, to *host, until time.Duration) (*conn, error) {
	timeout := min(t.dialTimeout, until-t.clock.Now())
	if timeout <= 0 {
		t.mu.Lock()
		t.openConns--
		t.dials--
		t.mu.Unlock()
		return nil, errDeadlinePassed
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if !x.setCancelFunc(cancel) {
		cancel()
	}
	raw, err := t.dial(ctx, to.address)
	if err != nil {
		t.mu.Lock()
		t.openConns--
		t.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw}
	if socket, ok := raw.(syscall.Conn); ok {
		if c.raw, err = socket.SyscallConn(); err != nil {
			t.discard(c)
			return nil, err
		}
	}
	c.limited.R = raw
	c.reader = bufio.NewReader(&c.limited)
	return c, nil
}

// takeIdle returns an idle connection to a host. If none is suitable, it counts a new connection, which the caller
// opens, and returns nil. At the connection limit it first closes the connection that has been idle for longest, of any
// host.
//
// A connection is reused only after it was idle for reuseDelay. A server may send more bytes than the response, even a
// second copy of it, and a response does not identify its request: on a connection that is reused immediately, such
// bytes would be read as the response to the next request. A server may also close the connection directly after a
// response, and a request that is written at that moment may have been processed. isUsable detects both if the bytes or
// the close arrived while the connection was idle. So the connection that has been idle for longest is reused first.
// Once reused connections have broken, reuseStats chooses the idle time after which connections break least often.
func (t *Transport) takeIdle(to *host) (*conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.closeIdleLocked(to, t.countIdle(to, now, t.maxIdle))
	conns := t.idle[to]
	ready := t.countIdle(to, now, t.reuseDelay)
	if ready > 0 {
		if at := t.chooseIdle(to, now, conns[:ready]); at >= 0 {
			c := conns[at]
			c.idleBefore = max(1, now-c.idleSince)
			t.idle[to] = slices.Delete(conns, at, at+1)
			return c, nil
		}
	}
	if t.openConns >= t.maxConns && !t.closeOldestIdle() {
		return nil, errConnLimit
	}
	t.openConns++
	t.dials++
	return nil, nil
}

// countIdle returns how many connections to a host have been idle for at least the given time. These are the first
// connections in t.idle. The caller holds t.mu.
func (t *Transport) countIdle(to *host, now, idle time.Duration) int {
	conns := t.idle[to]
	n := 0
	for n < len(conns) && now-conns[n].idleSince >= idle {
		n++
	}
	return n
}

// chooseIdle returns the index of the connection to reuse, or -1 for a new connection. The caller holds t.mu.
func (t *Transport) chooseIdle(to *host, now time.Duration, ready []*conn) int {
	if t.brokenConns == 0 {
		return 0
	}
	idle := make([]time.Duration, len(ready))
	for i, c := range ready {
		idle[i] = now - c.idleSince
	}
	return chooseByBreakRate(&to.reuse, &t.reuse, idle)
}

// closeOldestIdle closes the connection of any host that has been idle for longest. It returns false if no connection
// is idle. The caller holds t.mu.
func (t *Transport) closeOldestIdle() bool {
	var oldest *host
	since := time.Duration(math.MaxInt64)
	for h, conns := range t.idle {
		if len(conns) > 0 && conns[0].idleSince < since {
			oldest, since = h, conns[0].idleSince
		}
	}
	if oldest == nil {
		return false
	}
	t.closeIdleLocked(oldest, 1)
	return true
}

// closeIdleLocked closes the n idle connections to a host that have been idle for longest. The caller holds t.mu.
func (t *Transport) closeIdleLocked(to *host, n int) {
	conns := t.idle[to]
	for _, c := range conns[:n] {
		c.Conn.Close()
	}
	t.openConns -= n
	if rest := slices.Delete(conns, 0, n); len(rest) > 0 { // slices.Delete clears the references to the closed connections
		t.idle[to] = rest
	} else {
		delete(t.idle, to)
	}
}

// recordUse records whether a connection broke during an exchange. The caller holds t.mu.
func (t *Transport) recordUse(to *host, c *conn, broke bool) {
	bucket := newConnBucket
	if c.idleBefore > 0 {
		bucket = ageBucket(c.idleBefore)
		if broke {
			t.brokenConns++
		}
	}
	to.reuse.record(bucket, broke)
	t.reuse.record(bucket, broke)
	t.connsBreakOften.Store(t.reuse.connsBreakOften())
}

// recordBroken records that a connection broke during a request.
func (t *Transport) recordBroken(to *host, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordUse(to, c, true)
}

// keepIdle returns a connection to the pool of idle connections.
func (t *Transport) keepIdle(to *host, c *conn) {
	_ = c.SetDeadline(time.Time{}) // an error means that the connection is closed, which isUsable detects before reuse
	t.mu.Lock()
	defer t.mu.Unlock()
	if to.deregistered { // deregistered during the exchange
		c.Conn.Close()
		t.openConns--
		return
	}
	t.recordUse(to, c, false)
	c.idleSince, c.idleBefore = t.clock.Now(), 0
	t.idle[to] = append(t.idle[to], c)
	if t.sweeper == nil {
		t.sweeper = time.AfterFunc(t.maxIdle, t.sweepIdle)
	}
}

// closeIdleSince closes the idle connections to a host that were last used before the given time, which is the start of
// an attempt that timed out. A partitioned machine does not respond on these connections either, and a request that is
// written to them may have been processed. Opening a new connection shows immediately whether the machine is reachable.
// Connections on which a slow host has responded since that time are kept.
func (t *Transport) closeIdleSince(to *host, since time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[to]
	n := 0
	for n < len(conns) && conns[n].idleSince < since {
		n++
	}
	t.closeIdleLocked(to, n)
}

// sweepIdle closes the connections that have been idle for maxIdle, and sets the timer for its next run.
func (t *Transport) sweepIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, next := t.clock.Now(), time.Duration(math.MaxInt64)
	for to, conns := range t.idle {
		old := t.countIdle(to, now, t.maxIdle)
		if old < len(conns) {
			next = min(next, conns[old].idleSince+t.maxIdle-now)
		}
		t.closeIdleLocked(to, old)
	}
	t.sweeper = nil
	if len(t.idle) > 0 {
		t.sweeper = time.AfterFunc(next, t.sweepIdle)
	}
}

// closeIdle closes the idle connections to a host.
func (t *Transport) closeIdle(to *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeIdleLocked(to, len(t.idle[to]))
}

// deregister closes the idle connections to a host. Other connections to the host are closed after their exchange.
func (t *Transport) deregister(to *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	to.deregistered = true
	t.closeIdleLocked(to, len(t.idle[to]))
}

// discard closes a connection that is in use.
func (t *Transport) discard(c *conn) {
	c.Conn.Close()
	t.mu.Lock()
	t.openConns--
	t.mu.Unlock()
}
