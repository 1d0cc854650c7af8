package replication

import "time"

// LastQuorumAck returns the time at which, as far as is known here, a majority of the voters last
// confirmed the leader. Everything that was committed before that time is applied by this replica
// once its application has applied index. ok is false while there is no such index: no leader is
// known, or it has committed nothing of its own term yet.
func (r *Replica) LastQuorumAck() (at time.Duration, index Index, ok bool) {
	if r.role == leader {
		return r.leaderQuorumAck(), r.commit, r.hasCommittedInTerm()
	}
	return r.lastQuorumAck, r.leaderCommit, r.leader != ""
}

// lastQuorumContact is the time up to which a majority has answered this leader.
func (r *Replica) lastQuorumContact() time.Duration {
	return quorumValue(r.memberships.current().Membership, func(id MemberID) time.Duration {
		if id == r.id {
			return forever
		}
		return r.peers[id].lastContact
	})
}

// leaderQuorumAck is the time up to which a majority has confirmed that no other replica leads.
// Once this leader has asked a peer to take over, voters may elect that one in spite of the lease:
// no later confirmation counts.
func (r *Replica) leaderQuorumAck() time.Duration {
	at := r.lastQuorumContact()
	if r.transferring {
		return min(at, r.transferStartedAt)
	}
	return at
}

// hasCommittedInTerm reports whether an entry of this leader's own term is committed. Then so is
// everything that earlier leaders committed, and only then does the leader know how far that is.
func (r *Replica) hasCommittedInTerm() bool {
	term, ok := r.log.term(r.commit)
	return ok && term == r.hardState.Term
}

// advanceCommit commits what a majority of the voters has synced, provided that its last entry is
// of this term: an entry of an earlier term may be stored by a majority and be dropped all the
// same, unless one of this term follows it.
func (r *Replica) advanceCommit(now time.Duration) {
	if r.role != leader {
		return
	}
	index := quorumValue(r.memberships.current().Membership, func(id MemberID) Index {
		if id == r.id {
			return r.stable
		}
		return r.peers[id].match
	})
	if index <= r.commit || !r.log.matches(index, r.hardState.Term) {
		return
	}
	r.commit = index
	r.confirmReads()
	r.leaveJoint(now)
}
