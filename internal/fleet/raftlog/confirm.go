package raftlog

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"
)

// Leader returns the leader's number; -1: none is known.
func (n *Node) Leader() int {
	lead, _ := n.leader()
	return lead
}

// leader returns the number and term of the leader of the latest known term. A process that was a
// voter earlier may know an old leader from raft.
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

// Term returns the voters' current term; 0: this process is no voter.
func (n *Node) Term() uint64 {
	if n.raft == nil {
		return 0
	}
	return n.raft.BasicStatus().GetTerm()
}

// LastQuorumAck returns when a majority of the voters last confirmed this process as the leader,
// and the index that was committed then: a leader of another term was elected after that moment. 0:
// never.
func (n *Node) LastQuorumAck() (at time.Duration, index uint64) {
	if !n.IsLeader() || n.confirmTerm != n.Term() { // an earlier term's index may be outdated
		return 0, 0
	}
	return n.lastQuorumAck, n.quorumAckIndex
}

// requestQuorumAck asks a majority to confirm that this process still leads (ReadIndex).
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
		clear(n.pendingConfirms) // lost on the way
	}
	n.confirmSeq++
	n.pendingConfirms[n.confirmSeq] = now
	n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, n.confirmSeq))
}

// recordQuorumAck records the confirmation of a majority.
func (n *Node) recordQuorumAck(s raft.ReadState) {
	if len(s.RequestCtx) != 8 {
		return
	}
	seq := binary.BigEndian.Uint64(s.RequestCtx)
	if asked, known := n.pendingConfirms[seq]; known {
		delete(n.pendingConfirms, seq)
		if asked > n.lastQuorumAck {
			n.lastQuorumAck, n.quorumAckIndex, n.lastLeaderAck = asked, s.Index, asked
		}
	}
}
