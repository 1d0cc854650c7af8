package sidecar

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// fault is an injected failure of a link at a given byte.
type fault int

const (
	noFault      fault = iota
	resetLink          // both ends receive a reset, after the data delivered so far
	silentLink         // later data is lost, and neither end sees an error
	freezeLink         // later data is delayed by freezeTime
	freezeGate         // all links of the gate at one end of the link are frozen
	freezeCaller       // all links of the caller's sidecar are frozen
)

// freezeTime is longer than any request of the tests may take.
const freezeTime = 5 * time.Second

// faultPlan is a fault on the first connection of a kind. It is injected after a number of bytes in one direction.
type faultPlan struct {
	kind       string // the link's kind, see link.kind
	direction  int    // 0: requests, 1: responses
	afterBytes int
	fault      fault
}

// memoryNetwork is an in-memory network that runs in virtual time.
type memoryNetwork struct {
	mu           sync.Mutex
	listeners    map[string]*memoryListener
	links        []*link
	plan         faultPlan
	planAssigned bool // whether a link has been assigned the plan
}

// link is a connection between two processes. Its fields are guarded by the network's lock; callers of its methods
// hold that lock.
type link struct {
	net         *memoryNetwork
	owners      [2]string      // names of the dialling and the listening process
	ends        [2]*memoryConn // index 0 is the end that dialled
	bytesPassed [2]int         // by direction
	plan        *faultPlan     // nil: no fault is pending
	broken      bool
	frozen      bool
	delayed     [2][]func() // deliveries after the freeze, by direction
}

// listen opens a listener at an address.
func (m *memoryNetwork) listen(address string) net.Listener {
	l := &memoryListener{address: address, ready: make(chan net.Conn, 64), done: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listeners == nil {
		m.listeners = make(map[string]*memoryListener)
	}
	m.listeners[address] = l
	return l
}

// dial opens a connection of a kind from a process to an address.
func (m *memoryNetwork) dial(from, kind, address string) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.listeners[address]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	ln := &link{net: m, owners: [2]string{from, address}}
	for i := range ln.ends {
		ln.ends[i] = &memoryConn{link: ln, end: i}
		ln.ends[i].wake = sync.NewCond(&m.mu)
	}
	if kind == m.plan.kind && m.plan.fault != noFault && !m.planAssigned {
		m.planAssigned, ln.plan = true, &m.plan
	}
	m.links = append(m.links, ln)
	l.ready <- ln.ends[1]
	return ln.ends[0], nil
}

func (m *memoryNetwork) inMemory() bool { return true }

// bytesOfFirstLink returns how many bytes were sent on the first connection of a kind, by direction.
func (m *memoryNetwork) bytesOfFirstLink(kind string) [2]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ln := range m.links {
		if ln.kind() == kind {
			return ln.bytesPassed
		}
	}
	return [2]int{}
}

// kind returns which processes the link connects: "client" for a client and its sidecar, "gate" for the caller's
// sidecar and a gate, and "upstream" for a gate and its upstream.
func (ln *link) kind() string {
	switch ln.owners[0] {
	case "client":
		return "client"
	case "caller":
		return "gate"
	}
	return "upstream"
}

// close resets all connections and closes all listeners, so that goroutines that wait on them end.
func (m *memoryNetwork) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.listeners {
		l.end()
	}
	for _, ln := range m.links {
		ln.reset()
	}
}

// send sends bytes in a direction. If they reach the planned byte, the fault is injected before that byte.
func (ln *link) send(direction int, p []byte) {
	if ln.plan != nil && ln.plan.direction == direction && ln.bytesPassed[direction]+len(p) >= ln.plan.afterBytes {
		before := ln.plan.afterBytes - ln.bytesPassed[direction]
		ln.sendBytes(direction, p[:before])
		p = p[before:]
		ln.injectFault()
	}
	ln.sendBytes(direction, p)
}

// injectFault injects the planned fault.
func (ln *link) injectFault() {
	planned := ln.plan.fault
	ln.plan = nil
	switch planned {
	case resetLink:
		ln.reset()
	case silentLink:
		ln.broken = true
	case freezeLink:
		ln.freeze()
	case freezeGate, freezeCaller:
		process := "caller"
		if planned == freezeGate {
			process = ln.gate()
		}
		for _, other := range ln.net.links {
			if other.owners[0] == process || other.owners[1] == process {
				other.freeze()
			}
		}
	}
}

