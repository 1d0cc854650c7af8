package replicatedstate

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
)

// Errors of operators' calls. Their texts are shown to operators.
var (
	ErrNoContact = errors.New(
		"this sidecar has no grant of a leader now: it may have missed something, nothing is begun",
	)
	errUnderWay = errors.New("a proposal of this sidecar has no outcome yet")
	errSame     = errors.New("this very policy holds already")
	errNothing  = errors.New("no change is under way")
)

const (
	maxProposals = 16
	// after which a proposal that is not in the log no longer blocks the next one
	proposalTimeout  = 30 * time.Second
	maxLaggardsSent  = 4  // per message: they have to fit
	maxLaggardReason = 30 // bytes
	laggardsLifetime = 2 * time.Second
)

// Proposal is a change of policy that was proposed at this sidecar.
type Proposal struct {
	policyrollout.Ref
	At      time.Duration
	Outcome string // "": not in the log yet
}

// reportedLaggards are the sidecars that a change waits for, as its leader told.
type reportedLaggards struct {
	at    time.Duration
	count int
	list  []policyrollout.Laggard
}

// Propose proposes a change of the fleet's policy to a text that was made from version base.
// Nothing has happened yet when it returns: the version that it returns identifies the change.
func (n *Node) Propose(now time.Duration, raw []byte, base uint32) (policyrollout.Ref, error) {
	n.now = now
	if err := n.whyNotProposable(now, base); err != nil {
		return policyrollout.Ref{}, err
	}
	if len(raw) > policyrollout.MaxTextBytes {
		return policyrollout.Ref{}, fmt.Errorf(
			"a policy of %d bytes, %d are possible", len(raw), policyrollout.MaxTextBytes,
		)
	}
	s := n.participant.State()
	x := n.texts.add(slices.Clone(raw), n.neededTexts()...)
	ref := policyrollout.Ref{Version: s.LastVersion + 1, Hash: x.hash}
	switch {
	case x.rejection != "":
		return policyrollout.Ref{}, errors.New(x.rejection)
	case s.Current.Version != 0 && s.Current.Hash == ref.Hash:
		return policyrollout.Ref{}, errSame
	}
	kind := policyrollout.Proposed
	if x.chunkCount() > maxPushedChunks { // too long to be pushed at once
		kind = policyrollout.Offered
	}
	entry, err := policyrollout.Step{Kind: kind, Ref: ref, Base: base, By: n.Self.Number}.Encode()
	if err != nil {
		return policyrollout.Ref{}, err
	}
	n.pushText(x) // the text first, so that most have it when they receive the change
	n.sendText(n.log.Leader(), x)
	if err := n.log.Propose(now, entry); err != nil {
		return policyrollout.Ref{}, err
	}
	n.proposals = append(n.proposals, Proposal{Ref: ref, At: now})
	n.proposals = n.proposals[max(0, len(n.proposals)-maxProposals):]
	return ref, nil
}

// whyNotProposable returns why no change that was made from version base can be proposed now.
func (n *Node) whyNotProposable(now time.Duration, base uint32) error {
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
	for _, m := range n.proposals {
		if m.Outcome == "" && now-m.At < proposalTimeout {
			return errUnderWay
		}
	}
	return nil
}

// Abort proposes to abort the change in progress, if it has no outcome by then.
func (n *Node) Abort(now time.Duration) (version uint32, err error) {
	n.now = now
	p := max(n.participant.State().Pending.Version, n.participant.State().Offered.Version)
	switch {
	case p == 0:
		return 0, errNothing
	case n.Active(now).Mode == policyrollout.CutOff:
		return 0, ErrNoContact
	}
	entry, err := policyrollout.Step{
		Kind: policyrollout.Aborted, Ref: policyrollout.Ref{Version: p}, By: n.Self.Number,
		Why: "by hand",
	}.Encode()
	if err != nil {
		return 0, err
	}
	return p, n.log.Propose(now, entry)
}

// Bootstrap starts a log with this sidecar as its first voter. Only an operator starts it: an older
// log ends with it, and the policy is that of the settings again.
func (n *Node) Bootstrap(now time.Duration, epoch uint64) error {
	n.now = now
	return n.log.Bootstrap(now, epoch)
}

// applyEntry applies an entry of the log.
func (n *Node) applyEntry(e raftlog.Entry) {
	if step, is, err := decodeWork(e.Data); is {
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
		n.Host.Changed(Event{Kind: EntryUnreadable, By: n.Self.Number, Why: err.Error()})
		return
	case rejected != "":
		if (step.Kind == policyrollout.Proposed || step.Kind == policyrollout.Offered) && !n.inLog(step.Ref) {
			n.recordOutcome(step, "refused: "+rejected)
			n.Host.Changed(Event{Kind: ChangeRejected, Ref: step.Ref, By: step.By, Why: rejected})
		}
		return
	}
	if step.Kind == policyrollout.Committed || step.Kind == policyrollout.Aborted {
		step.Ref = pending
		n.recordOutcome(policyrollout.Step{Ref: pending, By: by}, outcomeText(step))
	} else if step.Kind == policyrollout.Proposed || step.Kind == policyrollout.Offered {
		n.recordOutcome(step, "under way")
	}
	n.Host.Changed(Event{Kind: EventKind(step.Kind.String()), Ref: step.Ref, By: step.By, Why: step.Why})
}

func outcomeText(step policyrollout.Step) string {
	if step.Kind == policyrollout.Aborted {
		return fmt.Sprintf("called off by %d: %s", step.By, step.Why)
	}
	return "taken"
}

// inLog reports whether a version is in the log already: an entry may stand there twice after a
// leader was lost.
func (n *Node) inLog(r policyrollout.Ref) bool {
	s := n.participant.State()
	return s.Pending == r || s.Offered == r || s.Current == r ||
		slices.ContainsFunc(s.History, func(p policyrollout.Past) bool { return p.Ref == r })
}

// recordOutcome records what became of a proposal of this sidecar.
func (n *Node) recordOutcome(step policyrollout.Step, what string) {
	for i := range n.proposals {
		if step.By == n.Self.Number && n.proposals[i].Ref == step.Ref {
			n.proposals[i].Outcome = what
		}
	}
}
