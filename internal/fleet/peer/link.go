// Package peer implements the network link between sidecars. It exchanges UDP datagrams of at most 256 bytes with the
// configured peer addresses (the setting peers) only, and owns the socket. Invalid datagrams are counted by cause and
// dropped. Sending is limited in bytes per second, receiving in datagrams per second.
//
// A Link is safe for concurrent use. Open opens the socket. Read runs in a goroutine of the caller and returns after
// Close.
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
	// maxReads is the maximum number of datagrams that are read in each readInterval. It bounds the cost of a flood:
	// the kernel drops the datagrams that exceed its receive buffer.
	maxReads     = 25
	readInterval = 20 * time.Millisecond

	// minBytesPerSecond is the smallest send budget with which a sidecar stays in contact.
	minBytesPerSecond = 512
)

// Config configures a Link.
type Config struct {
	Listen         string           // address of the socket
	Peers          []netip.AddrPort // addresses of the fleet's sidecars, by number
	Self           int              // number of this sidecar
	Fleet          string           // name of the fleet; datagrams of other fleets are dropped
	Incarnation    uint64           // of this process
	BytesPerSecond float64          // send budget
	Now            func() time.Duration
}

// Addresses parses the addresses of a fleet's sidecars, ordered by sidecar number. self is the number of this sidecar.
func Addresses(peers []string, self int) ([]netip.AddrPort, error) {
	if len(peers) == 0 || len(peers) > swim.MaxMembers {
		return nil, fmt.Errorf("peers: %d addresses, want 1 to %d", len(peers), swim.MaxMembers)
	}
	if self < 0 || self >= len(peers) {
		return nil, fmt.Errorf(
			"peers: %d addresses, but this sidecar's number (settings.me) is %d; numbers start at 0",
			len(peers), self,
		)
	}
	addresses, indexOf := make([]netip.AddrPort, len(peers)), make(map[netip.AddrPort]int)
	for i, text := range peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 {
			return nil, fmt.Errorf("peers[%d]: %q is not an IP address with a port", i, text)
		}
		address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
		if first, duplicate := indexOf[address]; duplicate {
			return nil, fmt.Errorf(
				"peers[%d]: %s is the same address as peers[%d], each sidecar needs its own", i, text,
				first,
			)
		}
		addresses[i], indexOf[address] = address, i
	}
	return addresses, nil
}

// Counters counts the datagrams of a link since it was opened.
type Counters struct {
	Sent, SentBytes, Read                               uint64
	OverBudget                                          uint64 // not sent because the send budget was exhausted
	Length, Malformed, OtherFleet, NewerFormat, Address uint64 // received and dropped, by cause
	Failed                                              uint64 // not sent because of an error
}

// Link exchanges datagrams with the other sidecars of a fleet. It is safe for concurrent use.
type Link struct {
	cfg     Config
	conn    *net.UDPConn
	numbers map[netip.AddrPort]int // sidecar numbers by address
	fleet   uint32                 // FleetTag of the fleet

	mu       sync.Mutex
	budget   budget
	counters Counters
}

// Open opens a link.
func Open(cfg Config) (*Link, error) {
	address, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if cfg.BytesPerSecond < minBytesPerSecond {
		return nil, fmt.Errorf(
			"fleet_bytes_per_second: this sidecar's share is %.0f bytes per second, at least %d are required",
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
	for number, peer := range cfg.Peers {
		l.numbers[peer] = number
	}
	return l, nil
}

// Address returns the local address of the socket.
func (l *Link) Address() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket, so that Read returns.
func (l *Link) Close() { l.conn.Close() }

// Counters returns the current counters.
func (l *Link) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// countRead counts a received datagram. err is the reason why it is dropped, or nil.
func (l *Link) countRead(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Read++
	switch {
	case errors.Is(err, errLength):
		l.counters.Length++
	case errors.Is(err, errMalformed):
		l.counters.Malformed++
	case errors.Is(err, errOtherFleet):
		l.counters.OtherFleet++
	case errors.Is(err, errNewerFormat):
		l.counters.NewerFormat++
	case errors.Is(err, errAddress):
		l.counters.Address++
	}
}
