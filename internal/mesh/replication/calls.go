package replication

import (
	"context"
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
)

// maxQueuedCalls bounds the calls that wait for the loop while a disk write stalls.
const maxQueuedCalls = 1024

// call is a request to the loop: a proposal if command is set, a function to run on the replica if
// operation is set, and a read otherwise.
type call struct {
	ctx       context.Context
	command   []byte
	operation func(now time.Duration, r *Replica) error
	// done receives the result. It has capacity one, so that the loop never blocks on the caller.
	done chan callResult
}

type callResult struct {
	index Index
	err   error
}

// Propose appends a command to the log. It returns the command's index after the command is committed
// and passed to the local application. After an error of kind NotLeader, Invalid, TooLarge, Busy or
// DiskFailed, the command was not appended. After an error of kind NoQuorum or DeadlineExceeded, the
// command may or may not be committed.
func (n *Node) Propose(ctx context.Context, command []byte) (index Index, err error) {
	if len(command) == 0 {
		return 0, errs.New(errs.Invalid, "replication: a command is empty")
	}
	return n.submit(call{ctx: ctx, command: command})
}

// Read returns nil after a majority has confirmed that this replica is the leader, and all entries that
// were committed before the call have been passed to the local application. An error is of kind
// NotLeader, Busy or DeadlineExceeded.
func (n *Node) Read(ctx context.Context) error {
	_, err := n.submit(call{ctx: ctx})
	return err
}

// ChangeMembership starts a change of the voters. See Replica.ChangeMembership.
func (n *Node) ChangeMembership(ctx context.Context, voters []MemberID) error {
	return n.runInLoop(ctx, func(now time.Duration, r *Replica) error { return r.ChangeMembership(now, voters) })
}

// SetLearners sets the replicas that this node, while it is the leader, replicates to in addition to
// the voters.
func (n *Node) SetLearners(ctx context.Context, learners []MemberID) error {
	learners = slices.Sorted(slices.Values(learners))
	return n.runInLoop(ctx, func(now time.Duration, r *Replica) error {
		r.SetLearners(now, learners)
		return nil
	})
}

// TransferLeadership asks a voter that is not in leaving to become the leader. It returns an error of
// kind NoQuorum if this node is not the leader or if no such voter is caught up.
func (n *Node) TransferLeadership(ctx context.Context, leaving ...MemberID) error {
	return n.runInLoop(ctx, func(now time.Duration, r *Replica) error {
		if !r.TransferLeadership(now, leaving...) {
			return errs.New(errs.NoQuorum, "replication: no caught-up voter is available for a leadership transfer")
		}
		return nil
	})
}

// runInLoop runs an operation on the replica in the loop and returns the operation's error.
func (n *Node) runInLoop(ctx context.Context, operation func(now time.Duration, r *Replica) error) error {
	_, err := n.submit(call{ctx: ctx, operation: operation})
	return err
}

// submit queues a call for the loop and waits for its result.
func (n *Node) submit(c call) (Index, error) {
	c.done = make(chan callResult, 1)
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

// startCall starts a call in the loop. It drops a call whose context is already done.
func (n *Node) startCall(now time.Duration, c call) {
	if c.ctx.Err() != nil {
		return
	}
	if c.operation != nil {
		c.done <- callResult{err: c.operation(now, n.replica)}
		return
	}
	token, err := n.startRequest(now, c)
	if err != nil {
		c.done <- callResult{err: err}
		return
	}
	n.pendingCalls[token] = c
}

func (n *Node) startRequest(now time.Duration, c call) (Token, error) {
	if c.command != nil {
		return n.replica.Propose(now, c.command)
	}
	return n.replica.Read(now)
}

// completeCalls sends the results of completed proposals or reads to their callers.
func (n *Node) completeCalls(completed []Completion) {
	for _, completion := range completed {
		c, ok := n.pendingCalls[completion.Token]
		if !ok {
			continue
		}
		delete(n.pendingCalls, completion.Token)
		c.done <- c.result(completion)
	}
}

func (c *call) result(completion Completion) callResult {
	switch {
	case !completion.Aborted:
		return callResult{index: completion.Index}
	case c.command != nil:
		return callResult{err: errs.New(errs.NoQuorum,
			"replication: the term ended before the command was committed; it may be or not")}
	}
	return callResult{err: errs.New(errs.NotLeader, "replication: the term ended before the read was confirmed")}
}
