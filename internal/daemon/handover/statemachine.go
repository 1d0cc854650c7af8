// Package handover lets a new process of a sidecar replace a running process without an interruption of service. While
// both processes live, they share the listen address and the resource limits of the sidecar. The primary is the oldest
// live process; a successor is a process that replaces the primary. StateMachine decides what a process does, without
// I/O. Coordinator implements the lock files and the handover record through which the processes find each other.
// Listen opens the listener that the processes share. StateMachine and Coordinator are not safe for concurrent use.
package handover

// Observation is what a process observes of the other processes of its sidecar.
type Observation struct {
	IsPrimary         bool   // this process is the primary: no older process lives
	HasSuccessor      bool   // a newer process lives that is not the primary
	LatestSuccessorID string // id of the successor that started last; "": no successor has ever started
	HoldsFewConns     bool   // this process holds at most 1/LeavingDivisor of the connection limits
}

// Action is what a process has to do after an observation.
type Action struct {
	ProcessCount   int    // number of processes among which the resource limits are divided
	WriteRecordFor string // id of the successor for which to write a handover record; "": none
	ReleaseLocks   bool   // release the locks, so that the remaining process may use the full limits
}

// LeavingDivisor limits a leaving process that has released its locks: the process may use 1/LeavingDivisor of the
// limits. The reserve beside the connection limits for clients and upstreams covers this fraction.
const LeavingDivisor = 8

// StateMachine decides the actions of one process. Because any process may end at any time, decisions depend only on
// observations and never on the expected next step of another process.
type StateMachine struct {
	ID string // id of this process as a successor; "": no older process lived when this process started

	recordWrittenFor string // id of the latest successor for which this process wrote a record
	leaving          bool
	released         bool // this process has released its locks
	serving          bool
}

// SetServing records that the process has started serving. A process that serves writes records for successors.
func (m *StateMachine) SetServing() { m.serving = true }

// SetLeaving records that the process was told to stop. A leaving process writes no records; the remaining process
// writes the record for the next successor.
func (m *StateMachine) SetLeaving() { m.leaving = true }

// Decide returns what the process has to do after an observation.
func (m *StateMachine) Decide(seen Observation) Action {
	// A leaving process may wait seconds for its last responses. It releases its locks early, because a successor that
	// was limited to half of the connections meanwhile would close idle connections that clients are about to use.
	if !m.released {
		m.released = m.leaving && seen.HoldsFewConns && seen.IsPrimary
	}
	if m.released {
		return Action{ProcessCount: LeavingDivisor, ReleaseLocks: true}
	}
	action := Action{ProcessCount: 1}
	if !seen.IsPrimary {
		action.ProcessCount++
	}
	if seen.HasSuccessor {
		action.ProcessCount++
	}
	if m.mustWriteRecord(seen.LatestSuccessorID) {
		m.recordWrittenFor, action.WriteRecordFor = seen.LatestSuccessorID, seen.LatestSuccessorID
	}
	return action
}

// mustWriteRecord reports whether the latest successor waits for a record from this process.
func (m *StateMachine) mustWriteRecord(latestSuccessorID string) bool {
	return latestSuccessorID != "" && latestSuccessorID != m.ID && latestSuccessorID != m.recordWrittenFor &&
		m.serving && !m.leaving
}
