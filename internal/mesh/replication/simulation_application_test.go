package replication

import (
	"encoding/binary"
	"time"
)

// applied is the id of an applied command with its index.
type applied struct {
	index Index
	id    int
}

// appState is the state of a machine's application: the applied commands, and a register that each
// command compares and sets. finishedIndex follows lastApplied after applyDelay, as if the application
// processed entries through a queue.
type appState struct {
	applied       []applied
	register      int
	lastApplied   Index
	finishedIndex Index
	applyDelay    time.Duration
}

// trackApplied sets finishedIndex to the replica's applied index after the machine's applyDelay.
func (sim *simulation) trackApplied(n *machine) {
	index, savedIncarnation := n.replica.Applied(), n.incarnation
	if n.applyDelay == 0 {
		n.finishedIndex = index
		return
	}
	sim.schedule(n.applyDelay, func() {
		if n.incarnation == savedIncarnation {
			n.finishedIndex = max(n.finishedIndex, index)
		}
	})
}

// apply applies a committed entry to a machine's application, and checks the order of the entries.
func (sim *simulation) apply(n *machine, e Entry) {
	if n.lastApplied >= e.Index {
		sim.violation("%s applied index %d after index %d", n.id, e.Index, n.lastApplied)
	}
	n.lastApplied = e.Index
	if e.Kind == EntryMembership {
		sim.recordMembership(n, &e)
		return
	}
	if len(e.Command) == 0 {
		return
	}
	a := applied{index: e.Index, id: int(binary.BigEndian.Uint64(e.Command))}
	sim.checkOrder(n, a)
	n.applied = append(n.applied, a)
	n.register = sim.commands[a.id].apply(n.register)
}

// appliedBytes is the size of an encoded applied command: its index and its id.
const appliedBytes = 16

// snapshot encodes the application's state as the number of applied commands, the commands, and padding.
// The padding repeats the snapshot's index, so that a mix of two snapshots can be detected.
func (sim *simulation) snapshot(n *machine) []byte {
	data := make([]byte, 8, 8+len(n.applied)*appliedBytes+sim.snapshotPadding)
	binary.BigEndian.PutUint64(data, uint64(len(n.applied)))
	for _, a := range n.applied {
		data = binary.BigEndian.AppendUint64(data, uint64(a.index))
		data = binary.BigEndian.AppendUint64(data, uint64(a.id))
	}
	for len(data)+8 <= cap(data) {
		data = binary.BigEndian.AppendUint64(data, uint64(n.replica.Applied()))
	}
	return data
}

// restore replaces a machine's application state with that of a snapshot, and checks the snapshot's
// content.
func (sim *simulation) restore(n *machine, s *Snapshot) {
	delay, finishedBefore := n.applyDelay, n.finishedIndex
	n.appState = appState{applyDelay: delay, finishedIndex: finishedBefore, lastApplied: s.Index}
	data := s.Data
	if len(data) < 8 || (len(data)-8)/appliedBytes < int(binary.BigEndian.Uint64(data)) {
		sim.violation("%s received a malformed snapshot of %d bytes", n.id, len(data))
		return
	}
	entries := int(binary.BigEndian.Uint64(data))
	data = data[8:]
	for range entries {
		a := applied{index: Index(binary.BigEndian.Uint64(data)), id: int(binary.BigEndian.Uint64(data[8:]))}
		sim.checkOrder(n, a)
		n.applied = append(n.applied, a)
		n.register = sim.commands[a.id].apply(n.register)
		data = data[appliedBytes:]
	}
	for ; len(data) >= 8; data = data[8:] {
		if got := Index(binary.BigEndian.Uint64(data)); got != s.Index {
			sim.violation("%s: the snapshot at index %d contains data of the snapshot at index %d", n.id, s.Index, got)
			return
		}
	}
}
