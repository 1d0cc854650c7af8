package swimsim

import (
	"fmt"
	"slices"
	"time"

	"caperarch/internal/fleet/swim"
)

// observations are what the simulator itself knows of a process. The checks rely on them and not on what a node
// reports.
type observations struct {
	// received holds, by member, the send time of the newest message of the member's present process that this process
	// has received.
	received []time.Duration
	// confirmed holds, by member, the send time of the newest message of this process that the member received before
	// it sent a message that arrived here.
	confirmed      []time.Duration
	endedSessions  map[swim.Session]bool // sessions in which the node's contact has ended
	inContact      bool                  // what the node reported at the last check
	contactSession swim.Session          // the node's session at the last check
	resumedAt      time.Duration         // end of the last pause of at least 1 s
}

// accusation is a suspicion or declaration of death that a node has sent.
type accusation struct {
	member, by int
	session    swim.Session
	state      swim.State
}

// envelope is a message in transit, with what the simulator records about it.
type envelope struct {
	swim.Message
	sent                time.Duration
	lastReceived        time.Duration // send time of the newest message that the sender had received from the receiver
	receiverIncarnation uint64        // the receiver's process at that time
}

// wrap copies a message into an envelope and records its accusations. The evidence of contact is kept in the envelope,
// as the stamps in the message are written by the nodes under test.
func (m *Node) wrap(to int, msg *swim.Message) envelope {
	c := envelope{
		Message: *msg, sent: m.net.Now, lastReceived: m.received[to],
		receiverIncarnation: m.net.Nodes[to].incarnation,
	}
	c.Rumours = slices.Clone(msg.Rumours)
	for _, r := range c.Rumours {
		if r.State == swim.Suspect || r.State == swim.Dead {
			m.net.accusations[accusation{r.Member, r.Accuser, r.Session, r.State}] = true
		}
	}
	return c
}

// deliver hands a message to the node and records what it proves.
func (m *Node) deliver(c envelope) {
	m.received[c.From] = max(m.received[c.From], c.sent)
	if c.lastReceived > 0 && c.receiverIncarnation == m.incarnation {
		m.confirmed[c.From] = max(m.confirmed[c.From], c.lastReceived)
	}
	m.Receive(m.Time(), &c.Message)
}

// confirming returns the number of processes, including this one, that have confirmed within a lease plus the clock
// error that they receive the messages of this process.
func (m *Node) confirming() (n int) {
	lease := m.net.Lease
	if lease == 0 {
		lease = swim.LeaseFor(m.net.Size)
	}
	lease += time.Duration(2*m.net.Rate*float64(lease)) + 2*time.Millisecond
	for i, at := range m.confirmed {
		if i == m.number || at > 0 && m.net.Now-at <= lease {
			n++
		}
	}
	return n
}

// checkChange checks a membership change that a node reports.
func (m *Node) checkChange(c swim.Change) {
	if c.Member == m.number {
		if m.endedSessions == nil {
			m.endedSessions = make(map[swim.Session]bool)
		}
		if !c.Contact {
			m.endedSessions[c.Session] = true
		} else if m.endedSessions[c.Session] {
			m.net.violations = append(m.net.violations,
				fmt.Sprintf("%s is in contact again in session %v, which had ended", m.name(), c.Session))
		}
		return
	}
	if c.Accuser != m.number || c.State != swim.Suspect && c.State != swim.Dead {
		return
	}
	if m.net.accusations[accusation{c.Member, c.Accuser, c.Session, c.State}] {
		return // sent before, perhaps by an earlier process of this node, and is now being spread
	}
	if m.resumedAt > 0 && m.net.Now-m.resumedAt < time.Second {
		m.net.violations = append(m.net.violations,
			fmt.Sprintf("%s accuses n%d %v after the end of its own pause, want at least 1 s",
				m.name(), c.Member, m.net.Now-m.resumedAt))
	}
	if m.confirming() < m.net.Size/2+1 {
		m.net.violations = append(m.net.violations,
			fmt.Sprintf("%s accuses n%d, but no majority has confirmed that it receives its messages",
				m.name(), c.Member))
	}
}

// Violations returns a text for each violated guarantee so far.
func (n *Net) Violations() []string {
	all := n.violations
	report := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	for _, a := range n.Nodes {
		if !a.Running() {
			continue
		}
		inContact, session := a.Node.InContact(a.Time()), a.Session()
		if confirming := a.confirming(); inContact && confirming < n.Size/2+1 {
			report("%s is in contact, but only %d of %d nodes confirmed within a lease that they receive its messages",
				a.name(), confirming, n.Size)
		}
		a.inContact, a.contactSession = inContact, session
	}
	for _, a := range n.Nodes {
		for j, b := range n.Nodes {
			if a == b || !a.Running() || !b.Running() {
				continue
			}
			if session, out := a.SessionOver(a.Time(), j); out && b.inContact && session == b.contactSession {
				report("%s considers session %v of %s ended, but that node is in contact in this session",
					a.name(), session, b.name())
			}
		}
	}
	return all
}
