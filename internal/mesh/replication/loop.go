package replication

import (
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

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

// runOnce takes in all that waits and does all that is due.
func (n *Node) runOnce() {
	n.mu.Lock()
	inbox, calls := n.inbox, n.calls
	n.inbox, n.calls = nil, nil
	n.mu.Unlock()
	// The time is taken once before anything is acted on, so that after a
	// freeze the replica sees how late it is before it does a thing.
	now := n.now()
	n.replica.Tick(now)
	for _, d := range inbox {
		if d.response != nil {
			n.replaceExchange(d.from, d.response)
		}
		if now-d.arrivedAt > maxMessageAge {
			continue
		}
		for i := range d.messages {
			n.replica.Step(now, d.from, d.messages[i])
		}
	}
	for _, c := range calls {
		n.startCall(now, c)
	}
	for {
		r, some := n.replica.Ready(n.now())
		if !some {
			break
		}
		n.process(&r)
	}
	for from, answer := range n.openExchanges {
		close(answer)
		delete(n.openExchanges, from)
	}
	n.publishStatus(n.now())
}

// replaceExchange keeps the newest exchange of a sender; an older one gets no answer.
func (n *Node) replaceExchange(from MemberID, answer chan []Message) {
	if old := n.openExchanges[from]; old != nil {
		close(old)
	}
	n.openExchanges[from] = answer
}

func (n *Node) startCall(now time.Duration, c call) {
	if c.ctx.Err() != nil {
		// The caller has gone while the loop was held up.
		return
	}
	if c.operation != nil {
		c.done <- callResult{err: c.operation(now, n.replica)}
		return
	}
	var token uint64
	var err error
	if c.command != nil {
		token, err = n.replica.Propose(now, c.command)
	} else {
		token, err = n.replica.Read(now)
	}
	if err != nil {
		c.done <- callResult{err: err}
		return
	}
	n.pendingCalls[token] = c
}

// process does what a Ready asks for, in its order.
func (n *Node) process(r *Ready) {
	if r.Persist != nil {
		if err := n.config.Storage.Save(r.Persist); err != nil {
			if !n.storageFailed {
				n.config.Logger.Error("the log's disk refuses to write; this replica is silent until it does", zap.Error(err))
			}
			n.storageFailed = true
			n.replica.PersistFailed(n.now(), r)
			return
		}
		if n.storageFailed {
			n.config.Logger.Info("the log's disk writes again")
			n.storageFailed = false
		}
	}
	n.sendMessages(r.Messages)
	if r.Restore != nil {
		n.config.Restore(uint64(r.Restore.Index), r.Restore.Data)
	}
	for i := range r.CommittedEntries {
		n.apply(&r.CommittedEntries[i])
	}
	n.replica.Advance(n.now(), r)
	n.completeCalls(r.CompletedProposals)
	n.completeCalls(r.CompletedReads)
	if n.replica.ShouldCompact() {
		if data := n.config.Snapshot(); data != nil {
			n.replica.Compact(data)
		}
	}
}

// apply hands an entry to the application; a membership is none of its business but its index.
func (n *Node) apply(e *Entry) {
	if e.Kind == EntryMembership {
		n.config.Apply(uint64(e.Index), nil)
		return
	}
	n.config.Apply(uint64(e.Index), e.Command)
}

func (n *Node) completeCalls(settled []Completion) {
	for _, s := range settled {
		c, ok := n.pendingCalls[s.Token]
		if !ok {
			continue
		}
		delete(n.pendingCalls, s.Token)
		switch {
		case !s.Aborted:
			c.done <- callResult{index: uint64(s.Index)}
		case c.command != nil:
			c.done <- callResult{err: errs.New(errs.NoQuorum, "replication: the term ended before the command was committed; it may be or not")}
		default:
			c.done <- callResult{err: errs.New(errs.NotLeader, "replication: the term ended before the read was confirmed")}
		}
	}
}

// sendMessages hands over messages by receiver, in their order; what is for a
// replica whose exchange waits goes back on it.
func (n *Node) sendMessages(out []Envelope) {
	for i := 0; i < len(out); i++ {
		to := out[i].To
		if to == "" {
			continue
		}
		var msgs []Message
		for j := i; j < len(out); j++ {
			if out[j].To == to {
				msgs = append(msgs, out[j].Message)
				out[j].To = ""
			}
		}
		if answer := n.openExchanges[to]; answer != nil {
			answer <- msgs
			delete(n.openExchanges, to)
			continue
		}
		n.config.Send(to, msgs)
	}
}

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
		n.config.Logger.Info("term", zap.Uint64("number", uint64(next.Term)), zap.String("leader", string(next.Leader)))
	}
	if at, index, ok := n.replica.LastQuorumAck(); ok {
		n.contact.record(min(at, now), uint64(index))
	}
}

// abortAll ends the exchanges and callers that still wait.
func (n *Node) abortAll() {
	n.mu.Lock()
	inbox, calls := n.inbox, n.calls
	n.inbox, n.calls = nil, nil
	n.mu.Unlock()
	for _, d := range inbox {
		if d.response != nil {
			close(d.response)
		}
	}
	for _, c := range calls {
		c.done <- callResult{err: errs.New(errs.Busy, "replication: the node is closed")}
	}
	for _, c := range n.pendingCalls {
		c.done <- callResult{err: errs.New(errs.DeadlineExceeded, "replication: the node was closed before the end was known")}
	}
}
