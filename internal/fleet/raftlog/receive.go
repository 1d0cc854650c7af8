package raftlog

import (
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Receive handles a message that the sidecar with the number from has sent. A message of a newer epoch
// replaces the current log.
func (n *Node) Receive(now time.Duration, from int, m *Message) {
	switch {
	case from < 0 || from >= n.Size || from == n.Self.Number || m.Epoch == 0:
		return
	case m.Epoch < n.epoch:
		n.send(from, &Message{}) // announces the newer epoch to the sender
		return
	case m.Epoch > n.epoch:
		n.startEpoch(now, m.Epoch)
	}
	n.now = now
	if m.LeaderAge > 0 { // an age, so that sidecars can't keep outdated information alive by repeating it
		n.lastLeaderAck = max(n.lastLeaderAck, now-m.LeaderAge)
	}
	// Only a leader of a later term replaces the reported leader: otherwise sidecars kept repeating an old
	// leader to each other and sent it reports (seen with 100 processes).
	if m.LeaderNumber > 0 && m.LeaderNumber <= n.Size && m.LeaderTerm > n.reportedTerm {
		n.reportedLeader, n.reportedTerm = m.LeaderNumber, m.LeaderTerm
	}
	if m.Raft != nil {
		n.stepRaft(now, from, m.Raft)
	}
	had := n.LastIndex()
	n.appendEntries(m.Entries)
	if m.Gossip && n.LastIndex() > had {
		n.gossipEntries(had)
	}
	if n.highestIndex = max(n.highestIndex, m.LastIndex); n.highestIndex > n.LastIndex() {
		n.nextPoll = min(n.nextPoll, now+n.heartbeat/4)
		if n.LastIndex() > had { // the received entries were new: poll again immediately
			n.nextPoll = now
		}
	}
	if m.WantEntries {
		n.sendEntries(from, m.LastIndex)
	}
	if len(m.Proposal) > 0 && len(m.Proposal) <= MaxEntryBytes && n.raft != nil &&
		len(n.log) < MaxEntries && !n.loggedTokens[m.ProposalToken] {
		_ = n.raft.Propose(encodeEntry(m.ProposalToken, m.Proposal))
	}
	n.processReady(now)
}

// stepRaft passes a raft message of a voter to the raft instance, which is created if necessary.
func (n *Node) stepRaft(now time.Duration, from int, m *raftpb.Message) {
	if m.GetTo() != n.id {
		return // addressed to an earlier process of this sidecar
	}
	n.senders[m.GetFrom()], n.heardAt[m.GetFrom()] = from, now
	if n.raft == nil {
		if n.startVoting(now) != nil {
			return
		}
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgApp:
		if m.GetTerm() >= n.raft.BasicStatus().GetTerm() {
			// This resets only the election timeout. A leader that has lost its majority keeps sending these
			// messages, and they must not block Bootstrap, which depends on the last confirmation by a
			// majority (LeaderAge).
			n.resetElectionTimeout(now)
		}
	case raftpb.MessageType_MsgProp: // from another voter: drop proposals that the log already contains
		m.Entries = slices.DeleteFunc(m.Entries, func(e *raftpb.Entry) bool {
			token, _, ok := decodeEntry(e.GetData())
			return ok && e.GetType() == raftpb.EntryType_EntryNormal && n.loggedTokens[token]
		})
		if len(m.Entries) == 0 {
			return
		}
	}
	_ = n.raft.Step(m) // raft ignores messages that it can't accept
}

// processReady processes raft's pending output in the order that raft requires: persist, send, apply.
func (n *Node) processReady(now time.Duration) {
	for n.raft != nil && n.raft.HasReady() {
		r := n.raft.Ready()
		if n.Storage != nil && (len(r.Entries) > 0 || r.HardState != nil && !raft.IsEmptyHardState(r.HardState)) {
			if err := n.Storage.Save(r.HardState, r.Entries); err != nil {
				n.disableVoting(err)
				return
			}
		}
		_ = n.raftStorage.Append(r.Entries)
		if r.HardState != nil && !raft.IsEmptyHardState(r.HardState) {
			_ = n.raftStorage.SetHardState(r.HardState)
		}
		for _, m := range r.Messages {
			if to, known := n.voterNumber(m.GetTo()); known {
				n.send(to, &Message{Raft: m})
			}
		}
		had := n.LastIndex()
		for _, e := range r.CommittedEntries {
			n.commitEntry(e)
		}
		if n.LastIndex() > had {
			n.gossipEntries(had)
		}
		for _, s := range r.ReadStates {
			n.recordQuorumAck(s)
		}
		n.raft.Advance(r)
	}
}

// send adds this node's epoch, last index and known leader to a message, and sends the message.
func (n *Node) send(to int, m *Message) {
	if to == n.Self.Number {
		return
	}
	lead, term := n.leader()
	m.Epoch, m.LastIndex, m.LeaderNumber, m.LeaderTerm = n.epoch, n.LastIndex(), lead+1, term
	if n.lastLeaderAck > 0 {
		m.LeaderAge = max(1, n.now-n.lastLeaderAck)
	}
	n.Host.Send(to, m)
}
