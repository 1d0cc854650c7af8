package replicatedstate

import (
	"errors"
	"slices"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
)

// Plan proposes a plan of maintenance, and returns its number. Nothing has happened yet when it
// returns.
func (n *Node) Plan(now time.Duration, raw []byte) (number uint32, err error) {
	n.now = now
	if n.Work == nil {
		return 0, errNoMachines
	}
	if len(raw) > policyrollout.MaxTextBytes {
		return 0, errPlanTooLong
	}
	p, err := maintenance.Parse(raw)
	if err != nil {
		return 0, err
	}
	machines, _ := n.Work.Machines()
	if err := p.CheckMachines(machines); err != nil {
		return 0, err
	}
	if !n.logStarted(now) {
		return 0, ErrNoContact
	}
	x := n.texts.add(slices.Clone(raw), n.neededTexts()...)
	step := maintenance.Step{
		Kind: maintenance.Planned, Number: n.maintenance.state.LastPlan + 1, Hash: x.hash,
		By: n.Self.Number,
	}
	if rejected := n.whyRejected(step); rejected != "" {
		return 0, errors.New(rejected)
	}
	n.pushText(x)
	n.sendText(n.log.Leader(), x)
	return step.Number, n.proposeMaintenance(now, step)
}

// Operate proposes an operator's decision on a plan or a window: it is done, or the plan is to
// pause, to resume, or to be cancelled.
func (n *Node) Operate(now time.Duration, kind maintenance.Kind, number uint32) error {
	n.now = now
	if !n.logStarted(now) {
		return ErrNoContact
	}
	step := maintenance.Step{Kind: kind, Number: number, By: n.Self.Number}
	if kind == maintenance.Paused {
		step.Why = "by hand"
	}
	if rejected := n.whyRejected(step); rejected != "" {
		return errors.New(rejected)
	}
	return n.proposeMaintenance(now, step)
}

// logStarted reports whether this sidecar is in contact with a log that has started.
func (n *Node) logStarted(now time.Duration) bool {
	return n.participant.State().Started && n.Active(now).Mode != policyrollout.CutOff
}

// whyRejected returns why an entry would change nothing now; "": it would. The log decides in the
// end.
func (n *Node) whyRejected(s maintenance.Step) string {
	copied := n.maintenance.state.Clone()
	return copied.Apply(s)
}

func (n *Node) proposeMaintenance(now time.Duration, s maintenance.Step) error {
	raw, err := encodeWork(s)
	if err != nil {
		return err
	}
	return n.log.Propose(now, raw)
}
