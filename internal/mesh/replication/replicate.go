package replication

import "time"

// sendToPeers queues what each peer is due: entries or a snapshot that it lacks, or a heartbeat
// when nothing was sent for HeartbeatInterval, a read waits or more is committed.
func (r *Replica) sendToPeers(now time.Duration) {
	for _, id := range r.peerIDs {
		p := r.peers[id]
		if p.resendAt > 0 && now >= p.resendAt {
			p.resendAt = 0
		}
		// A peer without contact gets heartbeats only; more would cost the link for nothing.
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

// nextSend is when a leader's next heartbeat or resend is due.
func (r *Replica) nextSend() time.Duration {
	next := forever
	for _, id := range r.peerIDs {
		p := r.peers[id]
		next = min(next, p.sentAt+HeartbeatInterval)
		if p.resendAt > 0 {
			next = min(next, p.resendAt)
		}
	}
	return next
}

// replicateTo sends what a peer lacks. One such message at a time is in flight to each.
func (r *Replica) replicateTo(now time.Duration, id MemberID, p *progress) {
	if p.snapshot != nil || p.next <= r.log.snapshot.Index {
		r.sendSnapshot(now, id, p)
		return
	}
	entries := r.log.entriesFrom(p.next, maxAppendBytes)
	r.sendAppend(now, id, p, p.next-1, entries)
	p.resendAt = now + resendAfter(commandBytes(entries))
}

// resendAfter is how long a message of so many bytes may remain unanswered.
func resendAfter(bytes int) time.Duration {
	return resendTimeout + resendTimeoutPerMiB*time.Duration(bytes>>10)/(1<<10)
}

func (r *Replica) sendAppend(now time.Duration, id MemberID, p *progress, prev Index, entries []Entry) {
	term, _ := r.log.term(prev)
	r.send(id, Message{Append: &AppendEntries{
		Heartbeat: r.heartbeat(now, p), PrevIndex: prev, PrevTerm: term, Entries: entries,
	}})
	p.sentAt, p.readRoundSent, p.commitSent = now, r.readRound, min(r.commit, p.match)
}

// heartbeat is what every message to a peer carries. Until an entry of the leader's own term is
// committed it names no confirmation by a quorum, because the leader doesn't know yet how far
// earlier leaders committed.
func (r *Replica) heartbeat(now time.Duration, p *progress) Heartbeat {
	age := forever
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

// stepAppendResponse updates a peer's progress, and commits what a majority has synced by now.
func (r *Replica) stepAppendResponse(now time.Duration, from MemberID, term Term, response *AppendResponse) {
	p := r.recordResponse(now, from, term, response.SentAt, response.ReadRound, response.Clock)
	if p == nil {
		return
	}
	switch {
	case response.Rejected && p.snapshot != nil:
		// Heartbeats are rejected until the snapshot is installed; its chunks are in flight.
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

// advance records that a peer has synced everything up to match.
func (p *progress) advance(match Index) {
	p.match = match
	p.next = max(p.next, match+1)
	p.resendAt = 0
	if p.snapshot != nil && match >= p.snapshot.Index {
		p.snapshot = nil
		p.next = match + 1
	}
}
