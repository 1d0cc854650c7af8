package replication

import (
	"encoding/binary"
	"time"
)

// applied is a command and its index.
type applied struct {
	index Index
	id    int
}

// appState is a machine's application: the applied commands, and a register that each of them
// compares and sets. finished follows lastApplied after applyDelay, as a queue would.
type appState struct {
	applied     []applied
	register    int
	lastApplied Index
	finished    Index
	applyDelay  time.Duration
}

// trackApplied sets finished to what was applied, after the machine's delay.
func (sim *simulation) trackApplied(n *machine) {
	index, life := n.replica.Applied(), n.incarnation
	if n.applyDelay == 0 {
		n.finished = index
		return
	}
	sim.schedule(n.applyDelay, func() {
		if n.incarnation == life {
			n.finished = max(n.finished, index)
		}
	})
}

// apply applies an entry as the application would.
func (sim *simulation) apply(n *machine, e Entry) {
	if n.lastApplied >= e.Index {
		sim.violation("%s applies %d after %d", n.id, e.Index, n.lastApplied)
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

const appliedBytes = 16

// snapshot encodes the application's state: the applied commands, and padding that no snapshot at
// another index has.
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

func (sim *simulation) restore(n *machine, s *Snapshot) {
	lag, done := n.applyDelay, n.finished
	n.appState = appState{applyDelay: lag, finished: done, lastApplied: s.Index}
	data := s.Data
	if len(data) < 8 || (len(data)-8)/appliedBytes < int(binary.BigEndian.Uint64(data)) {
		sim.violation("%s: a malformed snapshot of %d bytes", n.id, len(data))
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
			sim.violation("%s: the snapshot at %d holds a chunk of the one at %d", n.id, s.Index, got)
			return
		}
	}
}
