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
	mineMost    = 16
	mineWaits   = 30 * time.Second // a proposal that has not come back stands in the way of the next for so long
	behindMost  = 4                // that are told at a time: they have to fit
	behindTold  = 30               // bytes of each one's why
	behindFresh = 2 * time.Second
)

// Mine is a proposal that was made here.
type Mine struct {
	policyrollout.Ref
	At      time.Duration
	Outcome string // "": it is not in the log yet
}

// behindOf is whom a change waits for, as its leader told.
type behindOf struct {
	at    time.Duration
	count int
	some  []policyrollout.Laggard
}

// Propose has the fleet change to a policy, made from the version base; the number that it returns is what can be asked on. Nothing has happened yet when it returns.
func (n *Node) Propose(now time.Duration, raw []byte, base uint32) (policyrollout.Ref, error) {
	n.now = now
	s := n.holder.State()
	switch goes := n.Now(now); {
	case goes.Mode == policyrollout.CutOff:
		return policyrollout.Ref{}, ErrNoContact
	case s.Pending.Version != 0 || s.Offered.Version != 0:
		return policyrollout.Ref{}, fmt.Errorf("version %d is under way", s.InProgress())
	case s.Completing != 0:
		return policyrollout.Ref{}, fmt.Errorf("version %d has its outcome, but not all have told that they go by it", s.Completing)
	case base != s.Current.Version:
		return policyrollout.Ref{}, fmt.Errorf("it was made from version %d, version %d holds: look at what has changed", base, s.Current.Version)
	}
	for _, m := range n.mine {
		if m.Outcome == "" && now-m.At < mineWaits {
			return policyrollout.Ref{}, errUnderWay
		}
	}
	if len(raw) > policyrollout.MaxTextBytes {
		return policyrollout.Ref{}, fmt.Errorf("a policy of %d bytes, %d are possible", len(raw), policyrollout.MaxTextBytes)
	}
	x := n.texts.add(slices.Clone(raw), n.needed()...)
	ref := policyrollout.Ref{Version: s.LastVersion + 1, Hash: x.hash}
	switch {
	case x.why != "":
		return policyrollout.Ref{}, errors.New(x.why)
	case s.Current.Version != 0 && s.Current.Hash == ref.Hash:
		return policyrollout.Ref{}, errSame
	}
	kind := policyrollout.Proposed
	if x.pieces() > pushPieces { // it does not go round at once
		kind = policyrollout.Offered
	}
	entry, err := policyrollout.Step{Kind: kind, Ref: ref, Base: base, By: n.Self.Number}.Encode()
	if err != nil {
		return policyrollout.Ref{}, err
	}
	n.have(x) // first the text, so that most have it when they hear of the change
	n.show(n.log.Leader(), x)
	if err := n.log.Propose(now, entry); err != nil {
		return policyrollout.Ref{}, err
	}
	n.mine = append(n.mine, Mine{Ref: ref, At: now})
	n.mine = n.mine[max(0, len(n.mine)-mineMost):]
	return ref, nil
}

// Abort calls off what is under way, if it has no outcome by then.
func (n *Node) Abort(now time.Duration) (version uint32, err error) {
	n.now = now
	p := max(n.holder.State().Pending.Version, n.holder.State().Offered.Version)
	switch {
	case p == 0:
		return 0, errNothing
	case n.Now(now).Mode == policyrollout.CutOff:
		return 0, ErrNoContact
	}
	entry, err := policyrollout.Step{Kind: policyrollout.Aborted, Ref: policyrollout.Ref{Version: p}, By: n.Self.Number, Why: "by hand"}.Encode()
	if err != nil {
		return 0, err
	}
	return p, n.log.Propose(now, entry)
}

// Found begins a log, with this sidecar as its first voter. It is an operator's own act: where an older log was lost it ends with this. The policy is the settings again.
func (n *Node) Found(now time.Duration, epoch uint64) error {
	n.now = now
	return n.log.Bootstrap(now, epoch)
}

