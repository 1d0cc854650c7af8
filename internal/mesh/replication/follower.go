package replication

import "time"

// acceptLeader processes the heartbeat of a leader's message and makes the replica a follower of the
// sender. It returns false if the message must not be processed further: the sender is not the leader
// of the current or a later term, or the replica's storage fails.
func (r *Replica) acceptLeader(now time.Duration, from MemberID, term Term, h *Heartbeat) bool {
	if term < r.hardState.Term {
		// The sender's term has ended. The response makes the former leader step down.
		r.send(from, Message{AppendResponse: &AppendResponse{Rejected: true}})
		return false
	}
	if term == r.hardState.Term && (r.role == leader || r.leader != "" && r.leader != from) {
		r.rejectedMessages++
		return false
	}
	if r.leader != from || term > r.hardState.Term {
		r.lastQuorumAck = now - noContactAge
	}
	r.becomeFollower(term, from)
	r.lastContact = now
	r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
	r.recordQuorumAck(now, h)
	return !r.storageFailed
}

// recordQuorumAck updates the time at which a majority last confirmed the leader. The time of receipt
// is no basis for this, because the message may have been in flight for any time. The echoed clock
// reading proves that the leader created the message after this replica sent that reading.
func (r *Replica) recordQuorumAck(now time.Duration, h *Heartbeat) {
	if h.QuorumAckAge < 0 || h.QuorumAckAge >= noContactAge {
		return
	}
	r.leaderCommit = max(r.leaderCommit, h.Commit)
	if h.EchoedClock.Incarnation == r.incarnation && h.EchoedClock.At <= now {
		r.lastQuorumAck = max(r.lastQuorumAck, h.EchoedClock.At-h.QuorumAckAge)
	}
}

// clockReading returns the clock reading for a response, which the leader echoes in later messages.
func (r *Replica) clockReading(now time.Duration) ClockReading {
	return ClockReading{Incarnation: r.incarnation, At: now}
}

// stepAppend processes an AppendEntries message, with entries or as a plain heartbeat.
func (r *Replica) stepAppend(now time.Duration, from MemberID, term Term, msg *AppendEntries) {
	if !r.acceptLeader(now, from, term, &msg.Heartbeat) {
		return
	}
	response := AppendResponse{SentAt: msg.SentAt, ReadRound: msg.ReadRound, Clock: r.clockReading(now)}
	if r.appendFromLeader(msg) {
		response.Match = r.matchedIndex
	} else {
		response.Rejected = true
		response.RejectedIndex = msg.PrevIndex
		response.Match = r.lastPossibleMatch(msg)
	}
	r.commit = max(r.commit, min(msg.Commit, r.matchedIndex))
	r.send(from, Message{AppendResponse: &response})
}

// lastPossibleMatch returns the last index up to which the log may equal the leader's log, given that
// the logs differ at msg.PrevIndex.
func (r *Replica) lastPossibleMatch(msg *AppendEntries) Index {
	index := min(msg.PrevIndex, r.log.lastIndex())
	for index > r.commit {
		if term, _ := r.log.term(index); index < msg.PrevIndex && term <= msg.PrevTerm {
			break
		}
		index--
	}
	return index
}

// appendFromLeader appends the entries that the log lacks. It returns false if the entry that precedes
// them differs from the leader's or is missing. Conflicting entries were never acknowledged by a
// quorum and are deleted.
func (r *Replica) appendFromLeader(msg *AppendEntries) bool {
	entries, prev, prevTerm := msg.Entries, msg.PrevIndex, msg.PrevTerm
	// Committed entries are the same in every log, even if this replica has compacted them.
	for len(entries) > 0 && prev < r.commit {
		prev, prevTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	if prev < r.commit {
		r.matchedIndex = max(r.matchedIndex, r.commit)
		return true
	}
	if !r.log.matches(prev, prevTerm) {
		return false
	}
	for len(entries) > 0 && r.log.matches(entries[0].Index, entries[0].Term) {
		prev = entries[0].Index
		entries = entries[1:]
	}
	if len(entries) > 0 {
		r.truncateLog(entries[0].Index)
		r.log.append(entries...)
		r.memberships.appendFrom(entries)
		prev = r.log.lastIndex()
	}
	r.matchedIndex = max(r.matchedIndex, prev)
	return true
}

// truncateLog deletes the log's entries from index on, and the memberships that they hold.
func (r *Replica) truncateLog(index Index) {
	if index > r.log.lastIndex() {
		return
	}
	r.log.truncate(index)
	r.memberships.truncate(index)
	r.stable = min(r.stable, index-1)
	if r.truncateFrom == 0 || index < r.truncateFrom {
		r.truncateFrom = index
	}
}
