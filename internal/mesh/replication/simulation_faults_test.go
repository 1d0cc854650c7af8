package replication

import (
	"slices"
	"time"
)

// injectTargetedFault sometimes injects a fault right after a message that decides something.
func (sim *simulation) injectTargetedFault(n *machine, msg *Message) {
	odds := 0
	switch {
	case msg.VoteRequest != nil && !msg.VoteRequest.PreVote:
		odds = 6
	case msg.VoteResponse != nil && !msg.VoteResponse.PreVote:
		odds = 5
	case msg.AppendResponse != nil:
		odds = 400
	case msg.SnapshotResponse != nil, msg.TimeoutNow != nil:
		odds = 6
	}
	if odds > 0 && sim.rng.IntN(odds) == 0 {
		life := n.incarnation
		sim.schedule(sim.randomUpTo(10*time.Millisecond), func() {
			if n.incarnation == life && sim.targetedFaults {
				sim.injectFaultAt(n)
			}
		})
	}
}

// injectFaultAt power-cycles a machine, with its disk or without, or changes the partition.
func (sim *simulation) injectFaultAt(n *machine) {
	switch sim.rng.IntN(6) {
	case 0, 1:
		sim.powerCycle(n, sim.randomUpTo(150*time.Millisecond))
	case 2, 3:
		sim.loseDisk(n)
	case 4:
		if sim.unboundedFaults {
			sim.splitNetwork()
		}
	case 5:
		sim.healAllLinks()
	}
}

// recordFault counts a fault, and counts the machine as lost until recoveryTime after the fault's end.
func (sim *simulation) recordFault(n *machine, what string, duration time.Duration) {
	sim.count(what)
	sim.lastFault = max(sim.lastFault, sim.now+duration)
	if n != nil {
		n.recoveredAt = max(n.recoveredAt, sim.now+duration+recoveryTime)
	}
}

// tolerates says that one more machine may be lost.
func (sim *simulation) tolerates(n *machine) bool {
	if sim.unboundedFaults {
		return true
	}
	lost := 0
	for _, other := range sim.machines {
		if other != n && other.recoveredAt > sim.now {
			lost++
		}
	}
	size := min(sim.target, len(sim.memberships[sim.newestMembership].Voters))
	return lost+1 <= min(sim.faultTolerance, (size-1)/2)
}

// toleratesDiskLoss says that no membership that may be in force would lose a majority of its disks
// if this one were a voter's, too. A learner that was lost just now may still be made a voter, so
// another loss has to wait.
func (sim *simulation) toleratesDiskLoss(n *machine) bool {
	if sim.now < sim.diskLostAt+2*time.Second && sim.diskLostAt > 0 {
		return false
	}
	for _, m := range sim.membershipsInForce() {
		for _, set := range [][]MemberID{m.Voters, m.Outgoing} {
			lost := 1
			for _, id := range set {
				if id != n.id && sim.diskLost[id] {
					lost++
				}
			}
			if len(set) > 0 && lost > (len(set)-1)/2 {
				return false
			}
		}
	}
	return true
}

// membershipsInForce returns those that may be in force on some machine: the newest committed one and
// all that follow it in a log.
func (sim *simulation) membershipsInForce() []Membership {
	inForce := []Membership{sim.memberships[sim.newestMembership]}
	for _, other := range sim.machines {
		for _, e := range other.disk.Entries {
			if e.Kind == EntryMembership && e.Index > sim.newestMembership {
				if m, err := decodeMembership(e.Command); err == nil {
					inForce = append(inForce, m)
				}
			}
		}
		if other.replica == nil {
			continue
		}
		for _, m := range other.replica.memberships {
			if m.index > sim.newestMembership {
				inForce = append(inForce, m.Membership)
			}
		}
	}
	return inForce
}

// powerCycle takes a machine's power away for a while.
func (sim *simulation) powerCycle(n *machine, down time.Duration) {
	if !sim.tolerates(n) || n.removed {
		return
	}
	sim.recordFault(n, "power lost", down)
	sim.powerOff(n)
	sim.schedule(down, func() { sim.powerOn(n) })
}

