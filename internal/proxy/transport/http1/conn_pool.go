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
	errDeadlinePassed = errors.New("the time was up before a connection was opened")
	errNoDescriptor   = errors.New("no descriptor is left for a connection")
)

// Resize replaces the limit on connections. Idle ones beyond it are closed at once, the others as they end.
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

// Busy is how many connections are in use or being opened.
func (t *Transport) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.openConns
	for _, conns := range t.idle {
		n -= len(conns)
	}
	return n
}

// Counters are figures for the log, by name.
func (t *Transport) Counters() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return map[string]int{
		"open": t.openConns, "dialled": t.dials, "stale": t.staleConns, "broken": t.brokenConns,
	}
}

// acquireConn returns a kept connection that is still usable, or opens one.
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

// openConn opens a connection that takeIdle has counted.
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

// takeIdle returns the connection that has been idle for longest, or nil once it has counted a new one that is to be
// opened. A response may bring more than belongs to it, even a second copy, and nothing in it tells whose it is: on a
// connection that is used again at once it would be read as the next request's response. A server may also close
// right after a response, and a request that crosses this may have run. What has come while the connection was idle
// is found by isUsable: so it is idle for reuseDelay at least, and the longest idle one is used first or, where some
// have broken, the one that has been idle for the time after which fewest did: see reuseStats. At the limit an idle
// connection to another server makes room.
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
		return nil, errNoDescriptor
	}
	t.openConns++
	t.dials++
	return nil, nil
}

// countIdle is how many connections to a host have been idle for at least so long: the first ones. The caller holds the
// lock, as for all that follow.
func (t *Transport) countIdle(to *host, now, idle time.Duration) int {
	conns := t.idle[to]
	n := 0
	for n < len(conns) && now-conns[n].idleSince >= idle {
		n++
	}
	return n
}

// chooseIdle is the index of the connection to be used, or -1: a new one.
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

// closeOldestIdle closes the connection that has been idle for longest, of all hosts. It returns false if none is idle.
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

// closeIdleLocked closes the first n idle connections to a host.
func (t *Transport) closeIdleLocked(to *host, n int) {
	conns := t.idle[to]
	for _, c := range conns[:n] {
		c.Conn.Close()
	}
	t.openConns -= n
	if rest := slices.Delete(conns, 0, n); len(rest) > 0 { // in place: nothing closed stays referred to
		t.idle[to] = rest
	} else {
		delete(t.idle, to)
	}
}

// recordUse records whether a connection broke when it was used.
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
	t.connsBreak.Store(t.reuse.connsBreak())
}

// recordBroken records that a connection broke under a request.
func (t *Transport) recordBroken(to *host, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordUse(to, c, true)
}

// keepIdle puts a connection back.
func (t *Transport) keepIdle(to *host, c *conn) {
	_ = c.SetDeadline(time.Time{}) // a closed one is found out before it is used
	t.mu.Lock()
	defer t.mu.Unlock()
	if to.deregistered { // meanwhile
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

// closeIdleSince closes the idle connections to a host that were last used before a time since when it has let an
// attempt time out: a partitioned machine does not answer on them either, and what is written there may have run. A new
// connection tells at once whether the machine is there. A host that is only slow keeps those on which it has answered
// since.
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

// sweepIdle closes the connections that have been idle for maxIdle.
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

// deregister closes the idle connections to a host, and has no others kept.
func (t *Transport) deregister(to *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	to.deregistered = true
	t.closeIdleLocked(to, len(t.idle[to]))
}

// discard closes a connection that was in use.
func (t *Transport) discard(c *conn) {
	c.Conn.Close()
	t.mu.Lock()
	t.openConns--
	t.mu.Unlock()
}
