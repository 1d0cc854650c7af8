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
	delays  map[string]time.Duration // one way, of all links of a host; set by setDelay
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
	return &network{ports: map[string]*port{}, severed: map[string]bool{}, links: map[string][]net.Conn{},
		delays: map[string]time.Duration{}}
}

// setDelay has all that a host sends and receives from now on arrive so much later, on the connections that it has
// opened since its first delay was set.
func (n *network) setDelay(host string, oneWay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[host] = oneWay
}

// longestDelay is the longest of all hosts' delays.
func (n *network) longestDelay() (longest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.delays {
		longest = max(longest, d)
	}
	return longest
}

// delayOf is a host's delay, as slowLink asks for it.
func (n *network) delayOf(host string) func() time.Duration {
	return func() time.Duration {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.delays[host]
	}
}

// client is an HTTP client on a host.
func (n *network) client(from string) *http.Client {
	dial := func(ctx context.Context, _, to string) (net.Conn, error) {
		select { // a connection is open once an answer has come from the other side
		case <-time.After(2 * n.delayOf(from)()):
			return n.dial(from, to)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
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
	if _, delayed := n.delays[from]; delayed {
		here, there = slowLink(n.delayOf(from))
	}
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