// loseDisk restarts a machine with an empty disk, as another member.
func (sim *simulation) loseDisk(n *machine) {
	if !sim.tolerates(n) || !sim.toleratesDiskLoss(n) || n.removed {
		return
	}
	down := sim.randomUpTo(300 * time.Millisecond)
	sim.recordFault(n, "disk lost", down)
	sim.replaceDisk(n)
	sim.schedule(down, func() { sim.powerOn(n) })
	sim.expectHealthy(sim.now + down)
	if sim.rng.IntN(3) == 0 {
		sim.powerCycleOthers(n)
	}
}

// extendRecovery makes lost machines count as lost for longer, because a new leader measures the time
// without contact from its election.
func (sim *simulation) extendRecovery(duration time.Duration) {
	sim.lastFault = max(sim.lastFault, sim.now+duration)
	for _, n := range sim.machines {
		if n.recoveredAt > sim.now {
			n.recoveredAt = max(n.recoveredAt, sim.now+duration+livenessBound+recoveryTime)
		}
	}
}

// powerCycleOthers takes the power of all machines but one away at once.
func (sim *simulation) powerCycleOthers(but *machine) {
	sim.count("power lost at once")
	sim.extendRecovery(600 * time.Millisecond)
	for _, n := range sim.presentMachines() {
		if n != but {
			sim.powerOff(n)
			sim.schedule(sim.randomUpTo(600*time.Millisecond), func() { sim.powerOn(n) })
		}
	}
}

// replaceMachine removes a machine for good and starts a successor after a second.
func (sim *simulation) replaceMachine(n *machine) {
	if !sim.tolerates(n) || !sim.toleratesDiskLoss(n) || n.removed {
		return
	}
	sim.recordFault(n, "replaced for good", time.Second)
	sim.removeMachine(n)
	successor := sim.addMachine()
	sim.emptyDisk(successor)
	sim.schedule(time.Second, func() { sim.powerOn(successor) })
	sim.expectHealthy(sim.now + time.Second)
}

// removeMachine removes a machine for good.
func (sim *simulation) removeMachine(n *machine) {
	sim.powerOff(n)
	n.removed = true
	sim.loseID(n.id)
}

func (sim *simulation) loseID(id MemberID) {
	sim.diskLost[id] = true
	sim.diskLostAt = sim.now
}

// leaveCheckInterval is how often a leaving machine checks whether it has been replaced.
const leaveCheckInterval = 100 * time.Millisecond

// leaveGracefully starts a successor and announces a machine as leaving. The machine stops once it
// isn't a voter any more, or at the end of its grace period.
func (sim *simulation) leaveGracefully(n *machine) {
	if !sim.tolerates(n) || n.removed || n.leaving {
		return
	}
	sim.recordFault(n, "left gracefully", 0)
	n.leaving = true
	successor := sim.addMachine()
	sim.emptyDisk(successor)
	sim.powerOn(successor)
	sim.expectHealthy(sim.now)
	since := sim.now
	sim.schedule(leaveCheckInterval, func() { sim.stopWhenReplaced(n, since) })
}

// stopWhenReplaced stops a machine that has been leaving since a time, or checks again later.
func (sim *simulation) stopWhenReplaced(n *machine, since time.Duration) {
	if n.removed {
		return
	}
	// A leader may act for a while on an earlier announcement and make the leaving learner a voter.
	mayVote := slices.ContainsFunc(sim.membershipsInForce(), func(m Membership) bool { return m.IsVoter(n.id) })
	replaced := sim.now >= since+announcementTTL && !mayVote
	inGracePeriod := sim.now < since+recoveryTime
	if !replaced && (inGracePeriod || sim.healed || !sim.toleratesDiskLoss(n)) {
		sim.schedule(leaveCheckInterval, func() { sim.stopWhenReplaced(n, since) })
		return
	}
	if replaced {
		sim.count("left after its replacement")
	} else {
		sim.count("left at the end of its grace period")
	}
	n.recoveredAt = max(n.recoveredAt, sim.now+recoveryTime)
	sim.removeMachine(n)
}

