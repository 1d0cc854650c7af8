package raftlog

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
)

// pendingProposal is a proposal of this sidecar that is not in the log yet.
type pendingProposal struct {
	token    uint64
	data     []byte
	retryAt  time.Duration // when it is proposed again
	attempts int
}

// Propose requests that data is appended to the log. That it was committed shows when Host.Applied
// is called. A proposal that is lost with its leader is proposed again, so data may be committed
// twice: its meaning has to allow for that.
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
	w := &pendingProposal{token: n.lastToken, data: slices.Clone(data), retryAt: now + proposalRetryDelay}
	n.pending = append(n.pending, w)
	n.propose(w)
	n.processReady(now)
	return nil
}

// propose passes a proposal to raft, or to a voter at random.
func (n *Node) propose(w *pendingProposal) {
	if n.raft != nil && n.raft.BasicStatus().Lead != raft.None {
		_ = n.raft.Propose(encodeEntry(w.token, w.data)) // dropped without a leader: it is proposed again
		return
	}
	if all := n.Voters(); len(all) > 0 {
		n.send(all[n.Rand.IntN(len(all))].Number, &Message{Proposal: w.data, ProposalToken: w.token})
	}
}

// retryProposals repeats proposals that have not come back in time.
func (n *Node) retryProposals(now time.Duration) {
	for _, w := range n.pending {
		// Not while this node lags: the proposal may be in entries that are missing here. Repeated
		// every second by a lagging node, entries came faster than it could follow (agreenet, seed
		// 8599).
		if now >= w.retryAt && n.highestIndex <= n.LastIndex() {
			w.attempts = min(w.attempts+1, maxRetryDoublings)
			w.retryAt = now + proposalRetryDelay<<w.attempts
			n.propose(w)
		}
	}
}

// encodeEntry puts a proposal's token, by which its proposer recognises it, before its data.
func encodeEntry(token uint64, data []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, token), data...)
}

func decodeEntry(raw []byte) (token uint64, data []byte, ok bool) {
	if len(raw) <= 8 {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(raw), raw[8:], true
}
