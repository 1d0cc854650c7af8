package replication

import (
	"slices"
	"time"
)

// TransferLeadership asks the voter with the longest log to start an election at once. Voters in
// leaving aren't asked. It returns false where no voter could take over.
func (r *Replica) TransferLeadership(now time.Duration, leaving ...MemberID) bool {
	r.checkQuorum(now)
	if r.role != leader {
		return false
	}
	current := r.memberships.current()
	var best MemberID
	for _, id := range r.peerIDs {
		if !slices.Contains(current.Voters, id) || slices.Contains(leaving, id) || !r.isCaughtUp(now, id) {
			continue
		}
		if best == "" || r.peers[id].match > r.peers[best].match {
			best = id
		}
	}
	if best == "" {
		return false
	}
	r.send(best, Message{TimeoutNow: &TimeoutNow{}})
	if !r.transferring {
		r.transferring, r.transferStartedAt = true, now
	}
	return true
}

// transferTimedOut reports whether this leader has asked a peer to take over and has waited long enough.
func (r *Replica) transferTimedOut(now time.Duration) bool {
	return r.transferring && now-r.transferStartedAt > leadershipTransferTimeout
}

// transferIfOutgoing makes a leader that was elected in the middle of a change, and isn't among the
// new voters, ask one of them to take over and end the change: no membership excludes its leader.
func (r *Replica) transferIfOutgoing(now time.Duration) {
	current := r.memberships.current()
	switch {
	case r.role != leader || now < r.nextTransferAt:
		return
	case !current.IsJoint() || current.index > r.commit || slices.Contains(current.Voters, r.id):
		return
	}
	r.nextTransferAt = now + HeartbeatInterval
	r.TransferLeadership(now)
}
