package replicatedstate

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
)

// Errors of calls by operators. Their texts are shown to operators.
var (
	ErrNoContact = errors.New(
		"this sidecar has no grant of a leader now: it may have missed something, nothing is begun",
	)
	errProposalPending = errors.New("a proposal of this sidecar has no outcome yet")
	errAlreadyCurrent  = errors.New("this very policy holds already")
	errNoChange        = errors.New("no change is under way")
)

const (
	maxProposals = 16 // remembered proposals of this sidecar
	// proposalTimeout is the time after which a proposal that is not in the log stops blocking the next
	// proposal.
	proposalTimeout  = 30 * time.Second
	maxLaggardsSent  = 4               // per message, so that the message fits into a datagram
	maxLaggardReason = 30              // bytes
	laggardsLifetime = 2 * time.Second // how long the leader's answer is shown
)

// Proposal is a policy change that an operator proposed at this sidecar.
type Proposal struct {
	policyrollout.Ref
	At      time.Duration // time of the proposal
	Outcome string        // "": no entry of the proposal was applied yet
}

// reportedLaggards is the leader's latest answer about the sidecars that a change waits for.
type reportedLaggards struct {
	at    time.Duration           // when the answer was received
	count int                     // all laggards
	list  []policyrollout.Laggard // those that fit into the answer
}

// Propose proposes a change of the fleet's policy to a text that was edited from version base. The change has
// not been committed when Propose returns; the returned version identifies the change.
func (n *Node) Propose(now time.Duration, raw []byte, base uint32) (policyrollout.Ref, error) {
	n.now = now
	if err := n.checkProposable(now, base); err != nil {
		return policyrollout.Ref{}, err
	}
	if len(raw) > policyrollout.MaxTextBytes {
		return policyrollout.Ref{}, fmt.Errorf(
			"a policy of %d bytes, %d are possible", len(raw), policyrollout.MaxTextBytes,
		)
	}
	s := n.participant.State()
	stored := n.texts.add(slices.Clone(raw), n.neededTexts()...)
	ref := policyrollout.Ref{Version: s.LastVersion + 1, Hash: stored.hash}
	switch {
	case stored.rejection != "":
		return policyrollout.Ref{}, errors.New(stored.rejection)
	case s.Current.Version != 0 && s.Current.Hash == ref.Hash:
		return policyrollout.Ref{}, errAlreadyCurrent
	}
	kind := policyrollout.Proposed
	if stored.chunkCount() > maxPushedChunks { // too long to push: distribute the text before the change
		kind = policyrollout.Offered
	}
	entry, err := policyrollout.Step{Kind: kind, Ref: ref, Base: base, Sidecar: n.Self.Number}.Encode()
	if err != nil {
		return policyrollout.Ref{}, err
	}
	n.pushText(stored) // before the entry, so that most sidecars have the text when they receive the entry
	n.sendText(n.log.Leader(), stored)
	if err := n.log.Propose(now, entry); err != nil {
		return policyrollout.Ref{}, err
	}
	n.proposals = append(n.proposals, Proposal{Ref: ref, At: now})
	n.proposals = n.proposals[max(0, len(n.proposals)-maxProposals):]
	return ref, nil
}

// checkProposable returns why a change that was edited from version base can't be proposed now; nil: it can.
func (n *Node) checkProposable(now time.Duration, base uint32) error {
	s := n.participant.State()
	if n.Active(now).Mode == policyrollout.CutOff {
		return ErrNoContact
	}
	switch {
	case s.Pending.Version != 0 || s.Offered.Version != 0:
		return fmt.Errorf("version %d is under way", s.InProgress())
	case s.Completing != 0:
		return fmt.Errorf("version %d has its outcome, but not all have told that they go by it", s.Completing)
	case base != s.Current.Version:
		return fmt.Errorf(
			"it was made from version %d, version %d holds: look at what has changed", base,
			s.Current.Version,
		)
	}
	for _, proposal := range n.proposals {
		if proposal.Outcome == "" && now-proposal.At < proposalTimeout {
			return errProposalPending
		}
	}
	return nil
}