// gate returns the name of the gate at one end of the link.
func (ln *link) gate() string {
	if ln.kind() == "upstream" {
		return ln.owners[0]
	}
	return ln.owners[1]
}

// reset ends the link with an error at both ends.
func (ln *link) reset() {
	ln.broken = true
	for _, c := range ln.ends {
		c.broken = true
		c.wake.Broadcast()
	}
}

// freeze delays all deliveries on the link for freezeTime.
func (ln *link) freeze() {
	if ln.frozen || ln.broken {
		return
	}
	ln.frozen = true
	time.AfterFunc(freezeTime, func() {
		ln.net.mu.Lock()
		defer ln.net.mu.Unlock()
		ln.frozen = false
		for direction := range ln.delayed {
			for _, deliver := range ln.delayed[direction] {
				deliver()
			}
			ln.delayed[direction] = nil
		}
	})
}

// sendBytes delivers bytes to the other end.
func (ln *link) sendBytes(direction int, p []byte) {
	if ln.broken || len(p) == 0 {
		return
	}
	to, data := ln.ends[1-direction], append([]byte(nil), p...)
	ln.bytesPassed[direction] += len(data)
	ln.deliverOrDelay(direction, func() { to.buffer = append(to.buffer, data...) })
}

// sendEnd delivers the end of a direction's stream to the other end.
func (ln *link) sendEnd(direction int) {
	if to := ln.ends[1-direction]; !ln.broken {
		ln.deliverOrDelay(direction, func() { to.peerClosed = true })
	}
}

// deliverOrDelay runs a delivery now, or after the freeze if the link is frozen.
func (ln *link) deliverOrDelay(direction int, arrive func()) {
	deliver := func() {
		arrive()
		ln.ends[1-direction].wake.Broadcast()
	}
	if ln.frozen {
		ln.delayed[direction] = append(ln.delayed[direction], deliver)
		return
	}
	deliver()
}

// memoryListener is a net.Listener on a memoryNetwork.
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

// memoryConn is one end of a link; it implements net.Conn. Its fields are guarded by the network's lock.
type memoryConn struct {
	link       *link
	end        int
	wake       *sync.Cond
	buffer     []byte
	peerClosed bool // the other end has closed its connection
	broken     bool
	closed     bool
	deadline   [2]time.Time // by operation
}

// Operations of a connection with a deadline of their own.
const (
	reading = iota
	writing
)

func (c *memoryConn) Read(p []byte) (int, error) {
	c.link.net.mu.Lock()
	defer c.link.net.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.deadlinePassed(reading):
			return 0, os.ErrDeadlineExceeded
		case len(c.buffer) > 0:
			n := copy(p, c.buffer)
			c.buffer = c.buffer[n:]
			return n, nil
		case c.broken:
			return 0, syscall.ECONNRESET
		case c.peerClosed:
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
	case c.deadlinePassed(writing):
		return 0, os.ErrDeadlineExceeded
	case c.broken:
		return 0, syscall.EPIPE
	}
	c.link.send(c.end, p)
	return len(p), nil
}

func (c *memoryConn) deadlinePassed(operation int) bool {
	deadline := c.deadline[operation]
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

func (c *memoryConn) Close() error {
	c.link.net.mu.Lock()
	defer c.link.net.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.link.sendEnd(c.end)
		c.wake.Broadcast()
	}
	return nil
}

// setDeadlines sets the deadlines of operations, and wakes waiting calls now and at the deadline.
func (c *memoryConn) setDeadlines(t time.Time, operations ...int) error {
	c.link.net.mu.Lock()
	defer c.link.net.mu.Unlock()
	for _, operation := range operations {
		c.deadline[operation] = t
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

func (c *memoryConn) SetDeadline(t time.Time) error      { return c.setDeadlines(t, reading, writing) }
func (c *memoryConn) SetReadDeadline(t time.Time) error  { return c.setDeadlines(t, reading) }
func (c *memoryConn) SetWriteDeadline(t time.Time) error { return c.setDeadlines(t, writing) }
func (c *memoryConn) LocalAddr() net.Addr                { return memoryAddr(c.link.owners[c.end]) }
func (c *memoryConn) RemoteAddr() net.Addr               { return memoryAddr(c.link.owners[1-c.end]) }
