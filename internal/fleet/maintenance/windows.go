package maintenance

import (
	"fmt"
	"time"
)

// advanceWindow returns the next step of a window, if one is due.
func (l *Leader) advanceWindow(snapshot *Snapshot, state *State, window *Window) (Step, bool) {
	observed, machine := l.phases[window.Number], findMachine(snapshot.Machines, window.Machine)
	elapsed := snapshot.Now - observed.start
	active := state.Plan(window.Plan)
	var plan *Plan
	if active != nil {
		plan, _ = snapshot.Plan(active.Hash)
	}
	switch window.Phase {
	case Draining:
		// No operator has been told yet that the machine is free to work on, so the window may still be withdrawn
		// if the remaining machines can't do without it.
		switch reason := l.withdrawReason(snapshot, state, window, plan); {
		case reason != "":
			return l.newStep(Withdrawn, window.Number, reason)
		// Unreachable sidecars may still send requests to the machine.
		case snapshot.Clear(window.Number) && (plan.CutOff != AwaitExpiry || snapshot.Unreachable == 0):
			return l.newStep(Released, window.Number, "")
		case elapsed > drainTimeout+snapshot.Slack:
			return l.newStep(Withdrawn, window.Number, "somebody still sends")
		}
	case Free:
		if plan != nil && plan.DoneWhen == Restarted && machine != nil && machine.State == MachineReady &&
			machine.Started > observed.processStarted {
			return Step{Kind: Done, Number: window.Number, By: l.Self}, true
		}
		if plan != nil && active.Paused == "" && elapsed > time.Duration(plan.MaxDuration) {
			return Step{
				Kind: Paused, Number: window.Plan, By: l.Self,
				Why: fmt.Sprintf("turn %d takes too long", window.Number),
			}, true
		}
	case Returning:
		ready := machine != nil && machine.State == MachineReady && machine.Warmth >= 1
		switch {
		case ready && (plan == nil || snapshot.InTime >= plan.InTime && snapshot.Current):
			return l.newStep(Closed, window.Number, "")
		case plan != nil && active.Paused == "" && elapsed > time.Duration(plan.MaxDuration):
			return Step{
				Kind: Paused, Number: window.Plan, By: l.Self,
				Why: fmt.Sprintf("turn %d never came back", window.Number),
			}, true
		}
	}
	return Step{}, false
}

// withdrawReason returns why a draining window has to be withdrawn; "" if it may go on.
func (l *Leader) withdrawReason(snapshot *Snapshot, state *State, window *Window, plan *Plan) string {
	switch {
	case plan == nil:
		return "its plan has ended"
	case !snapshot.Current:
		return "" // an outdated list of machines is no reason to withdraw the window
	}
	if violation := l.boundViolation(snapshot, state, plan, window.Machine); violation != "" {
		return "too many are out by now"
	}
	if plan.capacityShortfall(snapshot.Machines, machinesOutSet(state), snapshot.Traffic) != "" {
		return "the others are short"
	}
	return ""
}

// machinesOutSet returns the machines that get no new requests because of their windows, as a set.
func machinesOutSet(state *State) map[uint64]bool {
	out := make(map[uint64]bool)
	for _, id := range state.MachinesOut() {
		out[id] = true
	}
	return out
}
