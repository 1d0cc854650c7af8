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

// reserveTime is how long a vanished node's port is tried to be held.
const reserveTime = 100 * time.Millisecond

// Act is what a node does with a request.
type Act int

// The acts. All but Reject may have run the request.
const (
	Serve    Act = iota
	Reject       // turned away, with the protocol's word that it has not run
	Fail         // an error answer
	Busy         // a 503 or UNAVAILABLE with no promise
	Hang         // takes it and says nothing
	Reset        // breaks the connection behind the request's last byte
	Truncate     // breaks it in the middle of the answer
	Garbage      // answers with what is none
	Slow         // serves after Node.Delay, or as Node.Takes has it
)

// String is the act as the cases of the conformance suite name it.
func (a Act) String() string {
	return [...]string{"serve", "refuse", "fail", "busy", "hang", "reset", "cut", "garbage", "slow"}[a]
}

// Script says what a node does with a request. It may be called from many goroutines.
type Script func(a Arrival) Act

// Always is the script of one act.
func Always(act Act) Script { return func(Arrival) Act { return act } }

// Node is a stand-in for a records node, over HTTP/1.1 or gRPC. It can be changed at any time.
type Node struct {
	ID         string
	Cell       int
	Zone       string
	Started    time.Time
	Address    string
	ArrivalLog *ArrivalLog
	Delay      atomic.Int64 // of Slow, in nanoseconds
	// of Slow; nil: Delay. It is set before the first request and called from many goroutines
	ServiceTime      func() time.Duration
	ServiceTimeScale atomic.Int64  // thousandths of that, or of Delay, that it takes; 0: all of it
	Load             func() string // the load report of an answer and a probe, in the protocol's form; nil: none
	Probes           atomic.Int64

	script atomic.Pointer[Script]
	serve  func(net.Listener) (stop func())

	mu       sync.Mutex
	stop     func()
	listener net.Listener
	vanished bool
	reserved int                 // descriptor of the socket that holds a vanished node's port; 0: none does
	conns    map[string]net.Conn // by the other side's address
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
		n.end()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.release()
	})
	return n
}

// Do has the node follow a script from now on.
func (n *Node) Do(s Script) { n.script.Store(&s) }

// act records an arrival and says what is to be done with it.
func (n *Node) act(a Arrival) Act {
	a.At, a.Node, a.Cell = time.Now(), n.ID, n.Cell
	act := (*n.script.Load())(a)
	a.Ran = act != Reject
	n.ArrivalLog.Add(a)
	return act
}

// Vanish ends the node's process: connections are reset and new ones refused.
func (n *Node) Vanish() {
	if n.end() {
		n.reserve()
	}
}

// end is Vanish, but for the port; false: it had ended.
func (n *Node) end() bool {
	n.mu.Lock()
	stop := n.stop
	n.stop, n.vanished = nil, true
	n.mu.Unlock()
	if stop == nil {
		return false
	}
	stopAccepting(n.listener)
	stop() // first: what is accepted behind BreakAll would live on
	n.BreakAll()
	return true
}

// reserve holds the port of a node that has vanished: bound, with nobody listening, it refuses
// connections, and no other program's listener comes to it meanwhile. One of another test's was
// sent what was meant for the node, and served it.
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
	// connections that were broken off may still hold it
	for until := time.Now().Add(reserveTime); ; time.Sleep(time.Millisecond) {
		if err = syscall.Bind(fd, to); err == nil || time.Now().After(until) {
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

// release lets the port go; the caller holds the lock.
func (n *Node) release() {
	if n.reserved != 0 {
		_ = syscall.Close(n.reserved)
		n.reserved = 0
	}
}

// Return starts the node again at its address, as one that has just started.
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

// Open is how many connections stand.
func (n *Node) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// slow waits as long as the node takes for a request.
func (n *Node) slow() {
	takes := time.Duration(n.Delay.Load())
	if n.ServiceTime != nil {
		takes = n.ServiceTime()
	}
	if by := n.ServiceTimeScale.Load(); by > 0 {
		takes = takes * time.Duration(by) / 1000
	}
	time.Sleep(takes)
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

// A child of this process holds a copy of every descriptor until its own program begins, and a copy
// keeps what is closed here alive: a listener goes on taking connections, and a reset is not sent
// till then. Both of these end it at once.

// withoutFork ends something while no child is being started.
func withoutFork(end func()) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	end()
}

// stopAccepting has a listener take no further connection, through whichever copy.
func stopAccepting(l net.Listener) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return // closed already
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RD) })
}

// trackingListener is a listener that keeps the node's table of connections.
type trackingListener struct {
	net.Listener
	n *Node
}

// Accept takes a connection, unless the node has vanished.
func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.n.Dials.Add(1)
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	if l.n.vanished { // it was in the queue when its process ended
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

// Entry is the node in discovery's form.
func (n *Node) Entry(lifecycle string) string {
	started := int64(0)
	if !n.Started.IsZero() {
		started = n.Started.UnixMilli()
	}
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"cell":%d,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":%d}`,
		n.ID, n.Address, n.Zone, n.Cell, lifecycle, started)
}

// Known is the list of some nodes, all ready.
func Known(nodes ...*Node) string {
	var entries []string
	for _, n := range nodes {
		entries = append(entries, n.Entry("ready"))
	}
	return fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`, strings.Join(entries, ","))
}
