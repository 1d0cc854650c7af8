package raftlog

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// commit takes an entry that is agreed on, from raft.
func (n *Node) commit(e *raftpb.Entry) {
	c, conf := changeOf(e)
	if !conf {
		n.append(Entry{Index: e.GetIndex(), Data: e.GetData()})
		return
	}
	x := Entry{Index: e.GetIndex(), conf: true}
	if c != nil {
		n.raft.ApplyConfChange(c)
		x.text, _ = proto.Marshal(c)
	}
	n.append(x)
}

// changeOf is the change of voters that an entry is, in either of raft's forms; nil: it can't be read.
func changeOf(e *raftpb.Entry) (c *raftpb.ConfChangeV2, conf bool) {
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

// follow takes entries that another has, agreed on as they are.
func (n *Node) follow(all []Entry) {
	for _, e := range all {
		n.append(e)
	}
}

// append adds the next entry of the log. What is known already is passed over, and what there is a gap before is kept for a while.
func (n *Node) append(e Entry) {
	if e.Index != n.Have()+1 {
		if e.Index > n.Have() && len(n.ahead) < aheadMost {
			n.ahead[e.Index] = e
		}
		return
	}
	n.take(e)
	for next, here := n.ahead[n.Have()+1]; here; next, here = n.ahead[n.Have()+1] {
		delete(n.ahead, next.Index)
		n.take(next)
	}
}

// take takes the next entry.
func (n *Node) take(e Entry) {
	n.log = append(n.log, e)
	delete(n.ahead, e.Index)
	if e.conf {
		n.seat(e.text)
		return
	}
	token, data, ok := decodeEntry(e.Data)
	if !ok {
		return // a leader's first, which says nothing
	}
	n.tokens[token] = true
	n.waiting = slices.DeleteFunc(n.waiting, func(w *waits) bool { return w.token == token })
	n.Host.Applied(Entry{Index: e.Index, Data: data})
}

// seat takes a change of the voters.
func (n *Node) seat(text []byte) {
	c := new(raftpb.ConfChangeV2)
	if proto.Unmarshal(text, c) != nil {
		return
	}
	joined := seatsOf(c.GetContext())
	for _, s := range c.GetChanges() {
		switch s.GetType() {
		case raftpb.ConfChangeType_ConfChangeAddNode:
			for _, j := range joined {
				if j.ID() == s.GetNodeId() {
					n.seats[j.ID()] = j
				}
			}
		case raftpb.ConfChangeType_ConfChangeRemoveNode:
			delete(n.seats, s.GetNodeId())
		}
	}
}

// tell sends what another has not.
func (n *Node) tell(to int, have uint64) {
	if have >= n.Have() {
		n.send(to, &Message{})
		return
	}
	// Several messages of one entry each: what is behind catches up in one exchange.
	for i := have; i < min(n.Have(), have+tellMost); i += entriesMost {
		n.send(to, &Message{Entries: slices.Clone(n.log[i:min(n.Have(), i+entriesMost)])})
	}
}

// push tells some others, drawn at random, of the entries behind those that were here: each does so once with what is new to it. Nearly all hear that way within some
// messages' time; the rest ask.
func (n *Node) push(had uint64) {
	if n.Size <= n.Voters || n.Have() > had+pushMost || n.Leads() && len(n.seats) > 2 {
		return // all hear of it from the leader; or this is no news but a newcomer's catching up; or it has sent enough to the voters, who hand it on
	}
	for range pushTo {
		to := n.Rand.IntN(n.Size)
		for i := had; i < n.Have(); i++ {
			n.send(to, &Message{News: true, Entries: slices.Clone(n.log[i : i+1])})
		}
	}
}

// pushMost is how many entries are handed on at a time.
const pushMost = 4

// tellMost is how many entries are told at a time.
const tellMost = 8

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

// contextOf tells which processes the voters that join are.
func contextOf(all ...Seat) (raw []byte) {
	for _, s := range all {
		raw = binary.BigEndian.AppendUint32(raw, uint32(s.Number))
		raw = binary.BigEndian.AppendUint64(raw, s.Life)
	}
	return raw
}

func seatsOf(raw []byte) (all []Seat) {
	for ; len(raw) >= 12; raw = raw[12:] {
		all = append(all, Seat{int(binary.BigEndian.Uint32(raw)), binary.BigEndian.Uint64(raw[4:])})
	}
	return all
}

// silent is raft's log: what matters is told by this package's host.
type silent struct{}

func (silent) Debug(...any)              {}
func (silent) Debugf(string, ...any)     {}
func (silent) Error(...any)              {}
func (silent) Errorf(string, ...any)     {}
func (silent) Info(...any)               {}
func (silent) Infof(string, ...any)      {}
func (silent) Warning(...any)            {}
func (silent) Warningf(string, ...any)   {}
func (silent) Fatal(v ...any)            { panic(v) }
func (silent) Fatalf(f string, _ ...any) { panic(f) }
func (silent) Panic(v ...any)            { panic(v) }
func (silent) Panicf(f string, _ ...any) { panic(f) }
