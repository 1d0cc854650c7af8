package replication

import (
	"slices"
	"time"
)

// TransferLeadership asks a voter to start an election immediately. It selects the voter with the
// longest log among the voters that are caught up and not in leaving. It returns false if this replica
// is not the leader or if there is no such voter.
func (r *Replica) TransferLeadership(now time.Duration, leaving ...MemberID) bool {
	r.checkQuorum(now)
	if r.role != leader {
		return false
	}
	current := r.memberships.current()
	var transferee MemberID
	for _, id := range r.peerIDs {
		if !slices.Contains(current.Voters, id) || slices.Contains(leaving, id) || !r.isCaughtUp(now, id) {
			continue
		}
		if transferee == "" || r.peers[id].match > r.peers[transferee].match {
			transferee = id
		}
	}
	if transferee == "" {
		return false
	}
	r.send(transferee, Message{TimeoutNow: &TimeoutNow{}})
	if !r.transferring {
		r.transferring, r.transferStartedAt = true, now
	}
	return true
}

// transferTimedOut reports whether a leadership transfer has not completed within
// leadershipTransferTimeout.
func (r *Replica) transferTimedOut(now time.Duration) bool {
	return r.transferring && now-r.transferStartedAt > leadershipTransferTimeout
}

// transferIfOutgoing transfers leadership away from a leader that was elected during a membership
// change and is not among the new voters. The next leader completes the change, so that the leader is
// always a voter of the membership in force.
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