// expectHealthy checks that the membership is healthy within recoveryTime of a successor's start,
// unless another fault occurs meanwhile.
func (sim *simulation) expectHealthy(start time.Duration) {
	if sim.unboundedFaults {
		return
	}
	faults := sim.disruptiveFaults()
	sim.schedule(start+recoveryTime-sim.now, func() {
		switch {
		case sim.disruptiveFaults() != faults || sim.clientsStopped:
			sim.count("replacement disturbed")
		case sim.lastHealthy <= start:
			sim.violation("a replacement isn't complete %v after its start at %v", recoveryTime, start)
		default:
			sim.count("replacement completed in time")
		}
	})
}

// disruptiveFaults counts the faults that disturb a replacement.
func (sim *simulation) disruptiveFaults() int {
	n := 0
	for _, what := range []string{
		"power lost", "disk lost", "power lost at once", "killed at once", "replaced for good", "left gracefully",
		"frozen", "cut one way", "cut both ways", "split", "disk full", "disk slow", "links degraded",
	} {
		n += sim.counts[what]
	}
	return n
}

// freeze stops a machine's process for a while.
func (sim *simulation) freeze(n *machine, d time.Duration) {
	if !sim.tolerates(n) || n.replica == nil {
		return
	}
	sim.recordFault(n, "frozen", d)
	if n.replica.role == leader {
		sim.count("leader frozen")
	}
	n.frozen = true
	sim.schedule(d, func() { n.frozen = false; sim.runMachine(n) })
}

// injectRandomFault injects one fault, half of the time at the leader.
func (sim *simulation) injectRandomFault() {
	n := sim.randomMachine()
	if lead := sim.leader(); lead != nil && sim.rng.IntN(2) == 0 {
		n = lead
	}
	d := sim.randomUpTo(1500 * time.Millisecond)
	if sim.rng.IntN(4) == 0 {
		d += 2 * time.Second
	}
	switch sim.rng.IntN(18) {
	case 0, 1:
		sim.powerCycle(n, d)
	case 2:
		sim.powerCycleOthers(nil)
	case 3:
		sim.killAll()
	case 4, 5:
		sim.loseDisk(n)
	case 6, 7:
		sim.replaceMachine(n)
	case 8, 9:
		sim.leaveGracefully(n)
	case 10, 11:
		sim.freeze(n, d)
	case 12, 13:
		sim.partitionFor(n, d)
	case 14:
		if sim.tolerates(n) {
			sim.recordFault(n, "disk full", d)
			n.diskFull = true
			sim.schedule(d, func() { n.diskFull = false })
		}
	case 15:
		if sim.tolerates(n) {
			sim.recordFault(n, "disk slow", d)
			n.diskDelay = sim.randomUpTo(1500 * time.Millisecond)
			sim.schedule(d, func() { n.diskDelay = 0 })
		}
	case 16:
		if sim.unboundedFaults {
			sim.splitNetwork()
		}
	case 17:
		if sim.unboundedFaults {
			sim.count("links degraded")
			sim.loss, sim.delay = sim.rng.Float64()/2, sim.randomUpTo(200*time.Millisecond)
		}
	}
}

// partitionFor partitions a machine from all others for a while.
func (sim *simulation) partitionFor(n *machine, d time.Duration) {
	if !sim.tolerates(n) {
		return
	}
	sim.recordFault(n, "links cut", d)
	sim.partition(n)
	sim.schedule(d, func() {
		sim.healLinks(func(l link) bool { return l.from == n.address || l.to == n.address })
	})
}

// killAll ends every process at once; the disks keep their state, and all are back within a second.
func (sim *simulation) killAll() {
	sim.count("killed at once")
	sim.extendRecovery(time.Second)
	for _, n := range sim.presentMachines() {
		sim.powerOff(n)
		sim.schedule(sim.randomUpTo(time.Second), func() { sim.powerOn(n) })
	}
}

// healAll ends all faults.
func (sim *simulation) healAll() {
	sim.loss, sim.delay, sim.targetedFaults, sim.healed = 0, 5*time.Millisecond, false, true
	sim.healAllLinks()
	for _, n := range sim.presentMachines() {
		n.diskFull, n.diskDelay, n.frozen = false, 0, false
		sim.powerOn(n)
		sim.runMachine(n)
	}
	sim.lastFault = sim.now
}
