package replication

import (
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

// maxLoopWait is how long the loop sleeps when nothing at all is due.
const maxLoopWait = time.Minute

// run is the node's goroutine.
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

// runOnce processes everything that waits and does everything that is due.
func (n *Node) runOnce() {
	inbox, calls := n.drainQueues()
	// The time is read once before anything is acted on, so that after a freeze the replica sees
	// how late it is before it does anything.
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

// drainQueues empties the inbox and the queue of calls, and returns what was in them.
func (n *Node) drainQueues() ([]delivery, []call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inbox, calls := n.inbox, n.calls
	n.inbox, n.calls = nil, nil
	return inbox, calls
}

// process does what a Ready asks for, in its order.
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

// save syncs what a Ready wants persisted, and notifies the replica when that fails.
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

// apply hands an entry to the application, which needs only the index of a membership.
func (n *Node) apply(e *Entry) {
	if e.Kind == EntryMembership {
		n.config.Apply(e.Index, nil)
		return
	}
	n.config.Apply(e.Index, e.Command)
}

// publishStatus makes the replica's state visible to other goroutines.
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

// abortAll ends the exchanges and calls that still wait.
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
