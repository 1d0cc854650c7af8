package testbed

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// reserveTime bounds the attempts to bind the port of a vanished node.
const reserveTime = 100 * time.Millisecond

// Act is what a node does with a request.
type Act int

// The acts. With every act except Reject, the request may have run.
const (
	Serve    Act = iota
	Reject       // rejects the request and states that it has not run
	Fail         // answers with an error
	Busy         // answers 503 or UNAVAILABLE, without stating whether the request has run
	Hang         // reads the request and never answers
	Reset        // resets the connection after reading the request
	Truncate     // breaks the connection in the middle of the response
	Garbage      // answers with bytes that are no response
	Slow         // serves after Node.Delay or Node.ServiceTime
)

// String returns the name of the act in the cases of the conformance suite.
func (a Act) String() string {
	return [...]string{"serve", "refuse", "fail", "busy", "hang", "reset", "cut", "garbage", "slow"}[a]
}

// Script decides what a node does with a request. It may be called concurrently.
type Script func(a Arrival) Act

// Always returns a script that always chooses one act.
func Always(act Act) Script { return func(Arrival) Act { return act } }

// Node is an upstream node that speaks HTTP/1.1 or gRPC. Its behaviour can be changed at any time.
type Node struct {
	ID         string
	Cell       int
	Zone       string
	Started    time.Time
	Address    string
	ArrivalLog *ArrivalLog
	Delay      atomic.Int64 // service time of Slow, in nanoseconds
	// ServiceTime returns the service time of a request with Slow; nil for Delay. It has to be set before the first
	// request and may be called concurrently.
	ServiceTime      func() time.Duration
	ServiceTimeScale atomic.Int64  // scales the service time, in thousandths; 0 for no scaling
	Load             func() string // returns the load report for responses and probes; nil for none
	Probes           atomic.Int64

	script atomic.Pointer[Script]
	serve  func(net.Listener) (stop func())

	mu       sync.Mutex
	stop     func()
	listener net.Listener
	vanished bool
	reserved int                 // descriptor of the socket that holds a vanished node's port; 0 for none
	conns    map[string]net.Conn // by the client's address
	Dials    atomic.Int64
}

func newNode(t TB, id string, l *ArrivalLog, serve func(*Node, net.Listener) func()) *Node {
	t.Helper()
	n := &Node{ID: id, Zone: "a", ArrivalLog: l, conns: make(map[string]net.Conn)}
	n.serve = func(l net.Listener) func() { return serve(n, l) }
	n.Do(Always(Serve))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("node %s: %v", id, err)
	}
	n.Address, n.listener = listener.Addr().String(), listener
	n.stop = n.serve(trackingListener{listener, n})
	t.Cleanup(func() {
		n.shutDown()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.release()
	})
	return n
}

// Do makes the node follow a script from now on.
func (n *Node) Do(s Script) { n.script.Store(&s) }

// act records an arrival and returns what to do with the request.
func (n *Node) act(a Arrival) Act {
	a.At, a.Node, a.Cell = time.Now(), n.ID, n.Cell
	act := (*n.script.Load())(a)
	a.Ran = act != Reject
	n.ArrivalLog.Add(a)
	return act
}

// Vanish ends the node's process: its connections are reset and new ones are refused.
func (n *Node) Vanish() {
	if n.shutDown() {
		n.reserve()
	}
}

// shutDown stops the node without reserving its port. It returns false if the node had stopped before.
func (n *Node) shutDown() bool {
	n.mu.Lock()
	stop := n.stop
	n.stop, n.vanished = nil, true
	n.mu.Unlock()
	if stop == nil {
		return false
	}
	stopAccepting(n.listener)
	stop() // before BreakAll, which misses connections that are accepted later
	n.BreakAll()
	return true
}

// reserve holds the port of a vanished node. A bound socket that doesn't listen refuses connections and keeps other
// programs from listening on the port. Without it, a listener of another test once got the port, received the node's
// requests and served them.
func (n *Node) reserve() {
	address, err := netip.ParseAddrPort(n.Address)
	if err != nil {
		return
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	to := &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}
	// Connections that were reset may still hold the port for a moment.
	for deadline := time.Now().Add(reserveTime); ; time.Sleep(time.Millisecond) {
		if err = syscall.Bind(fd, to); err == nil || time.Now().After(deadline) {
			break
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil || n.reserved != 0 {
		_ = syscall.Close(fd)
		return
	}
	n.reserved = fd
}

// release releases the reserved port. The caller holds the lock.
func (n *Node) release() {
	if n.reserved != 0 {
		_ = syscall.Close(n.reserved)
		n.reserved = 0
	}
}

// Return starts the node again at its address, with a new start time.
func (n *Node) Return(t TB) {
	t.Helper()
	n.mu.Lock()
	n.release()
	n.mu.Unlock()
	var l net.Listener
	Until(t, "the node's address to be free", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", n.Address)
		return err == nil
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Started, n.vanished, n.listener = time.Now(), false, l
	n.stop = n.serve(trackingListener{l, n})
}

// BreakAll resets all connections.
func (n *Node) BreakAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, c := range n.conns {
		abort(c)
		delete(n.conns, address)
	}
}

// Open returns the number of open connections.
func (n *Node) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// sleepServiceTime sleeps for the service time of a request.
func (n *Node) sleepServiceTime() {
	duration := time.Duration(n.Delay.Load())
	if n.ServiceTime != nil {
		duration = n.ServiceTime()
	}
	if scale := n.ServiceTimeScale.Load(); scale > 0 {
		duration = duration * time.Duration(scale) / 1000
	}
	time.Sleep(duration)
}

// breakConn resets the connection to an address.
func (n *Node) breakConn(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.conns[address]; c != nil {
		abort(c)
		delete(n.conns, address)
	}
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	withoutFork(func() { _ = c.Close() })
}

// withoutFork closes a descriptor while no child process is being started. A child holds a copy of every descriptor
// between fork and exec, and the copy keeps a closed descriptor in use: a listener keeps accepting connections, and a
// reset is sent late.
func withoutFork(closeDescriptor func()) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	closeDescriptor()
}

// stopAccepting makes a listener accept no more connections, also through the copy of its descriptor that a child
// process may hold.
func stopAccepting(l net.Listener) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return // already closed
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RD) })
}

// trackingListener is a listener that records the node's connections.
type trackingListener struct {
	net.Listener
	n *Node
}

// Accept accepts a connection, unless the node has vanished.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.n.Dials.Add(1)
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	if l.n.vanished { // the connection was in the backlog when the node vanished
		abort(c)
		return nil, net.ErrClosed
	}
	l.n.conns[c.RemoteAddr().String()] = c
	return trackedConn{c, l.n}, nil
}

type trackedConn struct {
	net.Conn
	n *Node
}

func (c trackedConn) Close() error {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	delete(c.n.conns, c.RemoteAddr().String())
	return c.Conn.Close()
}

// Entry returns the node's entry in a discovery response.
func (n *Node) Entry(lifecycle string) string {
	started := int64(0)
	if !n.Started.IsZero() {
		started = n.Started.UnixMilli()
	}
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"cell":%d,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":%d}`,
		n.ID, n.Address, n.Zone, n.Cell, lifecycle, started)
}

// Known returns a discovery response that lists the nodes as ready.
func Known(nodes ...*Node) string {
	var entries []string
	for _, n := range nodes {
		entries = append(entries, n.Entry("ready"))
	}
	return fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(entries, ","))
}
