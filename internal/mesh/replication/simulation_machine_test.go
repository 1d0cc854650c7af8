package replication

import (
	"fmt"
	"slices"
	"time"
)

// machine is one core machine, its disk and its application.
type machine struct {
	address string
	id      MemberID
	// founder says that the machine is one of the first voters and has its first disk.
	founder      bool
	incarnation  int
	replica      *Replica
	startedAt    time.Duration
	frozen       bool
	waitsForDisk bool
	saving       *WriteBatch
	diskFull     bool
	diskDelay    time.Duration
	disk         State
	inbox        []delivery
	wakeups      int
	// removed says that the machine never comes back; leaving, that it waits to be replaced.
	removed, leaving bool
	// recoveredAt is until when the machine counts as lost.
	recoveredAt time.Duration
	manageDue   bool
	announced   map[MemberID]announcement
	appState
	contact       contactTracker
	contactLeader MemberID
	contactTerm   Term
	proposed      map[Token]*operation
	reading       map[Token]*operation
}

// emptyDisk gives a machine a disk that holds nothing but a new identity.
func (sim *simulation) emptyDisk(n *machine) {
	n.id = NewMemberID(n.address, fmt.Sprintf("%x", sim.rng.Uint32()))
	n.disk = State{ID: n.id, Cluster: sim.cluster}
}

func (sim *simulation) localTime(n *machine) time.Duration { return sim.now - n.startedAt }

// powerOff loses everything that isn't synced; a write in flight is stored completely or not at all.
func (sim *simulation) powerOff(n *machine) {
	if n.saving != nil {
		if sim.rng.IntN(2) == 0 {
			n.disk.applyBatch(n.saving)
			sim.count("write in flight kept")
		} else {
			sim.count("write in flight dropped")
		}
	}
	sim.dropCalls(n)
	n.incarnation++
	n.replica, n.waitsForDisk, n.saving, n.frozen, n.inbox = nil, false, nil, false, nil
}

func (sim *simulation) powerOn(n *machine) {
	if n.replica != nil || n.removed {
		return
	}
	n.startedAt = sim.now
	n.incarnation++
	n.appState = appState{applyDelay: n.applyDelay}
	n.proposed, n.reading = map[Token]*operation{}, map[Token]*operation{}
	n.announced = map[MemberID]announcement{}
	n.contact = contactTracker{}
	n.contactLeader, n.contactTerm = "", 0
	state := n.disk
	state.Entries = slices.Clone(state.Entries)
	replica, err := NewReplica(ReplicaConfig{State: state, Seed: sim.rng.Uint64()}, 0)
	if err != nil {
		sim.violation("%s doesn't start: %v", n.id, err)
		return
	}
	n.replica = replica
	if state.Snapshot.Index > 0 {
		sim.restore(n, &state.Snapshot)
		n.finished = state.Snapshot.Index
	}
	sim.runMachine(n)
}

// replaceDisk gives a machine an empty disk; it comes back as another member.
func (sim *simulation) replaceDisk(n *machine) {
	sim.powerOff(n)
	n.founder = false
	sim.loseID(n.id)
	sim.emptyDisk(n)
}

// applyBatch changes the state as saving a batch does.
func (s *State) applyBatch(p *WriteBatch) {
	if p.HardState != nil {
		s.HardState = *p.HardState
	}
	if p.TruncateFrom > 0 {
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool { return e.Index >= p.TruncateFrom })
	}
	if p.Snapshot != nil {
		s.Snapshot = *p.Snapshot
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool { return e.Index <= p.Snapshot.Index })
	}
	if len(p.Entries) > 0 {
		first, last := p.Entries[0].Index, p.Entries[len(p.Entries)-1].Index
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e Entry) bool {
			return e.Index >= first && e.Index <= last
		})
		s.Entries = append(s.Entries, p.Entries...)
	}
}

// runMachine does everything that is due on a machine, unless it is frozen or waits for its disk.
func (sim *simulation) runMachine(n *machine) {
	if n.replica == nil || n.frozen || n.waitsForDisk {
		return
	}
	now := sim.localTime(n)
	n.replica.Tick(now)
	inbox := n.inbox
	n.inbox = nil
	for _, d := range inbox {
		if now-d.arrivedAt <= maxMessageAge {
			n.replica.Step(now, d.from, d.messages[0])
		}
	}
	if n.manageDue {
		n.manageDue = false
		sim.manageMembers(n)
	}
	sim.processReady(n)
}

func (sim *simulation) processReady(n *machine) {
	for {
		now := sim.localTime(n)
		r, some := n.replica.Ready(now)
		if !some {
			break
		}
		if r.Persist != nil {
			n.waitsForDisk, n.saving = true, r.Persist
			life := n.incarnation
			delay := 200*time.Microsecond + sim.randomUpTo(n.diskDelay+4*time.Millisecond)
			sim.schedule(delay, func() { sim.saveEnded(n, life, r) })
			return
		}
		sim.finishReady(n, &r)
	}
	sim.checkReplica(n)
	n.wakeups++
	wakes, life := n.wakeups, n.incarnation
	wake := n.replica.NextWake()
	if wake == maxDuration {
		return
	}
	sim.schedule(max(0, wake+n.startedAt-sim.now), func() {
		if n.wakeups == wakes && n.incarnation == life {
			sim.runMachine(n)
		}
	})
}

func (sim *simulation) saveEnded(n *machine, life int, r Ready) {
	if n.incarnation != life {
		return
	}
	if n.frozen {
		sim.schedule(20*time.Millisecond, func() { sim.saveEnded(n, life, r) })
		return
	}
	n.waitsForDisk, n.saving = false, nil
	if n.diskFull {
		sim.count("write failed")
		if sim.rng.IntN(2) == 0 {
			// A failed write may be stored all the same.
			n.disk.applyBatch(r.Persist)
		}
		n.replica.PersistFailed(sim.localTime(n), &r)
	} else {
		n.disk.applyBatch(r.Persist)
		sim.finishReady(n, &r)
	}
	sim.processReady(n)
	sim.runMachine(n)
}

// finishReady does the rest of a Ready and checks the replica.
func (sim *simulation) finishReady(n *machine, r *Ready) {
	for _, e := range r.Messages {
		sim.send(n, e.To, e.Message)
	}
	if r.Restore != nil {
		sim.restore(n, r.Restore)
		sim.count("snapshot installed")
	}
	for _, e := range r.CommittedEntries {
		sim.apply(n, e)
	}
	n.replica.Advance(sim.localTime(n), r)
	sim.trackApplied(n)
	sim.completeCalls(n, r)
	if n.replica.ShouldCompact() {
		n.replica.Compact(sim.snapshot(n))
		sim.count("snapshot taken")
	}
	sim.checkReplica(n)
}
