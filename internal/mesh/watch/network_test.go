package watch

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// testNetwork connects hosts by pipes within a synctest bubble, where time is virtual. blocked and
// connections are keyed by the sender's name followed by the receiver's.
type testNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*pipeListener
	blocked     map[string]bool
	connections map[string][]net.Conn
	delays      map[string]time.Duration // one-way delay of all connections of a host, set by setDelay
	// clockStep is the offset of the machines' clocks that new sidecars see when they start.
	clockStep time.Duration
}

// pipeListener accepts the connections to a host.
type pipeListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error { close(p.closed); return nil }

func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: p.address} }

func newNetwork() *testNetwork {
	return &testNetwork{
		listeners: map[string]*pipeListener{}, blocked: map[string]bool{},
		connections: map[string][]net.Conn{}, delays: map[string]time.Duration{},
	}
}

// setDelay delays all bytes that a host sends and receives from now on. It affects the connections that the
// host opens after the first call.
func (n *testNetwork) setDelay(host string, oneWay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[host] = oneWay
}

// longestDelay returns the longest one-way delay of all hosts.
func (n *testNetwork) longestDelay() (longest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.delays {
		longest = max(longest, d)
	}
	return longest
}

// hostDelay returns a function that returns a host's current one-way delay, as newSlowLink needs it.
func (n *testNetwork) hostDelay(host string) func() time.Duration {
	return func() time.Duration {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.delays[host]
	}
}

// client returns an HTTP client on a host.
func (n *testNetwork) client(from string) *http.Client {
	dial := func(ctx context.Context, _, to string) (net.Conn, error) {
		select { // opening a connection takes a round trip
		case <-time.After(2 * n.hostDelay(from)()):
			return n.dial(from, to)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}

// dial opens a connection from one host to another.
func (n *testNetwork) dial(from, to string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.listeners[to]
	if p == nil || n.blocked[from+to] {
		return nil, io.ErrClosedPipe
	}
	local, remote := net.Pipe()
	if _, delayed := n.delays[from]; delayed {
		local, remote = newSlowLink(n.hostDelay(from))
	}
	n.connections[from+to] = append(n.connections[from+to], local)
	p.conns <- remote
	return local, nil
}

// blockLink closes the connections that one host has opened to another and rejects new ones until heal is
// called.
func (n *testNetwork) blockLink(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[from+to] = true
	for _, c := range n.connections[from+to] {
		_ = c.Close()
	}
}

// heal removes all blocks.
func (n *testNetwork) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}
