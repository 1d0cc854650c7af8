// Package handover has two processes be one sidecar while one replaces the other. The decisions are in Machine, free of I/O; Seat is the files by which the
// two find each other, Listen the socket that both accept from.
package handover

// Observation is what a process sees of the others of its sidecar.
type Observation struct {
	HasSeat       bool   // it has the seat: none that is older lives
	Newcomer      bool   // a younger one lives that has no seat yet
	LatestArrival string // the mark of the one that came last; "": none ever did
	HoldsFewConns bool   // this process holds few connections
}

// Action is what is to be done now.
type Action struct {
	ProcessCount   int    // what is budgeted is divided among so many processes
	WriteRecordFor string // the mark of a newcomer that a record is to be written for; "": none
	ReleaseSeat    bool   // the seat is to be given up: the one that stays may have all
}

// LeavingDivisor is what one that leaves and has given up its seat may hold at most: one part of so many. What is kept back beside clients' and upstreams'
// connections has room for it.
const LeavingDivisor = 8

// Machine decides for one process. Every call may be the last one of any process: it goes by what is seen alone, never by what another was to do next.
type Machine struct {
	ID      string // its own, as a newcomer; "": it came first
	told    string
	leaving bool
	left    bool
	serving bool
}

// Serving takes that the process serves: from now on it has something to tell.
func (m *Machine) Serving() { m.serving = true }

// Leaving takes that it was told to stop: whoever comes now must be told by the one that stays.
func (m *Machine) Leaving() { m.leaving = true }

// Decide says what is to be done, by what is seen.
func (m *Machine) Decide(s Observation) Action {
	// One that leaves may have to wait for its last answers for seconds. Seen: meanwhile its successor, bound to half of the connections, closed at rest what its clients came back
	// on at once, and 300 requests of one upgrade met a closed door.
	if m.left = m.left || m.leaving && s.HoldsFewConns && s.HasSeat; m.left {
		return Action{ProcessCount: LeavingDivisor, ReleaseSeat: true}
	}
	d := Action{ProcessCount: 1}
	if !s.HasSeat {
		d.ProcessCount++
	}
	if s.Newcomer {
		d.ProcessCount++
	}
	if s.LatestArrival != "" && s.LatestArrival != m.ID && s.LatestArrival != m.told && m.serving && !m.leaving {
		m.told, d.WriteRecordFor = s.LatestArrival, s.LatestArrival
	}
	return d
}
