package replicatedstate

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// What an operator's call is refused for.
var (
	ErrNoContact = errors.New("this sidecar has no grant of a leader now: it may have missed something, nothing is begun")
	errUnderWay  = errors.New("a proposal of this sidecar has no outcome yet")
	errSame      = errors.New("this very policy holds already")
	errNothing   = errors.New("no change is under way")
)

const (
	maxProposals     = 16
	proposalTimeout  = 30 * time.Second // a proposal that has not come back stands in the way of the next for so long
	maxLaggardsSent  = 4                // that are told at a time: they have to fit
	maxLaggardReason = 30               // bytes of each one's why
	laggardsLifetime = 2 * time.Second
)

// Proposal is a proposal that was made here.
type Proposal struct {
	policyrollout.Ref
	At      time.Duration
	Outcome string // "": it is not in the log yet
}

// reportedLaggards is whom a change waits for, as its leader told.
type reportedLaggards struct {
	at    time.Duration
	count int
	list  []policyrollout.Laggard
}

// Propose has the fleet change to a policy, made from the version base; the number that it returns is what can be asked on. Nothing has happened yet when it returns.
func (n *Node) Propose(now time.Duration, raw []byte, base uint32) (policyrollout.Ref, error) {
	n.now = now
	s := n.participant.State()
	switch goes := n.Active(now); {
	case goes.Mode == policyrollout.CutOff:
		return policyrollout.Ref{}, ErrNoContact
	case s.Pending.Version != 0 || s.Offered.Version != 0:
		return policyrollout.Ref{}, fmt.Errorf("version %d is under way", s.InProgress())
	case s.Completing != 0:
		return policyrollout.Ref{}, fmt.Errorf("version %d has its outcome, but not all have told that they go by it", s.Completing)
	case base != s.Current.Version:
		return policyrollout.Ref{}, fmt.Errorf("it was made from version %d, version %d holds: look at what has changed", base, s.Current.Version)
	}
	for _, m := range n.proposals {
		if m.Outcome == "" && now-m.At < proposalTimeout {
			return policyrollout.Ref{}, errUnderWay
		}
	}
	if len(raw) > policyrollout.MaxTextBytes {
		return policyrollout.Ref{}, fmt.Errorf("a policy of %d bytes, %d are possible", len(raw), policyrollout.MaxTextBytes)
	}
	x := n.texts.add(slices.Clone(raw), n.neededTexts()...)
	ref := policyrollout.Ref{Version: s.LastVersion + 1, Hash: x.hash}
	switch {
	case x.rejection != "":
		return policyrollout.Ref{}, errors.New(x.rejection)
	case s.Current.Version != 0 && s.Current.Hash == ref.Hash:
		return policyrollout.Ref{}, errSame
	}
	kind := policyrollout.Proposed
	if x.chunkCount() > maxPushedChunks { // it does not go round at once
		kind = policyrollout.Offered
	}
	entry, err := policyrollout.Step{Kind: kind, Ref: ref, Base: base, By: n.Self.Number}.Encode()
	if err != nil {
		return policyrollout.Ref{}, err
	}
	n.pushText(x) // first the text, so that most have it when they hear of the change
	n.sendText(n.log.Leader(), x)
	if err := n.log.Propose(now, entry); err != nil {
		return policyrollout.Ref{}, err
	}
	n.proposals = append(n.proposals, Proposal{Ref: ref, At: now})
	n.proposals = n.proposals[max(0, len(n.proposals)-maxProposals):]
	return ref, nil
}

// Abort calls off what is under way, if it has no outcome by then.
func (n *Node) Abort(now time.Duration) (version uint32, err error) {
	n.now = now
	p := max(n.participant.State().Pending.Version, n.participant.State().Offered.Version)
	switch {
	case p == 0:
		return 0, errNothing
	case n.Active(now).Mode == policyrollout.CutOff:
		return 0, ErrNoContact
	}
	entry, err := policyrollout.Step{Kind: policyrollout.Aborted, Ref: policyrollout.Ref{Version: p}, By: n.Self.Number, Why: "by hand"}.Encode()
	if err != nil {
		return 0, err
	}
	return p, n.log.Propose(now, entry)
}

// Bootstrap begins a log, with this sidecar as its first voter. It is an operator's own act: where an older log was lost it ends with this. The policy is the settings again.
func (n *Node) Bootstrap(now time.Duration, epoch uint64) error {
	n.now = now
	return n.log.Bootstrap(now, epoch)
}

