package maintenance

import "time"

// LocalClearance is how far a sidecar is clear of the machines that are out. The zero value is clear of none.
type LocalClearance struct {
	clear map[uint32]uint64 // machines by turn: in another log the same number may be another one's
}

// Unconfirmed are the machines, by turn, of which it is not known that nothing is out there.
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

// MarkClear takes that nothing goes to a turn's machine any more, and nothing is out there. It stays so while the turn lasts, as nothing new is sent.
func (o *LocalClearance) MarkClear(turn uint32, machine uint64) {
	if o.clear == nil {
		o.clear = make(map[uint32]uint64)
	}
	o.clear[turn] = machine
}

// ClearUpTo is the number up to which this sidecar is clear of all turns that are not over. A process that is younger than the longest deadline says of none: the one before it, which it knows nothing of, may have
// something out there.
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

const (
	sampleInterval = time.Second
	sampleCount    = 6 // one more than the seconds over which load is measured
)

// Load is what a sidecar answers lately, from counters that only grow. The zero value is ready.
type Load struct {
	at           [sampleCount]time.Duration
	all, passed  [sampleCount]uint64
	next, filled int
}

// Due says whether the counters are to be read.
func (l *Load) Due(now time.Duration) bool {
	return l.filled == 0 || now >= l.at[(l.next+sampleCount-1)%sampleCount]+sampleInterval
}

// Count takes how many requests were answered since the start, and how many of them were served.
func (l *Load) Count(now time.Duration, all, passed uint64) {
	l.at[l.next], l.all[l.next], l.passed[l.next] = now, all, passed
	l.next, l.filled = (l.next+1)%sampleCount, min(l.filled+1, sampleCount)
}

// Recent is how many were answered a second, and which share of them was served; 1 where there were none.
func (l *Load) Recent() (rate, served float64) {
	last := (l.next + sampleCount - 1) % sampleCount
	first := (l.next + sampleCount - l.filled) % sampleCount
	span := (l.at[last] - l.at[first]).Seconds()
	all, passed := l.all[last]-l.all[first], l.passed[last]-l.passed[first]
	if span <= 0 || all == 0 {
		return 0, 1
	}
	return float64(all) / span, float64(passed) / float64(all)
}
