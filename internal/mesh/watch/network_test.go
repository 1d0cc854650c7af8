package watch

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// network connects hosts by pipes within a synctest bubble, so that time is virtual.
type network struct {
	mu      sync.Mutex
	ports   map[string]*port
	severed map[string]bool
	links   map[string][]net.Conn
	// clockStep is how far the machines' clocks are off while sidecars start.
	clockStep time.Duration
}

// port is a host's listener.
type port struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
}

func (p *port) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *port) Close() error { close(p.closed); return nil }

func (p *port) Addr() net.Addr { return &net.UnixAddr{Name: p.address} }

func newNetwork() *network {
	return &network{ports: map[string]*port{}, severed: map[string]bool{}, links: map[string][]net.Conn{}}
}

// client is an HTTP client on a host.
func (n *network) client(from string) *http.Client {
	dial := func(_ context.Context, _, to string) (net.Conn, error) { return n.dial(from, to) }
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}

// dial opens a connection between two hosts.
func (n *network) dial(from, to string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.ports[to]
	if p == nil || n.severed[from+to] {
		return nil, io.ErrClosedPipe
	}
	here, there := net.Pipe()
	n.links[from+to] = append(n.links[from+to], here)
	p.conns <- there
	return here, nil
}

// sever breaks the connections from one host to another, and refuses new ones until heal.
func (n *network) sever(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.severed[from+to] = true
	for _, c := range n.links[from+to] {
		_ = c.Close()
	}
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.severed)
}
