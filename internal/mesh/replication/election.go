package replication

import "time"

// startPreVote asks the voters whether they would grant a vote. It does not increment the term.
func (r *Replica) startPreVote(now time.Duration) {
	r.role, r.leader = preCandidate, ""
	r.votes = map[MemberID]bool{}
	r.electionDeadline = now + r.randomDuration(minElectionRetry, maxElectionRetry)
	r.requestVotes(r.hardState.Term+1, VoteRequest{PreVote: true})
	r.countVotes(now)
}

// startElection increments the term and requests votes in the new term.
func (r *Replica) startElection(now time.Duration, request VoteRequest) {
	r.role, r.leader = candidate, ""
	r.hardState.Term++
	r.hardState.Vote = r.id
	r.hardStateDirty = true
	r.matchedIndex = 0
	r.votes = map[MemberID]bool{}
	r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
	r.requestVotes(r.hardState.Term, request)
}

// requestVotes sends a vote request or a pre-vote request for term to all other voters.
func (r *Replica) requestVotes(term Term, request VoteRequest) {
	request.LastIndex, request.LastTerm = r.log.lastIndex(), r.log.lastTerm()
	for _, id := range r.memberships.current().AllVoters() {
		if id != r.id {
			r.send(id, Message{Term: term, VoteRequest: &request})
		}
	}
}

// countVotes starts the election after a successful pre-vote, and makes the replica the leader after
// a successful election. It counts only votes of voters in the membership in force. The replica's
// own vote in an election counts once it is synced to disk.
func (r *Replica) countVotes(now time.Duration) {
	if r.role != preCandidate && r.role != candidate {
		return
	}
	ownVote := r.role == preCandidate || !r.hardStateDirty
	current := r.memberships.current()
	if !current.hasQuorum(func(id MemberID) bool { return r.votes[id] || ownVote && id == r.id }) {
		return
	}
	if r.role == candidate {
		r.becomeLeader(now)
		return
	}
	r.startElection(now, VoteRequest{})
}

// isLogUpToDate reports whether a candidate's log is at least as up-to-date as this replica's log, so
// that it has every entry that may be committed. The candidate's last entry must have a higher term,
// or the same term and an index that is not lower.
func (r *Replica) isLogUpToDate(request *VoteRequest) bool {
	last := r.log.lastTerm()
	return request.LastTerm > last || request.LastTerm == last && request.LastIndex >= r.log.lastIndex()
}

// stepVoteRequest answers a request for a vote or a pre-vote. A learner answers too, because the
// candidate may know a membership in which this replica is a voter. The candidate ignores votes of
// members that are not voters in its membership.
func (r *Replica) stepVoteRequest(now time.Duration, from MemberID, term Term, request *VoteRequest) {
	switch {
	case r.storageFailed:
	case request.PreVote:
		r.answerPreVote(now, from, term, request)
	default:
		r.answerVote(now, from, term, request)
	}
}

// answerPreVote grants a pre-vote if the term is new, no leader lease is valid and the candidate's log is
// up-to-date.
func (r *Replica) answerPreVote(now time.Duration, from MemberID, term Term, request *VoteRequest) {
	if term > r.hardState.Term && !r.hasLeaderLease(now) && r.isLogUpToDate(request) {
		r.send(from, Message{Term: term, VoteResponse: &VoteResponse{PreVote: true}})
		return
	}
	r.send(from, Message{VoteResponse: &VoteResponse{PreVote: true, Rejected: true}})
}

// answerVote grants or rejects a vote. A request for a later term is ignored while a leader lease is
// valid, unless the leader requested the election in order to transfer leadership.
func (r *Replica) answerVote(now time.Duration, from MemberID, term Term, request *VoteRequest) {
	if term > r.hardState.Term {
		if r.hasLeaderLease(now) && !request.Transfer {
			return
		}
		r.becomeFollower(term, "")
	}
	granted := term == r.hardState.Term && r.role != leader && r.isLogUpToDate(request) &&
		(r.hardState.Vote == "" || r.hardState.Vote == from)
	if granted {
		if r.hardState.Vote == "" {
			r.hardState.Vote, r.hardStateDirty = from, true
		}
		r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
	}
	r.send(from, Message{VoteResponse: &VoteResponse{Rejected: !granted}})
}

// stepVoteResponse counts a granted vote or pre-vote of the current election. A rejection with a higher
// term makes the replica a follower in that term.
func (r *Replica) stepVoteResponse(now time.Duration, from MemberID, term Term, response *VoteResponse) {
	if response.Rejected {
		if term > r.hardState.Term {
			r.becomeFollower(term, "")
		}
		return
	}
	wantRole, wantTerm := candidate, r.hardState.Term
	if response.PreVote {
		wantRole, wantTerm = preCandidate, r.hardState.Term+1
	}
	if r.role == wantRole && term == wantTerm {
		r.votes[from] = true
		r.countVotes(now)
	}
}

// stepTimeoutNow starts an election immediately, because the leader transfers leadership.
func (r *Replica) stepTimeoutNow(now time.Duration, from MemberID, term Term) {
	if term != r.hardState.Term || r.leader != from || r.role != follower || r.storageFailed || !r.IsVoter() {
		return
	}
	r.startElection(now, VoteRequest{Transfer: true})
}
