package replication

import "time"

// acceptLeader processes what every message of a leader carries. It returns false where the message
// isn't from the leader of this replica's term, or can't be stored.
func (r *Replica) acceptLeader(now time.Duration, from MemberID, term Term, h *Heartbeat) bool {
	if term < r.hardState.Term {
		// The term is over: answer the old leader, so that it steps down.
		r.send(from, Message{AppendResponse: &AppendResponse{Rejected: true}})
		return false
	}
	if term == r.hardState.Term && (r.role == leader || r.leader != "" && r.leader != from) {
		r.rejectedMessages++
		return false
	}
	if r.leader != from || term > r.hardState.Term {
		r.lastQuorumAck = now - longAgo
	}
	r.becomeFollower(term, from)
	r.lastContact = now
	r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
	r.recordQuorumAck(now, h)
	return !r.storageFailed
}

// recordQuorumAck adopts the time at which a majority last confirmed the leader. The arrival of a
// message doesn't show how long it was in flight; the clock reading that it echoes shows that it was
// made after this replica sent the response with that reading.
func (r *Replica) recordQuorumAck(now time.Duration, h *Heartbeat) {
	if h.QuorumAckAge < 0 || h.QuorumAckAge >= longAgo {
		return
	}
	r.leaderCommit = max(r.leaderCommit, h.Commit)
	if h.EchoedClock.Incarnation == r.incarnation && h.EchoedClock.At <= now {
		r.lastQuorumAck = max(r.lastQuorumAck, h.EchoedClock.At-h.QuorumAckAge)
	}
}

// clockReading is what responses carry for the leader to echo.
func (r *Replica) clockReading(now time.Duration) ClockReading {
	return ClockReading{Incarnation: r.incarnation, At: now}
}

// stepAppend processes entries or a plain heartbeat.
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

// lastPossibleMatch is the last index at which the log may still agree with that of a leader whose
// entry at PrevIndex differs.
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

// appendFromLeader appends the entries that the log lacks, if the one before them is the same in
// both logs. Other entries at their indexes were never acknowledged by a quorum and are dropped.
func (r *Replica) appendFromLeader(msg *AppendEntries) bool {
	entries, prev, prevTerm := msg.Entries, msg.PrevIndex, msg.PrevTerm
	// What is committed is the same in every log, also where it is compacted here.
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

// truncateLog drops the log from index on, with the memberships in it.
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
