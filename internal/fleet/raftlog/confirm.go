package raftlog

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"
)

// Leader returns the number of the sidecar that leads the log, and -1 if no leader is known.
func (n *Node) Leader() int {
	lead, _ := n.leader()
	return lead
}

// leader returns the number and term of the leader of the latest known term. A process that is no longer a
// voter may still have an old leader in its raft state, so the leader that other sidecars report is used if
// its term is later.
func (n *Node) leader() (number int, term uint64) {
	if n.raft != nil {
		if s := n.raft.BasicStatus(); s.Lead != raft.None && s.GetTerm() >= n.reportedTerm {
			if n.IsLeader() {
				return n.Self.Number, s.GetTerm()
			}
			if i, known := n.voterNumber(s.Lead); known {
				return i, s.GetTerm()
			}
		}
	}
	return n.reportedLeader - 1, n.reportedTerm
}

// Term returns the current raft term, and 0 if this process has no raft state because it is no voter.
func (n *Node) Term() uint64 {
	if n.raft == nil {
		return 0
	}
	return n.raft.BasicStatus().GetTerm()
}

// LastQuorumAck returns the send time of the last request by which a majority of the voters confirmed that
// this process leads, and the commit index at that time. Any leader of a later term was elected after that
// time. Both are 0 if this process was not confirmed in its term.
func (n *Node) LastQuorumAck() (at time.Duration, index uint64) {
	if !n.IsLeader() || n.confirmTerm != n.Term() { // the index of an earlier term may be outdated
		return 0, 0
	}
	return n.lastQuorumAck, n.quorumAckIndex
}

// requestQuorumAck asks the voters to confirm that this process still leads, by raft's ReadIndex, once per
// heartbeat interval.
func (n *Node) requestQuorumAck(now time.Duration) {
	if now < n.nextConfirm {
		return
	}
	n.nextConfirm = now + n.heartbeat
	if term := n.Term(); term != n.confirmTerm {
		n.confirmTerm, n.lastQuorumAck, n.quorumAckIndex = term, 0, 0
		clear(n.pendingConfirms)
	}
	if len(n.pendingConfirms) >= maxPendingConfirms {
		clear(n.pendingConfirms) // the requests or their answers were lost
	}
	n.confirmSeq++
	n.pendingConfirms[n.confirmSeq] = now
	n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, n.confirmSeq))
}

// recordQuorumAck records that a majority of the voters has confirmed a request of requestQuorumAck.
func (n *Node) recordQuorumAck(s raft.ReadState) {
	if len(s.RequestCtx) != 8 {
		return
	}
	seq := binary.BigEndian.Uint64(s.RequestCtx)
	if requestedAt, known := n.pendingConfirms[seq]; known {
		delete(n.pendingConfirms, seq)
		if requestedAt > n.lastQuorumAck {
			n.lastQuorumAck, n.quorumAckIndex, n.lastLeaderAck = requestedAt, s.Index, requestedAt
		}
	}
}
