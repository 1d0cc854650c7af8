package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// Phase is the phase of an open window.
type Phase int

// The phases of an open window, in their order.
const (
	Draining  Phase = iota // no new requests are sent to the machine
	Free                   // the machine may be worked on
	Returning              // the work is done; the machine returns to service and warms up
)

// String returns the phase as it is written in logs, metrics and the output for operators.
func (p Phase) String() string { return [...]string{"leaving", "free", "returning"}[p] }

// Window is the maintenance window of one machine. It lasts from the moment at which the machine gets no new
// requests until the machine is back in service.
type Window struct {
	Number  uint32 // increases from window to window, over all plans
	Plan    uint32
	Machine uint64
	Phase   Phase
}

// ActivePlan is a plan that has not ended.
type ActivePlan struct {
	Number    uint32
	Hash      [32]byte        // SHA-256 of the plan's text
	By        int             // number of the sidecar at which the plan was proposed
	Paused    string          // why the plan is paused; "": it is not paused
	Visited   map[uint64]bool // machines that have or had a window; a withdrawn window does not count
	Withdrawn int             // number of windows that were withdrawn
}

// Past is a window that has ended.
type Past struct {
	Window
	Outcome Kind // Closed or Withdrawn
	Why     string
}

const (
	// maxPast bounds how many ended windows are remembered.
	maxPast = 256
	// maxPlans bounds how many plans are active, and how many ended plans are remembered.
	maxPlans = 8
)

// State is the result of applying the log's entries about plans and windows. It is the same on all sidecars that
// have applied the same entries.
type State struct {
	Term       uint64 // of the leader whose steps are accepted
	LastPlan   uint32
	LastWindow uint32
	Plans      []ActivePlan // oldest first
	Windows    []Window     // open windows, oldest first
	Past       []Past       // the last maxPast windows that have ended, oldest first
	Ended      []EndedPlan  // the last maxPlans plans that have ended, oldest first
}

// EndedPlan is a plan that has ended.
type EndedPlan struct {
	Number  uint32
	Outcome Kind // Finished or Cancelled
	Visited int  // number of machines that had a window
}

// Clone returns a deep copy.
func (s *State) Clone() State {
	clone := *s
	clone.Plans, clone.Windows = slices.Clone(s.Plans), slices.Clone(s.Windows)
	clone.Past, clone.Ended = slices.Clone(s.Past), slices.Clone(s.Ended)
	for i := range clone.Plans {
		clone.Plans[i].Visited = maps.Clone(clone.Plans[i].Visited)
	}
	return clone
}

// Plan returns an active plan, or nil if there is none of this number.
func (s *State) Plan(number uint32) *ActivePlan {
	for i := range s.Plans {
		if s.Plans[i].Number == number {
			return &s.Plans[i]
		}
	}
	return nil
}

// Window returns an open window, or nil if there is none of this number.
func (s *State) Window(number uint32) *Window {
	for i := range s.Windows {
		if s.Windows[i].Number == number {
			return &s.Windows[i]
		}
	}
	return nil
}

// MachinesOut returns the machines to which no new requests may be sent.
func (s *State) MachinesOut() (out []uint64) {
	for _, window := range s.Windows {
		if window.Phase != Returning {
			out = append(out, window.Machine)
		}
	}
	return out
}

// Apply applies the log's next entry. If the entry is rejected, the state stays unchanged and rejected is the
// reason. Rejections are normal, because an entry may be in the log twice, or long after it was proposed.
func (s *State) Apply(step Step) (rejected string) {
	if step.Kind == LeaderStarted {
		if step.Term <= s.Term {
			return "a later leader has begun"
		}
		s.Term = step.Term
		return ""
	}
	// A former leader that resumes after a pause and still believes that it leads must not open a window beside
	// those of the current leader, because it decided by an outdated state.
	if step.Kind.leaderOnly() && step.Term != s.Term {
		return "it is of a leader that leads no more"
	}
	switch step.Kind {
	case Planned, Paused, Resumed, Cancelled, Finished:
		return s.applyPlan(step)
	case Opened:
		return s.applyOpened(step)
	}
	return s.applyWindow(step)
}

