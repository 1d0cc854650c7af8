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

// maxContactAge is the maximum age of a majority's confirmation at which a node counts as in contact.
const maxContactAge = time.Second

// NodeConfig configures a Node. StartNode calls Restore before it returns. Otherwise only the node's
// loop calls Apply, Restore and Snapshot, one at a time.
type NodeConfig struct {
	// Storage persists the node's state. Node.Close closes it. State is the state that it holds.
	Storage Storage
	State   State
	// Send sends messages to a member. It must not block, and it may lose messages.
	Send func(to MemberID, messages []Message)
	// Apply applies a committed entry. It is called in log order, once in the life of the node for each
	// committed entry that the newest restored snapshot does not include. The command of an entry
	// without an application command is empty.
	Apply func(index Index, command []byte)
	// Restore replaces the application's state with data, which an earlier call of Snapshot returned,
	// possibly on another member. The data includes all entries up to index.
	Restore func(index Index, data []byte)
	// Snapshot returns the application's state. It returns nil if the state is currently unavailable.
	// The node then calls Snapshot again later.
	Snapshot func() []byte
	// AppliedIndex returns the index up to which the application has finished applying entries. It
	// must be safe for concurrent use.
	AppliedIndex func() Index
	Logger       *zap.Logger
}

// Status is the status of a node's replica at the end of the last iteration of the loop.
type Status struct {
	Leader        MemberID
	Term          Term
	IsLeader      bool
	StorageFailed bool
	Applied       Index
	Membership    Membership
	// MembershipStable reports whether the membership is committed and no change is in progress.
	MembershipStable bool
	// Progress is the replication status of the leader's peers. It is nil unless IsLeader is set.
	Progress []Progress
	// RejectedMessages counts the messages that were dropped because they were malformed or
	// contradicted the protocol.
	RejectedMessages uint64
}

// Node runs a Replica on a Storage in one goroutine, called the loop. StartNode starts the loop and
// Close stops it. Node is safe for concurrent use.
type Node struct {
	config    NodeConfig
	replica   *Replica
	startedAt time.Time
	// wake has capacity one. It receives an element whenever inbox or calls grow. Close closes stop.
	// The loop closes done when it ends.
	wake chan struct{}
	stop chan struct{}
	done chan struct{}

	// mu guards closed, inbox and calls.
	mu     sync.Mutex
	closed bool
	inbox  []delivery
	calls  []call

	// Only the loop uses the following fields.
	pendingCalls  map[Token]call
	openExchanges map[MemberID]chan []Message
	storageFailed bool

	status  atomic.Pointer[Status]
	contact contactTracker
}

// StartNode restores the application from the snapshot in config.State and starts the loop. It returns
// the errors of NewReplica, and an error of kind Internal if no random seed is available.
func StartNode(config NodeConfig) (*Node, error) {
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "replication: read a random seed")
	}
	replica, err := NewReplica(ReplicaConfig{State: config.State, Seed: binary.BigEndian.Uint64(seed[:])}, 0)
	if err != nil {
		return nil, err
	}
	if config.State.Snapshot.Index > 0 {
		config.Restore(config.State.Snapshot.Index, config.State.Snapshot.Data)
	}
	config.State = State{} // the replica owns the state; a reference here would keep it in memory
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

// Close stops the loop, waits for it to end and closes the storage. A waiting call gets an error of
// kind Busy if the loop has not started it, and of kind DeadlineExceeded if its outcome is unknown.
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

// now returns the time since the node's start.
func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// ID returns the member id of the node's replica.
func (n *Node) ID() MemberID { return n.replica.ID() }

// Status returns the replica's status at the end of the last iteration of the loop. The caller must
// not modify it.
func (n *Node) Status() *Status { return n.status.Load() }

// Contact returns the time since a majority of the voters last confirmed the leader that this node
// follows. A confirmation counts only after the application has applied all entries that were
// committed at that time, so age bounds the staleness of the application's state. ok is false if there
// is no such confirmation of the current leader.
func (n *Node) Contact() (age time.Duration, ok bool) {
	return n.contact.age(n.now(), n.config.AppliedIndex())
}

// InContact reports whether the age returned by Contact is at most maxContactAge.
func (n *Node) InContact() bool {
	age, ok := n.Contact()
	return ok && age <= maxContactAge
}

// wakeLoop makes the loop run another iteration. It never blocks.
func (n *Node) wakeLoop() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
