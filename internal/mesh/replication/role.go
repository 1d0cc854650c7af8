package replication

import "time"

// becomeFollower ends the replica's current role and makes it a follower of leads in term.
func (r *Replica) becomeFollower(term Term, leads MemberID) {
	if term > r.hardState.Term {
		r.hardState.Term, r.hardState.Vote = term, ""
		r.hardStateDirty = true
		r.matchedIndex = 0
	}
	if r.role == leader {
		r.abortPending()
	}
	r.role, r.leader, r.votes = follower, leads, nil
}

// abortPending aborts the proposals and reads of a leader that steps down, and drops its peers.
func (r *Replica) abortPending() {
	for _, p := range r.pendingProposals {
		r.abortedProposals = append(r.abortedProposals, Completion{Token: p.token, Index: p.index, Aborted: true})
	}
	for _, q := range r.pendingReads {
		r.abortedReads = append(r.abortedReads, Completion{Token: q.token, Aborted: true})
	}
	r.pendingProposals, r.pendingReads, r.pendingBytes = nil, nil, 0
	r.peers, r.peerIDs, r.learners = nil, nil, nil
}

// becomeLeader makes the replica the leader of its term. Its first entry repeats the membership in
// force: once that entry is committed, so is everything of earlier terms before it, and a learner
// that has the log from its beginning knows the voters.
func (r *Replica) becomeLeader(now time.Duration) {
	r.role, r.leader, r.votes = leader, r.id, nil
	r.transferring = false
	r.peers = map[MemberID]*progress{}
	r.updatePeers(now)
	r.appendMembership(now, r.memberships.current().Membership)
	r.advanceCommit(now)
}

// hasLeaderLease reports whether a live leader sent a message within the shortest election timeout, or
// that the replica leads itself. Then it rejects vote requests, so that a member that was
// partitioned, frozen or retired disturbs nothing when it returns.
func (r *Replica) hasLeaderLease(now time.Duration) bool {
	return r.role == leader || r.leader != "" && now-r.lastContact < MinElectionTimeout
}

// checkQuorum makes a leader step down that a majority hasn't answered for ContactTimeout, or whose
// transfer of leadership hasn't succeeded in time. It runs before anything that a leader does, so
// that one that was frozen acts on nothing that it knew before.
func (r *Replica) checkQuorum(now time.Duration) {
	if r.role != leader {
		return
	}
	if now-r.lastQuorumContact() > ContactTimeout || r.transferTimedOut(now) {
		r.becomeFollower(r.hardState.Term, "")
		r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
	}
}
