package maintenance

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Standing is what the list says of a machine.
type Standing int

// The standings.
const (
	Down     Standing = iota // it was listed lately and is not now
	Draining                 // by the list, or by hand
	Ready
)

// Machine is what the leader knows of one now.
type Machine struct {
	ID       uint64
	Name     string
	Zone     string
	Cell     int
	Weight   float64
	State    Standing      // by the list and by hand, bans of the log left aside
	Warmth   float64       // share of what it can do when warm; 1: warm
	Started  time.Duration // of its process, on a clock of its own; 0: long ago
	Strained bool
}

// World is what the leader knows at a moment. It is what turns are decided by, and nothing of it is kept in the log.
type World struct {
	Now      time.Duration
	Current  bool // the list is as new as can be
	Machines []Machine
	Traffic  float64                // requests a second, over all sidecars
	InTime   float64                // share of them that is served in time
	Unheard  int                    // sidecars that have told nothing for a lease: what they send is not known
	Slack    time.Duration          // a lease and the longest deadline: a turn may wait for as long before it is free
	Clear    func(turn uint32) bool // all that are in contact send nothing to its machine, and have nothing out there; the leases of the others, and the longest deadline behind them, are over
	Plan     func(hash [32]byte) (*Plan, bool)
}

const (
	badFor   = 10 * time.Second // traffic out of time for so long stops a plan
	leaveFor = time.Minute      // a turn that is not free after so long, and what leases and deadlines take, is withdrawn
)

// Leader is the part of the sidecar that leads the log. What it remembers is of its own term: a new one watches anew, so times run longer rather than shorter.
type Leader struct {
	Term uint64
	Self int

	since map[uint32]phaseAt // of the turns
	badAt time.Duration      // since when traffic is not in time; 0: it is
	why   map[uint32]string  // what a plan waits for
}

// phaseAt is since when a turn is in a phase, as this leader saw it, and when its machine's process had started then.
type phaseAt struct {
	phase   Phase
	at      time.Duration
	started time.Duration
}

// NewLeader begins a term.
func NewLeader(term uint64, self int) *Leader {
	return &Leader{Term: term, Self: self, since: make(map[uint32]phaseAt), why: make(map[uint32]string)}
}

// Waits is what a plan waits for, as this leader last saw it; "": nothing.
func (l *Leader) Waits(plan uint32) string { return l.why[plan] }

// Decide says what the log needs next; false: nothing now. It is asked again once the entry is there, and as time goes by.
func (l *Leader) Decide(w *World, s *State) (Step, bool) {
	if s.Term != l.Term {
		return Step{Kind: Leads, Term: l.Term, By: l.Self}, s.Term < l.Term
	}
	l.watch(w, s)
	for i := range s.Turns {
		if step, due := l.onTurn(w, s, &s.Turns[i]); due {
			return step, true
		}
	}
	for i := range s.Works {
		if step, due := l.onPlan(w, s, &s.Works[i]); due {
			return step, true
		}
	}
	return Step{}, false
}

