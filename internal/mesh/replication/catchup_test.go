package replication

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// missedCommands is the number of commands that a member misses while it is down.
	missedCommands = 5000
	// commandInterval is the interval between commands while the member catches up: four per second.
	commandInterval = 250 * time.Millisecond
	// seedsPerSize is the number of simulations for each size of the state and of the commands.
	seedsPerSize = 2
	// slowLinkBitsPerSecond is the bandwidth of a slow link.
	slowLinkBitsPerSecond = 3_000_000
)

// timeToCatchUp makes one of three members miss missedCommands commands, and restarts it on a slow link.
// It returns the time from the restart until the member has applied all committed entries, and the
// maximum size in bytes of the leader's log and snapshot in memory.
func timeToCatchUp(seed uint64, stateBytes, commandBytes int) (elapsed time.Duration, memory int) {
	sim := newSimulation(seed, 1)
	sim.snapshotPadding, sim.commandPadding = stateBytes, commandBytes
	sim.run(10*time.Second, sim.isHealthy)
	So(sim.isHealthy(), ShouldBeTrue)
	n := sim.machines[0]
	if n == sim.leader() {
		n = sim.machines[1]
	}
	sim.powerOff(n)
	sim.membershipChangesDisabled = true
	for missed := len(sim.appliedOrder); len(sim.appliedOrder)-missed < missedCommands && len(sim.violations) == 0; {
		sim.issueClientRequests()
		sim.run(sim.now+10*time.Millisecond, nil)
	}
	sim.bitsPerSecond = slowLinkBitsPerSecond
	var proposePeriodically func()
	proposePeriodically = func() {
		sim.issueClientRequests()
		sim.schedule(commandInterval, proposePeriodically)
	}
	proposePeriodically()
	began := sim.now
	sim.powerOn(n)
	sim.run(began+time.Minute, func() bool {
		leadingMachine := sim.leader()
		if leadingMachine == nil {
			return false
		}
		memory = max(memory, leadingMachine.replica.log.bytes+len(leadingMachine.replica.log.snapshot.Data))
		p := leadingMachine.replica.peers[n.id]
		return p != nil && p.match > 0 && p.match >= leadingMachine.replica.commit && n.replica.Applied() >= p.match
	})
	So(sim.violations, ShouldBeEmpty)
	return sim.now - began, memory
}

func TestFarBehindMemberCatchesUp(t *testing.T) {
	Convey("A member that missed 5,000 commands catches up over 3 Mbit/s at four new commands per second", t, func() {
		for _, size := range []struct{ state, command int }{{64 << 10, 200}, {400 << 10, 1 << 10}, {800 << 10, 2 << 10}} {
			maxElapsed, maxMemory := time.Duration(0), 0
			for seed := range uint64(seedsPerSize) {
				elapsed, memory := timeToCatchUp(seed+1, size.state, size.command)
				maxElapsed, maxMemory = max(maxElapsed, elapsed), max(maxMemory, memory)
			}
			t.Logf("state of %d KiB, commands of %d bytes: caught up within %v, leader's log and snapshot at most %d KiB",
				size.state>>10, size.command, maxElapsed, maxMemory>>10)
			So(fmt.Sprint(maxElapsed, maxElapsed < recoveryTime), ShouldEqual, fmt.Sprint(maxElapsed, true))
		}
	})
}
