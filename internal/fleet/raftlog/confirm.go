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
		if s := n.raft.BasicStatus(); s.Lead != raft.None && s.GetTerm() >= n.leadTerm {
			if n.Leads() {
				return n.Self.Number, s.GetTerm()
			}
			if i, known := n.place(s.Lead); known {
				return i, s.GetTerm()
			}
		}
	}
	return n.lead - 1, n.leadTerm
}

// Term is that of the voters; it grows with each leader. 0: this is no voter.
func (n *Node) Term() uint64 {
	if n.raft == nil {
		return 0
	}
	return n.raft.BasicStatus().GetTerm()
}

// Confirmed is the newest moment of which a majority of the voters has confirmed that this process led then, and how many entries were agreed on by then: whoever leads another term was elected behind
// that moment. 0: none.
func (n *Node) Confirmed() (at time.Duration, index uint64) {
	if !n.Leads() || n.confirmTerm != n.Term() { // an earlier term's word says nothing of what was agreed on since
		return 0, 0
	}
	return n.confirmed, n.index
}

// confirm asks a majority whether this one still leads.
func (n *Node) confirm(now time.Duration) {
	if now < n.confirmAt {
		return
	}
	n.confirmAt = now + n.beat
	if term := n.Term(); term != n.confirmTerm {
		n.confirmTerm, n.confirmed, n.index = term, 0, 0
		clear(n.confirms)
	}
	if len(n.confirms) >= confirmsMost {
		clear(n.confirms) // they were lost
	}
	n.confirmSeq++
	n.confirms[n.confirmSeq] = now
	n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, n.confirmSeq))
}

// confirmedBy takes a majority's word.
func (n *Node) confirmedBy(s raft.ReadState) {
	if len(s.RequestCtx) != 8 {
		return
	}
	seq := binary.BigEndian.Uint64(s.RequestCtx)
	if asked, known := n.confirms[seq]; known {
		delete(n.confirms, seq)
		if asked > n.confirmed {
			n.confirmed, n.index, n.alive = asked, s.Index, asked
		}
	}
}
