package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// fault is what happens to a link at a byte.
type fault int

const (
	none         fault = iota
	reset              // both ends see a reset, behind what was delivered
	silent             // nothing passes any more, and nobody is told
	freeze             // nothing passes for freezeTime, then all does
	freezeGate         // the same for all links of the gate at one end of it
	freezeCaller       // the same for all links of the caller's sidecar
)

// freezeTime is longer than any request of the tests may take.
const freezeTime = 5 * time.Second

// plan has a fault happen on the first connection of a kind, once so many bytes have passed in one direction.
type plan struct {
	kind      string // client, gate or upstream: what the connection leads from or to
	direction int    // 0: requests, 1: answers
	at        int
	fault     fault
}

// memory is a network in memory, in virtual time.
type memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	links     []*link
	plan      plan
	planned   bool // the plan's link is there
}

// link is a connection, with what may go wrong on it. Its owners name the processes that it joins.
type link struct {
	net    *memory
	owners [2]string
	ends   [2]*memoryConn // 0 dialled
	passed [2]int
	plan   *plan // nil: nothing goes wrong
	dead   bool
	frozen bool
	held   [2][]func() // what waits for the end of a freeze, by direction
}

func (m *memory) listen(address string) *memoryListener {
	l := &memoryListener{address: address, ready: make(chan net.Conn, 64), done: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners = make(map[string]*memoryListener)
	}
	m.listeners[address] = l
	return l
}

// dial opens a connection from a process to an address, of a kind.
func (m *memory) dial(from, kind, address string) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.listeners[address]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	k := &link{net: m, owners: [2]string{from, address}}
	for i := range k.ends {
		k.ends[i] = &memoryConn{link: k, end: i}
		k.ends[i].wake = sync.NewCond(&m.mu)
	}
	if kind == m.plan.kind && m.plan.fault != none && !m.planned {
		m.planned, k.plan = true, &m.plan
	}
	m.links = append(m.links, k)
	l.ready <- k.ends[1]
	return k.ends[0], nil
}

// dialer is dial as a transport wants it.
func (m *memory) dialer(from, kind string) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) { return m.dial(from, kind, address) }
}

// most is how many bytes passed on the first connection of a kind to an address, by direction.
func (m *memory) most(kind string) [2]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.links {
		if k.kind() == kind {
			return k.passed
		}
	}
	return [2]int{}
}

func (k *link) kind() string {
	switch k.owners[0] {
	case "client":
		return "client"
	case "caller":
		return "gate"
	}
	return "upstream"
}

// close ends all connections, so that all that wait on them end.
func (m *memory) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.listeners {
		l.end()
	}
	for _, k := range m.links {
		k.break_()
	}
}

// send carries bytes in a direction. The caller holds the lock.
func (k *link) send(direction int, p []byte) {
	if k.plan != nil && k.plan.direction == direction && k.passed[direction]+len(p) >= k.plan.at {
		before := k.plan.at - k.passed[direction]
		k.deliver(direction, p[:before])
		p = p[before:]
		k.happen()
	}
	k.deliver(direction, p)
}

// happen has the planned fault happen.
func (k *link) happen() {
	what := k.plan.fault
	k.plan = nil
	switch what {
	case reset:
		k.break_()
	case silent:
		k.dead = true
	case freeze:
		k.freeze()
	case freezeGate, freezeCaller:
		process := "caller"
		if what == freezeGate {
			process = k.gate()
		}
		for _, other := range k.net.links {
			if other.owners[0] == process || other.owners[1] == process {
				other.freeze()
			}
		}
	}
}

// gate is the gate at one end of a link.
func (k *link) gate() string {
	if k.kind() == "upstream" {
		return k.owners[0]
	}
	return k.owners[1]
}

func (k *link) break_() {
	k.dead = true
	for _, c := range k.ends {
		c.broken = true
		c.wake.Broadcast()
	}
}

func (k *link) freeze() {
	if k.frozen || k.dead {
		return
	}
	k.frozen = true
	time.AfterFunc(freezeTime, func() {
		k.net.mu.Lock()
		defer k.net.mu.Unlock()
		k.frozen = false
		for direction := range k.held {
			for _, pass := range k.held[direction] {
				pass()
			}
			k.held[direction] = nil
		}
	})
}

// deliver has bytes arrive, or wait for the end of a freeze.
func (k *link) deliver(direction int, p []byte) {
	if k.dead || len(p) == 0 {
		return
	}
	to, data := k.ends[1-direction], append([]byte(nil), p...)
	k.passed[direction] += len(data)
	k.pass(direction, func() { to.buffer = append(to.buffer, data...) })
}

// finish has the end of a direction arrive.
func (k *link) finish(direction int) {
	if to := k.ends[1-direction]; !k.dead {
		k.pass(direction, func() { to.ended = true })
	}
}

func (k *link) pass(direction int, arrive func()) {
	then := func() {
		arrive()
		k.ends[1-direction].wake.Broadcast()
	}
	if k.frozen {
		k.held[direction] = append(k.held[direction], then)
		return
	}
	then()
}

// memoryListener is a net.Listener.
type memoryListener struct {
	address string
	ready   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) end()           { l.once.Do(func() { close(l.done) }) }
func (l *memoryListener) Close() error   { l.end(); return nil }
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// memoryConn is one end of a link. All of it is under the network's lock.
type memoryConn struct {
	link     *link
	end      int
	wake     *sync.Cond
	buffer   []byte
	ended    bool // the other end will send nothing more
	broken   bool
	closed   bool
	deadline [2]time.Time // of reading and writing
}

func (c *memoryConn) Read(p []byte) (int, error) {
	c.link.net.mu.Lock()
	defer c.link.net.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.late(0):
			return 0, os.ErrDeadlineExceeded
		case len(c.buffer) > 0:
			n := copy(p, c.buffer)
			c.buffer = c.buffer[n:]
			return n, nil
		case c.broken:
			return 0, syscall.ECONNRESET
		case c.ended:
			return 0, io.EOF
		}
		c.wake.Wait()
	}
}

func (c *memoryConn) Write(p []byte) (int, error) {
	c.link.net.mu.Lock()
	defer c.link.net.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.late(1):
		return 0, os.ErrDeadlineExceeded
	case c.broken:
		return 0, syscall.EPIPE
	}
	c.link.send(c.end, p)
	return len(p), nil
}

func (c *memoryConn) late(of int) bool {
	return !c.deadline[of].IsZero() && !time.Now().Before(c.deadline[of])
}

func (c *memoryConn) Close() error {
	c.link.net.mu.Lock()
	defer c.link.net.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.link.finish(c.end)
		c.wake.Broadcast()
	}
	return nil
}

func (c *memoryConn) set(t time.Time, of ...int) error {
	c.link.net.mu.Lock()
	defer c.link.net.mu.Unlock()
	for _, i := range of {
		c.deadline[i] = t
	}
	c.wake.Broadcast()
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		time.AfterFunc(wait, func() {
			c.link.net.mu.Lock()
			defer c.link.net.mu.Unlock()
			c.wake.Broadcast()
		})
	}
	return nil
}

func (c *memoryConn) SetDeadline(t time.Time) error      { return c.set(t, 0, 1) }
func (c *memoryConn) SetReadDeadline(t time.Time) error  { return c.set(t, 0) }
func (c *memoryConn) SetWriteDeadline(t time.Time) error { return c.set(t, 1) }
func (c *memoryConn) LocalAddr() net.Addr                { return memoryAddr(fmt.Sprint(c.link.owners[c.end])) }
func (c *memoryConn) RemoteAddr() net.Addr               { return memoryAddr(c.link.owners[1-c.end]) }
