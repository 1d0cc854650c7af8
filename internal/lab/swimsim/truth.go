package swimsim

import (
	"fmt"
	"slices"
	"time"

	"caperarch/internal/fleet/swim"
)

// truth is what the world knows of a process: the checker goes by it, and by nothing that a node says of itself.
type truth struct {
	// by member: when the newest message of its present process was sent that this one has taken
	last []time.Duration
	// by member: when the newest message of this process was sent that the member has taken, and
	// said something behind it that came here
	proved []time.Duration
	over   map[swim.Session]bool // sessions whose contact has ended
	in     bool                  // said to be in contact when it was last asked
	at     swim.Session
	wentOn time.Duration // behind its last stop
}

// accusation is one that somebody has made.
type accusation struct {
	member, by int
	session    swim.Session
	state      swim.State
}

// carried is a message under way.
type carried struct {
	swim.Message
	sent  time.Duration
	heard time.Duration // what its sender had last taken of the receiver's process
	of    uint64        // and which process that was
}

// carry takes a message on. The stamps in it are the nodes' own business: what proves contact is noted beside them.
func (m *Node) carry(to int, msg *swim.Message) carried {
	c := carried{Message: *msg, sent: m.net.Now, heard: m.last[to], of: m.net.Nodes[to].incarnation}
	c.Rumours = slices.Clone(msg.Rumours)
	for _, r := range c.Rumours {
		if r.State == swim.Suspect || r.State == swim.Dead {
			m.net.said[accusation{r.Member, r.Accuser, r.Session, r.State}] = true
		}
	}
	return c
}

// take hands a message over.
func (m *Node) take(c carried) {
	m.last[c.From] = max(m.last[c.From], c.sent)
	if c.heard > 0 && c.of == m.incarnation {
		m.proved[c.From] = max(m.proved[c.From], c.heard)
	}
	m.Receive(m.Time(), &c.Message)
}

// reached is how many processes, this one among them, have proved within a lease and the error of
// its clock that they hear it.
func (m *Node) reached() (n int) {
	lease := m.net.Lease
	if lease == 0 {
		lease = swim.LeaseFor(m.net.Size)
	}
	lease += time.Duration(2*m.net.Rate*float64(lease)) + 2*time.Millisecond
	for i, at := range m.proved {
		if i == m.number || at > 0 && m.net.Now-at <= lease {
			n++
		}
	}
	return n
}

// judge checks a change that a node tells of.
func (m *Node) judge(c swim.Change) {
	if c.Member == m.number {
		if m.over == nil {
			m.over = make(map[swim.Session]bool)
		}
		if !c.Contact {
			m.over[c.Session] = true
		} else if m.over[c.Session] {
			m.net.broken = append(m.net.broken,
				fmt.Sprintf("%s is in contact again under session %v, which was over", m.name(), c.Session))
		}
		return
	}
	if c.Accuser != m.number || c.State != swim.Suspect && c.State != swim.Dead {
		return
	}
	if m.net.said[accusation{c.Member, c.Accuser, c.Session, c.State}] {
		return // it was said before, perhaps by its forerunner, and goes round in its name
	}
	if m.wentOn > 0 && m.net.Now-m.wentOn < time.Second {
		m.net.broken = append(m.net.broken,
			fmt.Sprintf("%s accuses n%d %v after it was stopped", m.name(), c.Member, m.net.Now-m.wentOn))
	}
	if m.reached() < m.net.Size/2+1 {
		m.net.broken = append(m.net.broken,
			fmt.Sprintf("%s accuses n%d while it is out of contact", m.name(), c.Member))
	}
}

// Broken looks for what the promises forbid, up to this moment. It returns a text for each.
func (n *Net) Broken() []string {
	all := n.broken
	say := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	for _, a := range n.Nodes {
		if !a.Running() {
			continue
		}
		in, session := a.Node.InContact(a.Time()), a.Session()
		if reached := a.reached(); in && reached < n.Size/2+1 {
			say("%s is in contact, and only %d of %d have proved within a lease that they hear it",
				a.name(), reached, n.Size)
		}
		a.in, a.at = in, session
	}
	for _, a := range n.Nodes {
		for j, b := range n.Nodes {
			if a == b || !a.Running() || !b.Running() {
				continue
			}
			if session, out := a.SessionOver(a.Time(), j); out && b.in && session == b.at {
				say("%s counts session %v of %s as over, which is in contact", a.name(), session, b.name())
			}
		}
	}
	return all
}
