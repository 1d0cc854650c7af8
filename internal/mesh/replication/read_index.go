package replication

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// pendingRead is a read that isn't completed yet.
type pendingRead struct {
	token Token
	// readRound is the round of heartbeats that confirms the leader for this read.
	readRound ReadRound
	// index is what must be applied first; 0 until the round is confirmed.
	index Index
}

// Read begins a linearizable read and returns a token. It is completed once a majority has
// confirmed the term in a round that began after this call, and everything committed by then is
// applied here. An error is of kind NotLeader or Busy.
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

// confirmReads sets the index of each read whose round a majority has answered, once the leader
// knows everything that earlier terms committed.
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
		if q := &r.pendingReads[i]; q.index == 0 && q.readRound <= confirmed {
			q.index = r.commit
		}
	}
}
