package peer

import (
	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/peer/peerpb"
	"caperarch/internal/fleet/swim"
)

func (l *Link) newDatagram() *peerpb.Datagram {
	return &peerpb.Datagram{Fleet: l.fleet, From: uint32(l.cfg.Self) + 1, Life: l.cfg.Incarnation}
}

// SendContact sends a message of swim. It never waits; one that exceeds the budget is dropped and
// counted.
func (l *Link) SendContact(to int, m *swim.Message) {
	head := l.newDatagram()
	head.Life = m.Session.Incarnation // may be higher than the one that the process started with
	raw, err := fit(head, encode(m))
	if err != nil {
		l.countFailure()
		return
	}
	l.write(to, raw, Contact)
}

// SendDecision sends a message of replicatedstate, and reports whether the budget had room for it.
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
