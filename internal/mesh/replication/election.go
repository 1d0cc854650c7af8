package replication

import "time"

// startPreVote asks whether a vote would be granted, without raising the term.
func (r *Replica) startPreVote(now time.Duration) {
	r.role, r.leader = preCandidate, ""
	r.votes = map[MemberID]bool{}
	r.deadline = now + r.between(retryMin, retryMax)
	r.askVotes(r.hard.Term+1, VoteRequest{PreVote: true})
	r.countVotes(now)
}

// stand raises the term and asks for votes in it.
func (r *Replica) stand(now time.Duration, transfer bool) {
	r.role, r.leader = candidate, ""
	r.hard.Term++
	r.hard.Vote = r.id
	r.hardDirty = true
	r.verified = 0
	r.votes = map[MemberID]bool{}
	r.deadline = now + r.between(MinElectionTimeout, MaxElectionTimeout)
	r.askVotes(r.hard.Term, VoteRequest{Transfer: transfer})
}

func (r *Replica) askVotes(term Term, request VoteRequest) {
	request.LastIndex, request.LastTerm = r.log.last(), r.log.lastTerm()
	for _, id := range r.memberships.current().AllVoters() {
		if id != r.id {
			r.send(id, Message{Term: term, VoteRequest: &request})
		}
	}
}

// countVotes moves a candidate on once a majority is for it. Only voters of the membership in force
// count. The replica's own vote counts once it is synced.
func (r *Replica) countVotes(now time.Duration) {
	if r.role != preCandidate && r.role != candidate {
		return
	}
	own := r.role == preCandidate || !r.hardDirty
	current := r.memberships.current()
	if !current.quorum(func(id MemberID) bool { return r.votes[id] || own && id == r.id }) {
		return
	}
	if r.role == candidate {
		r.lead(now)
		return
	}
	r.stand(now, false)
}

// upToDate says that a candidate's log lacks nothing that this replica could have acknowledged: it
// ends in a higher term, or in the same one and no earlier.
func (r *Replica) upToDate(request *VoteRequest) bool {
	last := r.log.lastTerm()
	return request.LastTerm > last || request.LastTerm == last && request.LastIndex >= r.log.last()
}

// stepVoteRequest answers a request for a vote. A learner answers too: the candidate may know of a
// membership in which it votes, and counts it only then.
func (r *Replica) stepVoteRequest(now time.Duration, from MemberID, term Term, request *VoteRequest) {
	if r.sick {
		return
	}
	if request.PreVote {
		granted := term > r.hard.Term && !r.leased(now) && r.upToDate(request)
		answer := Message{Term: term, VoteResponse: &VoteResponse{PreVote: true, Rejected: !granted}}
		if !granted {
			answer.Term = r.hard.Term
		}
		r.send(from, answer)
		return
	}
	if term > r.hard.Term {
		if r.leased(now) && !request.Transfer {
			return
		}
		r.follow(term, "")
	}
	granted := term == r.hard.Term && r.role != leader && r.upToDate(request) && (r.hard.Vote == "" || r.hard.Vote == from)
	if granted {
		if r.hard.Vote == "" {
			r.hard.Vote, r.hardDirty = from, true
		}
		r.deadline = now + r.between(MinElectionTimeout, MaxElectionTimeout)
	}
	r.send(from, Message{VoteResponse: &VoteResponse{Rejected: !granted}})
}

func (r *Replica) stepVoteAnswer(now time.Duration, from MemberID, term Term, answer *VoteResponse) {
	if answer.Rejected {
		if term > r.hard.Term {
			r.follow(term, "")
		}
		return
	}
	wantRole, wantTerm := candidate, r.hard.Term
	if answer.PreVote {
		wantRole, wantTerm = preCandidate, r.hard.Term+1
	}
	if r.role == wantRole && term == wantTerm {
		r.votes[from] = true
		r.countVotes(now)
	}
}

// stepTimeoutNow has a voter stand at once, at its leader's wish.
func (r *Replica) stepTimeoutNow(now time.Duration, from MemberID, term Term) {
	if term != r.hard.Term || r.leader != from || r.role != follower || r.sick || !r.IsVoter() {
		return
	}
	r.stand(now, true)
}

// lead makes the replica the leader of its term. Its first entry restates the membership in force:
// once that one is committed, so is everything of earlier terms before it, and a learner that has
// the log from its beginning knows who votes.
func (r *Replica) lead(now time.Duration) {
	r.role, r.leader, r.votes = leader, r.id, nil
	r.handingOver = false
	r.peers = map[MemberID]*progress{}
	r.track(now)
	r.appendMembership(now, r.memberships.current().Membership)
	r.advanceCommit(now)
}
