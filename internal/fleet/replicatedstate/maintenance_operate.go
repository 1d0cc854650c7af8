package replicatedstate

import (
	"errors"
	"slices"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
)

// Plan proposes a maintenance plan and returns its number. The plan has not been committed when Plan returns.
func (n *Node) Plan(now time.Duration, raw []byte) (number uint32, err error) {
	n.now = now
	if n.MachineSource == nil {
		return 0, errNoMachines
	}
	if len(raw) > policyrollout.MaxTextBytes {
		return 0, errPlanTooLong
	}
	p, err := maintenance.Parse(raw)
	if err != nil {
		return 0, err
	}
	machines, _ := n.MachineSource.Machines()
	if err := p.CheckMachines(machines); err != nil {
		return 0, err
	}
	if !n.logStarted(now) {
		return 0, ErrNoContact
	}
	stored := n.texts.add(slices.Clone(raw), n.neededTexts()...)
	step := maintenance.Step{
		Kind: maintenance.Planned, Number: n.maintenance.state.LastPlan + 1, Hash: stored.hash,
		By: n.Self.Number,
	}
	if rejected := n.maintenanceRejection(step); rejected != "" {
		return 0, errors.New(rejected)
	}
	n.pushText(stored)
	n.sendText(n.log.Leader(), stored)
	return step.Number, n.proposeMaintenance(now, step)
}

// Operate proposes an operator's decision: to mark the work in a window as done, or to pause, resume or
// cancel a plan.
func (n *Node) Operate(now time.Duration, kind maintenance.Kind, number uint32) error {
	n.now = now
	if !n.logStarted(now) {
		return ErrNoContact
	}
	step := maintenance.Step{Kind: kind, Number: number, By: n.Self.Number}
	if kind == maintenance.Paused {
		step.Why = "by hand"
	}
	if rejected := n.maintenanceRejection(step); rejected != "" {
		return errors.New(rejected)
	}
	return n.proposeMaintenance(now, step)
}

// logStarted reports whether the log has started and this sidecar holds a grant of its leader.
func (n *Node) logStarted(now time.Duration) bool {
	return n.participant.State().Started && n.Active(now).Mode != policyrollout.CutOff
}

// maintenanceRejection returns why a step would be rejected in the present state; "": it would be accepted.
// The state at the time when the log applies the step decides.
func (n *Node) maintenanceRejection(s maintenance.Step) string {
	copied := n.maintenance.state.Clone()
	return copied.Apply(s)
}

// proposeMaintenance proposes a maintenance step as a log entry.
func (n *Node) proposeMaintenance(now time.Duration, s maintenance.Step) error {
	raw, err := encodeMaintenanceStep(s)
	if err != nil {
		return err
	}
	return n.log.Propose(now, raw)
}
