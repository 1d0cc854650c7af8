package replication

import "time"

// LastQuorumAck returns the time at which a majority of the voters last confirmed the leader, as far
// as this replica knows. All entries committed before that time have been applied once the
// application has applied index. ok is false while index is unknown. On the leader this is the case
// until an entry of its own term is committed, and on other replicas while no leader is known.
func (r *Replica) LastQuorumAck() (at time.Duration, index Index, ok bool) {
	if r.role == leader {
		return r.leaderQuorumAck(), r.commit, r.hasCommittedInTerm()
	}
	return r.lastQuorumAck, r.leaderCommit, r.leader != ""
}

// lastQuorumContact returns the latest time such that a majority has answered a message that this
// leader sent at that time or later.
func (r *Replica) lastQuorumContact() time.Duration {
	return quorumValue(r.memberships.current().Membership, func(id MemberID) time.Duration {
		if id == r.id {
			return maxDuration
		}
		return r.peers[id].lastContact
	})
}

// leaderQuorumAck returns the latest time at which a majority has confirmed that no other replica is
// the leader. After the start of a leadership transfer, voters may elect the requested peer in spite
// of the lease, so later confirmations do not count.
func (r *Replica) leaderQuorumAck() time.Duration {
	at := r.lastQuorumContact()
	if r.transferring {
		return min(at, r.transferStartedAt)
	}
	return at
}

// hasCommittedInTerm reports whether an entry of this leader's own term is committed. Only then does
// the leader's commit index include all entries that earlier leaders committed.
func (r *Replica) hasCommittedInTerm() bool {
	term, ok := r.log.term(r.commit)
	return ok && term == r.hardState.Term
}

// advanceCommit sets the commit index to the last index that a majority of the voters has synced,
// provided that the entry at this index is of the current term. An entry of an earlier term that is
// stored by a majority can still be replaced, unless an entry of the current term follows it.
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
