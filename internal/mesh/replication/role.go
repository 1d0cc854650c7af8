package replication

import "time"

// becomeFollower ends the replica's current role and makes it a follower of leaderID. The replica
// adopts term if term is higher than its own. leaderID is "" if the leader is unknown.
func (r *Replica) becomeFollower(term Term, leaderID MemberID) {
	if term > r.hardState.Term {
		r.hardState.Term, r.hardState.Vote = term, ""
		r.hardStateDirty = true
		r.matchedIndex = 0
	}
	if r.role == leader {
		r.abortPending()
	}
	r.role, r.leader, r.votes = follower, leaderID, nil
}

// abortPending aborts the pending proposals and reads of a leader that steps down, and deletes its
// replication state.
func (r *Replica) abortPending() {
	for _, p := range r.pendingProposals {
		r.abortedProposals = append(r.abortedProposals, Completion{Token: p.token, Index: p.index, Aborted: true})
	}
	for _, read := range r.pendingReads {
		r.abortedReads = append(r.abortedReads, Completion{Token: read.token, Aborted: true})
	}
	r.pendingProposals, r.pendingReads, r.pendingBytes = nil, nil, 0
	r.peers, r.peerIDs, r.learners = nil, nil, nil
}

// becomeLeader makes the replica the leader of its term. Its first entry repeats the membership in
// force. The commit of this entry also commits all entries of earlier terms before it. The entry
// tells the voters to a learner that receives the log from its beginning.
func (r *Replica) becomeLeader(now time.Duration) {
	r.role, r.leader, r.votes = leader, r.id, nil
	r.transferring = false
	r.peers = map[MemberID]*progress{}
	r.updatePeers(now)
	r.appendMembership(now, r.memberships.current().Membership)
	r.advanceCommit(now)
}

// hasLeaderLease reports whether the replica is the leader, or has received a message from its leader
// within the shortest election timeout. The replica then rejects vote requests, so that a member that
// returns after a partition, a pause or its removal from the voters does not disrupt the leader.
func (r *Replica) hasLeaderLease(now time.Duration) bool {
	return r.role == leader || r.leader != "" && now-r.lastContact < MinElectionTimeout
}

// checkQuorum makes a leader step down if it has had no response from a majority for ContactTimeout,
// or if its leadership transfer has timed out. It runs before any other action of a leader, so that
// a leader whose process was paused does not act on outdated knowledge.
func (r *Replica) checkQuorum(now time.Duration) {
	if r.role != leader {
		return
	}
	if now-r.lastQuorumContact() > ContactTimeout || r.transferTimedOut(now) {
		r.becomeFollower(r.hardState.Term, "")
		r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
	}
}