// Abort proposes to abort the change in progress. The entry has no effect if the change has its outcome
// before the entry is applied.
func (n *Node) Abort(now time.Duration) (version uint32, err error) {
	n.now = now
	p := max(n.participant.State().Pending.Version, n.participant.State().Offered.Version)
	switch {
	case p == 0:
		return 0, errNoChange
	case n.Active(now).Mode == policyrollout.CutOff:
		return 0, ErrNoContact
	}
	entry, err := policyrollout.Step{
		Kind: policyrollout.Aborted, Ref: policyrollout.Ref{Version: p}, Sidecar: n.Self.Number,
		Reason: "by hand",
	}.Encode()
	if err != nil {
		return 0, err
	}
	return p, n.log.Propose(now, entry)
}

// Bootstrap starts a new log with this sidecar as its first voter. Only an operator may start a log: the
// previous log ends, and the policy falls back to the settings.
func (n *Node) Bootstrap(now time.Duration, epoch uint64) error {
	n.now = now
	return n.log.Bootstrap(now, epoch)
}

// applyEntry applies a committed entry of the log.
func (n *Node) applyEntry(e raftlog.Entry) {
	if step, isMaintenance, err := decodeMaintenanceStep(e.Data); isMaintenance {
		n.applyMaintenance(e, step, err)
		return
	}
	s := n.participant.State()
	pending, by := s.Pending, s.ProposedBy
	if pending.Version == 0 {
		pending = s.Offered
	}
	rejected, err := n.participant.ApplyEntry(e.Index, e.Data)
	step, _ := policyrollout.DecodeStep(e.Data)
	switch {
	case err != nil:
		n.Host.HandleEvent(Event{Kind: EntryUnreadable, Sidecar: n.Self.Number, Reason: err.Error()})
		return
	case rejected != "":
		if (step.Kind == policyrollout.Proposed || step.Kind == policyrollout.Offered) && !n.inLog(step.Ref) {
			n.recordOutcome(step, "refused: "+rejected)
			n.Host.HandleEvent(Event{Kind: ChangeRejected, Ref: step.Ref, Sidecar: step.Sidecar, Reason: rejected})
		}
		return
	}
	if step.Kind == policyrollout.Committed || step.Kind == policyrollout.Aborted {
		step.Ref = pending
		n.recordOutcome(policyrollout.Step{Ref: pending, Sidecar: by}, outcomeText(step))
	} else if step.Kind == policyrollout.Proposed || step.Kind == policyrollout.Offered {
		n.recordOutcome(step, "under way")
	}
	n.Host.HandleEvent(
		Event{Kind: EventKind(step.Kind.String()), Ref: step.Ref, Sidecar: step.Sidecar, Reason: step.Reason},
	)
}

// outcomeText returns the outcome of a proposal as operators' output shows it.
func outcomeText(step policyrollout.Step) string {
	if step.Kind == policyrollout.Aborted {
		return fmt.Sprintf("called off by %d: %s", step.Sidecar, step.Reason)
	}
	return "taken"
}

// inLog reports whether the log already contains a version. An entry may occur twice in the log after the
// loss of a leader.
func (n *Node) inLog(r policyrollout.Ref) bool {
	s := n.participant.State()
	return s.Pending == r || s.Offered == r || s.Current == r ||
		slices.ContainsFunc(s.History, func(p policyrollout.PastChange) bool { return p.Ref == r })
}

// recordOutcome records the outcome of a proposal of this sidecar.
func (n *Node) recordOutcome(step policyrollout.Step, outcome string) {
	for i := range n.proposals {
		if step.Sidecar == n.Self.Number && n.proposals[i].Ref == step.Ref {
			n.proposals[i].Outcome = outcome
		}
	}
}
