package swim

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// InContact says whether this node is in contact now. It is to be asked where something depends on it, at that moment: a
// process that stood still finds its lease over at its first question.
func (n *Node) InContact(now time.Duration) bool {
	n.refreshContact(now)
	return n.inContact
}

// ContactUntil is when the lease is over if no further answer comes; false: it is over.
func (n *Node) ContactUntil(now time.Duration) (time.Duration, bool) {
	n.refreshContact(now)
	return n.computeLeaseEnd(), n.inContact
}

// refreshContact brings in and the session up to date. It comes before anything else that a message or a tick brings: an answer that
// arrives behind the end of the lease must not be counted as if it had come before it.
func (n *Node) refreshContact(now time.Duration) {
	if n.left || !n.started {
		return
	}
	if now >= n.leaseEnd && n.leaseStale {
		n.leaseEnd, n.leaseStale = n.computeLeaseEnd(), false // answers only push it on, so it is reckoned anew when it would matter
	}
	switch in := now < n.leaseEnd; {
	case in == n.inContact:
		// A session that never was in contact must not outlive a lease either: by then others may have counted it out,
		// crashed, and forgotten that (seed 12160).
		if !in && now >= n.sequenceStart+n.Lease {
			n.advanceSequence(now, n.session.Sequence+1, startRetransmits)
		}
	case in:
		n.inContact, n.contactSince = true, now
		n.changed(Change{At: now, Member: n.Self, Session: n.session, State: Alive, Was: Alive, Accuser: -1, Contact: true, Why: "a majority answers"})
	default:
		n.Stats.Lapses++
		n.endContact(now, "no majority answered within the lease")
		n.startSession(now, n.session.Sequence+1) // what others count out stays so: this session never comes back
	}
}

// endContact ends the contact.
func (n *Node) endContact(now time.Duration, why string) {
	if was := n.inContact; was {
		n.inContact, n.contactSince = false, now
		n.changed(Change{At: now, Member: n.Self, Session: n.session, State: Alive, Was: Alive, Accuser: -1, Why: why})
	}
	n.leaseEnd, n.leaseAcks = 0, 0
}

// advanceSequence has this one go on under the next number. Answers to the last one count on: it was not in contact, or nobody counted it as gone.
func (n *Node) advanceSequence(now time.Duration, turn uint32, times int) {
	n.session.Sequence, n.sequenceStart = turn, now
	own := &n.members[n.Self]
	own.session, own.since = n.session, now
	n.queueRumour(Rumour{Member: n.Self, Session: n.session, State: Alive, Accuser: n.Self}, times)
}

// startSession begins a new session behind one that was in contact, or that others count as gone.
func (n *Node) startSession(now time.Duration, turn uint32) {
	// Nothing that was answered to the session before counts for this one.
	n.leaseEnd, n.leaseAcks = 0, 0
	for i := range n.members {
		n.members[i].lastLeaseAck = 0
	}
	n.sessionStart = now + time.Millisecond // stamps are of whole milliseconds: those of this one may be of before
	n.advanceSequence(now, turn, n.retransmits())
}

// computeLeaseEnd is when the lease ends: when the oldest of the newest answers that make a majority, with this one itself, is a
// lease old. 0: there are too few.
func (n *Node) computeLeaseEnd() time.Duration {
	need := n.majority - 1
	if need == 0 {
		return 1<<62 - 1
	}
	if n.leaseAcks < need {
		return 0
	}
	times := make([]time.Duration, 0, n.leaseAcks)
	for i := range n.members {
		if v := n.members[i].lastLeaseAck; v > 0 {
			times = append(times, v)
		}
	}
	slices.Sort(times)
	return times[len(times)-need] + n.Lease
}

// LeaseExpiry is how long after the last answer of a member its lease from here is over, whatever its clock: a lease, and the
// greatest error of both clocks.
func (n *Node) LeaseExpiry() time.Duration {
	return n.Lease + time.Duration(2.5*n.MaxClockError*float64(n.Lease)) + 2*time.Millisecond
}

