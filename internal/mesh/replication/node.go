package replication

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

const (
	// maxContactAge is how old a majority's confirmation may be for a replica to be in contact.
	maxContactAge = time.Second
	// maxMessageAge is the age at which a message that waited for the loop is dropped: others may have
	// chosen a new leader since, so it is old news.
	maxMessageAge = MinElectionTimeout
	// maxQueuedDeliveries bounds the messages that wait while the disk stalls; the oldest give way.
	maxQueuedDeliveries = 256
	// maxQueuedCalls bounds the proposals and reads that wait while the disk stalls.
	maxQueuedCalls = 1024
	// maxLoopWait is how long the loop sleeps when nothing at all is due.
	maxLoopWait = time.Minute
)

// NodeConfig is what a node is made of. Apply, Restore and Snapshot are called from the node's loop
// only. Send must not block.
type NodeConfig struct {
	Storage Storage
	State   State
	// Send carries messages to a member; it may lose them.
	Send func(to MemberID, msgs []Message)
	// Apply gets every committed entry in order, once per life, after what Restore brought; one that
	// is no command of the application comes without a command.
	Apply func(index uint64, cmd []byte)
	// Restore puts the state of an earlier Snapshot, with everything up to index, in place of the application's.
	Restore func(index uint64, data []byte)
	// Snapshot returns the application's state; nil: not now, it is asked again.
	Snapshot func() []byte
	// Applied is the index up to which the application has applied all that it was handed.
	AppliedIndex func() uint64
	Logger       *zap.Logger
}

// call is a proposal, a read (without a command), or an operation on the replica itself.
type call struct {
	ctx       context.Context
	command   []byte
	operation func(now time.Duration, r *Replica) error
	done      chan callResult
}

type callResult struct {
	index uint64
	err   error
}

type delivery struct {
	from      MemberID
	messages  []Message
	arrivedAt time.Duration
	// response, when not nil, takes what is to be said to the sender.
	response chan []Message
}

// Status is what a replica last was.
type Status struct {
	Leader        MemberID
	Term          Term
	IsLeader      bool
	StorageFailed bool
	Applied       Index
	Membership    Membership
	// MembershipStable says that the membership is committed and no change is under way.
	MembershipStable bool
	// Progress is what a leader knows of the others.
	Progress []Progress
	// RejectedMessages counts messages that were dropped as no proper ones.
	RejectedMessages uint64
}

// Node runs a Replica over its Storage in one loop.
type Node struct {
	config    NodeConfig
	replica   *Replica
	startedAt time.Time
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}

	mu     sync.Mutex
	closed bool
	inbox  []delivery
	calls  []call

	// Of the loop alone.
	pendingCalls  map[uint64]call
	openExchanges map[MemberID]chan []Message
	storageFailed bool

	status  atomic.Pointer[Status]
	contact contactTracker
}

// StartNode restores the application from the state and starts the loop.
func StartNode(cfg NodeConfig) (*Node, error) {
	var seed [8]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "replication: a random seed")
	}
	replica, err := NewReplica(ReplicaConfig{State: cfg.State, Seed: binary.BigEndian.Uint64(seed[:])}, 0)
	if err != nil {
		return nil, err
	}
	if cfg.State.Snapshot.Index > 0 {
		cfg.Restore(uint64(cfg.State.Snapshot.Index), cfg.State.Snapshot.Data)
	}
	cfg.State = State{}
	n := &Node{
		config:        cfg,
		replica:       replica,
		startedAt:     time.Now(),
		wake:          make(chan struct{}, 1),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
		pendingCalls:  map[uint64]call{},
		openExchanges: map[MemberID]chan []Message{},
	}
	n.publishStatus(0)
	go n.run()
	return n, nil
}

// Close ends the loop and closes the disk. Waiting callers are told that they don't know.
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

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// Propose returns the index of cmd once it is committed and applied here.
// NotLeader, Invalid, TooLarge, Busy and DiskFailed mean that nothing was
// done; NoQuorum and DeadlineExceeded that it may be committed or not.
func (n *Node) Propose(ctx context.Context, cmd []byte) (index uint64, err error) {
	if len(cmd) == 0 {
		return 0, errs.New(errs.Invalid, "replication: a command is empty")
	}
	return n.call(ctx, cmd)
}

