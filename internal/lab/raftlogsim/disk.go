package raftlogsim

import (
	"errors"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/raftlog"
)

// Disk is a machine's, which outlives its processes.
type Disk struct {
	Incarnation uint64 // of the seat
	Full        bool   // nothing can be written any more
	saved       raftlog.SavedState
}

// NewDisks gives each machine one, and a process that uses it.
func (n *Net) NewDisks() {
	for range n.Size {
		n.Disks = append(n.Disks, new(Disk))
	}
	for i := range n.Nodes {
		n.Crash(i)
		n.Boot(i)
	}
}

var errFull = errors.New("no space left on device")

// Begin forgets all of an earlier log.
func (d *Disk) Begin(epoch uint64) error {
	if d.Full {
		return errFull
	}
	d.saved = raftlog.SavedState{Epoch: epoch}
	return nil
}

// Save keeps a vote and entries.
func (d *Disk) Save(vote *raftpb.HardState, entries []*raftpb.Entry) error {
	if d.Full {
		return errFull
	}
	if vote != nil {
		d.saved.HardState = proto.CloneOf(vote)
	}
	for _, e := range entries {
		d.saved.Entries = append(d.saved.Entries[:e.GetIndex()-1], proto.CloneOf(e))
	}
	return nil
}

// Saved is what it has kept.
func (d *Disk) Saved() *raftlog.SavedState {
	s := d.saved
	s.Entries = append([]*raftpb.Entry(nil), s.Entries...)
	return &s
}
