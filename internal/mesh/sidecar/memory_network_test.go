package sidecar

import (
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
	noFault      fault = iota
	resetLink          // both ends see a reset, after what was delivered
	silentLink         // nothing passes any more, and neither end sees an error
	freezeLink         // nothing passes for freezeTime, then all does
	freezeGate         // the same for all links of the gate at one end of it
	freezeCaller       // the same for all links of the caller's sidecar
)

// freezeTime is longer than any request of the tests may take.
const freezeTime = 5 * time.Second

// faultPlan is a fault on the first connection of a kind, once so many bytes have passed in one
// direction.
type faultPlan struct {
	kind      string // client, gate or upstream: what the connection leads from or to
	direction int    // 0: requests, 1: responses
	at        int
	fault     fault
}

// memoryNetwork is a network in memory, in virtual time.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	links     []*link
	plan      faultPlan
	planUsed  bool // a link has the plan
}

// link is a connection between the processes that its owners name. Its fields are guarded by the
// network's lock, which the callers of its methods hold.
type link struct {
	net         *memoryNetwork
	owners      [2]string
	ends        [2]*memoryConn // 0 dialled
	bytesPassed [2]int
	plan        *faultPlan // nil: there is no fault to come
	broken      bool
	frozen      bool
	delayed     [2][]func() // deliveries at the end of a freeze, by direction
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

// dial opens a connection from a process to an address, of a kind.
func (m *memoryNetwork) dial(from, kind, address string) (net.Conn, error) {
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
	if kind == m.plan.kind && m.plan.fault != noFault && !m.planUsed {
		m.planUsed, k.plan = true, &m.plan
	}
	m.links = append(m.links, k)
	l.ready <- k.ends[1]
	return k.ends[0], nil
}

func (m *memoryNetwork) inMemory() bool { return true }

// bytesOfFirstLink is how many bytes passed on the first connection of a kind, by direction.
func (m *memoryNetwork) bytesOfFirstLink(kind string) [2]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.links {
		if k.kind() == kind {
			return k.bytesPassed
		}
	}
	return [2]int{}
}

// kind is that of faultPlan.
func (k *link) kind() string {
	switch k.owners[0] {
	case "client":
		return "client"
	case "caller":
		return "gate"
	}
	return "upstream"
}

// close ends all connections, so that all goroutines that wait on them end.
func (m *memoryNetwork) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.listeners {
		l.end()
	}
	for _, k := range m.links {
		k.reset()
	}
}

// send carries bytes in a direction. The fault strikes between those before and behind its place.
func (k *link) send(direction int, p []byte) {
	if k.plan != nil && k.plan.direction == direction && k.bytesPassed[direction]+len(p) >= k.plan.at {
		before := k.plan.at - k.bytesPassed[direction]
		k.sendBytes(direction, p[:before])
		p = p[before:]
		k.strike()
	}
	k.sendBytes(direction, p)
}

// strike makes the planned fault happen.
func (k *link) strike() {
	planned := k.plan.fault
	k.plan = nil
	switch planned {
	case resetLink:
		k.reset()
	case silentLink:
		k.broken = true
	case freezeLink:
		k.freeze()
	case freezeGate, freezeCaller:
		process := "caller"
		if planned == freezeGate {
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

// reset ends a link with an error at both ends.
func (k *link) reset() {
	k.broken = true
	for _, c := range k.ends {
		c.broken = true
		c.wake.Broadcast()
	}
}

// freeze holds up a link for freezeTime.
func (k *link) freeze() {
	if k.frozen || k.broken {
		return
	}
	k.frozen = true
	time.AfterFunc(freezeTime, func() {
		k.net.mu.Lock()
		defer k.net.mu.Unlock()
		k.frozen = false
		for direction := range k.delayed {
			for _, deliver := range k.delayed[direction] {
				deliver()
			}
			k.delayed[direction] = nil
		}
	})
}

// sendBytes has bytes arrive at the other end.
func (k *link) sendBytes(direction int, p []byte) {
	if k.broken || len(p) == 0 {
		return
	}
	to, data := k.ends[1-direction], append([]byte(nil), p...)
	k.bytesPassed[direction] += len(data)
	k.deliverOrDelay(direction, func() { to.buffer = append(to.buffer, data...) })
}

// sendEnd has the end of a direction arrive.
func (k *link) sendEnd(direction int) {
	if to := k.ends[1-direction]; !k.broken {
		k.deliverOrDelay(direction, func() { to.ended = true })
	}
}

// deliverOrDelay delivers now, or at the end of a freeze.
func (k *link) deliverOrDelay(direction int, arrive func()) {
	deliver := func() {
		arrive()
		k.ends[1-direction].wake.Broadcast()
	}
	if k.frozen {
		k.delayed[direction] = append(k.delayed[direction], deliver)
		return
	}
	deliver()
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

// memoryConn is one end of a link. Its fields are guarded by the network's lock.
type memoryConn struct {
	link     *link
	end      int
	wake     *sync.Cond
	buffer   []byte
	ended    bool // the other end will send nothing more
	broken   bool
	closed   bool
	deadline [2]time.Time // by operation
}

// Operations of a connection that have deadlines.
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

// setDeadlines sets those of some operations, and wakes who waits once they have passed.
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
