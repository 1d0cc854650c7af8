package raftlog

import (
	"errors"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/raftlog/agreepb"
)

var errMalformed = errors.New("raftlog: malformed message of a sidecar")

// Encode returns the message in its wire format, agreepb.Message.
func (m *Message) Encode() ([]byte, error) {
	p := &agreepb.Message{
		Epoch: m.Epoch, Have: m.LastIndex, Lead: uint32(m.LeaderNumber), LeadTerm: m.LeaderTerm,
		Ask: m.WantEntries, News: m.Gossip, Propose: m.Proposal, Token: m.ProposalToken,
	}
	if m.LeaderAge > 0 { // rounded up, so that the confirmation does not seem more recent than it is
		p.Age = uint64((m.LeaderAge + time.Millisecond - 1) / time.Millisecond)
	}
	for _, e := range m.Entries {
		x := &agreepb.Entry{Index: e.Index, Voters: e.isVoterChange, Data: e.Data}
		if e.isVoterChange {
			x.Data = e.voterChange
		}
		p.Entry = append(p.Entry, x)
	}
	if m.Raft != nil {
		var err error
		if p.Raft, err = proto.Marshal(m.Raft); err != nil {
			return nil, err
		}
	}
	return proto.Marshal(p)
}

// Decode parses a message in its wire format. It returns an error if the message is malformed or its leader
// age or leader number is out of range.
func Decode(raw []byte) (*Message, error) {
	p := new(agreepb.Message)
	if proto.Unmarshal(raw, p) != nil || p.Epoch == 0 || p.Age > maxLeaderAgeMillis || p.Lead > maxFleetSize {
		return nil, errMalformed
	}
	m := &Message{
		Epoch:         p.Epoch,
		LastIndex:     p.Have,
		LeaderAge:     time.Duration(p.Age) * time.Millisecond,
		LeaderNumber:  int(p.Lead),
		LeaderTerm:    p.LeadTerm,
		WantEntries:   p.Ask,
		Gossip:        p.News,
		Proposal:      p.Propose,
		ProposalToken: p.Token,
	}
	for _, x := range p.Entry {
		e := Entry{Index: x.Index, Data: x.Data}
		if x.Voters {
			e = Entry{Index: x.Index, isVoterChange: true, voterChange: x.Data}
		}
		m.Entries = append(m.Entries, e)
	}
	if len(p.Raft) > 0 {
		m.Raft = new(raftpb.Message)
		if proto.Unmarshal(p.Raft, m.Raft) != nil {
			return nil, errMalformed
		}
	}
	return m, nil
}

const (
	maxLeaderAgeMillis = 1 << 40 // larger values are malformed
	maxFleetSize       = 1 << 16 // bounds the leader's number
)
