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

// proposeTimeout limits a proposal at a replica. The control plane uses the same value.
const proposeTimeout = 900 * time.Millisecond

// stallingStorage is a storage whose writes block while it is stalled.
type stallingStorage struct {
	replication.Storage
	// stalled holds a channel that is closed at the end of the stall; nil if the storage is not stalled.
	stalled atomic.Pointer[chan struct{}]
}

// Save waits until the stall is over, then writes.
func (d *stallingStorage) Save(batch *replication.WriteBatch) error {
	if ended := d.stalled.Load(); ended != nil {
		<-*ended
	}
	return d.Storage.Save(batch)
}

// stall makes writes block until the returned function is called.
func (d *stallingStorage) stall() (end func()) {
	ended := make(chan struct{})
	d.stalled.Store(&ended)
	return func() {
		d.stalled.Store(nil)
		close(ended)
	}
}

// linkedReplica is a replica of a linkedCore.
type linkedReplica struct {
	id          replication.MemberID
	storage     *stallingStorage
	node        *replication.Node
	applied     atomic.Uint64
	partitioned atomic.Bool // from all other replicas
}

// linkedCore is a set of replicas in this process with stores on disk. Their messages are encoded as JSON and
// delivered, unless the sender or the receiver is partitioned.
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
	return l, waitFor("a leader", func() bool { return l.leader() != nil })
}

func (r *linkedReplica) appliedIndex() replication.Index { return replication.Index(r.applied.Load()) }

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
	r.storage = &stallingStorage{Storage: store}
	node, err := replication.StartNode(replication.NodeConfig{
		Storage: r.storage, State: state, Logger: zap.NewNop(), AppliedIndex: r.appliedIndex,
		Send:     func(to replication.MemberID, msgs []replication.Message) { l.deliver(r, to, msgs) },
		Apply:    func(index replication.Index, _ []byte) { r.applied.Store(uint64(index)) },
		Restore:  func(index replication.Index, _ []byte) { r.applied.Store(uint64(index)) },
		Snapshot: func() []byte { return []byte("state") },
	})
	if err != nil {
		return err
	}
	r.node = node
	c.Cleanup(func() { _ = node.Close() })
	return nil
}

// deliver delivers copies of messages to a replica.
func (l *linkedCore) deliver(from *linkedReplica, to replication.MemberID, msgs []replication.Message) {
	receiver := l.replica(to)
	if receiver == nil || receiver.node == nil || from.partitioned.Load() || receiver.partitioned.Load() {
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

// leader returns the replica that is leader and in contact with a majority, or nil.
func (l *linkedCore) leader() *linkedReplica {
	for _, r := range l.replicas {
		if r.node.Status().IsLeader && r.node.InContact() {
			return r
		}
	}
	return nil
}

// waitUntilHealthy waits until all replicas are in contact with a majority and their storage has not failed.
func (l *linkedCore) waitUntilHealthy() error {
	return waitFor("a healthy core", func() bool {
		for _, r := range l.replicas {
			if !r.node.InContact() || r.node.Status().StorageFailed {
				return false
			}
		}
		return l.leader() != nil
	})
}

// propose sends a change to a replica, which forwards it to the leader that the replica knows.
func (l *linkedCore) propose(ctx context.Context, machine int, number int64) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	asked := l.replicas[machine]
	leader := l.replica(asked.node.Status().Leader)
	if leader == nil {
		return errors.New("no leader is known")
	}
	if leader != asked && (asked.partitioned.Load() || leader.partitioned.Load()) {
		<-ctx.Done() // a request into a partition gets no response
		return ctx.Err()
	}
	_, err := leader.node.Propose(ctx, binary.BigEndian.AppendUint64(nil, uint64(number)))
	if err == nil && leader != asked && (asked.partitioned.Load() || leader.partitioned.Load()) {
		<-ctx.Done() // the partition drops the response
		return ctx.Err()
	}
	return err
}

// linkFault injects a fault at a replica. The returned function heals the fault.
type linkFault func(r *linkedReplica) (heal func())

func partitionReplica(r *linkedReplica) func() {
	r.partitioned.Store(true)
	return func() { r.partitioned.Store(false) }
}

func stallReplicaStorage(r *linkedReplica) func() { return r.storage.stall() }

// measureLinkFault measures the times from a fault of the leader's links or disk until another replica is leader, and
// until the next acknowledged change.
func measureLinkFault(rounds int, fault linkFault) (metrics, error) {
	cleanup := newCleanups()
	defer cleanup.end()
	core, err := startLinkedCore(cleanup)
	if err != nil {
		return nil, err
	}
	client := newOperator(controlMembers, 0, core.propose)
	defer client.startSending()()
	measured := metrics{}
	for range rounds {
		if err := core.waitUntilHealthy(); err != nil {
			return measured, err
		}
		time.Sleep(rand.N(2 * operatorBackoff)) // a random phase relative to the operator's changes
		leader := core.leader()
		if leader == nil {
			return measured, errors.New("the core lost its leader before the fault was injected")
		}
		at := time.Now()
		heal := fault(leader)
		err := waitFor("another leader", func() bool { return core.otherLeader(leader) })
		elected := time.Since(at)
		took, nextErr := client.next(at)
		heal()
		if err = errors.Join(err, nextErr); err != nil {
			return measured, err
		}
		measured.add("elected", elected.Seconds())
		measured.add("acknowledged", took.Seconds())
	}
	return measured, nil
}

// otherLeader reports whether a replica other than lost is leader.
func (l *linkedCore) otherLeader(lost *linkedReplica) bool {
	for _, r := range l.replicas {
		if r != lost && r.node.Status().IsLeader {
			return true
		}
	}
	return false
}
