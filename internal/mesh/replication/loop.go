package replication

import (
	"time"

	"go.uber.org/zap"

	"caperarch/internal/mesh/errs"
)

func (n *Node) run() {
	defer close(n.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.stop:
			n.abandon()
			return
		case <-n.wake:
		case <-timer.C:
		}
		n.round()
		timer.Reset(min(longestWait, max(0, n.replica.NextWake()-n.now())))
	}
}

// round takes in all that waits and does all that is due.
func (n *Node) round() {
	n.mu.Lock()
	inbox, calls := n.inbox, n.calls
	n.inbox, n.calls = nil, nil
	n.mu.Unlock()
	// The time is taken once before anything is acted on, so that after a
	// freeze the replica sees how late it is before it does a thing.
	now := n.now()
	n.replica.Tick(now)
	for _, d := range inbox {
		if d.answer != nil {
			n.supersede(d.from, d.answer)
		}
		if now-d.at > staleAfter {
			continue
		}
		for i := range d.msgs {
			n.replica.Step(now, d.from, d.msgs[i])
		}
	}
	for _, c := range calls {
		n.begin(now, c)
	}
	for {
		r, some := n.replica.Ready(n.now())
		if !some {
			break
		}
		n.do(&r)
	}
	for from, answer := range n.answers {
		close(answer)
		delete(n.answers, from)
	}
	n.publish(n.now())
}

// supersede keeps the newest exchange of a sender; an older one gets no answer.
func (n *Node) supersede(from MemberID, answer chan []Message) {
	if old := n.answers[from]; old != nil {
		close(old)
	}
	n.answers[from] = answer
}

func (n *Node) begin(now time.Duration, c call) {
	if c.ctx.Err() != nil {
		// The caller has gone while the loop was held up.
		return
	}
	if c.operation != nil {
		c.done <- result{err: c.operation(now, n.replica)}
		return
	}
	var token uint64
	var err error
	if c.cmd != nil {
		token, err = n.replica.Propose(now, c.cmd)
	} else {
		token, err = n.replica.Read(now)
	}
	if err != nil {
		c.done <- result{err: err}
		return
	}
	n.waiting[token] = c
}

// do does what a Ready asks for, in its order.
func (n *Node) do(r *Ready) {
	if r.Persist != nil {
		if err := n.cfg.Storage.Save(r.Persist); err != nil {
			if !n.sick {
				n.cfg.Logger.Error("the log's disk refuses to write; this replica is silent until it does", zap.Error(err))
			}
			n.sick = true
			n.replica.PersistFailed(n.now(), r)
			return
		}
		if n.sick {
			n.cfg.Logger.Info("the log's disk writes again")
			n.sick = false
		}
	}
	n.sendAll(r.Messages)
	if r.Restore != nil {
		n.cfg.Restore(uint64(r.Restore.Index), r.Restore.Data)
	}
	for i := range r.CommittedEntries {
		n.apply(&r.CommittedEntries[i])
	}
	n.replica.Advance(n.now(), r)
	n.tell(r.CompletedProposals)
	n.tell(r.CompletedReads)
	if n.replica.WantsSnapshot() {
		if data := n.cfg.Snapshot(); data != nil {
			n.replica.Compact(data)
		}
	}
}

// apply hands an entry to the application; a membership is none of its business but its index.
func (n *Node) apply(e *Entry) {
	if e.Kind == EntryMembership {
		n.cfg.Apply(uint64(e.Index), nil)
		return
	}
	n.cfg.Apply(uint64(e.Index), e.Command)
}

func (n *Node) tell(settled []Completion) {
	for _, s := range settled {
		c, ok := n.waiting[s.Token]
		if !ok {
			continue
		}
		delete(n.waiting, s.Token)
		switch {
		case !s.Aborted:
			c.done <- result{index: uint64(s.Index)}
		case c.cmd != nil:
			c.done <- result{err: errs.New(errs.NoQuorum, "replication: the term ended before the command was committed; it may be or not")}
		default:
			c.done <- result{err: errs.New(errs.NotLeader, "replication: the term ended before the read was confirmed")}
		}
	}
}

// sendAll hands over messages by receiver, in their order; what is for a
// replica whose exchange waits goes back on it.
func (n *Node) sendAll(out []Envelope) {
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
		if answer := n.answers[to]; answer != nil {
			answer <- msgs
			delete(n.answers, to)
			continue
		}
		n.cfg.Send(to, msgs)
	}
}

func (n *Node) publish(now time.Duration) {
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
		n.cfg.Logger.Info("term", zap.Uint64("number", uint64(next.Term)), zap.String("leader", string(next.Leader)))
	}
	if at, index, ok := n.replica.LastQuorumAck(); ok {
		n.contact.confirm(min(at, now), uint64(index))
	}
}

// abandon ends the exchanges and callers that still wait.
func (n *Node) abandon() {
	n.mu.Lock()
	inbox, calls := n.inbox, n.calls
	n.inbox, n.calls = nil, nil
	n.mu.Unlock()
	for _, d := range inbox {
		if d.answer != nil {
			close(d.answer)
		}
	}
	for _, c := range calls {
		c.done <- result{err: errs.New(errs.Busy, "replication: the node is closed")}
	}
	for _, c := range n.waiting {
		c.done <- result{err: errs.New(errs.DeadlineExceeded, "replication: the node was closed before the end was known")}
	}
}
