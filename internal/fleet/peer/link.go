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
	readsMost  = 25
	readsEvery = 20 * time.Millisecond

	leastRate = 512 // bytes a second: below that no contact can be kept
)

// Config is what a link is made of.
type Config struct {
	Listen string // address of the socket
	Peers  []netip.AddrPort
	Self   int
	Fleet  string // its name: another fleet's datagrams are dropped
	Life   uint64
	Rate   float64 // bytes a second that may be sent
	Now    func() time.Duration
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
	Sent, SentBytes, Read                      uint64
	Spared                                     uint64 // not sent, as the budget was spent
	Length, Spoilt, OtherFleet, Newer, Address uint64 // dropped
	Failed                                     uint64 // the system did not take it
}

// Link is safe for concurrent use.
type Link struct {
	cfg    Config
	conn   *net.UDPConn
	number map[netip.AddrPort]int
	fleet  uint32

	mu     sync.Mutex
	budget budget
	count  Counters
}

// Open opens the socket.
func Open(cfg Config) (*Link, error) {
	address, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if cfg.Rate < leastRate {
		return nil, fmt.Errorf("fleet_bytes_per_second: this sidecar's part is %.0f, at least %d are needed", cfg.Rate, leastRate)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	l := &Link{cfg: cfg, conn: conn, number: make(map[netip.AddrPort]int), fleet: FleetTag(cfg.Fleet), budget: budget{rate: cfg.Rate}}
	for i, a := range cfg.Peers {
		l.number[a] = i
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
	return l.count
}

func (l *Link) head() *peerpb.Datagram {
	return &peerpb.Datagram{Fleet: l.fleet, From: uint32(l.cfg.Self) + 1, Life: l.cfg.Life}
}

// Contact sends a message of swim. It never waits; what the budget has no room for is dropped and counted.
func (l *Link) Contact(to int, m *swim.Message) {
	head := l.head()
	head.Life = m.Session.Incarnation // a node may have had to take a higher one than its process began with
	raw, err := fit(head, encode(m))
	if err != nil {
		l.failed()
		return
	}
	l.write(to, raw, Contact)
}

// Decision sends a message of accord, and says whether the budget had room for it.
func (l *Link) Decision(to int, message []byte, p Priority) bool {
	d := l.head()
	d.Decision = message
	raw, err := proto.Marshal(d)
	if err != nil || len(raw) > Longest {
		l.failed()
		return false
	}
	return l.write(to, raw, p)
}

// Hint tells a member of servers that don't answer.
func (l *Link) Hint(to int, silent []uint64) {
	d := l.head()
	d.Hint = &peerpb.Hint{Silent: silent}
	if raw, err := proto.Marshal(d); err != nil || len(raw) > Longest || !l.write(to, raw, Hint) {
		l.failed()
	}
}

func (l *Link) failed() {
	l.mu.Lock()
	l.count.Failed++
	l.mu.Unlock()
}

func (l *Link) write(to int, raw []byte, p Priority) bool {
	l.mu.Lock()
	if !l.budget.take(l.cfg.Now(), len(raw), p) {
		l.count.Spared++
		l.mu.Unlock()
		return false
	}
	l.count.Sent++
	l.count.SentBytes += uint64(len(raw))
	l.mu.Unlock()
	if _, err := l.conn.WriteToUDPAddrPort(raw, l.cfg.Peers[to]); err != nil {
		l.failed()
		return false
	}
	return true
}

// Taker takes what has come from a member.
type Taker interface {
	Contact(from int, m *swim.Message)
	// Decision is an error where the message can't be read.
	Decision(from int, message []byte) error
	Hint(from int, silent []uint64)
}

// Read hands over what comes, until the link is closed.
func (l *Link) Read(to Taker) {
	b := make([]byte, Longest+1) // one byte more than there may be: what is longer shows
	begun, reads := time.Now(), 0
	for {
		if reads++; reads > readsMost {
			if rest := readsEvery - time.Since(begun); rest > 0 {
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
		l.take(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), to)
	}
}

// take takes one datagram.
func (l *Link) take(raw []byte, from netip.AddrPort, to Taker) {
	number, known := l.number[from]
	var d *peerpb.Datagram
	err := errAddress
	if known && number != l.cfg.Self { // before anything else: a stranger costs a look at a map
		if d, err = read(raw, l.fleet); err == nil && int(d.From)-1 != number {
			err = errAddress
		}
	}
	l.mu.Lock()
	l.count.Read++
	switch {
	case errors.Is(err, errLength):
		l.count.Length++
	case errors.Is(err, errSpoilt):
		l.count.Spoilt++
	case errors.Is(err, errFleet):
		l.count.OtherFleet++
	case errors.Is(err, errForm):
		l.count.Newer++
	case errors.Is(err, errAddress):
		l.count.Address++
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
		l.count.Spoilt++
		l.mu.Unlock()
	}
}
