package swim

import (
	"slices"
	"time"
)

// InContact reports whether this node is in contact. Ask it where something depends on it, at that
// moment: a process that was stopped finds its lease expired at its first call.
func (n *Node) InContact(now time.Duration) bool {
	n.refreshContact(now)
	return n.inContact
}

// ContactUntil returns when the lease expires if no further ack arrives; false: it has expired.
func (n *Node) ContactUntil(now time.Duration) (time.Duration, bool) {
	n.refreshContact(now)
	return n.computeLeaseEnd(), n.inContact
}

// refreshContact brings inContact and the session up to date. It comes before everything else that
// a message or a tick brings: an ack that arrives after the lease has expired must not be counted
// as if it had come before.
func (n *Node) refreshContact(now time.Duration) {
	if n.left || !n.started {
		return
	}
	if now >= n.leaseEnd && n.leaseStale {
		// acks only extend the lease: computed once it would expire
		n.leaseEnd, n.leaseStale = n.computeLeaseEnd(), false
	}
	switch in := now < n.leaseEnd; {
	case in == n.inContact:
		// A session that never was in contact must not outlive a lease either: by then others may
		// have considered it over, crashed, and forgotten that.
		if !in && now >= n.sequenceStart+n.Lease {
			n.advanceSequence(now, n.session.Sequence+1, startRetransmits)
		}
	case in:
		n.inContact, n.contactSince = true, now
		n.changed(
			Change{
				At: now, Member: n.Self, Session: n.session, State: Alive, Was: Alive, Accuser: -1,
				Contact: true, Why: "a majority answers",
			},
		)
	default:
		n.Stats.Lapses++
		n.endContact(now, "no majority answered within the lease")
		n.startSession(now, n.session.Sequence+1) // what others consider over never comes back
	}
}

// endContact ends the contact.
func (n *Node) endContact(now time.Duration, why string) {
	if was := n.inContact; was {
		n.inContact, n.contactSince = false, now
		n.changed(
			Change{At: now, Member: n.Self, Session: n.session, State: Alive, Was: Alive, Accuser: -1, Why: why},
		)
	}
	n.leaseEnd, n.leaseAcks = 0, 0
}

// advanceSequence goes on under the next sequence number. Acks to the last one still count: it was
// not in contact, or nobody counted it as dead.
func (n *Node) advanceSequence(now time.Duration, turn uint32, times int) {
	n.session.Sequence, n.sequenceStart = turn, now
	own := &n.members[n.Self]
	own.session, own.since = n.session, now
	n.queueRumour(Rumour{Member: n.Self, Session: n.session, State: Alive, Accuser: n.Self}, times)
}

// startSession begins a new session after one that was in contact, or that others count as dead.
func (n *Node) startSession(now time.Duration, turn uint32) {
	// Acks to the session before don't count for this one.
	n.leaseEnd, n.leaseAcks = 0, 0
	for i := range n.members {
		n.members[i].lastLeaseAck = 0
	}
	n.sessionStart = now + time.Millisecond // stamps are whole milliseconds: one may be of before
	n.advanceSequence(now, turn, n.retransmits())
}

// computeLeaseEnd returns when the lease expires: when, of the newest acks that make a majority
// together with this node itself, the oldest is a lease old. 0: there are too few.
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

// LeaseExpiry returns how long after a member's last ack its lease from here is over, whatever its
// clock: a lease, and the greatest error of both clocks.
func (n *Node) LeaseExpiry() time.Duration {
	return n.Lease + time.Duration(2.5*n.MaxClockError*float64(n.Lease)) + 2*time.Millisecond
}

// withholdsLeases reports whether this node gives no leases yet. A restarted process has forgotten
// whom it counted as dead: for this long it must not give leases, as others may have relied on the
// digest that it showed before.
func (n *Node) withholdsLeases(now time.Duration) bool {
	return now < n.startedAt+n.LeaseExpiry()+n.digestLifetime()+time.Duration(4*n.MaxClockError*float64(n.Lease))
}

// grantsLease reports whether a session of a member gets a lease from here. One that is counted as
// dead gets none any more: SessionOver rests on it.
func (n *Node) grantsLease(now time.Duration, to int, s Session) bool {
	m := &n.members[to]
	return !n.withholdsLeases(now) && m.state < Dead && m.session == s
}

// digestLifetime returns how old another's digest may be to count.
func (n *Node) digestLifetime() time.Duration { return n.Lease / digestFreshness }

// handlePing answers a ping, with a lease where one may be given.
func (n *Node) handlePing(now time.Duration, m *Message) {
	n.newMessage(Ack)
	n.out.Stamp = toStamp(now)
	n.sendEcho(now, m)
}

// sendEcho returns a message's stamp, and what is said of its sender.
func (n *Node) sendEcho(now time.Duration, m *Message) {
	n.out.Echo, n.out.EchoTag = m.Stamp, IncarnationTag(m.Session.Incarnation)
	n.out.NoLease = !n.grantsLease(now, m.From, m.Session)
	n.addAccusation(m.From)
	n.addRumours(now, m.From, m.Digest)
	n.send(m.From)
}

// handleAck handles an Ack or AckReply, and replies to one that asks for it.
func (n *Node) handleAck(now time.Duration, m *Message) {
	from := &n.members[m.From]
	// else it answers the process before this one
	if m.Echo != 0 && m.EchoTag == IncarnationTag(n.session.Incarnation) && fromStamp(m.Echo) <= now {
		sent := fromStamp(m.Echo)
		// The digest was sent after that moment, however late it arrives.
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
