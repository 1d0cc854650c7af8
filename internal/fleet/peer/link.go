// Package peer is the link between sidecars: datagrams of at most 256 bytes over UDP, from and to the addresses in `peers`
// alone. It is the only one that opens that socket. What can't be read is counted by cause and dropped; what is sent and
// what is read are bounded in bytes and number a second.
package peer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/peer/peerpb"
	"caperarch/internal/fleet/swim"
)

const (
	// A flood costs no more than so many datagrams' reading: the rest is left to the kernel, which drops it.
	maxReads     = 25
	readInterval = 20 * time.Millisecond

	minBytesPerSecond = 512 // bytes a second: below that no contact can be kept
)

// Config is what a link is made of.
type Config struct {
	Listen         string // address of the socket
	Peers          []netip.AddrPort
	Self           int
	Fleet          string // its name: another fleet's datagrams are dropped
	Incarnation    uint64
	BytesPerSecond float64 // bytes a second that may be sent
	Now            func() time.Duration
}

// Addresses reads the addresses of a fleet's sidecars, in the order of their numbers.
func Addresses(peers []string, self int) ([]netip.AddrPort, error) {
	if len(peers) == 0 || len(peers) > swim.MaxMembers {
		return nil, fmt.Errorf("peers: %d addresses, 1 to %d are possible", len(peers), swim.MaxMembers)
	}
	if self < 0 || self >= len(peers) {
		return nil, fmt.Errorf("peers: %d addresses, so this sidecar's own number (settings.me), %d, is not among them", len(peers), self)
	}
	all, by := make([]netip.AddrPort, len(peers)), make(map[netip.AddrPort]int)
	for i, text := range peers {
		a, err := netip.ParseAddrPort(text)
		if err != nil || a.Port() == 0 {
			return nil, fmt.Errorf("peers[%d]: %q is no IP address with a port", i, text)
		}
		a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		if first, twice := by[a]; twice {
			return nil, fmt.Errorf("peers[%d]: %s is peers[%d] too, each sidecar needs an address of its own", i, text, first)
		}
		all[i], by[a] = a, i
	}
	return all, nil
}

// Counters is what went over a link since it was opened.
type Counters struct {
	Sent, SentBytes, Read                               uint64
	OverBudget                                          uint64 // not sent, as the budget was spent
	Length, Malformed, OtherFleet, NewerFormat, Address uint64 // dropped
	Failed                                              uint64 // the system did not take it
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
		return nil, fmt.Errorf("fleet_bytes_per_second: this sidecar's part is %.0f, at least %d are needed", cfg.BytesPerSecond, minBytesPerSecond)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	l := &Link{cfg: cfg, conn: conn, numbers: make(map[netip.AddrPort]int), fleet: FleetTag(cfg.Fleet), budget: budget{rate: cfg.BytesPerSecond}}
	for i, a := range cfg.Peers {
		l.numbers[a] = i
	}
	return l, nil
}

// Address is where the socket is.
func (l *Link) Address() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket; Read returns.
func (l *Link) Close() { l.conn.Close() }

// Counters is what went over it so far.
func (l *Link) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

func (l *Link) newDatagram() *peerpb.Datagram {
	return &peerpb.Datagram{Fleet: l.fleet, From: uint32(l.cfg.Self) + 1, Life: l.cfg.Incarnation}
}

// SendContact sends a message of swim. It never waits; what the budget has no room for is dropped and counted.
func (l *Link) SendContact(to int, m *swim.Message) {
	head := l.newDatagram()
	head.Life = m.Session.Incarnation // a node may have had to take a higher one than its process began with
	raw, err := fit(head, encode(m))
	if err != nil {
		l.countFailure()
		return
	}
	l.write(to, raw, Contact)
}

// SendDecision sends a message of accord, and says whether the budget had room for it.
func (l *Link) SendDecision(to int, message []byte, p Priority) bool {
	d := l.newDatagram()
	d.Decision = message
	raw, err := proto.Marshal(d)
	if err != nil || len(raw) > MaxDatagramBytes {
		l.countFailure()
		return false
	}
	return l.write(to, raw, p)
}

// SendHint tells a member of servers that don't answer.
func (l *Link) SendHint(to int, silent []uint64) {
	d := l.newDatagram()
	d.Hint = &peerpb.Hint{Silent: silent}
	if raw, err := proto.Marshal(d); err != nil || len(raw) > MaxDatagramBytes || !l.write(to, raw, Hint) {
		l.countFailure()
	}
}

func (l *Link) countFailure() {
	l.mu.Lock()
	l.counters.Failed++
	l.mu.Unlock()
}

func (l *Link) write(to int, raw []byte, p Priority) bool {
	l.mu.Lock()
	if !l.budget.take(l.cfg.Now(), len(raw), p) {
		l.counters.OverBudget++
		l.mu.Unlock()
		return false
	}
	l.counters.Sent++
	l.counters.SentBytes += uint64(len(raw))
	l.mu.Unlock()
	if _, err := l.conn.WriteToUDPAddrPort(raw, l.cfg.Peers[to]); err != nil {
		l.countFailure()
		return false
	}
	return true
}

// Handler takes what has come from a member.
type Handler interface {
	Contact(from int, m *swim.Message)
	// Decision is an error where the message can't be read.
	Decision(from int, message []byte) error
	Hint(from int, silent []uint64)
}

// Read hands over what comes, until the link is closed.
func (l *Link) Read(to Handler) {
	b := make([]byte, MaxDatagramBytes+1) // one byte more than there may be: what is longer shows
	begun, reads := time.Now(), 0
	for {
		if reads++; reads > maxReads {
			if rest := readInterval - time.Since(begun); rest > 0 {
				time.Sleep(rest)
			}
			begun, reads = time.Now(), 1
		}
		n, from, err := l.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP of a peer that is gone shows here on some systems
			continue
		}
		l.handleDatagram(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), to)
	}
}

// handleDatagram takes one datagram.
func (l *Link) handleDatagram(raw []byte, from netip.AddrPort, to Handler) {
	number, known := l.numbers[from]
	var d *peerpb.Datagram
	err := errAddress
	if known && number != l.cfg.Self { // before anything else: a stranger costs a look at a map
		if d, err = read(raw, l.fleet); err == nil && int(d.From)-1 != number {
			err = errAddress
		}
	}
	l.mu.Lock()
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
	l.mu.Unlock()
	if err != nil {
		return
	}
	for _, c := range d.Contact {
		to.Contact(number, decode(number, d.Life, c))
	}
	if d.Hint != nil {
		to.Hint(number, d.Hint.Silent)
	}
	if len(d.Decision) > 0 && to.Decision(number, d.Decision) != nil {
		l.mu.Lock()
		l.counters.Malformed++
		l.mu.Unlock()
	}
}
