package maintenance

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// MachineState is what the list says of a machine.
type MachineState int

// The standings.
const (
	MachineDown     MachineState = iota // it was listed lately and is not now
	MachineDraining                     // by the list, or by hand
	MachineReady
)

// Machine is what the leader knows of one now.
type Machine struct {
	ID         uint64
	Name       string
	Zone       string
	Cell       int
	Weight     float64
	State      MachineState  // by the list and by hand, bans of the log left aside
	Warmth     float64       // share of what it can do when warm; 1: warm
	Started    time.Duration // of its process, on a clock of its own; 0: long ago
	Overloaded bool
}

// Snapshot is what the leader knows at a moment. It is what turns are decided by, and nothing of it is kept in the log.
type Snapshot struct {
	Now         time.Duration
	Current     bool // the list is as new as can be
	Machines    []Machine
	Traffic     float64                // requests a second, over all sidecars
	InTime      float64                // share of them that is served in time
	Unreachable int                    // sidecars that have told nothing for a lease: what they send is not known
	Slack       time.Duration          // a lease and the longest deadline: a turn may wait for as long before it is free
	Clear       func(turn uint32) bool // all that are in contact send nothing to its machine, and have nothing out there; the leases of the others, and the longest deadline behind them, are over
	Plan        func(hash [32]byte) (*Plan, bool)
}

const (
	pauseAfter   = 10 * time.Second // traffic out of time for so long stops a plan
	drainTimeout = time.Minute      // a turn that is not free after so long, and what leases and deadlines take, is withdrawn
)

// Leader is the part of the sidecar that leads the log. What it remembers is of its own term: a new one watches anew, so times run longer rather than shorter.
type Leader struct {
	Term uint64
	Self int

	phases      map[uint32]phaseStart // of the turns
	lateSince   time.Duration         // since when traffic is not in time; 0: it is
	waitReasons map[uint32]string     // what a plan waits for
}

// phaseStart is since when a turn is in a phase, as this leader saw it, and when its machine's process had started then.
type phaseStart struct {
	phase   Phase
	at      time.Duration
	started time.Duration
}

// NewLeader begins a term.
func NewLeader(term uint64, self int) *Leader {
	return &Leader{Term: term, Self: self, phases: make(map[uint32]phaseStart), waitReasons: make(map[uint32]string)}
}

// WaitReason is what a plan waits for, as this leader last saw it; "": nothing.
func (l *Leader) WaitReason(plan uint32) string { return l.waitReasons[plan] }

// Decide says what the log needs next; false: nothing now. It is asked again once the entry is there, and as time goes by.
func (l *Leader) Decide(w *Snapshot, s *State) (Step, bool) {
	if s.Term != l.Term {
		return Step{Kind: LeaderStarted, Term: l.Term, By: l.Self}, s.Term < l.Term
	}
	l.observe(w, s)
	for i := range s.Windows {
		if step, due := l.advanceWindow(w, s, &s.Windows[i]); due {
			return step, true
		}
	}
	for i := range s.Plans {
		if step, due := l.advancePlan(w, s, &s.Plans[i]); due {
			return step, true
		}
	}
	return Step{}, false
}

// observe notes how long things have been as they are.
func (l *Leader) observe(w *Snapshot, s *State) {
	for n := range l.phases {
		if s.Window(n) == nil {
			delete(l.phases, n)
		}
	}
	least := 0.0
	for i := range s.Plans {
		if p, here := w.Plan(s.Plans[i].Hash); here {
			least = max(least, p.InTime)
		}
	}
	if w.InTime >= least {
		l.lateSince = 0
	} else if l.lateSince == 0 {
		l.lateSince = w.Now
	}
	for _, t := range s.Windows {
		if was, known := l.phases[t.Number]; !known || was.phase != t.Phase {
			at := phaseStart{phase: t.Phase, at: w.Now}
			if m := find(w.Machines, t.Machine); m != nil {
				at.started = m.Started
			}
			if t.Phase == Returning && known { // it may have started while it was free
				at.started = was.started
			}
			l.phases[t.Number] = at
		}
	}
}

func find(all []Machine, id uint64) *Machine {
	for i := range all {
		if all[i].ID == id {
			return &all[i]
		}
	}
	return nil
}

