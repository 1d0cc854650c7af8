package peer

import (
	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/peer/peerpb"
	"caperarch/internal/fleet/swim"
)

// newDatagram returns a datagram with this sidecar as the sender.
func (l *Link) newDatagram() *peerpb.Datagram {
	return &peerpb.Datagram{Fleet: l.fleet, From: uint32(l.cfg.Self) + 1, Life: l.cfg.Incarnation}
}

// SendContact sends a message of swim. It never blocks; a message that exceeds the send budget is dropped and counted.
func (l *Link) SendContact(to int, m *swim.Message) {
	datagram := l.newDatagram()
	datagram.Life = m.Session.Incarnation // may have been raised since the process started
	raw, err := marshalFitting(datagram, encode(m))
	if err != nil {
		l.countFailure()
		return
	}
	l.write(to, raw, Contact)
}

// SendDecision sends a message of replicatedstate. It returns false if the message was not sent: the send budget was
// exhausted, the message is too long, or sending failed.
func (l *Link) SendDecision(to int, message []byte, priority Priority) bool {
	datagram := l.newDatagram()
	datagram.Decision = message
	raw, err := proto.Marshal(datagram)
	if err != nil || len(raw) > MaxDatagramBytes {
		l.countFailure()
		return false
	}
	return l.write(to, raw, priority)
}

// SendHint sends the ids of servers that don't answer this sidecar.
func (l *Link) SendHint(to int, unresponsive []uint64) {
	datagram := l.newDatagram()
	datagram.Hint = &peerpb.Hint{Silent: unresponsive}
	if raw, err := proto.Marshal(datagram); err != nil || len(raw) > MaxDatagramBytes || !l.write(to, raw, Hint) {
		l.countFailure()
	}
}

func (l *Link) countFailure() {
	l.mu.Lock()
	l.counters.Failed++
	l.mu.Unlock()
}

// write sends a datagram if the send budget allows it, and counts the result.
func (l *Link) write(to int, raw []byte, priority Priority) bool {
	l.mu.Lock()
	if !l.budget.take(l.cfg.Now(), len(raw), priority) {
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
