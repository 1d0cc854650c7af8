package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// Phase is the phase of a window.
type Phase int

// The phases of a window that is not over.
const (
	Draining  Phase = iota // nothing new is sent to the machine
	Free                   // it may be worked on
	Returning              // the work is done: the machine comes back and warms up
)

// String returns the phase as logs, metrics and operators' output show it.
func (p Phase) String() string { return [...]string{"leaving", "free", "returning"}[p] }

// Window is the maintenance window of one machine: from when it gets nothing new until it is back.
type Window struct {
	Number  uint32 // grows from window to window, over all plans
	Plan    uint32
	Machine uint64
	Phase   Phase
}

// ActivePlan is a plan that has not ended.
type ActivePlan struct {
	Number    uint32
	Hash      [32]byte
	By        int
	Paused    string          // the reason; "": not paused
	Visited   map[uint64]bool // machines that have had a window
	Withdrawn int             // windows that were withdrawn
}

// Past is a window that has ended.
type Past struct {
	Window
	Outcome Kind // Closed or Withdrawn
	Why     string
}

const (
	maxPast  = 256
	maxPlans = 8
)

// State is what the log makes of plans and windows: the same at all sidecars that have the same
// entries.
type State struct {
	Term       uint64 // of the leader whose decisions count
	LastPlan   uint32
	LastWindow uint32
	Plans      []ActivePlan // that have not ended, the oldest first
	Windows    []Window     // that are not over, the oldest first
	Past       []Past       // the last maxPast
	Ended      []EndedPlan
}

// EndedPlan is a plan that has ended.
type EndedPlan struct {
	Number  uint32
	Outcome Kind // Finished or Cancelled
	Visited int
}

// Clone returns a copy that shares nothing.
func (s *State) Clone() State {
	c := *s
	c.Plans, c.Windows = slices.Clone(s.Plans), slices.Clone(s.Windows)
	c.Past, c.Ended = slices.Clone(s.Past), slices.Clone(s.Ended)
	for i := range c.Plans {
		c.Plans[i].Visited = maps.Clone(c.Plans[i].Visited)
	}
	return c
}

// Plan returns a plan that has not ended, or nil.
func (s *State) Plan(number uint32) *ActivePlan {
	for i := range s.Plans {
		if s.Plans[i].Number == number {
			return &s.Plans[i]
		}
	}
	return nil
}

// Window returns a window that is not over, or nil.
func (s *State) Window(number uint32) *Window {
	for i := range s.Windows {
		if s.Windows[i].Number == number {
			return &s.Windows[i]
		}
	}
	return nil
}

// MachinesOut returns the machines to which nothing new may be sent.
func (s *State) MachinesOut() (all []uint64) {
	for _, t := range s.Windows {
		if t.Phase != Returning {
			all = append(all, t.Machine)
		}
	}
	return all
}

// Apply applies the next entry. rejected says why it changes nothing: an entry may be in the log
// twice, or come long after what it was decided by.
func (s *State) Apply(e Step) (rejected string) {
	if e.Kind == LeaderStarted {
		if e.Term <= s.Term {
			return "a later leader has begun"
		}
		s.Term = e.Term
		return ""
	}
	// A leader that was stopped and still believes to lead must not open a window beside those of
	// the present one: it decided by what it knew then.
	if e.Kind.leaderOnly() && e.Term != s.Term {
		return "it is of a leader that leads no more"
	}
	switch e.Kind {
	case Planned, Paused, Resumed, Cancelled, Finished:
		return s.applyPlan(e)
	case Opened:
		return s.applyOpened(e)
	}
	return s.applyWindow(e)
}

// applyOpened opens a window.
func (s *State) applyOpened(e Step) string {
	w := s.Plan(e.Plan)
	switch {
	case e.Number != s.LastWindow+1:
		return fmt.Sprintf("turn %d is the next one", s.LastWindow+1)
	case e.LastPlan != s.LastPlan: // the machine was not checked against that plan's bounds
		return fmt.Sprintf("plan %d was not known where it was decided", s.LastPlan)
	case w == nil:
		return fmt.Sprintf("plan %d has ended", e.Plan)
	case w.Paused != "":
		return fmt.Sprintf("plan %d is paused", e.Plan)
	case w.Visited[e.Machine]:
		return "it has had its turn"
	case slices.ContainsFunc(s.Windows, func(t Window) bool { return t.Machine == e.Machine }):
		return "it is out already"
	}
	s.LastWindow, w.Visited[e.Machine] = e.Number, true
	s.Windows = append(s.Windows, Window{Number: e.Number, Plan: e.Plan, Machine: e.Machine})
	return ""
}

// applyWindow applies an entry about a window that is not over.
func (s *State) applyWindow(e Step) string {
	t := s.Window(e.Number)
	switch {
	case t == nil:
		return fmt.Sprintf("turn %d is over, or never was", e.Number)
	case e.Kind == Released && t.Phase == Draining:
		t.Phase = Free
	case e.Kind == Done && t.Phase == Free:
		t.Phase = Returning
	case e.Kind == Withdrawn && t.Phase == Draining:
		if w := s.Plan(t.Plan); w != nil { // the machine still needs its window
			delete(w.Visited, t.Machine)
			w.Withdrawn++
		}
		s.endWindow(e)
	case e.Kind == Closed && t.Phase == Returning:
		s.endWindow(e)
	default:
		return fmt.Sprintf("turn %d is %s", e.Number, t.Phase)
	}
	return ""
}

// endWindow removes a window from those that are not over.
func (s *State) endWindow(e Step) {
	i := slices.IndexFunc(s.Windows, func(t Window) bool { return t.Number == e.Number })
	s.Past = append(s.Past, Past{s.Windows[i], e.Kind, e.Why})
	s.Past = s.Past[max(0, len(s.Past)-maxPast):]
	s.Windows = slices.Delete(s.Windows, i, i+1)
}

// applyPlan applies an entry about a plan.
func (s *State) applyPlan(e Step) string {
	if e.Kind == Planned {
		switch {
		case e.Number != s.LastPlan+1:
			return fmt.Sprintf("plan %d is the next one", s.LastPlan+1)
		case len(s.Plans) >= maxPlans:
			return fmt.Sprintf("%d plans are under way, no more are possible", maxPlans)
		}
		s.LastPlan = e.Number
		s.Plans = append(
			s.Plans,
			ActivePlan{Number: e.Number, Hash: e.Hash, By: e.By, Visited: make(map[uint64]bool)},
		)
		return ""
	}
	w := s.Plan(e.Number)
	switch {
	case w == nil:
		return fmt.Sprintf("plan %d has ended, or never was", e.Number)
	case e.Kind == Paused && w.Paused == "":
		if w.Paused = e.Why; w.Paused == "" {
			w.Paused = "by hand"
		}
	case e.Kind == Resumed && w.Paused != "":
		w.Paused = ""
	case e.Kind == Paused || e.Kind == Resumed:
		return fmt.Sprintf("plan %d is that already", e.Number)
	case e.Kind == Finished && slices.ContainsFunc(s.Windows, func(t Window) bool { return t.Plan == e.Number }):
		return "a turn of it is not over"
	default:
		// An open window goes on: somebody may be working on the machine.
		s.Ended = append(s.Ended, EndedPlan{w.Number, e.Kind, len(w.Visited)})
		s.Ended = s.Ended[max(0, len(s.Ended)-maxPlans):]
		s.Plans = slices.DeleteFunc(s.Plans, func(w ActivePlan) bool { return w.Number == e.Number })
	}
	return ""
}
