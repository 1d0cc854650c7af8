package replication

import (
	"context"
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
)

// maxQueuedCalls bounds the calls that wait while the disk stalls.
const maxQueuedCalls = 1024

// call is a proposal, a read (without a command), or an operation on the replica itself.
type call struct {
	ctx       context.Context
	command   []byte
	operation func(now time.Duration, r *Replica) error
	// done receives the result. It has capacity one, so that the loop never waits for the caller.
	done chan callResult
}

type callResult struct {
	index Index
	err   error
}

// Propose returns the index of a command once it is committed and applied here. Errors of kind
// NotLeader, Invalid, TooLarge, Busy and DiskFailed mean that nothing was done; NoQuorum and
// DeadlineExceeded mean that the command may be committed or not.
func (n *Node) Propose(ctx context.Context, command []byte) (index Index, err error) {
	if len(command) == 0 {
		return 0, errs.New(errs.Invalid, "replication: a command is empty")
	}
	return n.submit(call{ctx: ctx, command: command})
}

// Read returns once this replica, being the leader, has confirmed that it still is, and has applied
// everything that was committed before the call. An error is of kind NotLeader, Busy or
// DeadlineExceeded.
func (n *Node) Read(ctx context.Context) error {
	_, err := n.submit(call{ctx: ctx})
	return err
}

// ChangeMembership begins a change of the voters; see Replica.ChangeMembership.
func (n *Node) ChangeMembership(ctx context.Context, voters []MemberID) error {
	return n.runInLoop(ctx, func(now time.Duration, r *Replica) error { return r.ChangeMembership(now, voters) })
}

// SetLearners names the replicas that this node replicates to besides the voters while it leads.
func (n *Node) SetLearners(ctx context.Context, learners []MemberID) error {
	learners = slices.Sorted(slices.Values(learners))
	return n.runInLoop(ctx, func(now time.Duration, r *Replica) error {
		r.SetLearners(now, learners)
		return nil
	})
}

// TransferLeadership asks another voter, but none in leaving, to take over. An error of kind
// NoQuorum means that no voter could.
func (n *Node) TransferLeadership(ctx context.Context, leaving ...MemberID) error {
	return n.runInLoop(ctx, func(now time.Duration, r *Replica) error {
		if !r.TransferLeadership(now, leaving...) {
			return errs.New(errs.NoQuorum, "replication: nobody can take over")
		}
		return nil
	})
}

// runInLoop runs an operation on the replica in the node's loop and returns its error.
func (n *Node) runInLoop(ctx context.Context, operation func(now time.Duration, r *Replica) error) error {
	_, err := n.submit(call{ctx: ctx, operation: operation})
	return err
}

// submit hands a call to the loop and waits for its result.
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

// startCall begins a call in the loop. One whose caller has given up by now is dropped.
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

// completeCalls returns the results of proposals or reads to their callers.
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
