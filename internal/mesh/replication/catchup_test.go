package replication

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// missedChanges is how many changes a member misses while it is down.
	missedChanges = 5000
	// changeInterval is how often changes are proposed meanwhile: four a second.
	changeInterval = 250 * time.Millisecond
	// farBehindSeeds is how many histories are played of each size.
	farBehindSeeds = 2
	// narrowLink is the rate of a slow link, in bits a second.
	narrowLink = 3_000_000
)

// timeToCatchUp makes one of three members miss missedChanges. It returns how long the member takes,
// from its restart on a narrow link, to apply everything that is committed, and the largest size of
// the leader's log in memory.
func timeToCatchUp(seed uint64, stateBytes, commandBytes int) (took time.Duration, memory int) {
	sim := newSimulation(seed, 1)
	sim.snapshotPadding, sim.commandPadding = stateBytes, commandBytes
	sim.run(10*time.Second, sim.isHealthy)
	So(sim.isHealthy(), ShouldBeTrue)
	n := sim.machines[0]
	if n == sim.leader() {
		n = sim.machines[1]
	}
	sim.powerOff(n)
	sim.membershipFrozen = true
	for missed := len(sim.appliedOrder); len(sim.appliedOrder)-missed < missedChanges && len(sim.violations) == 0; {
		sim.proposeEverywhere()
		sim.run(sim.now+10*time.Millisecond, nil)
	}
	sim.bitsPerSecond = narrowLink
	var change func()
	change = func() {
		sim.proposeEverywhere()
		sim.schedule(changeInterval, change)
	}
	change()
	began := sim.now
	sim.powerOn(n)
	sim.run(began+time.Minute, func() bool {
		lead := sim.leader()
		if lead == nil {
			return false
		}
		memory = max(memory, lead.replica.log.bytes+len(lead.replica.log.snapshot.Data))
		p := lead.replica.peers[n.id]
		return p != nil && p.match > 0 && p.match >= lead.replica.commit && n.replica.Applied() >= p.match
	})
	So(sim.violations, ShouldBeEmpty)
	return sim.now - began, memory
}

func TestFarBehindMemberCatchesUp(t *testing.T) {
	Convey("A member 5,000 changes behind catches up in time over 3 Mbit/s, with four changes a second", t, func() {
		for _, size := range []struct{ state, command int }{{64 << 10, 200}, {400 << 10, 1 << 10}, {800 << 10, 2 << 10}} {
			worst, most := time.Duration(0), 0
			for seed := range uint64(farBehindSeeds) {
				took, memory := timeToCatchUp(seed+1, size.state, size.command)
				worst, most = max(worst, took), max(most, memory)
			}
			t.Logf("state of %d KiB, commands of %d bytes: caught up within %v, the leader's log and snapshot %d KiB",
				size.state>>10, size.command, worst, most>>10)
			So(fmt.Sprint(worst, worst < recoveryTime), ShouldEqual, fmt.Sprint(worst, true))
		}
	})
}