// applied takes an entry of the log.
func (n *Node) applied(e raftlog.Entry) {
	if step, is, err := unwrap(e.Data); is {
		n.appliedWork(e, step, err)
		return
	}
	s := n.holder.State()
	pending, by := s.Pending, s.ProposedBy
	if pending.Version == 0 {
		pending = s.Offered
	}
	refused, err := n.holder.ApplyEntry(e.Index, e.Data)
	step, _ := policyrollout.DecodeStep(e.Data)
	switch {
	case err != nil:
		n.Host.Changed(Event{What: "entry", By: n.Self.Number, Why: err.Error()})
		return
	case refused != "":
		if (step.Kind == policyrollout.Proposed || step.Kind == policyrollout.Offered) && !n.stands(step.Ref) {
			n.fate(step, "refused: "+refused)
			n.Host.Changed(Event{What: "refused", Ref: step.Ref, By: step.By, Why: refused})
		}
		return
	}
	if step.Kind == policyrollout.Committed || step.Kind == policyrollout.Aborted {
		step.Ref = pending
		n.fate(policyrollout.Step{Ref: pending, By: by}, outcome(step))
	} else if step.Kind == policyrollout.Proposed || step.Kind == policyrollout.Offered {
		n.fate(step, "under way")
	}
	n.Host.Changed(Event{What: step.Kind.String(), Ref: step.Ref, By: step.By, Why: step.Why})
}

func outcome(step policyrollout.Step) string {
	if step.Kind == policyrollout.Aborted {
		return fmt.Sprintf("called off by %d: %s", step.By, step.Why)
	}
	return "taken"
}

// stands says whether a version is in the log already: where a leader is lost on the way, an entry may stand there twice.
func (n *Node) stands(r policyrollout.Ref) bool {
	s := n.holder.State()
	return s.Pending == r || s.Offered == r || s.Current == r || slices.ContainsFunc(s.History, func(p policyrollout.Past) bool { return p.Ref == r })
}

// fate notes what became of a proposal that was made here.
func (n *Node) fate(step policyrollout.Step, what string) {
	for i := range n.mine {
		if step.By == n.Self.Number && n.mine[i].Ref == step.Ref {
			n.mine[i].Outcome = what
		}
	}
}

// AskBehind asks the leader whom a change waits for; it shows in View a moment later.
func (n *Node) AskBehind(now time.Duration) {
	n.now = now
	if n.leader == nil {
		n.send(n.log.Leader(), &accordpb.Message{Epoch: n.log.Epoch(), Who: true})
	}
}

func (n *Node) takeBehind(now time.Duration, from int, m *accordpb.Message) {
	if m.Who && n.leader != nil {
		all := n.leader.Laggards(now, n.holder.State())
		answer := &accordpb.Message{Epoch: n.log.Epoch(), Count: uint32(len(all)) + 1}
		for _, b := range all[:min(len(all), behindMost)] {
			answer.Behind = append(answer.Behind, &accordpb.Behind{Number: uint32(b.Number), Why: short(b.Why, behindTold)})
		}
		n.tellWork(now, answer)
		n.send(from, answer)
	}
	if m.Count > 0 && from == n.log.Leader() {
		n.behind = behindOf{at: now, count: int(m.Count) - 1}
		for _, b := range m.Behind {
			n.behind.some = append(n.behind.some, policyrollout.Laggard{Number: int(b.Number), Why: b.Why})
		}
	}
}

// View is what this sidecar knows, for people.
type View struct {
	Now    time.Duration
	Self   int
	Epoch  uint64
	Have   uint64
	Leader int // -1: none is known
	Voters []raftlog.Voter
	State  policyrollout.State
	Goes   policyrollout.Active
	Until  time.Duration // Goes, at least, unless it is CutOff
	Behind []policyrollout.Laggard
	Waits  int // for so many, Behind among them; -1: the leader has not told
	Mine   []Mine
}

// View is the present one.
func (n *Node) View(now time.Duration) View {
	v := View{
		Now: now, Self: n.Self.Number, Epoch: n.log.Epoch(), Have: n.log.LastIndex(), Leader: n.log.Leader(), Voters: n.log.Voters(), State: *n.holder.State(), Goes: n.Now(now),
		Until: n.Until(), Waits: -1, Mine: slices.Clone(n.mine),
	}
	v.State.History = slices.Clone(v.State.History)
	switch {
	case n.leader != nil:
		v.Behind = n.leader.Laggards(now, n.holder.State())
		v.Waits = len(v.Behind)
	case n.behind.at > 0 && now-n.behind.at < behindFresh:
		v.Behind, v.Waits = n.behind.some, n.behind.count
	}
	return v
}
