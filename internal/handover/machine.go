// Package handover has two processes be one sidecar while one replaces the other. The decisions are in Machine, free of I/O; Seat is the files by which the
// two find each other, Listen the socket that both accept from.
package handover

// Seen is what a process sees of the others of its sidecar.
type Seen struct {
	Seat     bool   // it has the seat: none that is older lives
	Newcomer bool   // a younger one lives that has no seat yet
	Arrival  string // the mark of the one that came last; "": none ever did
}

// Do is what is to be done now.
type Do struct {
	Parts int    // what is budgeted is divided among so many processes
	Tell  string // the mark of a newcomer that a record is to be written for; "": none
}

// Machine decides for one process. Every call may be the last one of any process: it goes by what is seen alone, never by what another was to do next.
type Machine struct {
	Mark    string // its own, as a newcomer; "": it came first
	told    string
	leaving bool
	serving bool
}

// Serving takes that the process serves: from now on it has something to tell.
func (m *Machine) Serving() { m.serving = true }

// Leaving takes that it was told to stop: whoever comes now must be told by the one that stays.
func (m *Machine) Leaving() { m.leaving = true }

// Look says what is to be done, by what is seen.
func (m *Machine) Look(s Seen) Do {
	d := Do{Parts: 1}
	if !s.Seat {
		d.Parts++
	}
	if s.Newcomer {
		d.Parts++
	}
	if s.Arrival != "" && s.Arrival != m.Mark && s.Arrival != m.told && m.serving && !m.leaving {
		m.told, d.Tell = s.Arrival, s.Arrival
	}
	return d
}
