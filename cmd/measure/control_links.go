package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/replication"
)

// proposeTime bounds a change on its way through a replica, as in the control plane.
const proposeTime = 900 * time.Millisecond

// stallingDisk is a store that stands still while it is told to.
type stallingDisk struct {
	replication.Storage
	stalled atomic.Pointer[chan struct{}] // nil: it works
}

func (d *stallingDisk) Save(p *replication.WriteBatch) error {
	if until := d.stalled.Load(); until != nil {
		<-*until
	}
	return d.Storage.Save(p)
}

// stall has the disk stand still until the function that it returns is called.
func (d *stallingDisk) stall() (end func()) {
	until := make(chan struct{})
	d.stalled.Store(&until)
	return func() {
		d.stalled.Store(nil)
		close(until)
	}
}

// linkedReplica is one replica of linkedCore.
type linkedReplica struct {
	id      replication.MemberID
	disk    *stallingDisk
	node    *replication.Node
	applied atomic.Uint64
	cut     atomic.Bool // off from all others
}

// linkedCore is replicas in this process, over stores on disk; what they say to each other goes from one
// to the other as bytes, unless one of them is cut off.
type linkedCore struct{ replicas []*linkedReplica }

func startLinkedCore(c cleanups) (*linkedCore, error) {
	dir, err := os.MkdirTemp("", "linked")
	if err != nil {
		return nil, err
	}
	c.Cleanup(func() { os.RemoveAll(dir) })
	var seeds []string
	for i := range controlMembers {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	l := &linkedCore{}
	for _, address := range seeds {
		l.replicas = append(l.replicas, &linkedReplica{id: replication.NewMemberID(address, "")})
	}
	for i, address := range seeds {
		if err := l.start(c, l.replicas[i], filepath.Join(dir, address), seeds); err != nil {
			return nil, err
		}
	}
	return l, until("a leader", func() bool { return l.leader() != nil })
}

func (l *linkedCore) start(c cleanups, r *linkedReplica, dir string, seeds []string) error {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	store, state, err := replication.OpenStore(dir, r.id.Address())
	if err != nil {
		return err
	}
	state.ID = r.id
	state.Cluster, state.Snapshot.Membership = replication.Bootstrap(seeds)
	if err := store.Initialize(state); err != nil {
		return err
	}
	r.disk = &stallingDisk{Storage: store}
	node, err := replication.StartNode(replication.NodeConfig{
		Storage: r.disk, State: state, Logger: zap.NewNop(), AppliedIndex: r.applied.Load,
		Send:     func(to replication.MemberID, msgs []replication.Message) { l.carry(r, to, msgs) },
		Apply:    func(index uint64, _ []byte) { r.applied.Store(index) },
		Restore:  func(index uint64, _ []byte) { r.applied.Store(index) },
		Snapshot: func() []byte { return []byte("state") },
	})
	if err != nil {
		return err
	}
	r.node = node
	c.Cleanup(func() { _ = node.Close() })
	return nil
}

// carry brings messages to a replica, as copies.
func (l *linkedCore) carry(from *linkedReplica, to replication.MemberID, msgs []replication.Message) {
	receiver := l.replica(to)
	if receiver == nil || receiver.node == nil || from.cut.Load() || receiver.cut.Load() {
		return
	}
	raw, err := json.Marshal(msgs)
	if err != nil {
		return
	}
	var copied []replication.Message
	if json.Unmarshal(raw, &copied) == nil {
		receiver.node.Deliver(from.id, copied)
	}
}

func (l *linkedCore) replica(id replication.MemberID) *linkedReplica {
	for _, r := range l.replicas {
		if r.id == id {
			return r
		}
	}
	return nil
}

// leader is the replica that leads and is in touch; nil: none is.
func (l *linkedCore) leader() *linkedReplica {
	for _, r := range l.replicas {
		if r.node.Status().IsLeader && r.node.InContact() {
			return r
		}
	}
	return nil
}

// whole waits until all are in touch and work.
func (l *linkedCore) whole() error {
	return until("a whole core", func() bool {
		for _, r := range l.replicas {
			if !r.node.InContact() || r.node.Status().StorageFailed {
				return false
			}
		}
		return l.leader() != nil
	})
}

// send puts a change to a replica, which passes it on to whom it takes for the leader.
func (l *linkedCore) send(ctx context.Context, machine int, number int64) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()
	asked := l.replicas[machine]
	leads := l.replica(asked.node.Status().Leader)
	if leads == nil {
		return errors.New("no leader is known")
	}
	if leads != asked && (asked.cut.Load() || leads.cut.Load()) {
		<-ctx.Done() // what is sent into a cut is not answered
		return ctx.Err()
	}
	_, err := leads.node.Propose(ctx, binary.BigEndian.AppendUint64(nil, uint64(number)))
	if err == nil && leads != asked && (asked.cut.Load() || leads.cut.Load()) {
		<-ctx.Done() // nor what was cut off before its answer came
		return ctx.Err()
	}
	return err
}

// linkFault is what happens to a replica; it returns what ends it.
type linkFault func(r *linkedReplica) (mend func())

func cutOff(r *linkedReplica) func() {
	r.cut.Store(true)
	return func() { r.cut.Store(false) }
}

func stallDisk(r *linkedReplica) func() { return r.disk.stall() }

// afterLink measures the times from a fault of the leader's links or disk until another replica leads
// and until the next acknowledged change.
func afterLink(rounds int, fault linkFault) (figures, error) {
	c := newCleanups()
	defer c.end()
	l, err := startLinkedCore(c)
	if err != nil {
		return nil, err
	}
	o := newOperator(controlMembers, 0, l.send)
	defer o.goOn()()
	measured := figures{}
	for range rounds {
		if err := l.whole(); err != nil {
			return measured, err
		}
		time.Sleep(rand.N(2 * operatorPause)) // no fixed place in the operator's rhythm
		leads := l.leader()
		if leads == nil {
			return measured, errors.New("the leader was lost by itself")
		}
		at := time.Now()
		mend := fault(leads)
		err := until("another leader", func() bool { return l.otherLeads(leads) })
		elected := time.Since(at)
		took, nextErr := o.next(at)
		mend()
		if err = errors.Join(err, nextErr); err != nil {
			return measured, err
		}
		measured.add("elected", elected.Seconds())
		measured.add("acknowledged", took.Seconds())
	}
	return measured, nil
}

// otherLeads says that a replica other than the lost one leads.
func (l *linkedCore) otherLeads(lost *linkedReplica) bool {
	for _, r := range l.replicas {
		if r != lost && r.node.Status().IsLeader {
			return true
		}
	}
	return false
}