// watch notes how long things have been as they are.
func (l *Leader) watch(w *World, s *State) {
	for n := range l.since {
		if s.Turn(n) == nil {
			delete(l.since, n)
		}
	}
	least := 0.0
	for i := range s.Works {
		if p, here := w.Plan(s.Works[i].Hash); here {
			least = max(least, p.InTime)
		}
	}
	if w.InTime >= least {
		l.badAt = 0
	} else if l.badAt == 0 {
		l.badAt = w.Now
	}
	for _, t := range s.Turns {
		if was, known := l.since[t.Number]; !known || was.phase != t.Phase {
			at := phaseAt{phase: t.Phase, at: w.Now}
			if m := find(w.Machines, t.Machine); m != nil {
				at.started = m.Started
			}
			if t.Phase == Returning && known { // it may have started while it was free
				at.started = was.started
			}
			l.since[t.Number] = at
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

// onTurn takes a turn on.
func (l *Leader) onTurn(w *World, s *State, t *Turn) (Step, bool) {
	seen, m := l.since[t.Number], find(w.Machines, t.Machine)
	long := w.Now - seen.at
	work := s.Work(t.Plan)
	var p *Plan
	if work != nil {
		p, _ = w.Plan(work.Hash)
	}
	switch t.Phase {
	case Leaving:
		// Up to now nobody has been told that it may be worked on: what has become of the others since counts.
		switch why := l.leaving(w, s, t, p); {
		case why != "":
			return l.step(Withdrawn, t.Number, why)
		case w.Clear(t.Number) && (p.CutOff != Awaited || w.Unheard == 0): // who is out of contact sends by its list
			return l.step(Freed, t.Number, "")
		case long > leaveFor+w.Slack:
			return l.step(Withdrawn, t.Number, "somebody still sends")
		}
	case Free:
		if p != nil && p.Back == Started && m != nil && m.State == Ready && m.Started > seen.started {
			return Step{Kind: Done, Number: t.Number, By: l.Self}, true
		}
		if p != nil && work.Paused == "" && long > time.Duration(p.Longest) {
			return Step{Kind: Paused, Number: t.Plan, By: l.Self, Why: fmt.Sprintf("turn %d takes too long", t.Number)}, true
		}
	case Returning:
		back := m != nil && m.State == Ready && m.Warmth >= 1
		switch {
		case back && (p == nil || w.InTime >= p.InTime && w.Current):
			return l.step(Over, t.Number, "")
		case p != nil && work.Paused == "" && long > time.Duration(p.Longest):
			return Step{Kind: Paused, Number: t.Plan, By: l.Self, Why: fmt.Sprintf("turn %d never came back", t.Number)}, true
		}
	}
	return Step{}, false
}

// leaving says why a turn that is not free yet must not become so; "": it may.
func (l *Leader) leaving(w *World, s *State, t *Turn, p *Plan) string {
	switch {
	case p == nil:
		return "its plan has ended"
	case !w.Current:
		return "" // in doubt it goes on, and is not freed by doubt alone
	}
	if why := l.tooMany(w, s, p, t.Machine); why != "" {
		return "too many are out by now"
	}
	if p.carries(w.Machines, out(s), w.Traffic) != "" {
		return "the others are short"
	}
	return ""
}

// out are the machines that the log has out, as carries wants them.
func out(s *State) map[uint64]bool {
	all := make(map[uint64]bool)
	for _, id := range s.Out() {
		all[id] = true
	}
	return all
}

// onPlan ends a plan, stops it, or gives the next turn.
func (l *Leader) onPlan(w *World, s *State, work *Work) (Step, bool) {
	p, here := w.Plan(work.Hash)
	l.why[work.Number] = l.blocked(w, s, work, p, here)
	if !here || work.Paused != "" {
		return Step{}, false
	}
	mine, left := 0, 0
	for _, t := range s.Turns {
		if t.Plan == work.Number {
			mine++
		}
	}
	for i := range w.Machines {
		if m := &w.Machines[i]; p.names(m) && !work.Worked[m.ID] {
			left++
		}
	}
	switch {
	case !w.Current:
	case mine == 0 && left == 0:
		return l.step(Finished, work.Number, "")
	case mine > 0 && l.badAt > 0 && w.Now-l.badAt >= badFor:
		return Step{Kind: Paused, Number: work.Number, By: l.Self, Why: "service got worse"}, true
	}
	if l.why[work.Number] != "" {
		return Step{}, false
	}
	next, why := l.next(w, s, work, p)
	if l.why[work.Number] = why; next == nil {
		return Step{}, false
	}
	return Step{Kind: Given, Number: s.LastTurn + 1, Plan: work.Number, Plans: s.LastPlan, Machine: next.ID, Term: l.Term, By: l.Self}, true
}

// blocked says why nobody goes next, whoever it would be; "": somebody may. When in doubt nobody does.
func (l *Leader) blocked(w *World, s *State, work *Work, p *Plan, here bool) string {
	switch {
	case !here:
		return "its text is not here yet"
	case work.Paused != "":
		return "paused: " + work.Paused
	case !w.Current:
		return "the list of machines may be old"
	case w.Unheard > 0 && p.CutOff == Awaited:
		return fmt.Sprintf("%d sidecars are out of contact", w.Unheard)
	case w.InTime < p.InTime:
		return fmt.Sprintf("%.0f%% of the requests are in time, %.0f%% are asked for", 100*w.InTime, 100*p.InTime)
	case slices.ContainsFunc(s.Turns, func(t Turn) bool { return t.Phase == Leaving }):
		return "a turn has just been given" // one after the other: else two are decided by one look at the world
	}
	return ""
}

// next is whose turn it is. Weighed against a search over all orders: with bounds by cell and reserve the greedy order below comes within one turn of it (TestOrder), as turns take about the same time.
// Cells that were touched last come last, so that keyed repeats' windows are over and the cell's other machines warm; then those that are strained, as they serve worst; then those that carry most, while the reserve
// is whole; then by id, for one order everywhere.
func (l *Leader) next(w *World, s *State, work *Work, p *Plan) (best *Machine, why string) {
	touched := make(map[int]int) // cells, by when
	for i, t := range s.Past {
		if m := find(w.Machines, t.Machine); m != nil {
			touched[m.Cell] = i + 1
		}
	}
	for _, t := range s.Turns {
		if m := find(w.Machines, t.Machine); m != nil {
			touched[m.Cell] = math.MaxInt
		}
	}
	sooner := func(a, b *Machine) bool {
		switch {
		case touched[a.Cell] != touched[b.Cell]:
			return touched[a.Cell] < touched[b.Cell]
		case a.Strained != b.Strained:
			return a.Strained
		case a.Weight != b.Weight:
			return a.Weight > b.Weight
		}
		return a.ID < b.ID
	}
	for i := range w.Machines {
		m := &w.Machines[i]
		if !p.names(m) || work.Worked[m.ID] || slices.ContainsFunc(s.Turns, func(t Turn) bool { return t.Machine == m.ID }) {
			continue
		}
		if no := l.mayNot(w, s, m); no != "" {
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

// mayNot says why a machine can't go now: by the bounds of all plans, not only of its own.
func (l *Leader) mayNot(w *World, s *State, m *Machine) string {
	if m.State == Down {
		return m.Name + " is not listed now"
	}
	without := out(s)
	without[m.ID] = true
	for i := range s.Works {
		p, here := w.Plan(s.Works[i].Hash)
		if !here {
			return fmt.Sprintf("the text of plan %d is not here yet", s.Works[i].Number)
		}
		if why := l.tooMany(w, s, p, m.ID); why != "" {
			return why
		}
		if why := p.carries(w.Machines, without, w.Traffic); why != "" {
			return why
		}
	}
	return ""
}

// tooMany says which bound of a plan would be broken with a machine out, beside those that are: by the log, down, draining, or cold, for whatever reason.
func (l *Leader) tooMany(w *World, s *State, p *Plan, with uint64) string {
	turns := make(map[uint64]bool, len(s.Turns)+1)
	for _, t := range s.Turns {
		turns[t.Machine] = true
	}
	turns[with] = true
	all, zones, cells := 0, make(map[string]int), make(map[int]int)
	for i := range w.Machines {
		if m := &w.Machines[i]; turns[m.ID] || m.State != Ready || m.Warmth < 1 {
			all++
			zones[m.Zone]++
			cells[m.Cell]++
		}
	}
	it := find(w.Machines, with)
	if it == nil {
		return "" // nothing of it can be counted
	}
	byZone, byCell := count(w.Machines)
	switch {
	case all > p.Out.Fleet.of(len(w.Machines)):
		return fmt.Sprintf("%d would be out, %d may be", all, p.Out.Fleet.of(len(w.Machines)))
	case zones[it.Zone] > p.Out.Zone.of(byZone[it.Zone]):
		return fmt.Sprintf("%d would be out in zone %s", zones[it.Zone], it.Zone)
	case cells[it.Cell] > p.Out.Cell.of(byCell[it.Cell]):
		return fmt.Sprintf("%d would be out in cell %d", cells[it.Cell], it.Cell)
	}
	return ""
}
