package maintenance

import (
	"time"
)

// LocalClearance is how far a sidecar is clear of the machines that are out. The zero value is
// clear of none.
type LocalClearance struct {
	clear map[uint32]uint64 // machines by window: in another log the number may be another machine's
}

// Unconfirmed returns the machines, by window, at which requests may be in flight as far as is
// known.
func (o *LocalClearance) Unconfirmed(s *State) map[uint32]uint64 {
	var all map[uint32]uint64
	for _, t := range s.Windows {
		if t.Phase != Returning && o.clear[t.Number] != t.Machine {
			if all == nil {
				all = make(map[uint32]uint64)
			}
			all[t.Number] = t.Machine
		}
	}
	return all
}

// MarkClear records that nothing is sent to a window's machine any more, and nothing is in flight
// there. It stays so while the window lasts, as nothing new is sent.
func (o *LocalClearance) MarkClear(turn uint32, machine uint64) {
	if o.clear == nil {
		o.clear = make(map[uint32]uint64)
	}
	o.clear[turn] = machine
}

// ClearUpTo returns the number up to which this sidecar is clear of all windows that are not over.
// A process younger than the longest deadline is clear of none: the process before it may have
// requests in flight that it does not know of.
func (o *LocalClearance) ClearUpTo(age, deadline time.Duration, s *State) uint32 {
	for turn := range o.clear {
		if s.Window(turn) == nil {
			delete(o.clear, turn)
		}
	}
	if age < deadline {
		return 0
	}
	for _, t := range s.Windows { // the oldest first
		if t.Phase != Returning && o.clear[t.Number] != t.Machine {
			return t.Number - 1
		}
	}
	return s.LastWindow
}
