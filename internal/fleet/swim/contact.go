package swim

import (
	"slices"
	"time"
)

// InContact reports whether this node is in contact with the fleet. Callers must not cache the
// result: in a process that was stopped, the first call after the stop finds that the lease has
// expired.
func (n *Node) InContact(now time.Duration) bool {
	n.refreshContact(now)
	return n.inContact
}

// ContactUntil returns when the lease expires if no further ack is received, and whether the node
// is in contact now.
func (n *Node) ContactUntil(now time.Duration) (time.Duration, bool) {
	n.refreshContact(now)
	return n.computeLeaseEnd(), n.inContact
}

// refreshContact updates inContact and starts a new session if the lease has expired. It is called
// before any other handling of a message or a tick: an ack that is received after the lease has
// expired must not extend the lease as if it had been received before.
func (n *Node) refreshContact(now time.Duration) {
	if n.left || !n.started {
		return
	}
	if now >= n.leaseEnd && n.leaseStale {
		// Acks only extend the lease, so its end is recomputed only when the earlier value has
		// passed.
		n.leaseEnd, n.leaseStale = n.computeLeaseEnd(), false
	}
	switch leaseValid := now < n.leaseEnd; {
	case leaseValid == n.inContact:
		// A session that was never in contact also ends after a lease. By then, other members may
		// have considered the session over, crashed and lost that state.
		if !leaseValid && now >= n.sequenceStart+n.Lease {
			n.advanceSequence(now, n.session.Sequence+1, startRetransmits)
		}
	case leaseValid:
		n.inContact, n.contactSince = true, now
		n.changed(
			Change{
				At: now, Member: n.Self, Session: n.session, State: Alive, Was: Alive, Accuser: -1,
				Contact: true, Why: "a majority of the members answers",
			},
		)
	default:
		n.Stats.Lapses++
		n.endContact(now, "no majority of the members answered within the lease")
		n.startSession(now, n.session.Sequence+1) // what other members consider over must never be used again
	}
}

// endContact revokes this node's lease and reports the loss of contact to the host if the node was
// in contact.
func (n *Node) endContact(now time.Duration, why string) {
	if was := n.inContact; was {
		n.inContact, n.contactSince = false, now
		n.changed(
			Change{At: now, Member: n.Self, Session: n.session, State: Alive, Was: Alive, Accuser: -1, Why: why},
		)
	}
	n.leaseEnd, n.leaseAcks = 0, 0
}

// advanceSequence raises the sequence number of the session and queues the new session for gossip.
// Acks to messages of the previous sequence number still count for the lease: under that number the
// node was never in contact, or no member counted it as dead.
func (n *Node) advanceSequence(now time.Duration, sequence uint32, transmissions int) {
	n.session.Sequence, n.sequenceStart = sequence, now
	own := &n.members[n.Self]
	own.session, own.since = n.session, now
	n.queueRumour(Rumour{Member: n.Self, Session: n.session, State: Alive, Accuser: n.Self}, transmissions)
}

// startSession begins a new session after a session that was in contact or that other members count
// as dead. Acks to messages of the earlier session no longer count.
func (n *Node) startSession(now time.Duration, sequence uint32) {
	n.leaseEnd, n.leaseAcks = 0, 0
	for i := range n.members {
		n.members[i].lastLeaseAck = 0
	}
	// Stamps have a resolution of 1 ms: a stamp of this millisecond may be from the earlier session.
	n.sessionStart = now + time.Millisecond
	n.advanceSequence(now, sequence, n.retransmits())
}

// computeLeaseEnd returns when the lease expires. The newest acks of as many members as form a
// majority together with this node are taken; the lease ends one lease duration after the send time
// that the oldest of these acks answers. The result is 0 if too few members have acked.
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
		if ackedAt := n.members[i].lastLeaseAck; ackedAt > 0 {
			times = append(times, ackedAt)
		}
	}
	slices.Sort(times)
	return times[len(times)-need] + n.Lease
}

// LeaseExpiry returns the time after this node's last ack to a member by which the member's lease
// from this node has expired by either clock: the lease duration plus the maximum error of both
// clocks.
func (n *Node) LeaseExpiry() time.Duration {
	return n.Lease + time.Duration(2.5*n.MaxClockError*float64(n.Lease)) + 2*time.Millisecond
}

// withholdsLeases reports whether this node does not grant leases yet. A restarted process has lost
// the record of the sessions that it counted as dead, but other members may rely on the digest that
// its predecessor sent. It therefore grants no leases until such a digest is too old to count and
// the leases of these sessions have expired.
func (n *Node) withholdsLeases(now time.Duration) bool {
	return now < n.startedAt+n.LeaseExpiry()+n.digestLifetime()+time.Duration(4*n.MaxClockError*float64(n.Lease))
}

// grantsLease reports whether this node grants a lease to a session of a member. A session that
// this node counts as dead gets no more leases; SessionOver depends on this.
func (n *Node) grantsLease(now time.Duration, number int, s Session) bool {
	m := &n.members[number]
	return !n.withholdsLeases(now) && m.state < Dead && m.session == s
}

// digestLifetime returns the maximum age at which the digest of another member counts.
func (n *Node) digestLifetime() time.Duration { return n.Lease / digestFreshness }

// handlePing answers a ping with an ack, which grants a lease where grantsLease allows it.
func (n *Node) handlePing(now time.Duration, message *Message) {
	n.newMessage(Ack)
	n.outgoing.Stamp = toStamp(now)
	n.sendEcho(now, message)
}

// sendEcho completes and sends the answer to a message: it returns the message's stamp, states
// whether a lease is granted, and adds the accusations against the sender and other rumours.
func (n *Node) sendEcho(now time.Duration, message *Message) {
	n.outgoing.Echo, n.outgoing.EchoTag = message.Stamp, IncarnationTag(message.Session.Incarnation)
	n.outgoing.NoLease = !n.grantsLease(now, message.From, message.Session)
	n.addAccusation(message.From)
	n.addRumours(now, message.From, message.Digest)
	n.send(message.From)
}

// handleAck handles an Ack or AckReply, and answers an Ack that carries a stamp with an AckReply.
func (n *Node) handleAck(now time.Duration, message *Message) {
	from := &n.members[message.From]
	// An echo with another tag answers a message of the process that had this number before.
	if message.Echo != 0 && message.EchoTag == IncarnationTag(n.session.Incarnation) &&
		fromStamp(message.Echo) <= now {
		sent := fromStamp(message.Echo)
		// The sender sent the digest after it had received the message sent at this time, however
		// late the ack is received.
		if sent > from.digestAt {
			from.digest, from.digestAt = message.Digest, sent
		}
		if !message.NoLease && sent >= n.sessionStart && sent > from.lastLeaseAck {
			if from.lastLeaseAck == 0 {
				n.leaseAcks++
			}
			from.lastLeaseAck, n.leaseStale = sent, true
		}
		n.completeProbes(now, message.From, sent)
	}
	if message.Kind == Ack && message.Stamp != 0 {
		n.newMessage(AckReply)
		n.sendEcho(now, message)
	}
	n.refreshContact(now)
}
