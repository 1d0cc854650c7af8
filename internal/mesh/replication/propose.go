package replication

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// pendingProposal is a proposal whose entry is not committed yet.
type pendingProposal struct {
	token Token
	index Index
	bytes int
}

// Propose appends a command to the log and returns a token. A later Ready reports the completion of
// the token. If Propose returns an error, the log is unchanged. The error is of kind Invalid,
// TooLarge, DiskFailed, NotLeader or Busy.
func (r *Replica) Propose(now time.Duration, command []byte) (Token, error) {
	r.checkQuorum(now)
	switch size := len(command); {
	case size == 0:
		return 0, errs.New(errs.Invalid, "replication: a command is empty")
	case size > MaxCommandBytes:
		return 0, errs.New(errs.TooLarge,
			"replication: a command of %d bytes is over the limit of %d", size, MaxCommandBytes)
	case r.storageFailed:
		return 0, errs.New(errs.DiskFailed, "replication: the disk of %s takes no writes", r.id)
	case r.role != leader:
		return 0, errs.New(errs.NotLeader, "replication: %s isn't the leader", r.id)
	case len(r.pendingProposals) >= maxPendingProposals || r.pendingBytes+size > maxPendingBytes:
		return 0, errs.New(errs.Busy, "replication: %d proposals wait for a quorum", len(r.pendingProposals))
	}
	r.lastToken++
	index := r.log.lastIndex() + 1
	r.log.append(Entry{Index: index, Term: r.hardState.Term, Command: command})
	proposal := pendingProposal{token: r.lastToken, index: index, bytes: len(command)}
	r.pendingProposals = append(r.pendingProposals, proposal)
	r.pendingBytes += len(command)
	return r.lastToken, nil
}
