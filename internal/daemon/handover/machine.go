// Package handover lets two processes be one sidecar while one replaces the other. Machine decides what a
// process does, free of I/O; Seat is the lock files and the record by which the two find each other; Listen is
// the socket that both accept from. Machine and Seat are not safe for concurrent use: one goroutine owns them.
package handover

// Observation is what a process sees of the other processes of its sidecar.
type Observation struct {
	HasSeat       bool   // it has the seat: no older process lives
	Newcomer      bool   // a younger process lives that has no seat yet
	LatestArrival string // id of the process that started last; "": none ever replaced another
	HoldsFewConns bool   // this process holds no more connections than LeavingDivisor leaves it
}

// Action is what the process has to do now.
type Action struct {
	ProcessCount   int    // budgets are divided among so many processes
	WriteRecordFor string // id of the newcomer that a record is to be written for; "": none
	ReleaseSeat    bool   // the seat is to be given up: the process that stays may use the full budgets
}

// LeavingDivisor bounds a process that leaves and has released its seat: it may hold this fraction of the
// budgets. The reserve beside clients' and upstreams' connections has room for it.
const LeavingDivisor = 8

// Machine decides for one process. Any process may end after any call, so it goes by what is observed alone, never by
// what another process was to do next.
type Machine struct {
	ID string // its own as a newcomer; "": it came first

	recordWrittenFor string // id of the newest process that a record was written for
	leaving          bool
	released         bool // the seat
	serving          bool
}

// Serving notes that the process serves: from now on it has something to tell a newcomer.
func (m *Machine) Serving() { m.serving = true }

// Leaving notes that the process was told to stop: the one that stays writes the record for any newcomer.
func (m *Machine) Leaving() { m.leaving = true }

// Decide says what is to be done, by what is observed.
func (m *Machine) Decide(seen Observation) Action {
	// A process that leaves may wait seconds for its last answers. Were its successor bound to half of the
	// connections meanwhile, it would close idle ones that clients are about to use.
	if !m.released {
		m.released = m.leaving && seen.HoldsFewConns && seen.HasSeat
	}
	if m.released {
		return Action{ProcessCount: LeavingDivisor, ReleaseSeat: true}
	}
	action := Action{ProcessCount: 1}
	if !seen.HasSeat {
		action.ProcessCount++
	}
	if seen.Newcomer {
		action.ProcessCount++
	}
	if m.mustWriteRecord(seen.LatestArrival) {
		m.recordWrittenFor, action.WriteRecordFor = seen.LatestArrival, seen.LatestArrival
	}
	return action
}

// mustWriteRecord says whether the newest process waits for a record from this one.
func (m *Machine) mustWriteRecord(arrival string) bool {
	return arrival != "" && arrival != m.ID && arrival != m.recordWrittenFor && m.serving && !m.leaving
}
