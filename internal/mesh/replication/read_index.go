package replication

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// pendingRead is a read that is not complete yet.
type pendingRead struct {
	token Token
	// readRound is the round of heartbeats that confirms the leader for this read.
	readRound ReadRound
	// index is the index that must be applied before the read is complete. It is 0 until a majority
	// has answered the read round.
	index Index
}

// Read starts a linearizable read and returns a token. A later Ready reports the completion of the
// token, after a majority has confirmed the leader in a round whose heartbeats were sent after this
// call, and this replica has applied all entries that were committed by then. An error is of kind
// NotLeader or Busy.
func (r *Replica) Read(now time.Duration) (Token, error) {
	r.checkQuorum(now)
	if r.role != leader {
		return 0, errs.New(errs.NotLeader, "replication: %s isn't the leader", r.id)
	}
	if len(r.pendingReads) >= maxPendingReads {
		return 0, errs.New(errs.Busy, "replication: %d reads wait for their round", len(r.pendingReads))
	}
	r.lastToken++
	if r.readRoundSent {
		r.readRound++
		r.readRoundSent = false
	}
	r.pendingReads = append(r.pendingReads, pendingRead{token: r.lastToken, readRound: r.readRound})
	r.confirmReads()
	return r.lastToken, nil
}

// confirmReads sets the index of each pending read whose read round a majority has answered. It waits
// until an entry of the leader's own term is committed, because only then does the commit index
// include all entries committed in earlier terms.
func (r *Replica) confirmReads() {
	if r.role != leader || !r.hasCommittedInTerm() {
		return
	}
	confirmed := quorumValue(r.memberships.current().Membership, func(id MemberID) ReadRound {
		if id == r.id {
			return r.readRound
		}
		return r.peers[id].readRound
	})
	for i := range r.pendingReads {
		if read := &r.pendingReads[i]; read.index == 0 && read.readRound <= confirmed {
			read.index = r.commit
		}
	}
}
