package raftlog

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"
)

// Leader is the number of the leader, as far as is known; -1: none is.
func (n *Node) Leader() int {
	lead, _ := n.leader()
	return lead
}

// leader is the leader of the latest term that is known of, and that term. A process that was a voter once may know of an old one by itself.
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

// Term is that of the voters; it grows with each leader. 0: this is no voter.
func (n *Node) Term() uint64 {
	if n.raft == nil {
		return 0
	}
	return n.raft.BasicStatus().GetTerm()
}

// LastQuorumAck is the newest moment of which a majority of the voters has confirmed that this process led then, and how many entries were agreed on by then: whoever leads another term was elected behind
// that moment. 0: none.
func (n *Node) LastQuorumAck() (at time.Duration, index uint64) {
	if !n.IsLeader() || n.confirmTerm != n.Term() { // an earlier term's word says nothing of what was agreed on since
		return 0, 0
	}
	return n.lastQuorumAck, n.quorumAckIndex
}

// requestQuorumAck asks a majority whether this one still leads.
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
		clear(n.pendingConfirms) // they were lost
	}
	n.confirmSeq++
	n.pendingConfirms[n.confirmSeq] = now
	n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, n.confirmSeq))
}

// recordQuorumAck takes a majority's word.
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
