package replication

import (
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

// maxLoopWait is the maximum time that the loop sleeps if no action is due earlier.
const maxLoopWait = time.Minute

// run is the loop of the node. It ends when Close is called.
func (n *Node) run() {
	defer close(n.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.stop:
			n.abortAll()
			return
		case <-n.wake:
		case <-timer.C:
		}
		n.runOnce()
		timer.Reset(min(maxLoopWait, max(0, n.replica.NextWake()-n.now())))
	}
}

// runOnce runs one iteration of the loop. It processes the queued messages and calls, and performs all
// actions that are due.
func (n *Node) runOnce() {
	inbox, calls := n.drainQueues()
	// The time is read before any message or call is processed, so that after a pause of the process
	// the replica notices the elapsed time before it acts.
	now := n.now()
	n.replica.Tick(now)
	for i := range inbox {
		n.receive(now, &inbox[i])
	}
	for _, c := range calls {
		n.startCall(now, c)
	}
	for {
		ready, ok := n.replica.Ready(n.now())
		if !ok {
			break
		}
		n.process(&ready)
	}
	n.closeExchanges()
	n.publishStatus(n.now())
}

// drainQueues removes and returns all queued deliveries and calls.
func (n *Node) drainQueues() ([]delivery, []call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inbox, calls := n.inbox, n.calls
	n.inbox, n.calls = nil, nil
	return inbox, calls
}

// process does the work of a Ready in the required order. It then compacts the log if necessary.
func (n *Node) process(ready *Ready) {
	if ready.Persist != nil && !n.save(ready) {
		return
	}
	n.sendMessages(ready.Messages)
	if ready.Restore != nil {
		n.config.Restore(ready.Restore.Index, ready.Restore.Data)
	}
	for i := range ready.CommittedEntries {
		n.apply(&ready.CommittedEntries[i])
	}
	n.replica.Advance(n.now(), ready)
	n.completeCalls(ready.CompletedProposals)
	n.completeCalls(ready.CompletedReads)
	if n.replica.ShouldCompact() {
		if data := n.config.Snapshot(); data != nil {
			n.replica.Compact(data)
		}
	}
}

// save syncs the Persist batch of a Ready to disk. If that fails, save notifies the replica and returns
// false.
func (n *Node) save(ready *Ready) bool {
	if err := n.config.Storage.Save(ready.Persist); err != nil {
		if !n.storageFailed {
			n.config.Logger.Error("log storage write failed, replica inactive until a write succeeds", zap.Error(err))
		}
		n.storageFailed = true
		n.replica.PersistFailed(n.now(), ready)
		return false
	}
	if n.storageFailed {
		n.config.Logger.Info("log storage recovered")
		n.storageFailed = false
	}
	return true
}

// apply passes a committed entry to the application. For a membership entry it passes only the index.
func (n *Node) apply(e *Entry) {
	if e.Kind == EntryMembership {
		n.config.Apply(e.Index, nil)
		return
	}
	n.config.Apply(e.Index, e.Command)
}

// publishStatus updates the status and the contact information that other goroutines read.
func (n *Node) publishStatus(now time.Duration) {
	next := &Status{
		IsLeader:         n.replica.IsLeader(now),
		StorageFailed:    n.replica.StorageFailed(),
		Applied:          n.replica.Applied(),
		Progress:         n.replica.Progress(now),
		RejectedMessages: n.replica.RejectedMessages(),
	}
	next.Leader, next.Term = n.replica.Leader()
	var committed bool
	next.Membership, committed = n.replica.Membership()
	next.MembershipStable = committed && !next.Membership.IsJoint()
	before := n.status.Swap(next)
	if before != nil && (before.Leader != next.Leader || before.Term != next.Term) {
		n.contact.reset()
		n.config.Logger.Info("leader changed",
			zap.Uint64("term", uint64(next.Term)), zap.String("leader", string(next.Leader)))
	}
	if at, index, ok := n.replica.LastQuorumAck(); ok {
		n.contact.record(min(at, now), index)
	}
}

// abortAll ends all waiting exchanges and calls.
func (n *Node) abortAll() {
	inbox, calls := n.drainQueues()
	for _, d := range inbox {
		if d.response != nil {
			close(d.response)
		}
	}
	for _, c := range calls {
		c.done <- callResult{err: errs.New(errs.Busy, "replication: the node is closed")}
	}
	for _, c := range n.pendingCalls {
		err := errs.New(errs.DeadlineExceeded, "replication: the node was closed before the end was known")
		c.done <- callResult{err: err}
	}
}
