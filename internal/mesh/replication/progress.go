package replication

import (
	"slices"
	"time"
)

// Progress is what a leader knows of another replica.
type Progress struct {
	ID      MemberID
	IsVoter bool
	// Match is the last entry known to be synced there.
	Match Index
	// SinceLastContact is how long ago the newest message was sent that the replica has answered.
	SinceLastContact time.Duration
	// CaughtUp says that it stores everything that is committed.
	CaughtUp bool
}

// progress is what a leader keeps of a peer.
type progress struct {
	// match is the last entry known to be synced there; next is the first to send.
	match, next Index
	// resendAt is when unanswered entries or chunks are sent again; 0 when none are in flight.
	resendAt time.Duration
	// lastContact is the time at which the newest answered message was sent.
	lastContact time.Duration
	// clock is the peer's own, from its newest response.
	clock ClockReading
	// sentAt is when the last message was sent; readRoundSent and commitSent are what it carried.
	sentAt        time.Duration
	readRoundSent ReadRound
	commitSent    Index
	// readRound is the newest read round that the peer has answered.
	readRound ReadRound
	// snapshot is the one that is being sent in chunks, nil for none; snapshotOffset is where the
	// next chunk begins.
	snapshot       *Snapshot
	checksum       uint64
	snapshotOffset int
}

// SetLearners names the replicas that a leader replicates to besides the voters. The ids must be
// sorted.
func (r *Replica) SetLearners(now time.Duration, learners []MemberID) {
	if r.role != leader || slices.Equal(r.learners, learners) {
		return
	}
	r.learners = slices.Clone(learners)
	r.updatePeers(now)
}

// updatePeers keeps one progress for every voter and learner but this replica.
func (r *Replica) updatePeers(now time.Duration) {
	wanted := r.memberships.current().AllVoters()
	wanted = append(wanted, r.learners...)
	r.peerIDs = r.peerIDs[:0]
	for _, id := range slices.Compact(slices.Sorted(slices.Values(wanted))) {
		if id == r.id {
			continue
		}
		r.peerIDs = append(r.peerIDs, id)
		if r.peers[id] == nil {
			r.peers[id] = &progress{next: r.log.lastIndex() + 1, lastContact: now, sentAt: now - HeartbeatInterval}
		}
	}
	for id := range r.peers {
		if !slices.Contains(r.peerIDs, id) {
			delete(r.peers, id)
		}
	}
}

// Progress returns what the leader knows of its peers; nil where this replica doesn't lead.
func (r *Replica) Progress(now time.Duration) []Progress {
	if r.role != leader {
		return nil
	}
	current := r.memberships.current()
	all := make([]Progress, 0, len(r.peerIDs))
	for _, id := range r.peerIDs {
		p := r.peers[id]
		all = append(all, Progress{
			ID:               id,
			IsVoter:          current.IsVoter(id),
			Match:            p.match,
			SinceLastContact: now - p.lastContact,
			CaughtUp:         r.storesCommitted(p),
		})
	}
	return all
}

// storesCommitted reports whether a peer has synced everything that is committed.
func (r *Replica) storesCommitted(p *progress) bool { return p.match > 0 && p.match >= r.commit }

// isCaughtUp reports whether a member is in contact and has synced everything that is committed.
func (r *Replica) isCaughtUp(now time.Duration, id MemberID) bool {
	if id == r.id {
		return r.stable >= r.commit
	}
	p := r.peers[id]
	return p != nil && r.storesCommitted(p) && now-p.lastContact <= ContactTimeout
}

// recordResponse updates the progress of a member that has answered this leader. It returns nil
// where the response isn't for this leader's term, or answers a message that was never sent.
func (r *Replica) recordResponse(
	now time.Duration, from MemberID, term Term, sentAt time.Duration, round ReadRound, clock ClockReading,
) *progress {
	if term > r.hardState.Term {
		r.becomeFollower(term, "")
		return nil
	}
	p := r.peers[from]
	if r.role != leader || term < r.hardState.Term || p == nil {
		return nil
	}
	if sentAt > now || round > r.readRound {
		r.rejectedMessages++
		return nil
	}
	p.lastContact = max(p.lastContact, sentAt)
	p.readRound = max(p.readRound, round)
	p.clock = clock
	return p
}
