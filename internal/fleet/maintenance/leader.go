package maintenance

import (
	"time"
)

// MachineState is a machine's state according to service discovery and operators.
type MachineState int

// The states of a machine.
const (
	MachineDown     MachineState = iota // the machine was listed by discovery recently and is not listed now
	MachineDraining                     // discovery or an operator drains the machine
	MachineReady
)

// Machine is the leader's current knowledge of a machine.
type Machine struct {
	ID         uint64
	Name       string
	Zone       string
	Cell       int
	Weight     float64
	State      MachineState  // from discovery and operators; the log's maintenance windows don't change it
	Warmth     float64       // share of its full capacity that the machine has reached since its start; 1: all
	Started    time.Duration // when the machine's process started, by that machine's clock; 0: long ago
	Overloaded bool
}

// Snapshot is the leader's knowledge at one moment. The leader decides by it; no part of it is stored in the log.
type Snapshot struct {
	Now         time.Duration
	Current     bool // the list of machines is up to date
	Machines    []Machine
	Traffic     float64 // requests per second, summed over all sidecars
	InTime      float64 // share of the requests that is served within the deadline
	Unreachable int     // number of sidecars without a valid grant; what they send is unknown
	// Slack is how long a window may have to wait for its release in normal operation: leases and the longest
	// request deadline have to run out first.
	Slack time.Duration
	// Clear reports whether no sidecar sends to the machine of a window any more: each reachable sidecar has
	// reported that it is clear, and for each unreachable one its lease and, after it, the longest request
	// deadline have expired.
	Clear func(window uint32) bool
	Plan  func(hash [32]byte) (*Plan, bool)
}

const (
	// pauseAfter is how long the share of requests served in time may stay too low before a plan is paused.
	pauseAfter = 10 * time.Second
	// drainTimeout plus Snapshot.Slack is how long a window may drain before it is withdrawn.
	drainTimeout = time.Minute
)

// Leader decides the next steps of plans and windows while this sidecar leads the log. Its observations cover
// its own term only: a new leader observes anew, which makes time-outs longer, never shorter.
type Leader struct {
	Term uint64
	Self int

	phases      map[uint32]phaseStart // by window number
	lateSince   time.Duration         // since when too few requests are served in time; 0: enough are
	waitReasons map[uint32]string     // by plan number
}

// phaseStart records when this leader first observed a window in its phase, and which start time the machine's
// process had then.
type phaseStart struct {
	phase          Phase
	start          time.Duration
	processStarted time.Duration
}

// NewLeader returns the leader of a term; self is this sidecar's number.
func NewLeader(term uint64, self int) *Leader {
	return &Leader{Term: term, Self: self, phases: make(map[uint32]phaseStart), waitReasons: make(map[uint32]string)}
}

// WaitReason returns what a plan waited for when Decide last examined it; "" if the plan waited for nothing.
func (l *Leader) WaitReason(plan uint32) string { return l.waitReasons[plan] }

// Decide returns the step that is to be appended to the log next, or false if there is none now. The caller
// calls Decide again after the step has been applied, and periodically, as decisions depend on the time.
func (l *Leader) Decide(snapshot *Snapshot, state *State) (Step, bool) {
	if state.Term != l.Term {
		return Step{Kind: LeaderStarted, Term: l.Term, By: l.Self}, state.Term < l.Term
	}
	l.observe(snapshot, state)
	for i := range state.Windows {
		if step, due := l.advanceWindow(snapshot, state, &state.Windows[i]); due {
			return step, true
		}
	}
	for i := range state.Plans {
		if step, due := l.advancePlan(snapshot, state, &state.Plans[i]); due {
			return step, true
		}
	}
	return Step{}, false
}

// observe records since when each window has been in its phase, and since when requests have been late.
func (l *Leader) observe(snapshot *Snapshot, state *State) {
	for number := range l.phases {
		if state.Window(number) == nil {
			delete(l.phases, number)
		}
	}
	required := 0.0
	for i := range state.Plans {
		if plan, available := snapshot.Plan(state.Plans[i].Hash); available {
			required = max(required, plan.InTime)
		}
	}
	if snapshot.InTime >= required {
		l.lateSince = 0
	} else if l.lateSince == 0 {
		l.lateSince = snapshot.Now
	}
	for _, window := range state.Windows {
		if previous, known := l.phases[window.Number]; !known || previous.phase != window.Phase {
			start := phaseStart{phase: window.Phase, start: snapshot.Now}
			if machine := findMachine(snapshot.Machines, window.Machine); machine != nil {
				start.processStarted = machine.Started
			}
			if window.Phase == Returning && known { // the machine may have restarted during the work
				start.processStarted = previous.processStarted
			}
			l.phases[window.Number] = start
		}
	}
}

func findMachine(machines []Machine, id uint64) *Machine {
	for i := range machines {
		if machines[i].ID == id {
			return &machines[i]
		}
	}
	return nil
}

// newStep returns a step that carries this leader's term and number.
func (l *Leader) newStep(kind Kind, number uint32, reason string) (Step, bool) {
	return Step{Kind: kind, Number: number, Term: l.Term, By: l.Self, Why: reason}, true
}
