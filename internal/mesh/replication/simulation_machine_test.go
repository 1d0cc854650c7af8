package replication

import (
	"fmt"
	"slices"
	"time"
)

// machine is a simulated core machine with its disk, its replica and its application.
type machine struct {
	address string
	id      MemberID
	// initialVoter is set if the machine is an initial voter and still has its first disk.
	initialVoter bool
	// incarnation counts the starts and stops of the machine's process.
	incarnation int
	// replica is nil while the machine has no power.
	replica   *Replica
	startedAt time.Duration
	// frozen is set while the machine's process is paused.
	frozen bool
	// waitingForDisk is set while the disk write of batchInFlight is in progress.
	waitingForDisk bool
	batchInFlight  *WriteBatch
	// diskFull makes all disk writes fail. diskDelay is the maximum additional time of a disk write.
	diskFull  bool
	diskDelay time.Duration
	disk      State
	inbox     []delivery
	// wakeups counts the scheduled calls of runMachine. Only the newest one takes effect.
	wakeups int
	// removed is set if the machine has been removed permanently. leaving is set while the machine waits
	// for its replacement before it leaves.
	removed, leaving bool
	// recoveredAt is the time until which the machine counts as lost.
	recoveredAt time.Duration
	// manageDue is set when the machine must check its membership in the next runMachine.
	manageDue bool
	// announced holds the newest announcement of each member that this machine has received.
	announced map[MemberID]announcement
	appState
	// contact tracks the confirmations of contactLeader in contactTerm.
	contact          contactTracker
	contactLeader    MemberID
	contactTerm      Term
	pendingProposals map[Token]*operation
	pendingReads     map[Token]*operation
}

// emptyDisk gives a machine an empty disk with a new member id.
func (sim *simulation) emptyDisk(n *machine) {
	n.id = NewMemberID(n.address, fmt.Sprintf("%x", sim.rng.Uint32()))
	n.disk = State{ID: n.id, Cluster: sim.cluster}
}

// localTime returns the time since the start of the machine's process.
func (sim *simulation) localTime(n *machine) time.Duration { return sim.now - n.startedAt }

// powerOff stops a machine. Its state that is not synced to disk is lost. A disk write in flight is
// stored either completely or not at all.
func (sim *simulation) powerOff(n *machine) {
	if n.batchInFlight != nil {
		if sim.rng.IntN(2) == 0 {
			n.disk.applyBatch(n.batchInFlight)
			sim.count("write in flight stored at power loss")
		} else {
			sim.count("write in flight lost at power loss")
		}
	}
	sim.dropCalls(n)
	n.incarnation++
	n.replica, n.waitingForDisk, n.batchInFlight, n.frozen, n.inbox = nil, false, nil, false, nil
}

// powerOn starts a machine from its disk, unless it is running or has been removed.
func (sim *simulation) powerOn(n *machine) {
	if n.replica != nil || n.removed {
		return
	}
	n.startedAt = sim.now
	n.incarnation++
	n.appState = appState{applyDelay: n.applyDelay}
	n.pendingProposals, n.pendingReads = map[Token]*operation{}, map[Token]*operation{}
	n.announced = map[MemberID]announcement{}
	n.contact = contactTracker{}
	n.contactLeader, n.contactTerm = "", 0
	state := n.disk
	state.Entries = slices.Clone(state.Entries)
	replica, err := NewReplica(ReplicaConfig{State: state, Seed: sim.rng.Uint64()}, 0)
	if err != nil {
		sim.violation("replica of %s failed to start from its disk: %v", n.id, err)
		return
	}
	n.replica = replica
	if state.Snapshot.Index > 0 {
		sim.restore(n, &state.Snapshot)
		n.finishedIndex = state.Snapshot.Index
	}
	sim.runMachine(n)
}

// replaceDisk stops a machine and replaces its disk with an empty disk. The machine restarts under a
// new member id.
func (sim *simulation) replaceDisk(n *machine) {
	sim.powerOff(n)
	n.initialVoter = false
	sim.recordDiskLoss(n.id)
	sim.emptyDisk(n)
}

// applyBatch applies a batch to the state, as Storage.Save must do.
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

// runMachine performs all actions that are due on a machine. It has no effect if the machine is powered
// off, is frozen or waits for a disk write.
func (sim *simulation) runMachine(n *machine) {
	if n.replica == nil || n.frozen || n.waitingForDisk {
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
		sim.manageMembership(n)
	}
	sim.processReady(n)
}

// processReady does the work of Ready until there is none left, or until a disk write starts. In the
// first case it schedules the next call of runMachine.
func (sim *simulation) processReady(n *machine) {
	for {
		now := sim.localTime(n)
		r, ok := n.replica.Ready(now)
		if !ok {
			break
		}
		if r.Persist != nil {
			n.waitingForDisk, n.batchInFlight = true, r.Persist
			savedIncarnation := n.incarnation
			delay := 200*time.Microsecond + sim.randomUpTo(n.diskDelay+4*time.Millisecond)
			sim.schedule(delay, func() { sim.finishSave(n, savedIncarnation, r) })
			return
		}
		sim.finishReady(n, &r)
	}
	sim.checkReplica(n)
	n.wakeups++
	scheduledWakeups, savedIncarnation := n.wakeups, n.incarnation
	wake := n.replica.NextWake()
	if wake == maxDuration {
		return
	}
	sim.schedule(max(0, wake+n.startedAt-sim.now), func() {
		if n.wakeups == scheduledWakeups && n.incarnation == savedIncarnation {
			sim.runMachine(n)
		}
	})
}

// finishSave completes a disk write that was started for a Ready, successfully unless the disk is full,
// and continues the work of the machine.
func (sim *simulation) finishSave(n *machine, savedIncarnation int, r Ready) {
	if n.incarnation != savedIncarnation {
		return
	}
	if n.frozen {
		sim.schedule(20*time.Millisecond, func() { sim.finishSave(n, savedIncarnation, r) })
		return
	}
	n.waitingForDisk, n.batchInFlight = false, nil
	if n.diskFull {
		sim.count("disk write failed")
		if sim.rng.IntN(2) == 0 {
			// A write that reports an error may nevertheless be stored.
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

// finishReady does the work of a Ready that follows the disk write, and checks the replica.
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
