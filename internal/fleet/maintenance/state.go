package maintenance

import (
	"fmt"
	"maps"
	"slices"
)

// Phase is how far a turn is.
type Phase int

// The phases of a turn that is not over.
const (
	Leaving   Phase = iota // nothing new is sent to the machine
	Free                   // it may be worked on
	Returning              // the work is done: it comes back, cold
)

func (p Phase) String() string { return [...]string{"leaving", "free", "returning"}[p] }

// Turn is one machine's.
type Turn struct {
	Number  uint32 // grows from turn to turn, over all plans
	Plan    uint32
	Machine uint64
	Phase   Phase
}

// Work is a plan that has not ended.
type Work struct {
	Number  uint32
	Hash    [32]byte
	By      int
	Paused  string          // why; "": it is not
	Worked  map[uint64]bool // machines that have had a turn
	Skipped int             // turns that were withdrawn
}

// Past is a turn that has ended.
type Past struct {
	Turn
	Outcome Kind // Over or Withdrawn
	Why     string
}

const (
	pastMost  = 256
	worksMost = 8
)

// State is what the log makes of it: the same at everyone who has the same entries.
type State struct {
	Term     uint64 // of the leader whose decisions count
	LastPlan uint32
	LastTurn uint32
	Works    []Work // that have not ended, the oldest first
	Turns    []Turn // that are not over, the oldest first
	Past     []Past // the last pastMost
	Ended    []Ended
}

// Ended is a plan that has ended.
type Ended struct {
	Number  uint32
	Outcome Kind // Finished or Cancelled
	Worked  int
}

// Clone is a copy that shares nothing.
func (s *State) Clone() State {
	c := *s
	c.Works, c.Turns, c.Past, c.Ended = slices.Clone(s.Works), slices.Clone(s.Turns), slices.Clone(s.Past), slices.Clone(s.Ended)
	for i := range c.Works {
		c.Works[i].Worked = maps.Clone(c.Works[i].Worked)
	}
	return c
}

// Work is a plan that has not ended, or nil.
func (s *State) Work(number uint32) *Work {
	for i := range s.Works {
		if s.Works[i].Number == number {
			return &s.Works[i]
		}
	}
	return nil
}

// Turn is one that is not over, or nil.
func (s *State) Turn(number uint32) *Turn {
	for i := range s.Turns {
		if s.Turns[i].Number == number {
			return &s.Turns[i]
		}
	}
	return nil
}

// Out are the machines to which nothing new may be sent.
func (s *State) Out() (all []uint64) {
	for _, t := range s.Turns {
		if t.Phase != Returning {
			all = append(all, t.Machine)
		}
	}
	return all
}

// Apply takes the next entry. refused says why it changes nothing: each may stand in the log twice, or come long after what it was decided by.
func (s *State) Apply(e Step) (refused string) {
	if e.Kind == Leads {
		if e.Term <= s.Term {
			return "a later leader has begun"
		}
		s.Term = e.Term
		return ""
	}
	// A leader that stood still, and goes on thinking that it leads, must not give a turn beside those of the present one: what it decided it decided by what it knew then.
	if e.Kind.ofLeader() && e.Term != s.Term {
		return "it is of a leader that leads no more"
	}
	switch e.Kind {
	case Planned, Paused, Resumed, Cancelled, Finished:
		return s.applyPlan(e)
	case Given:
		w := s.Work(e.Plan)
		switch {
		case e.Number != s.LastTurn+1:
			return fmt.Sprintf("turn %d is the next one", s.LastTurn+1)
		case e.Plans != s.LastPlan: // whose bounds it was not held against
			return fmt.Sprintf("plan %d was not known where it was decided", s.LastPlan)
		case w == nil:
			return fmt.Sprintf("plan %d has ended", e.Plan)
		case w.Paused != "":
			return fmt.Sprintf("plan %d is paused", e.Plan)
		case w.Worked[e.Machine]:
			return "it has had its turn"
		case slices.ContainsFunc(s.Turns, func(t Turn) bool { return t.Machine == e.Machine }):
			return "it is out already"
		}
		s.LastTurn, w.Worked[e.Machine] = e.Number, true
		s.Turns = append(s.Turns, Turn{Number: e.Number, Plan: e.Plan, Machine: e.Machine})
		return ""
	}
	t := s.Turn(e.Number)
	switch {
	case t == nil:
		return fmt.Sprintf("turn %d is over, or never was", e.Number)
	case e.Kind == Freed && t.Phase == Leaving:
		t.Phase = Free
	case e.Kind == Done && t.Phase == Free:
		t.Phase = Returning
	case e.Kind == Withdrawn && t.Phase == Leaving:
		if w := s.Work(t.Plan); w != nil { // its turn is still to come
			delete(w.Worked, t.Machine)
			w.Skipped++
		}
		s.end(e)
	case e.Kind == Over && t.Phase == Returning:
		s.end(e)
	default:
		return fmt.Sprintf("turn %d is %s", e.Number, t.Phase)
	}
	return ""
}

// end takes a turn from those that are not over.
func (s *State) end(e Step) {
	i := slices.IndexFunc(s.Turns, func(t Turn) bool { return t.Number == e.Number })
	s.Past = append(s.Past, Past{s.Turns[i], e.Kind, e.Why})
	s.Past = s.Past[max(0, len(s.Past)-pastMost):]
	s.Turns = slices.Delete(s.Turns, i, i+1)
}

// applyPlan takes an entry about a plan.
func (s *State) applyPlan(e Step) string {
	if e.Kind == Planned {
		switch {
		case e.Number != s.LastPlan+1:
			return fmt.Sprintf("plan %d is the next one", s.LastPlan+1)
		case len(s.Works) >= worksMost:
			return fmt.Sprintf("%d plans are under way, no more are possible", worksMost)
		}
		s.LastPlan = e.Number
		s.Works = append(s.Works, Work{Number: e.Number, Hash: e.Hash, By: e.By, Worked: make(map[uint64]bool)})
		return ""
	}
	w := s.Work(e.Number)
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
	case e.Kind == Finished && slices.ContainsFunc(s.Turns, func(t Turn) bool { return t.Plan == e.Number }):
		return "a turn of it is not over"
	default:
		// A turn that was given goes on: somebody may be at the machine.
		s.Ended = append(s.Ended, Ended{w.Number, e.Kind, len(w.Worked)})
		s.Ended = s.Ended[max(0, len(s.Ended)-worksMost):]
		s.Works = slices.DeleteFunc(s.Works, func(w Work) bool { return w.Number == e.Number })
	}
	return ""
}