// Read returns once this replica, being the leader, has confirmed that it
// still is and has applied everything that was committed before the call.
func (n *Node) Read(ctx context.Context) error {
	_, err := n.call(ctx, nil)
	return err
}

func (n *Node) call(ctx context.Context, cmd []byte) (uint64, error) {
	return n.submit(call{ctx: ctx, command: cmd, done: make(chan callResult, 1)})
}

// submit hands a call to the loop and waits for its end.
func (n *Node) submit(c call) (uint64, error) {
	n.mu.Lock()
	if n.closed || len(n.calls) >= maxQueuedCalls {
		n.mu.Unlock()
		return 0, errs.New(errs.Busy, "replication: the node is closed or has too many callers")
	}
	n.calls = append(n.calls, c)
	n.mu.Unlock()
	n.wakeLoop()
	select {
	case r := <-c.done:
		return r.index, r.err
	case <-c.ctx.Done():
		return 0, errs.Wrap(c.ctx.Err(), errs.DeadlineExceeded, "replication: the caller's time ran out")
	}
}

// runInLoop runs an operation on the replica in the node's loop and returns its error.
func (n *Node) runInLoop(ctx context.Context, operation func(now time.Duration, r *Replica) error) error {
	_, err := n.submit(call{ctx: ctx, operation: operation, done: make(chan callResult, 1)})
	return err
}

// ChangeMembership begins a change of the voters; see Replica.ChangeMembership.
func (n *Node) ChangeMembership(ctx context.Context, voters []MemberID) error {
	return n.runInLoop(ctx, func(now time.Duration, r *Replica) error { return r.ChangeMembership(now, voters) })
}

// SetLearners names the replicas that this node keeps up to date beside the voters while it leads.
func (n *Node) SetLearners(ctx context.Context, learners []MemberID) error {
	learners = slices.Sorted(slices.Values(learners))
	return n.runInLoop(ctx, func(now time.Duration, r *Replica) error {
		r.SetLearners(now, learners)
		return nil
	})
}

// TransferLeadership asks another voter, none of those that are leaving, to take over; an error says
// that nobody could.
func (n *Node) TransferLeadership(ctx context.Context, leaving ...MemberID) error {
	return n.runInLoop(ctx, func(now time.Duration, r *Replica) error {
		if !r.TransferLeadership(now, leaving...) {
			return errs.New(errs.NoQuorum, "replication: nobody can take over")
		}
		return nil
	})
}

// ID is the replica's own id.
func (n *Node) ID() MemberID { return n.replica.ID() }

// Status is what the replica was at the end of the loop's last round.
func (n *Node) Status() *Status { return n.status.Load() }

// Contact says how long ago a majority of the voters is known to have confirmed the leader that this
// node follows. It is counted only once the application has applied all that was committed then, so
// what it serves is at most that old. ok is false while there is no such confirmation.
func (n *Node) Contact() (age time.Duration, ok bool) {
	return n.contact.age(n.now(), n.config.AppliedIndex())
}

// InContact says whether what this node serves is lately confirmed by a majority.
func (n *Node) InContact() bool {
	age, ok := n.Contact()
	return ok && age <= maxContactAge
}

// Deliver takes in messages of a member. It never blocks; when too many wait, the oldest are dropped.
func (n *Node) Deliver(from MemberID, msgs []Message) {
	n.enqueue(delivery{from: from, messages: msgs})
}

// Exchange is Deliver, and returns what the member has to say to the sender
// right away, so that an answer needs no connection of its own.
func (n *Node) Exchange(ctx context.Context, from MemberID, msgs []Message) []Message {
	d := delivery{from: from, messages: msgs, response: make(chan []Message, 1)}
	n.enqueue(d)
	select {
	case answer := <-d.response:
		return answer
	case <-ctx.Done():
	case <-n.done:
	}
	return nil
}

func (n *Node) enqueue(d delivery) {
	d.arrivedAt = n.now()
	n.mu.Lock()
	if len(n.inbox) >= maxQueuedDeliveries {
		if old := n.inbox[0].response; old != nil {
			close(old)
		}
		n.inbox = n.inbox[1:]
	}
	n.inbox = append(n.inbox, d)
	n.mu.Unlock()
	n.wakeLoop()
}

func (n *Node) wakeLoop() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
