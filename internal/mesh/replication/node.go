package replication

import (
	crand "crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

// maxContactAge is how old a majority's confirmation may be for a replica to be in contact.
const maxContactAge = time.Second

// NodeConfig is what a node is made of. Apply, Restore and Snapshot are called from the node's loop
// alone, one at a time.
type NodeConfig struct {
	// Storage is closed by Node.Close; State is what it holds.
	Storage Storage
	State   State
	// Send carries messages to a member. It must not block, and may lose them.
	Send func(to MemberID, messages []Message)
	// Apply receives every committed entry after the restored snapshot in order, once in the life
	// of the node. An entry that holds no command of the application comes without one.
	Apply func(index Index, command []byte)
	// Restore replaces the application's state by that of an earlier Snapshot, which includes
	// everything up to index.
	Restore func(index Index, data []byte)
	// Snapshot returns the application's state; nil means that it isn't available now, and is asked
	// for again.
	Snapshot func() []byte
	// AppliedIndex is the index up to which the application has finished applying. It is called
	// from any goroutine.
	AppliedIndex func() Index
	Logger       *zap.Logger
}

// Status is what a replica was at the end of the loop's last iteration.
type Status struct {
	Leader        MemberID
	Term          Term
	IsLeader      bool
	StorageFailed bool
	Applied       Index
	Membership    Membership
	// MembershipStable says that the membership is committed and no change is under way.
	MembershipStable bool
	// Progress is what a leader knows of its peers.
	Progress []Progress
	// RejectedMessages counts messages that were dropped as malformed or impossible.
	RejectedMessages uint64
}

// Node runs a Replica over its Storage in one goroutine, which StartNode starts and Close ends. Its
// methods may be called from any goroutine.
type Node struct {
	config    NodeConfig
	replica   *Replica
	startedAt time.Time
	// wake has an element when the queues below aren't empty; stop is closed by Close, and done by
	// the loop when it ends.
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	// mu guards closed, inbox and calls.
	mu     sync.Mutex
	closed bool
	inbox  []delivery
	calls  []call

	// The loop alone uses these.
	pendingCalls  map[Token]call
	openExchanges map[MemberID]chan []Message
	storageFailed bool

	status  atomic.Pointer[Status]
	contact contactTracker
}

// StartNode restores the application from the state and starts the loop. An error is one of
// NewReplica, or of kind Internal.
func StartNode(config NodeConfig) (*Node, error) {
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "replication: a random seed")
	}
	replica, err := NewReplica(ReplicaConfig{State: config.State, Seed: binary.BigEndian.Uint64(seed[:])}, 0)
	if err != nil {
		return nil, err
	}
	if config.State.Snapshot.Index > 0 {
		config.Restore(config.State.Snapshot.Index, config.State.Snapshot.Data)
	}
	config.State = State{} // the replica has it; this copy would keep its memory
	n := &Node{
		config:        config,
		replica:       replica,
		startedAt:     time.Now(),
		wake:          make(chan struct{}, 1),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
		pendingCalls:  map[Token]call{},
		openExchanges: map[MemberID]chan []Message{},
	}
	n.publishStatus(0)
	go n.run()
	return n, nil
}

// Close ends the loop, waits for it and closes the storage. Calls that wait get an error of kind
// Busy when they weren't begun, and DeadlineExceeded when their end isn't known.
func (n *Node) Close() error {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.stop)
	}
	n.mu.Unlock()
	<-n.done
	return n.config.Storage.Close()
}

// now is the time since the node's start.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// ID is the replica's own id.
func (n *Node) ID() MemberID { return n.replica.ID() }

// Status returns what the replica was at the end of the loop's last iteration. It must not be
// changed.
func (n *Node) Status() *Status { return n.status.Load() }

// Contact returns how long ago a majority of the voters is known to have confirmed the leader that
// this node follows. It counts only once the application has applied everything that was committed
// then, so what the node serves is at most that old. ok is false while there is no confirmation.
func (n *Node) Contact() (age time.Duration, ok bool) {
	return n.contact.age(n.now(), n.config.AppliedIndex())
}

// InContact reports whether a majority has lately confirmed what this node serves.
func (n *Node) InContact() bool {
	age, ok := n.Contact()
	return ok && age <= maxContactAge
}

// wakeLoop makes the loop run once more; it never blocks.
func (n *Node) wakeLoop() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