// withholdsLeases says that this node gives no leases yet. A process that comes back has forgotten whom it counted as gone: for so
// long it must not vouch for anyone, as what it showed before it crashed may have been counted on by others.
func (n *Node) withholdsLeases(now time.Duration) bool {
	return now < n.startedAt+n.LeaseExpiry()+n.digestLifetime()+time.Duration(4*n.MaxClockError*float64(n.Lease))
}

// grantsLease says whether a session of a member gets a lease from here. One that is counted as gone gets none any more: Out
// rests on it.
func (n *Node) grantsLease(now time.Duration, to int, s Session) bool {
	m := &n.members[to]
	return !n.withholdsLeases(now) && m.state < Dead && m.session == s
}

// digestLifetime is how old a sight of another's digest may be to count.
func (n *Node) digestLifetime() time.Duration { return n.Lease / digestFreshness }

// handlePing answers a ping, with a lease where one may be given.
func (n *Node) handlePing(now time.Duration, m *Message) {
	n.newMessage(Ack)
	n.out.Stamp = toStamp(now)
	n.sendEcho(now, m)
}

// sendEcho sends back a message's stamp, and what is said of its sender.
func (n *Node) sendEcho(now time.Duration, m *Message) {
	n.out.Echo, n.out.EchoTag, n.out.NoLease = m.Stamp, IncarnationTag(m.Session.Incarnation), !n.grantsLease(now, m.From, m.Session)
	n.addAccusation(m.From)
	n.addRumours(now, m.From, m.Digest)
	n.send(m.From)
}

// handleAck takes an answer, and gives thanks for one that asks for it.
func (n *Node) handleAck(now time.Duration, m *Message) {
	from := &n.members[m.From]
	if m.Echo != 0 && m.EchoTag == IncarnationTag(n.session.Incarnation) && fromStamp(m.Echo) <= now { // else it answers the process before this one
		sent := fromStamp(m.Echo)
		// What it shows, it showed behind that moment, however late it comes.
		if sent > from.digestAt {
			from.digest, from.digestAt = m.Digest, sent
		}
		if !m.NoLease && sent >= n.sessionStart && sent > from.lastLeaseAck {
			if from.lastLeaseAck == 0 {
				n.leaseAcks++
			}
			from.lastLeaseAck, n.leaseStale = sent, true
		}
		n.completeProbes(now, m.From, sent)
	}
	if m.Kind == Ack && m.Stamp != 0 {
		n.newMessage(AckReply)
		n.sendEcho(now, m)
	}
	n.refreshContact(now)
}

// digestOf is what a member's end adds to the digest: of an exact session, and whether it said so itself.
func digestOf(i int, s Session, state State) uint32 {
	if state < Dead {
		return 0
	}
	var b [17]byte
	for k := range 4 {
		b[k], b[4+k] = byte(i>>(8*k)), byte(s.Sequence>>(8*k))
	}
	for k := range 8 {
		b[8+k] = byte(s.Incarnation >> (8 * k))
	}
	b[16] = byte(state)
	return uint32(xxhash.Sum64(b[:]))
}

// confirmDeaths notes for those who are gone that a majority holds the same, each by a sight that is fresh.
func (n *Node) confirmDeaths(now time.Duration) {
	open := false
	for i := range n.members {
		m := &n.members[i]
		open = open || m.state == Dead && m.majorityAt == 0
	}
	if !open {
		return
	}
	same := 1
	for i := range n.members {
		m := &n.members[i]
		// An old sight may be of one that has restarted and forgotten since; mute reckons with its age.
		if i != n.Self && m.digestAt > 0 && now-m.digestAt <= n.digestLifetime() && m.digest == n.digest {
			same++
		}
	}
	if same < n.majority {
		return
	}
	for i := range n.members {
		if m := &n.members[i]; m.state == Dead && m.majorityAt == 0 {
			m.majorityAt = now
		}
	}
}

// SessionOver says whether a member's session, as held here, is over for good: the member has known so itself before. A majority
// has shown that it gives it no more leases, and the longest that it may have is over. One that left said so itself.
func (n *Node) SessionOver(now time.Duration, i int) (Session, bool) {
	m := &n.members[i]
	switch m.state {
	case Left:
		return m.session, true
	case Dead:
		return m.session, m.majorityAt > 0 && now >= m.majorityAt+n.LeaseExpiry()
	}
	return m.session, false
}
