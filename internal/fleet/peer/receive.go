package peer

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"caperarch/internal/fleet/peer/peerpb"
	"caperarch/internal/fleet/swim"
)

// Handler handles the messages that a link receives; from is the sender's number.
type Handler interface {
	// Contact handles a message of swim.
	Contact(from int, m *swim.Message)
	// Decision handles a message of replicatedstate. It returns an error if the message is malformed.
	Decision(from int, message []byte) error
	// Hint handles the ids of servers that don't answer the sender.
	Hint(from int, unresponsive []uint64)
}

// Read passes the received messages to a handler until the link is closed.
func (l *Link) Read(handler Handler) {
	buffer := make([]byte, MaxDatagramBytes+1) // one byte more than allowed, so that longer datagrams are detected
	intervalStart, reads := time.Now(), 0
	for {
		if reads++; reads > maxReads {
			if remaining := readInterval - time.Since(intervalStart); remaining > 0 {
				time.Sleep(remaining)
			}
			intervalStart, reads = time.Now(), 1
		}
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // some operating systems report ICMP errors of earlier sends here
			continue
		}
		l.handleDatagram(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), handler)
	}
}

// handleDatagram checks a received datagram, counts it, and passes its messages to a handler.
func (l *Link) handleDatagram(raw []byte, from netip.AddrPort, handler Handler) {
	number, known := l.numbers[from]
	var datagram *peerpb.Datagram
	err := errAddress
	if known && number != l.cfg.Self { // checked first, so that an unknown sender costs a map lookup only
		if datagram, err = unmarshal(raw, l.fleet); err == nil && int(datagram.From)-1 != number {
			err = errAddress
		}
	}
	l.countRead(err)
	if err != nil {
		return
	}
	for _, contact := range datagram.Contact {
		handler.Contact(number, decode(number, datagram.Life, contact))
	}
	if datagram.Hint != nil {
		handler.Hint(number, datagram.Hint.Silent)
	}
	if len(datagram.Decision) > 0 && handler.Decision(number, datagram.Decision) != nil {
		l.mu.Lock()
		l.counters.Malformed++
		l.mu.Unlock()
	}
}
