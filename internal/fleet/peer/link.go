// Package peer is the link between sidecars: datagrams of at most 256 bytes over UDP, to and from
// the configured addresses (`peers`) alone. It owns the socket. A malformed datagram is counted by
// cause and dropped; what is sent is bounded in bytes per second, what is read in datagrams per
// second.
//
// A Link is safe for concurrent use. Open opens the socket; Read runs in a goroutine of the
// caller's and returns after Close.
package peer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"caperarch/internal/fleet/swim"
)

const (
	// A flood costs no more than reading maxReads datagrams each readInterval: the kernel drops the
	// rest.
	maxReads     = 25
	readInterval = 20 * time.Millisecond

	minBytesPerSecond = 512 // less can't keep a sidecar in contact
)

// Config configures a link.
type Config struct {
	Listen         string // address of the socket
	Peers          []netip.AddrPort
	Self           int
	Fleet          string // its name; another fleet's datagrams are dropped
	Incarnation    uint64
	BytesPerSecond float64 // that may be sent
	Now            func() time.Duration
}

// Addresses parses the addresses of a fleet's sidecars, in the order of their numbers.
func Addresses(peers []string, self int) ([]netip.AddrPort, error) {
	if len(peers) == 0 || len(peers) > swim.MaxMembers {
		return nil, fmt.Errorf("peers: %d addresses, 1 to %d are possible", len(peers), swim.MaxMembers)
	}
	if self < 0 || self >= len(peers) {
		return nil, fmt.Errorf(
			"peers: %d addresses, so this sidecar's own number (settings.me), %d, is not among them",
			len(peers), self,
		)
	}
	all, by := make([]netip.AddrPort, len(peers)), make(map[netip.AddrPort]int)
	for i, text := range peers {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			return nil, fmt.Errorf("peers[%d]: %q is no IP address with a port", i, text)
		}
		a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		if first, twice := by[a]; twice {
			return nil, fmt.Errorf(
				"peers[%d]: %s is peers[%d] too, each sidecar needs an address of its own", i, text,
				first,
			)
		}
		all[i], by[a] = a, i
	}
	return all, nil
}

// Counters is what went over a link since it was opened.
type Counters struct {
	Sent, SentBytes, Read                               uint64
	OverBudget                                          uint64 // not sent: the budget was exhausted
	Length, Malformed, OtherFleet, NewerFormat, Address uint64 // dropped, by cause
	Failed                                              uint64 // send errors of the system
}

// Link is safe for concurrent use.
type Link struct {
	cfg     Config
	conn    *net.UDPConn
	numbers map[netip.AddrPort]int
	fleet   uint32

	mu       sync.Mutex
	budget   budget
	counters Counters
}

// Open opens the socket.
func Open(cfg Config) (*Link, error) {
	address, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if cfg.BytesPerSecond < minBytesPerSecond {
		return nil, fmt.Errorf(
			"fleet_bytes_per_second: this sidecar's part is %.0f, at least %d are needed",
			cfg.BytesPerSecond, minBytesPerSecond,
		)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	l := &Link{
		cfg: cfg, conn: conn, numbers: make(map[netip.AddrPort]int), fleet: FleetTag(cfg.Fleet),
		budget: budget{rate: cfg.BytesPerSecond},
	}
	for i, a := range cfg.Peers {
		l.numbers[a] = i
	}
	return l, nil
}

// Address returns the socket's address.
func (l *Link) Address() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket; Read returns.
func (l *Link) Close() { l.conn.Close() }

// Counters returns what went over the link so far.
func (l *Link) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// countRead counts a datagram, and why it is dropped.
func (l *Link) countRead(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Read++
	switch {
	case errors.Is(err, errLength):
		l.counters.Length++
	case errors.Is(err, errMalformed):
		l.counters.Malformed++
	case errors.Is(err, errFleet):
		l.counters.OtherFleet++
	case errors.Is(err, errFormat):
		l.counters.NewerFormat++
	case errors.Is(err, errAddress):
		l.counters.Address++
	}
}
