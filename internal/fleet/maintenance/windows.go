package maintenance

import (
	"fmt"
	"time"
)

// advanceWindow decides the next step of a window.
func (l *Leader) advanceWindow(w *Snapshot, s *State, t *Window) (Step, bool) {
	seen, m := l.phases[t.Number], find(w.Machines, t.Machine)
	long := w.Now - seen.at
	work := s.Plan(t.Plan)
	var p *Plan
	if work != nil {
		p, _ = w.Plan(work.Hash)
	}
	switch t.Phase {
	case Draining:
		// Nobody has been told yet that the machine may be worked on, so the others' state counts.
		switch why := l.whyWithdraw(w, s, t, p); {
		case why != "":
			return l.step(Withdrawn, t.Number, why)
		// sidecars out of contact may still send to the machine
		case w.Clear(t.Number) && (p.CutOff != AwaitExpiry || w.Unreachable == 0):
			return l.step(Released, t.Number, "")
		case long > drainTimeout+w.Slack:
			return l.step(Withdrawn, t.Number, "somebody still sends")
		}
	case Free:
		if p != nil && p.DoneWhen == Restarted && m != nil && m.State == MachineReady && m.Started > seen.started {
			return Step{Kind: Done, Number: t.Number, By: l.Self}, true
		}
		if p != nil && work.Paused == "" && long > time.Duration(p.MaxDuration) {
			return Step{
				Kind: Paused, Number: t.Plan, By: l.Self,
				Why: fmt.Sprintf("turn %d takes too long", t.Number),
			}, true
		}
	case Returning:
		back := m != nil && m.State == MachineReady && m.Warmth >= 1
		switch {
		case back && (p == nil || w.InTime >= p.InTime && w.Current):
			return l.step(Closed, t.Number, "")
		case p != nil && work.Paused == "" && long > time.Duration(p.MaxDuration):
			return Step{
				Kind: Paused, Number: t.Plan, By: l.Self,
				Why: fmt.Sprintf("turn %d never came back", t.Number),
			}, true
		}
	}
	return Step{}, false
}

// whyWithdraw returns why a window that is not released yet must not be; "": it may.
func (l *Leader) whyWithdraw(w *Snapshot, s *State, t *Window, p *Plan) string {
	switch {
	case p == nil:
		return "its plan has ended"
	case !w.Current:
		return "" // in doubt it goes on, and is not released
	}
	if why := l.whyTooMany(w, s, p, t.Machine); why != "" {
		return "too many are out by now"
	}
	if p.whyOverloaded(w.Machines, machinesOutSet(s), w.Traffic) != "" {
		return "the others are short"
	}
	return ""
}

// machinesOutSet returns the machines that the log has out, as whyOverloaded wants them.
func machinesOutSet(s *State) map[uint64]bool {
	all := make(map[uint64]bool)
	for _, id := range s.MachinesOut() {
		all[id] = true
	}
	return all
}
