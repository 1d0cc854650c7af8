package replication

import "time"

// sendToPeers queues the messages that are due to each peer: missing entries, a chunk of a snapshot,
// or a heartbeat. A heartbeat is due if no message was sent for HeartbeatInterval, if a read round has
// started, or if the commit index has advanced within the entries that the peer has synced.
func (r *Replica) sendToPeers(now time.Duration) {
	for _, id := range r.peerIDs {
		p := r.peers[id]
		if p.resendAt > 0 && now >= p.resendAt {
			p.resendAt = 0
		}
		// A peer that does not respond receives only heartbeats, because entries would use
		// bandwidth without effect.
		inContact := now-p.lastContact <= ContactTimeout
		if p.resendAt == 0 && inContact && (p.snapshot != nil || p.next <= r.log.lastIndex()) {
			r.replicateTo(now, id, p)
			continue
		}
		committed := min(r.commit, p.match)
		if now-p.sentAt >= HeartbeatInterval || p.readRoundSent < r.readRound || p.commitSent < committed {
			r.sendAppend(now, id, p, max(p.next-1, r.log.snapshot.Index), nil)
		}
	}
	r.readRoundSent = true
}

// nextSendTime returns the time at which the leader's next heartbeat or resend is due.
func (r *Replica) nextSendTime() time.Duration {
	next := maxDuration
	for _, id := range r.peerIDs {
		p := r.peers[id]
		next = min(next, p.sentAt+HeartbeatInterval)
		if p.resendAt > 0 {
			next = min(next, p.resendAt)
		}
	}
	return next
}

// replicateTo sends entries or a snapshot chunk that a peer lacks. Only one such message to each peer
// is in flight at a time.
func (r *Replica) replicateTo(now time.Duration, id MemberID, p *progress) {
	if p.snapshot != nil || p.next <= r.log.snapshot.Index {
		r.sendSnapshotChunk(now, id, p)
		return
	}
	entries := r.log.entriesFrom(p.next, maxAppendBytes)
	r.sendAppend(now, id, p, p.next-1, entries)
	p.resendAt = now + resendDelay(commandBytes(entries))
}

// resendDelay returns the time after which an unacknowledged message with a payload of the given
// bytes is sent again.
func resendDelay(bytes int) time.Duration {
	return resendTimeout + resendTimeoutPerMiB*time.Duration(bytes>>10)/(1<<10)
}

// sendAppend sends the entries that follow prev, or a heartbeat if there are none.
func (r *Replica) sendAppend(now time.Duration, id MemberID, p *progress, prev Index, entries []Entry) {
	term, _ := r.log.term(prev)
	r.send(id, Message{Append: &AppendEntries{
		Heartbeat: r.heartbeat(now, p), PrevIndex: prev, PrevTerm: term, Entries: entries,
	}})
	p.sentAt, p.readRoundSent, p.commitSent = now, r.readRound, min(r.commit, p.match)
}

// heartbeat returns the Heartbeat of a message to a peer. Until an entry of the leader's own term is
// committed, it reports no confirmation by a quorum, because the leader does not know yet which
// entries the earlier leaders committed.
func (r *Replica) heartbeat(now time.Duration, p *progress) Heartbeat {
	age := maxDuration
	if r.hasCommittedInTerm() {
		age = max(0, now-r.leaderQuorumAck())
	}
	return Heartbeat{
		Commit:       r.commit,
		SentAt:       now,
		ReadRound:    r.readRound,
		QuorumAckAge: age,
		EchoedClock:  p.clock,
	}
}

// stepAppendResponse updates the peer's progress, advances the commit index and confirms reads.
func (r *Replica) stepAppendResponse(now time.Duration, from MemberID, term Term, response *AppendResponse) {
	p := r.recordResponse(now, from, term, response.SentAt, response.ReadRound, response.Clock)
	if p == nil {
		return
	}
	switch {
	case response.Rejected && p.snapshot != nil:
		// The peer rejects heartbeats until it has installed the snapshot whose chunks are in flight.
	case response.Rejected:
		if response.RejectedIndex == max(p.next-1, r.log.snapshot.Index) {
			p.next = max(p.match, min(response.Match, r.log.lastIndex())) + 1
			p.resendAt = 0
		}
	case response.Match > p.match && response.Match <= r.log.lastIndex():
		p.advance(response.Match)
	}
	r.advanceCommit(now)
	r.confirmReads()
}

// advance records that the peer has synced its log up to match.
func (p *progress) advance(match Index) {
	p.match = match
	p.next = max(p.next, match+1)
	p.resendAt = 0
	if p.snapshot != nil && match >= p.snapshot.Index {
		p.snapshot = nil
		p.next = match + 1
	}
}
