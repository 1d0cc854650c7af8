package maintenance

import (
	"time"
)

// LocalClearance records of which maintenance windows this sidecar is clear. A sidecar is clear of a window
// when it sends no new requests to the window's machine and has no request in flight to that machine. The zero
// value is clear of no window.
type LocalClearance struct {
	// clear maps a window's number to its machine's id. The id is kept because a new log numbers its windows
	// from 1 again, so that the same number may belong to another machine.
	clear map[uint32]uint64
}

// Unconfirmed returns the machines to which this sidecar may still have requests in flight, by window number.
func (c *LocalClearance) Unconfirmed(state *State) map[uint32]uint64 {
	var unconfirmed map[uint32]uint64
	for _, window := range state.Windows {
		if window.Phase != Returning && c.clear[window.Number] != window.Machine {
			if unconfirmed == nil {
				unconfirmed = make(map[uint32]uint64)
			}
			unconfirmed[window.Number] = window.Machine
		}
	}
	return unconfirmed
}

// MarkClear records that this sidecar is clear of a window. This holds until the window ends, because no new
// requests are sent to the machine before then.
func (c *LocalClearance) MarkClear(window uint32, machine uint64) {
	if c.clear == nil {
		c.clear = make(map[uint32]uint64)
	}
	c.clear[window] = machine
}

// ClearUpTo returns the highest window number such that this sidecar is clear of every open window up to it. It
// returns 0 for a process whose age is below deadline, the longest time that a request may be in flight: the
// previous process of this sidecar may still have requests in flight that this process can't see.
func (c *LocalClearance) ClearUpTo(age, deadline time.Duration, state *State) uint32 {
	for window := range c.clear {
		if state.Window(window) == nil {
			delete(c.clear, window)
		}
	}
	if age < deadline {
		return 0
	}
	for _, open := range state.Windows { // oldest first
		if open.Phase != Returning && c.clear[open.Number] != open.Machine {
			return open.Number - 1
		}
	}
	return state.LastWindow
}
