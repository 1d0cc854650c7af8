package raftlogsim

import (
	"errors"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/raftlog"
)

// Disk is a machine's disk. Its content survives a crash of the process.
type Disk struct {
	Incarnation uint64 // of the voter that first used the disk
	Full        bool   // writes fail
	saved       raftlog.SavedState
}

// NewDisks gives each machine a disk and restarts all processes, which then use the disks.
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

// Begin discards the log of an earlier epoch.
func (d *Disk) Begin(epoch uint64) error {
	if d.Full {
		return errFull
	}
	d.saved = raftlog.SavedState{Epoch: epoch}
	return nil
}

// Save stores the vote, if there is one, and the entries. The first entry replaces the stored entry at its index and
// all later ones.
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

// Saved returns the stored state.
func (d *Disk) Saved() *raftlog.SavedState {
	s := d.saved
	s.Entries = append([]*raftpb.Entry(nil), s.Entries...)
	return &s
}
