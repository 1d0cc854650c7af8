package maintenance

import (
	"time"
)

// MachineState is the state of a machine by the list.
type MachineState int

// The states of a machine.
const (
	MachineDown     MachineState = iota // it was listed recently and is not now
	MachineDraining                     // by the list, or by an operator
	MachineReady
)

// Machine is what the leader knows of a machine now.
type Machine struct {
	ID         uint64
	Name       string
	Zone       string
	Cell       int
	Weight     float64
	State      MachineState  // by the list and operators, the log's windows left aside
	Warmth     float64       // share of its full capacity; 1: warm
	Started    time.Duration // of its process, on a clock of its own; 0: long ago
	Overloaded bool
}

// Snapshot is what the leader knows at a moment. Windows are decided by it, and nothing of it is
// kept in the log.
type Snapshot struct {
	Now         time.Duration
	Current     bool // the list is up to date
	Machines    []Machine
	Traffic     float64 // requests per second, over all sidecars
	InTime      float64 // share of them that is served in time
	Unreachable int     // sidecars without a grant: what they send is not known
	// leases and the longest deadline: a window may wait for as long to be released
	Slack time.Duration
	// all sidecars in contact are clear of it; the others' leases, and the longest deadline after
	// them, are over
	Clear func(turn uint32) bool
	Plan  func(hash [32]byte) (*Plan, bool)
}

const (
	pauseAfter = 10 * time.Second // requests not served in time for so long pause a plan
	// a window that is not released after so long, and Snapshot.Slack, is withdrawn
	drainTimeout = time.Minute
)

// Leader is the part of the sidecar that leads the log. What it remembers is of its own term: a new
// leader observes anew, so that times run longer rather than shorter.
type Leader struct {
	Term uint64
	Self int

	phases      map[uint32]phaseStart // of the windows
	lateSince   time.Duration         // since when requests are not served in time; 0: they are
	waitReasons map[uint32]string     // by plan
}

// phaseStart is since when a window is in a phase, as this leader observed it, and when its
// machine's process had started then.
type phaseStart struct {
	phase   Phase
	at      time.Duration
	started time.Duration
}

// NewLeader returns the leader's part for a term.
func NewLeader(term uint64, self int) *Leader {
	return &Leader{Term: term, Self: self, phases: make(map[uint32]phaseStart), waitReasons: make(map[uint32]string)}
}

// WaitReason returns what a plan waits for, as this leader last saw it; "": nothing.
func (l *Leader) WaitReason(plan uint32) string { return l.waitReasons[plan] }

// Decide returns what the log needs next; false: nothing now. It is to be called again once the
// entry is applied, and as time passes.
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

// observe records since when things have been as they are.
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
			if t.Phase == Returning && known { // it may have started during the work
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

// step returns a step of this leader's.
func (l *Leader) step(kind Kind, number uint32, why string) (Step, bool) {
	return Step{Kind: kind, Number: number, Term: l.Term, By: l.Self, Why: why}, true
}