// applyEntry takes an entry of the log.
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
	refused, err := n.participant.ApplyEntry(e.Index, e.Data)
	step, _ := policyrollout.DecodeStep(e.Data)
	switch {
	case err != nil:
		n.Host.Changed(Event{Kind: "entry", By: n.Self.Number, Why: err.Error()})
		return
	case refused != "":
		if (step.Kind == policyrollout.Proposed || step.Kind == policyrollout.Offered) && !n.inLog(step.Ref) {
			n.recordOutcome(step, "refused: "+refused)
			n.Host.Changed(Event{Kind: "refused", Ref: step.Ref, By: step.By, Why: refused})
		}
		return
	}
	if step.Kind == policyrollout.Committed || step.Kind == policyrollout.Aborted {
		step.Ref = pending
		n.recordOutcome(policyrollout.Step{Ref: pending, By: by}, outcomeText(step))
	} else if step.Kind == policyrollout.Proposed || step.Kind == policyrollout.Offered {
		n.recordOutcome(step, "under way")
	}
	n.Host.Changed(Event{Kind: step.Kind.String(), Ref: step.Ref, By: step.By, Why: step.Why})
}

func outcomeText(step policyrollout.Step) string {
	if step.Kind == policyrollout.Aborted {
		return fmt.Sprintf("called off by %d: %s", step.By, step.Why)
	}
	return "taken"
}

// inLog says whether a version is in the log already: where a leader is lost on the way, an entry may stand there twice.
func (n *Node) inLog(r policyrollout.Ref) bool {
	s := n.participant.State()
	return s.Pending == r || s.Offered == r || s.Current == r || slices.ContainsFunc(s.History, func(p policyrollout.Past) bool { return p.Ref == r })
}

// recordOutcome notes what became of a proposal that was made here.
func (n *Node) recordOutcome(step policyrollout.Step, what string) {
	for i := range n.proposals {
		if step.By == n.Self.Number && n.proposals[i].Ref == step.Ref {
			n.proposals[i].Outcome = what
		}
	}
}

// RequestLaggards asks the leader whom a change waits for; it shows in View a moment later.
func (n *Node) RequestLaggards(now time.Duration) {
	n.now = now
	if n.leader == nil {
		n.send(n.log.Leader(), &accordpb.Message{Epoch: n.log.Epoch(), Who: true})
	}
}

func (n *Node) handleLaggards(now time.Duration, from int, m *accordpb.Message) {
	if m.Who && n.leader != nil {
		all := n.leader.Laggards(now, n.participant.State())
		answer := &accordpb.Message{Epoch: n.log.Epoch(), Count: uint32(len(all)) + 1}
		for _, b := range all[:min(len(all), maxLaggardsSent)] {
			answer.Behind = append(answer.Behind, &accordpb.Behind{Number: uint32(b.Number), Why: truncateText(b.Why, maxLaggardReason)})
		}
		n.addMaintenanceStatus(now, answer)
		n.send(from, answer)
	}
	if m.Count > 0 && from == n.log.Leader() {
		n.laggards = reportedLaggards{at: now, count: int(m.Count) - 1}
		for _, b := range m.Behind {
			n.laggards.list = append(n.laggards.list, policyrollout.Laggard{Number: int(b.Number), Why: b.Why})
		}
	}
}

// View is what this sidecar knows, for people.
type View struct {
	Now          time.Duration
	Self         int
	Epoch        uint64
	LastIndex    uint64
	Leader       int // -1: none is known
	Voters       []raftlog.Voter
	State        policyrollout.State
	Active       policyrollout.Active
	ActiveUntil  time.Duration // Goes, at least, unless it is CutOff
	Laggards     []policyrollout.Laggard
	LaggardCount int // for so many, Behind among them; -1: the leader has not told
	Proposals    []Proposal
}

// View is the present one.
func (n *Node) View(now time.Duration) View {
	v := View{
		Now: now, Self: n.Self.Number, Epoch: n.log.Epoch(), LastIndex: n.log.LastIndex(), Leader: n.log.Leader(), Voters: n.log.Voters(), State: *n.participant.State(), Active: n.Active(now),
		ActiveUntil: n.ActiveUntil(), LaggardCount: -1, Proposals: slices.Clone(n.proposals),
	}
	v.State.History = slices.Clone(v.State.History)
	switch {
	case n.leader != nil:
		v.Laggards = n.leader.Laggards(now, n.participant.State())
		v.LaggardCount = len(v.Laggards)
	case n.laggards.at > 0 && now-n.laggards.at < laggardsLifetime:
		v.Laggards, v.LaggardCount = n.laggards.list, n.laggards.count
	}
	return v
}
