package raftlog

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// pendingProposal is a proposal of this sidecar that is not in its log yet.
type pendingProposal struct {
	token    uint64 // identifies the proposal in log entries
	data     []byte
	retryAt  time.Duration // when the proposal is repeated
	attempts int           // repetitions so far, at most maxRetryDoublings
}

// Propose requests that data is appended to the log. Host.Applied is called once data is committed. A
// proposal that is lost with its leader is repeated, so data may be committed twice; the caller must tolerate
// duplicates.
func (n *Node) Propose(now time.Duration, data []byte) error {
	n.now = now
	switch {
	case n.epoch == 0:
		return ErrNoLog
	case len(n.log) >= MaxEntries:
		return ErrLogFull
	case len(n.pending) >= maxPendingProposals:
		return ErrTooManyProposals
	case len(data) == 0 || len(data) > MaxEntryBytes:
		return fmt.Errorf("agree: an entry of %d bytes, 1 to %d are possible", len(data), MaxEntryBytes)
	}
	n.lastToken++
	proposal := &pendingProposal{token: n.lastToken, data: slices.Clone(data), retryAt: now + proposalRetryDelay}
	n.pending = append(n.pending, proposal)
	n.propose(proposal)
	n.processReady(now)
	return nil
}

// propose passes a proposal to raft if this process has a raft leader, and otherwise sends it to a random
// voter.
func (n *Node) propose(proposal *pendingProposal) {
	if n.raft != nil && n.raft.BasicStatus().Lead != raft.None {
		_ = n.raft.Propose(encodeEntry(proposal.token, proposal.data)) // raft may drop the proposal; it is repeated
		return
	}
	if all := n.Voters(); len(all) > 0 {
		n.send(all[n.Rand.IntN(len(all))].Number, &Message{Proposal: proposal.data, ProposalToken: proposal.token})
	}
}

// retryProposals repeats the proposals that are not in the log and whose retry time has come.
func (n *Node) retryProposals(now time.Duration) {
	for _, proposal := range n.pending {
		// A node that lags behind does not repeat its proposals, because they may be in the entries that it
		// lacks. Repeated every second by a lagging node, proposals were committed faster than the node
		// received entries (raftlogsim, seed 8599).
		if now >= proposal.retryAt && n.highestIndex <= n.LastIndex() {
			proposal.attempts = min(proposal.attempts+1, maxRetryDoublings)
			proposal.retryAt = now + proposalRetryDelay<<proposal.attempts
			n.propose(proposal)
		}
	}
}

// encodeEntry returns the data of a log entry: the proposal's 8-byte token, by which its proposer recognizes
// the entry, and the proposed data.
func encodeEntry(token uint64, data []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, token), data...)
}

// decodeEntry is the inverse of encodeEntry; ok is false if the entry has no proposed data.
func decodeEntry(raw []byte) (token uint64, data []byte, ok bool) {
	if len(raw) <= 8 {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(raw), raw[8:], true
}
