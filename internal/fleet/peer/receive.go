package peer

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"caperarch/internal/fleet/peer/peerpb"
	"caperarch/internal/fleet/swim"
)

// Handler handles what arrives from a member.
type Handler interface {
	Contact(from int, m *swim.Message)
	// Decision returns an error if the message is malformed.
	Decision(from int, message []byte) error
	Hint(from int, silent []uint64)
}

// Read passes what arrives to a handler until the link is closed.
func (l *Link) Read(to Handler) {
	b := make([]byte, MaxDatagramBytes+1) // one byte more, to recognise longer ones
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
		if err != nil { // some systems report a peer's ICMP errors here
			continue
		}
		l.handleDatagram(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), to)
	}
}

// handleDatagram handles one datagram.
func (l *Link) handleDatagram(raw []byte, from netip.AddrPort, to Handler) {
	number, known := l.numbers[from]
	var d *peerpb.Datagram
	err := errAddress
	if known && number != l.cfg.Self { // first of all: an unknown sender costs a map lookup
		if d, err = read(raw, l.fleet); err == nil && int(d.From)-1 != number {
			err = errAddress
		}
	}
	l.countRead(err)
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
