package raftlog

import (
	"errors"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/raftlog/agreepb"
)

var errSpoilt = errors.New("agree: a message that can't be read")

// Encode is a message as it goes from one sidecar to another.
func (m *Message) Encode() ([]byte, error) {
	p := &agreepb.Message{Epoch: m.Epoch, Have: m.Have, Lead: uint32(m.Lead), LeadTerm: m.LeadTerm, Ask: m.Ask, News: m.News, Propose: m.Propose, Token: m.Token}
	if m.Age > 0 { // rounded up: it must not seem younger than it is
		p.Age = uint64((m.Age + time.Millisecond - 1) / time.Millisecond)
	}
	for _, e := range m.Entries {
		x := &agreepb.Entry{Index: e.Index, Voters: e.conf, Data: e.Data}
		if e.conf {
			x.Data = e.text
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

// Decode reads such a message.
func Decode(raw []byte) (*Message, error) {
	p := new(agreepb.Message)
	if proto.Unmarshal(raw, p) != nil || p.Epoch == 0 || p.Age > ageMost || p.Lead > sizeMost {
		return nil, errSpoilt
	}
	m := &Message{
		Epoch: p.Epoch, Have: p.Have, Age: time.Duration(p.Age) * time.Millisecond, Lead: int(p.Lead), LeadTerm: p.LeadTerm, Ask: p.Ask, News: p.News, Propose: p.Propose, Token: p.Token,
	}
	for _, x := range p.Entry {
		e := Entry{Index: x.Index, Data: x.Data}
		if x.Voters {
			e = Entry{Index: x.Index, conf: true, text: x.Data}
		}
		m.Entries = append(m.Entries, e)
	}
	if len(p.Raft) > 0 {
		m.Raft = new(raftpb.Message)
		if proto.Unmarshal(p.Raft, m.Raft) != nil {
			return nil, errSpoilt
		}
	}
	return m, nil
}

const (
	ageMost  = 1 << 40 // ms: more is none
	sizeMost = 1 << 16
)
