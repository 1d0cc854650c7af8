package replication

import (
	"slices"
	"time"
)

// Progress is the replication status of a peer as seen by the leader.
type Progress struct {
	ID      MemberID
	IsVoter bool
	// Match is the index of the last entry known to be synced on the peer.
	Match Index
	// SinceLastContact is the time since the leader sent the newest message that the peer has
	// answered. If the peer has answered none, it is the time since the leader added the peer.
	SinceLastContact time.Duration
	// CaughtUp reports whether the peer has synced all committed entries.
	CaughtUp bool
}

// progress is a leader's replication state for a peer.
type progress struct {
	// match is the index of the last entry known to be synced on the peer. next is the index of the
	// first entry to send.
	match, next Index
	// resendAt is the time at which unacknowledged entries or chunks are sent again. It is 0 if none
	// are in flight.
	resendAt time.Duration
	// lastContact is the time at which the newest message that the peer has answered was sent. Until
	// the first answer it is the time at which the peer was added.
	lastContact time.Duration
	// clock is the peer's clock reading from its newest response.
	clock ClockReading
	// sentAt is the time at which the last message was sent. readRoundSent and commitSent are the
	// newest read round and the commit index, limited to match, that the peer was sent.
	sentAt        time.Duration
	readRoundSent ReadRound
	commitSent    Index
	// readRound is the newest read round that the peer has answered.
	readRound ReadRound
	// snapshot is the snapshot that is being sent in chunks, or nil. checksum is the xxHash64 of its
	// data, and snapshotOffset is the offset of the next chunk.
	snapshot       *Snapshot
	checksum       uint64
	snapshotOffset int
}

// SetLearners sets the replicas that a leader replicates to in addition to the voters. The ids must
// be sorted. SetLearners has no effect on a replica that is not the leader.
func (r *Replica) SetLearners(now time.Duration, learners []MemberID) {
	if r.role != leader || slices.Equal(r.learners, learners) {
		return
	}
	r.learners = slices.Clone(learners)
	r.updatePeers(now)
}

// updatePeers adds and deletes progress entries, so that there is one for every voter and learner
// other than this replica.
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

// Progress returns the replication status of the leader's peers. It returns nil if this replica is
// not the leader.
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

// storesCommitted reports whether a peer has synced all committed entries.
func (r *Replica) storesCommitted(p *progress) bool { return p.match > 0 && p.match >= r.commit }

// isCaughtUp reports whether a member is in contact and has synced all committed entries.
func (r *Replica) isCaughtUp(now time.Duration, id MemberID) bool {
	if id == r.id {
		return r.stable >= r.commit
	}
	p := r.peers[id]
	return p != nil && r.storesCommitted(p) && now-p.lastContact <= ContactTimeout
}

// recordResponse updates the progress of a member that has answered this leader, and returns that
// progress. It returns nil if the response must be ignored: this replica is not the leader of the
// response's term, the sender is not a peer, or the response answers a message that this leader cannot
// have sent. A response of a higher term makes the replica a follower in that term.
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