// step is one of this leader's.
func (l *Leader) step(kind Kind, number uint32, why string) (Step, bool) {
	return Step{Kind: kind, Number: number, Term: l.Term, By: l.Self, Why: why}, true
}

// advanceWindow takes a turn on.
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
		// Up to now nobody has been told that it may be worked on: what has become of the others since counts.
		switch why := l.whyWithdraw(w, s, t, p); {
		case why != "":
			return l.step(Withdrawn, t.Number, why)
		case w.Clear(t.Number) && (p.CutOff != AwaitExpiry || w.Unreachable == 0): // who is out of contact sends by its list
			return l.step(Released, t.Number, "")
		case long > drainTimeout+w.Slack:
			return l.step(Withdrawn, t.Number, "somebody still sends")
		}
	case Free:
		if p != nil && p.DoneWhen == Restarted && m != nil && m.State == MachineReady && m.Started > seen.started {
			return Step{Kind: Done, Number: t.Number, By: l.Self}, true
		}
		if p != nil && work.Paused == "" && long > time.Duration(p.MaxDuration) {
			return Step{Kind: Paused, Number: t.Plan, By: l.Self, Why: fmt.Sprintf("turn %d takes too long", t.Number)}, true
		}
	case Returning:
		back := m != nil && m.State == MachineReady && m.Warmth >= 1
		switch {
		case back && (p == nil || w.InTime >= p.InTime && w.Current):
			return l.step(Closed, t.Number, "")
		case p != nil && work.Paused == "" && long > time.Duration(p.MaxDuration):
			return Step{Kind: Paused, Number: t.Plan, By: l.Self, Why: fmt.Sprintf("turn %d never came back", t.Number)}, true
		}
	}
	return Step{}, false
}

// whyWithdraw says why a turn that is not free yet must not become so; "": it may.
func (l *Leader) whyWithdraw(w *Snapshot, s *State, t *Window, p *Plan) string {
	switch {
	case p == nil:
		return "its plan has ended"
	case !w.Current:
		return "" // in doubt it goes on, and is not freed by doubt alone
	}
	if why := l.whyTooMany(w, s, p, t.Machine); why != "" {
		return "too many are out by now"
	}
	if p.whyOverloaded(w.Machines, machinesOutSet(s), w.Traffic) != "" {
		return "the others are short"
	}
	return ""
}

// machinesOutSet are the machines that the log has out, as carries wants them.
func machinesOutSet(s *State) map[uint64]bool {
	all := make(map[uint64]bool)
	for _, id := range s.MachinesOut() {
		all[id] = true
	}
	return all
}

// advancePlan ends a plan, stops it, or gives the next turn.
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
	return Step{Kind: Opened, Number: s.LastWindow + 1, Plan: work.Number, LastPlan: s.LastPlan, Machine: next.ID, Term: l.Term, By: l.Self}, true
}

// whyBlocked says why nobody goes next, whoever it would be; "": somebody may. When in doubt nobody does.
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
		return "a turn has just been given" // one after the other: else two are decided by one look at the world
	}
	return ""
}

// nextMachine is whose turn it is. Weighed against a search over all orders: with bounds by cell and reserve the greedy order below comes within one turn of it (TestOrder), as turns take about the same time.
// Cells that were touched last come last, so that keyed repeats' windows are over and the cell's other machines warm; then those that are strained, as they serve worst; then those that carry most, while the reserve
// is whole; then by id, for one order everywhere.
func (l *Leader) nextMachine(w *Snapshot, s *State, work *ActivePlan, p *Plan) (best *Machine, why string) {
	touched := make(map[int]int) // cells, by when
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
	sooner := func(a, b *Machine) bool {
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
		if !p.matches(m) || work.Visited[m.ID] || slices.ContainsFunc(s.Windows, func(t Window) bool { return t.Machine == m.ID }) {
			continue
		}
		if no := l.whyNotOut(w, s, m); no != "" {
			why = no
		} else if best == nil || sooner(m, best) {
			best = m
		}
	}
	if best != nil {
		return best, ""
	}
	return nil, why
}

// whyNotOut says why a machine can't go now: by the bounds of all plans, not only of its own.
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

// whyTooMany says which bound of a plan would be broken with a machine out, beside those that are: by the log, down, draining, or cold, for whatever reason.
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
		return "" // nothing of it can be counted
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
