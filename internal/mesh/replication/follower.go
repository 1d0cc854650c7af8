package replication

import "time"

// hearLeader takes a leader's message as such; false where it is none of this replica's leader.
func (r *Replica) hearLeader(now time.Duration, from MemberID, term Term, h *Heartbeat) bool {
	if term < r.hard.Term {
		// The term is over: tell the old leader, so that it stops.
		r.send(from, Message{AppendResponse: &AppendResponse{Rejected: true}})
		return false
	}
	if term == r.hard.Term && (r.role == leader || r.leader != "" && r.leader != from) {
		r.refused++
		return false
	}
	if r.leader != from || term > r.hard.Term {
		r.confirmed = now - time.Hour
	}
	r.follow(term, from)
	r.heard = now
	r.deadline = now + r.between(MinElectionTimeout, MaxElectionTimeout)
	r.noteConfirmation(now, h)
	return !r.sick
}

// noteConfirmation takes over when a majority last confirmed the leader. How long a message was on
// its way can't be told from its arrival; that it was made after this replica's answer was sent, which
// it echoes, can.
func (r *Replica) noteConfirmation(now time.Duration, h *Heartbeat) {
	if h.QuorumAckAge < 0 || h.QuorumAckAge >= time.Hour {
		return
	}
	r.leaderCommit = max(r.leaderCommit, h.Commit)
	if h.EchoedClock.Incarnation == r.life && h.EchoedClock.At <= now {
		r.confirmed = max(r.confirmed, h.EchoedClock.At-h.QuorumAckAge)
	}
}

// clock is what answers carry for the leader to echo.
func (r *Replica) clock(now time.Duration) ClockReading {
	return ClockReading{Incarnation: r.life, At: now}
}

// stepAppend takes in entries or a plain heartbeat.
func (r *Replica) stepAppend(now time.Duration, from MemberID, term Term, msg *AppendEntries) {
	if !r.hearLeader(now, from, term, &msg.Heartbeat) {
		return
	}
	answer := AppendResponse{SentAt: msg.SentAt, ReadRound: msg.ReadRound, Clock: r.clock(now)}
	if r.takeEntries(msg) {
		answer.Match = r.verified
	} else {
		answer.Rejected, answer.RejectedIndex, answer.Match = true, msg.PrevIndex, r.agreeAt(msg)
	}
	r.commit = max(r.commit, min(msg.Commit, r.verified))
	r.send(from, Message{AppendResponse: &answer})
}

// agreeAt is the last place at which the log may still agree with a leader whose entry at
// PrevIndex differs.
func (r *Replica) agreeAt(msg *AppendEntries) Index {
	at := min(msg.PrevIndex, r.log.last())
	for at > r.commit {
		if term, _ := r.log.term(at); at < msg.PrevIndex && term <= msg.PrevTerm {
			break
		}
		at--
	}
	return at
}

// takeEntries appends entries behind one that both logs hold. Whatever this log held in their place
// was never acknowledged by a quorum and is dropped.
func (r *Replica) takeEntries(msg *AppendEntries) bool {
	entries, prev, prevTerm := msg.Entries, msg.PrevIndex, msg.PrevTerm
	// What is committed is the same everywhere, also where it is trimmed away here.
	for len(entries) > 0 && prev < r.commit {
		prev, prevTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	if prev < r.commit {
		r.verified = max(r.verified, r.commit)
		return true
	}
	if !r.log.holds(prev, prevTerm) {
		return false
	}
	for len(entries) > 0 && r.log.holds(entries[0].Index, entries[0].Term) {
		prev = entries[0].Index
		entries = entries[1:]
	}
	if len(entries) > 0 {
		r.cut(entries[0].Index)
		r.log.append(entries...)
		r.memberships.take(entries)
		prev = r.log.last()
	}
	r.verified = max(r.verified, prev)
	return true
}

// cut drops the log from index on, and the memberships that it brought.
func (r *Replica) cut(index Index) {
	if index > r.log.last() {
		return
	}
	r.log.truncate(index)
	r.memberships.truncate(index)
	r.stable = min(r.stable, index-1)
	if r.truncateFrom == 0 || index < r.truncateFrom {
		r.truncateFrom = index
	}
}