// applyOpened opens a window, or returns why the step is rejected.
func (s *State) applyOpened(step Step) string {
	plan := s.Plan(step.Plan)
	switch {
	case step.Number != s.LastWindow+1:
		return fmt.Sprintf("turn %d is the next one", s.LastWindow+1)
	case step.LastPlan != s.LastPlan: // the leader did not check the machine against the newest plan's bounds
		return fmt.Sprintf("plan %d was not known where it was decided", s.LastPlan)
	case plan == nil:
		return fmt.Sprintf("plan %d has ended", step.Plan)
	case plan.Paused != "":
		return fmt.Sprintf("plan %d is paused", step.Plan)
	case plan.Visited[step.Machine]:
		return "it has had its turn"
	case slices.ContainsFunc(s.Windows, func(window Window) bool { return window.Machine == step.Machine }):
		return "it is out already"
	}
	s.LastWindow, plan.Visited[step.Machine] = step.Number, true
	s.Windows = append(s.Windows, Window{Number: step.Number, Plan: step.Plan, Machine: step.Machine})
	return ""
}

// applyWindow applies a step of an open window, or returns why the step is rejected.
func (s *State) applyWindow(step Step) string {
	window := s.Window(step.Number)
	switch {
	case window == nil:
		return fmt.Sprintf("turn %d is over, or never was", step.Number)
	case step.Kind == Released && window.Phase == Draining:
		window.Phase = Free
	case step.Kind == Done && window.Phase == Free:
		window.Phase = Returning
	case step.Kind == Withdrawn && window.Phase == Draining:
		if plan := s.Plan(window.Plan); plan != nil { // the machine still needs a window
			delete(plan.Visited, window.Machine)
			plan.Withdrawn++
		}
		s.endWindow(step)
	case step.Kind == Closed && window.Phase == Returning:
		s.endWindow(step)
	default:
		return fmt.Sprintf("turn %d is %s", step.Number, window.Phase)
	}
	return ""
}

// endWindow moves a window from the open windows to the past ones.
func (s *State) endWindow(step Step) {
	i := slices.IndexFunc(s.Windows, func(window Window) bool { return window.Number == step.Number })
	s.Past = append(s.Past, Past{s.Windows[i], step.Kind, step.Why})
	s.Past = s.Past[max(0, len(s.Past)-maxPast):]
	s.Windows = slices.Delete(s.Windows, i, i+1)
}

// applyPlan applies a step of a plan, or returns why the step is rejected.
func (s *State) applyPlan(step Step) string {
	if step.Kind == Planned {
		switch {
		case step.Number != s.LastPlan+1:
			return fmt.Sprintf("plan %d is the next one", s.LastPlan+1)
		case len(s.Plans) >= maxPlans:
			return fmt.Sprintf("%d plans are under way, no more are possible", maxPlans)
		}
		s.LastPlan = step.Number
		s.Plans = append(
			s.Plans,
			ActivePlan{Number: step.Number, Hash: step.Hash, By: step.By, Visited: make(map[uint64]bool)},
		)
		return ""
	}
	plan := s.Plan(step.Number)
	switch {
	case plan == nil:
		return fmt.Sprintf("plan %d has ended, or never was", step.Number)
	case step.Kind == Paused && plan.Paused == "":
		if plan.Paused = step.Why; plan.Paused == "" {
			plan.Paused = "by hand"
		}
	case step.Kind == Resumed && plan.Paused != "":
		plan.Paused = ""
	case step.Kind == Paused || step.Kind == Resumed:
		return fmt.Sprintf("plan %d is that already", step.Number)
	case step.Kind == Finished &&
		slices.ContainsFunc(s.Windows, func(window Window) bool { return window.Plan == step.Number }):
		return "a turn of it is not over"
	default:
		// Open windows of the plan continue, because somebody may be working on their machines.
		s.Ended = append(s.Ended, EndedPlan{plan.Number, step.Kind, len(plan.Visited)})
		s.Ended = s.Ended[max(0, len(s.Ended)-maxPlans):]
		s.Plans = slices.DeleteFunc(s.Plans, func(plan ActivePlan) bool { return plan.Number == step.Number })
	}
	return ""
}
