package raftlog

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// commitEntry takes an entry that is agreed on, from raft.
func (n *Node) commitEntry(e *raftpb.Entry) {
	c, conf := parseVoterChange(e)
	if !conf {
		n.appendEntry(Entry{Index: e.GetIndex(), Data: e.GetData()})
		return
	}
	x := Entry{Index: e.GetIndex(), isVoterChange: true}
	if c != nil {
		n.raft.ApplyConfChange(c)
		x.voterChange, _ = proto.Marshal(c)
	}
	n.appendEntry(x)
}

// parseVoterChange is the change of voters that an entry is, in either of raft's forms; nil: it can't be read.
func parseVoterChange(e *raftpb.Entry) (c *raftpb.ConfChangeV2, conf bool) {
	switch e.GetType() {
	case raftpb.EntryType_EntryConfChange:
		if old := new(raftpb.ConfChange); proto.Unmarshal(e.GetData(), old) == nil {
			c = old.AsV2()
		}
	case raftpb.EntryType_EntryConfChangeV2:
		if v := new(raftpb.ConfChangeV2); proto.Unmarshal(e.GetData(), v) == nil {
			c = v
		}
	default:
		return nil, false
	}
	return c, true
}

// appendEntries takes entries that another has, agreed on as they are.
func (n *Node) appendEntries(all []Entry) {
	for _, e := range all {
		n.appendEntry(e)
	}
}

// appendEntry adds the next entry of the log. What is known already is passed over, and what there is a gap before is kept for a while.
func (n *Node) appendEntry(e Entry) {
	if e.Index != n.LastIndex()+1 {
		if e.Index > n.LastIndex() && len(n.buffered) < maxBufferedEntries {
			n.buffered[e.Index] = e
		}
		return
	}
	n.applyEntry(e)
	for next, here := n.buffered[n.LastIndex()+1]; here; next, here = n.buffered[n.LastIndex()+1] {
		delete(n.buffered, next.Index)
		n.applyEntry(next)
	}
}

// applyEntry takes the next entry.
func (n *Node) applyEntry(e Entry) {
	n.log = append(n.log, e)
	delete(n.buffered, e.Index)
	if e.isVoterChange {
		n.applyVoterChange(e.voterChange)
		return
	}
	token, data, ok := decodeEntry(e.Data)
	if !ok {
		return // a leader's first, which says nothing
	}
	n.loggedTokens[token] = true
	n.pending = slices.DeleteFunc(n.pending, func(w *pendingProposal) bool { return w.token == token })
	n.Host.Applied(Entry{Index: e.Index, Data: data})
}

// applyVoterChange takes a change of the voters.
func (n *Node) applyVoterChange(text []byte) {
	c := new(raftpb.ConfChangeV2)
	if proto.Unmarshal(text, c) != nil {
		return
	}
	joined := decodeVoters(c.GetContext())
	for _, s := range c.GetChanges() {
		switch s.GetType() {
		case raftpb.ConfChangeType_ConfChangeAddNode:
			for _, j := range joined {
				if j.ID() == s.GetNodeId() {
					n.voters[j.ID()] = j
				}
			}
		case raftpb.ConfChangeType_ConfChangeRemoveNode:
			delete(n.voters, s.GetNodeId())
		}
	}
}

// sendEntries sends what another has not.
func (n *Node) sendEntries(to int, have uint64) {
	if have >= n.LastIndex() {
		n.send(to, &Message{})
		return
	}
	// Several messages of one entry each: what is behind catches up in one exchange.
	for i := have; i < min(n.LastIndex(), have+maxSentEntries); i += entriesPerMessage {
		n.send(to, &Message{Entries: slices.Clone(n.log[i:min(n.LastIndex(), i+entriesPerMessage)])})
	}
}

// gossipEntries tells some others, drawn at random, of the entries behind those that were here: each does so once with what is new to it. Nearly all hear that way within some
// messages' time; the rest ask.
func (n *Node) gossipEntries(had uint64) {
	if n.Size <= n.VoterCount || n.LastIndex() > had+maxPushedEntries || n.IsLeader() && len(n.voters) > 2 {
		return // all hear of it from the leader; or this is no news but a newcomer's catching up; or it has sent enough to the voters, who hand it on
	}
	for range pushFanout {
		to := n.Rand.IntN(n.Size)
		for i := had; i < n.LastIndex(); i++ {
			n.send(to, &Message{Gossip: true, Entries: slices.Clone(n.log[i : i+1])})
		}
	}
}

// maxPushedEntries is how many entries are handed on at a time.
const maxPushedEntries = 4

// maxSentEntries is how many entries are told at a time.
const maxSentEntries = 8

// encodeEntry puts a proposal's token before its data, by which its proposer knows it again.
func encodeEntry(token uint64, data []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, token), data...)
}

func decodeEntry(raw []byte) (token uint64, data []byte, ok bool) {
	if len(raw) <= 8 {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(raw), raw[8:], true
}

// encodeVoters tells which processes the voters that join are.
func encodeVoters(all ...Voter) (raw []byte) {
	for _, s := range all {
		raw = binary.BigEndian.AppendUint32(raw, uint32(s.Number))
		raw = binary.BigEndian.AppendUint64(raw, s.Incarnation)
	}
	return raw
}

func decodeVoters(raw []byte) (all []Voter) {
	for ; len(raw) >= 12; raw = raw[12:] {
		all = append(all, Voter{int(binary.BigEndian.Uint32(raw)), binary.BigEndian.Uint64(raw[4:])})
	}
	return all
}

// discardLogger is raft's log: what matters is told by this package's host.
type discardLogger struct{}

func (discardLogger) Debug(...any)              {}
func (discardLogger) Debugf(string, ...any)     {}
func (discardLogger) Error(...any)              {}
func (discardLogger) Errorf(string, ...any)     {}
func (discardLogger) Info(...any)               {}
func (discardLogger) Infof(string, ...any)      {}
func (discardLogger) Warning(...any)            {}
func (discardLogger) Warningf(string, ...any)   {}
func (discardLogger) Fatal(v ...any)            { panic(v) }
func (discardLogger) Fatalf(f string, _ ...any) { panic(f) }
func (discardLogger) Panic(v ...any)            { panic(v) }
func (discardLogger) Panicf(f string, _ ...any) { panic(f) }
