package maintenance

import (
	"fmt"
	"math"
	"slices"
)

// advancePlan ends a plan, pauses it, or opens the next window.
func (l *Leader) advancePlan(w *Snapshot, s *State, work *ActivePlan) (Step, bool) {
	p, here := w.Plan(work.Hash)
	l.waitReasons[work.Number] = l.whyBlocked(w, s, work, p, here)
	if !here || work.Paused != "" {
		return Step{}, false
	}
	mine, left := 0, 0
	for _, t := range s.Windows {
		if t.Plan == work.Number {
			mine++
		}
	}
	for i := range w.Machines {
		if m := &w.Machines[i]; p.matches(m) && !work.Visited[m.ID] {
			left++
		}
	}
	switch {
	case !w.Current:
	case mine == 0 && left == 0:
		return l.step(Finished, work.Number, "")
	case mine > 0 && l.lateSince > 0 && w.Now-l.lateSince >= pauseAfter:
		return Step{Kind: Paused, Number: work.Number, By: l.Self, Why: "service got worse"}, true
	}
	if l.waitReasons[work.Number] != "" {
		return Step{}, false
	}
	next, why := l.nextMachine(w, s, work, p)
	if l.waitReasons[work.Number] = why; next == nil {
		return Step{}, false
	}
	return Step{
		Kind: Opened, Number: s.LastWindow + 1, Plan: work.Number, LastPlan: s.LastPlan,
		Machine: next.ID, Term: l.Term, By: l.Self,
	}, true
}

// whyBlocked returns why no machine goes next, whichever it would be; "": one may. In doubt none
// does.
func (l *Leader) whyBlocked(w *Snapshot, s *State, work *ActivePlan, p *Plan, here bool) string {
	switch {
	case !here:
		return "its text is not here yet"
	case work.Paused != "":
		return "paused: " + work.Paused
	case !w.Current:
		return "the list of machines may be old"
	case w.Unreachable > 0 && p.CutOff == AwaitExpiry:
		return fmt.Sprintf("%d sidecars are out of contact", w.Unreachable)
	case w.InTime < p.InTime:
		return fmt.Sprintf("%.0f%% of the requests are in time, %.0f%% are asked for", 100*w.InTime, 100*p.InTime)
	case slices.ContainsFunc(s.Windows, func(t Window) bool { return t.Phase == Draining }):
		return "a turn has just been given" // one after the other: else two are decided by the same snapshot
	}
	return ""
}

// nextMachine returns the machine that goes next, or why there is none. Compared to a search over
// all orders: with bounds by cell and a reserve, the greedy order below comes within one window of
// it (TestOrder), as windows take about the same time. Machines of cells that were touched last
// come last, so that the windows of repeated keyed requests are over and the cell's other machines
// warm; then overloaded machines first, as they serve worst; then those of the highest weight,
// while the reserve is there; then by id, for one order everywhere.
func (l *Leader) nextMachine(w *Snapshot, s *State, work *ActivePlan, p *Plan) (best *Machine, why string) {
	touched := cellsByLastWindow(w, s)
	before := func(a, b *Machine) bool {
		switch {
		case touched[a.Cell] != touched[b.Cell]:
			return touched[a.Cell] < touched[b.Cell]
		case a.Overloaded != b.Overloaded:
			return a.Overloaded
		case a.Weight != b.Weight:
			return a.Weight > b.Weight
		}
		return a.ID < b.ID
	}
	for i := range w.Machines {
		m := &w.Machines[i]
		if !p.matches(m) || work.Visited[m.ID] ||
			slices.ContainsFunc(s.Windows, func(t Window) bool { return t.Machine == m.ID }) {
			continue
		}
		if no := l.whyNotOut(w, s, m); no != "" {
			why = no
		} else if best == nil || before(m, best) {
			best = m
		}
	}
	if best != nil {
		return best, ""
	}
	return nil, why
}

// cellsByLastWindow orders cells by their last window, those with an open one last.
func cellsByLastWindow(w *Snapshot, s *State) map[int]int {
	touched := make(map[int]int)
	for i, t := range s.Past {
		if m := find(w.Machines, t.Machine); m != nil {
			touched[m.Cell] = i + 1
		}
	}
	for _, t := range s.Windows {
		if m := find(w.Machines, t.Machine); m != nil {
			touched[m.Cell] = math.MaxInt
		}
	}
	return touched
}

// whyNotOut returns why a machine can't go out now: by the bounds of all plans, not only of its
// own.
func (l *Leader) whyNotOut(w *Snapshot, s *State, m *Machine) string {
	if m.State == MachineDown {
		return m.Name + " is not listed now"
	}
	without := machinesOutSet(s)
	without[m.ID] = true
	for i := range s.Plans {
		p, here := w.Plan(s.Plans[i].Hash)
		if !here {
			return fmt.Sprintf("the text of plan %d is not here yet", s.Plans[i].Number)
		}
		if why := l.whyTooMany(w, s, p, m.ID); why != "" {
			return why
		}
		if why := p.whyOverloaded(w.Machines, without, w.Traffic); why != "" {
			return why
		}
	}
	return ""
}

// whyTooMany returns which bound of a plan would be broken with one more machine out, beside those
// that are out by the log, down, draining, or warming up, for whatever reason.
func (l *Leader) whyTooMany(w *Snapshot, s *State, p *Plan, with uint64) string {
	turns := make(map[uint64]bool, len(s.Windows)+1)
	for _, t := range s.Windows {
		turns[t.Machine] = true
	}
	turns[with] = true
	all, zones, cells := 0, make(map[string]int), make(map[int]int)
	for i := range w.Machines {
		if m := &w.Machines[i]; turns[m.ID] || m.State != MachineReady || m.Warmth < 1 {
			all++
			zones[m.Zone]++
			cells[m.Cell]++
		}
	}
	it := find(w.Machines, with)
	if it == nil {
		return "" // it is not known
	}
	byZone, byCell := countByZoneAndCell(w.Machines)
	switch {
	case all > p.Out.Fleet.limit(len(w.Machines)):
		return fmt.Sprintf("%d would be out, %d may be", all, p.Out.Fleet.limit(len(w.Machines)))
	case zones[it.Zone] > p.Out.Zone.limit(byZone[it.Zone]):
		return fmt.Sprintf("%d would be out in zone %s", zones[it.Zone], it.Zone)
	case cells[it.Cell] > p.Out.Cell.limit(byCell[it.Cell]):
		return fmt.Sprintf("%d would be out in cell %d", cells[it.Cell], it.Cell)
	}
	return ""
}
