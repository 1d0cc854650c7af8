package replication

import (
	"slices"
	"time"
)

// injectTargetedFault injects a fault at the sender within 10 ms of an important message, with a
// probability that depends on the type of the message.
func (sim *simulation) injectTargetedFault(n *machine, msg *Message) {
	// The probability of a fault is 1/odds.
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
		savedIncarnation := n.incarnation
		sim.schedule(sim.randomUpTo(10*time.Millisecond), func() {
			if n.incarnation == savedIncarnation && sim.targetedFaults {
				sim.injectFaultAt(n)
			}
		})
	}
}

// injectFaultAt power-cycles a machine, replaces its disk, splits the network or heals all links.
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

// recordFault counts a fault of the given duration. The machine counts as lost until recoveryTime after
// the end of the fault.
func (sim *simulation) recordFault(n *machine, name string, duration time.Duration) {
	sim.count(name)
	sim.lastFault = max(sim.lastFault, sim.now+duration)
	if n != nil {
		n.recoveredAt = max(n.recoveredAt, sim.now+duration+recoveryTime)
	}
}

// tolerates reports whether the machine n may be lost in addition to the machines that count as lost.
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
	size := min(sim.targetSize, len(sim.memberships[sim.newestMembership].Voters))
	return lost+1 <= min(sim.faultTolerance, (size-1)/2)
}

// toleratesDiskLoss reports whether every membership that may be in force keeps a majority of its disks
// if the disk of n is lost, assuming that n is a voter. Within 2 s of a disk loss it returns false,
// because a leader may still make the lost learner a voter.
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

// membershipsInForce returns the memberships that may be in force on a machine: the newest committed
// membership, and all memberships after it in the log of any machine, on disk or in memory.
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

// powerCycle powers a machine off and restarts it after the duration down.
func (sim *simulation) powerCycle(n *machine, down time.Duration) {
	if !sim.tolerates(n) || n.removed {
		return
	}
	sim.recordFault(n, "power lost", down)
	sim.powerOff(n)
	sim.schedule(down, func() { sim.powerOn(n) })
}

// loseDisk restarts a machine with an empty disk under a new member id. In one of three cases all other
// machines are power-cycled at the same time.
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

// extendRecovery extends the time for which lost machines count as lost. After a fault of all machines
// a new leader starts anew to measure the time without contact to a voter.
func (sim *simulation) extendRecovery(duration time.Duration) {
	sim.lastFault = max(sim.lastFault, sim.now+duration)
	for _, n := range sim.machines {
		if n.recoveredAt > sim.now {
			n.recoveredAt = max(n.recoveredAt, sim.now+duration+livenessBound+recoveryTime)
		}
	}
}

// powerCycleOthers power-cycles all machines except one at the same time.
func (sim *simulation) powerCycleOthers(except *machine) {
	sim.count("power lost on all other machines")
	sim.extendRecovery(600 * time.Millisecond)
	for _, n := range sim.presentMachines() {
		if n != except {
			sim.powerOff(n)
			sim.schedule(sim.randomUpTo(600*time.Millisecond), func() { sim.powerOn(n) })
		}
	}
}

// replaceMachine removes a machine permanently and starts a successor after one second.
func (sim *simulation) replaceMachine(n *machine) {
	if !sim.tolerates(n) || !sim.toleratesDiskLoss(n) || n.removed {
		return
	}
	sim.recordFault(n, "machine replaced", time.Second)
	sim.removeMachine(n)
	successor := sim.addMachine()
	sim.emptyDisk(successor)
	sim.schedule(time.Second, func() { sim.powerOn(successor) })
	sim.expectHealthy(sim.now + time.Second)
}

// removeMachine removes a machine and its disk permanently.
func (sim *simulation) removeMachine(n *machine) {
	sim.powerOff(n)
	n.removed = true
	sim.recordDiskLoss(n.id)
}

// recordDiskLoss records that the disk of a member is lost.
func (sim *simulation) recordDiskLoss(id MemberID) {
	sim.diskLost[id] = true
	sim.diskLostAt = sim.now
}

// leaveCheckInterval is the interval at which a leaving machine checks whether it has been replaced.
const leaveCheckInterval = 100 * time.Millisecond

// leaveGracefully starts a successor and announces a machine as leaving. The machine is removed when it
// is no longer a voter, or at the end of its grace period.
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

// stopWhenReplaced removes a machine that has been leaving since the given time, if it has been replaced
// or its grace period has ended. Otherwise it schedules the next check.
func (sim *simulation) stopWhenReplaced(n *machine, since time.Duration) {
	if n.removed {
		return
	}
	// Until the earlier announcement of the machine expires, a leader that has not received the leaving
	// announcement may make the machine a voter.
	mayVote := slices.ContainsFunc(sim.membershipsInForce(), func(m Membership) bool { return m.IsVoter(n.id) })
	replaced := sim.now >= since+announcementTTL && !mayVote
	inGracePeriod := sim.now < since+recoveryTime
	if !replaced && (inGracePeriod || sim.healed || !sim.toleratesDiskLoss(n)) {
		sim.schedule(leaveCheckInterval, func() { sim.stopWhenReplaced(n, since) })
		return
	}
	if replaced {
		sim.count("left after replacement")
	} else {
		sim.count("left at the end of the grace period")
	}
	n.recoveredAt = max(n.recoveredAt, sim.now+recoveryTime)
	sim.removeMachine(n)
}

// expectHealthy schedules a check that the membership has become healthy within recoveryTime of a
// successor's start. The check is void if another fault occurs in the meantime.
func (sim *simulation) expectHealthy(start time.Duration) {
	if sim.unboundedFaults {
		return
	}
	faults := sim.disruptiveFaults()
	sim.schedule(start+recoveryTime-sim.now, func() {
		switch {
		case sim.disruptiveFaults() != faults || sim.clientsStopped:
			sim.count("replacement disrupted by another fault")
		case sim.lastHealthy <= start:
			sim.violation("a replacement is not complete %v after the successor's start at %v", recoveryTime, start)
		default:
			sim.count("replacement completed in time")
		}
	})
}

// disruptiveFaults returns the number of faults so far that may delay a replacement.
func (sim *simulation) disruptiveFaults() int {
	n := 0
	for _, name := range []string{
		"power lost", "disk lost", "power lost on all other machines", "all processes killed", "machine replaced",
		"left gracefully", "frozen", "partitioned in one direction", "partitioned in both directions", "split",
		"disk full", "disk slow", "links degraded",
	} {
		n += sim.counts[name]
	}
	return n
}

// freeze pauses a machine's process for the duration d.
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

// injectRandomFault injects one random fault. In half of the cases it affects the leader, if there is
// one. A fault has no effect if it is not tolerated.
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

// partitionFor partitions a machine from all other machines for the duration d.
func (sim *simulation) partitionFor(n *machine, d time.Duration) {
	if !sim.tolerates(n) {
		return
	}
	sim.recordFault(n, "partitioned from all machines", d)
	sim.partition(n)
	sim.schedule(d, func() {
		sim.healLinks(func(l link) bool { return l.from == n.address || l.to == n.address })
	})
}

// killAll stops the processes of all machines at the same time. The disks keep their state, and each
// machine restarts within one second.
func (sim *simulation) killAll() {
	sim.count("all processes killed")
	sim.extendRecovery(time.Second)
	for _, n := range sim.presentMachines() {
		sim.powerOff(n)
		sim.schedule(sim.randomUpTo(time.Second), func() { sim.powerOn(n) })
	}
}

// healAll ends all faults and prevents further faults.
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
