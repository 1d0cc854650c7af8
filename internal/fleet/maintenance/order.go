package maintenance

import (
	"fmt"
	"math"
	"slices"
)

// advancePlan finishes a plan, pauses it, or opens its next window.
func (l *Leader) advancePlan(snapshot *Snapshot, state *State, active *ActivePlan) (Step, bool) {
	plan, known := snapshot.Plan(active.Hash)
	l.waitReasons[active.Number] = l.blockReason(snapshot, state, active, plan, known)
	if !known || active.Paused != "" {
		return Step{}, false
	}
	openWindows, remaining := 0, 0
	for _, window := range state.Windows {
		if window.Plan == active.Number {
			openWindows++
		}
	}
	for i := range snapshot.Machines {
		if machine := &snapshot.Machines[i]; plan.matches(machine) && !active.Visited[machine.ID] {
			remaining++
		}
	}
	switch {
	case !snapshot.Current:
	case openWindows == 0 && remaining == 0:
		return l.newStep(Finished, active.Number, "")
	case openWindows > 0 && l.lateSince > 0 && snapshot.Now-l.lateSince >= pauseAfter:
		return Step{Kind: Paused, Number: active.Number, By: l.Self, Why: "service got worse"}, true
	}
	if l.waitReasons[active.Number] != "" {
		return Step{}, false
	}
	next, reason := l.nextMachine(snapshot, state, active, plan)
	if l.waitReasons[active.Number] = reason; next == nil {
		return Step{}, false
	}
	return Step{
		Kind: Opened, Number: state.LastWindow + 1, Plan: active.Number, LastPlan: state.LastPlan,
		Machine: next.ID, Term: l.Term, By: l.Self,
	}, true
}

// blockReason returns why a plan may not open a window now, regardless of the machine; "" if it may. The plan
// waits whenever the fleet's state is uncertain.
func (l *Leader) blockReason(snapshot *Snapshot, state *State, active *ActivePlan, plan *Plan, known bool) string {
	switch {
	case !known:
		return "its text is not here yet"
	case active.Paused != "":
		return "paused: " + active.Paused
	case !snapshot.Current:
		return "the list of machines may be old"
	case snapshot.Unreachable > 0 && plan.CutOff == AwaitExpiry:
		return fmt.Sprintf("%d sidecars are out of contact", snapshot.Unreachable)
	case snapshot.InTime < plan.InTime:
		return fmt.Sprintf(
			"%.0f%% of the requests are in time, %.0f%% are asked for", 100*snapshot.InTime, 100*plan.InTime,
		)
	case slices.ContainsFunc(state.Windows, func(window Window) bool { return window.Phase == Draining }):
		// Windows open one at a time: two windows must not be decided by the same snapshot.
		return "a turn has just been given"
	}
	return ""
}

// nextMachine returns the machine whose window opens next, or the reason why there is none. The order is greedy:
//
//  1. Machines of the cells whose last window opened longest ago come first. This gives the
//     deduplication windows of repeated keyed requests time to end, and the cell's other machines time to warm up.
//  2. Overloaded machines come next, because they serve worst.
//  3. Machines of the highest weight come next, while the reserve is still available.
//  4. Ties are broken by id, so that every leader chooses the same order.
//
// Compared to a search over all orders, with bounds by cell and a reserve, this order needs at most one window
// more, as all windows take about the same time; TestOrder checks the rules.
func (l *Leader) nextMachine(
	snapshot *Snapshot, state *State, active *ActivePlan, plan *Plan,
) (best *Machine, reason string) {
	lastWindow := cellsByLastWindow(snapshot, state)
	before := func(a, b *Machine) bool {
		switch {
		case lastWindow[a.Cell] != lastWindow[b.Cell]:
			return lastWindow[a.Cell] < lastWindow[b.Cell]
		case a.Overloaded != b.Overloaded:
			return a.Overloaded
		case a.Weight != b.Weight:
			return a.Weight > b.Weight
		}
		return a.ID < b.ID
	}
	for i := range snapshot.Machines {
		machine := &snapshot.Machines[i]
		if !plan.matches(machine) || active.Visited[machine.ID] ||
			slices.ContainsFunc(state.Windows, func(window Window) bool { return window.Machine == machine.ID }) {
			continue
		}
		if obstacle := l.exclusionReason(snapshot, state, machine); obstacle != "" {
			reason = obstacle
		} else if best == nil || before(machine, best) {
			best = machine
		}
	}
	if best != nil {
		return best, ""
	}
	return nil, reason
}

// cellsByLastWindow returns, by cell, a rank that grows with the time of the cell's last window; cells with an
// open window have the highest rank, cells without any window have rank 0.
func cellsByLastWindow(snapshot *Snapshot, state *State) map[int]int {
	rank := make(map[int]int)
	for i, window := range state.Past {
		if machine := findMachine(snapshot.Machines, window.Machine); machine != nil {
			rank[machine.Cell] = i + 1
		}
	}
	for _, window := range state.Windows {
		if machine := findMachine(snapshot.Machines, window.Machine); machine != nil {
			rank[machine.Cell] = math.MaxInt
		}
	}
	return rank
}

// exclusionReason returns why a machine may not be taken out now, by the bounds and the reserve of all active
// plans; "" if it may.
func (l *Leader) exclusionReason(snapshot *Snapshot, state *State, machine *Machine) string {
	if machine.State == MachineDown {
		return machine.Name + " is not listed now"
	}
	out := machinesOutSet(state)
	out[machine.ID] = true
	for i := range state.Plans {
		plan, known := snapshot.Plan(state.Plans[i].Hash)
		if !known {
			return fmt.Sprintf("the text of plan %d is not here yet", state.Plans[i].Number)
		}
		if reason := l.boundViolation(snapshot, state, plan, machine.ID); reason != "" {
			return reason
		}
		if reason := plan.capacityShortfall(snapshot.Machines, out, snapshot.Traffic); reason != "" {
			return reason
		}
	}
	return ""
}

// boundViolation returns which bound of a plan would be exceeded if a machine were out; "" if none would. Besides
// this machine, machines count as out if they have an open window, are down or draining, or are warming up.
func (l *Leader) boundViolation(snapshot *Snapshot, state *State, plan *Plan, id uint64) string {
	haveWindow := make(map[uint64]bool, len(state.Windows)+1)
	for _, window := range state.Windows {
		haveWindow[window.Machine] = true
	}
	haveWindow[id] = true
	total, zones, cells := 0, make(map[string]int), make(map[int]int)
	for i := range snapshot.Machines {
		if m := &snapshot.Machines[i]; haveWindow[m.ID] || m.State != MachineReady || m.Warmth < 1 {
			total++
			zones[m.Zone]++
			cells[m.Cell]++
		}
	}
	machine := findMachine(snapshot.Machines, id)
	if machine == nil {
		return "" // the machine's zone and cell are unknown
	}
	byZone, byCell := countByZoneAndCell(snapshot.Machines)
	switch {
	case total > plan.Out.Fleet.limit(len(snapshot.Machines)):
		return fmt.Sprintf("%d would be out, %d may be", total, plan.Out.Fleet.limit(len(snapshot.Machines)))
	case zones[machine.Zone] > plan.Out.Zone.limit(byZone[machine.Zone]):
		return fmt.Sprintf("%d would be out in zone %s", zones[machine.Zone], machine.Zone)
	case cells[machine.Cell] > plan.Out.Cell.limit(byCell[machine.Cell]):
		return fmt.Sprintf("%d would be out in cell %d", cells[machine.Cell], machine.Cell)
	}
	return ""
}
