package replication

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

var (
	historiesFlag = flag.Int("histories", 300, "number of random histories to simulate")
	seedFlag      = flag.Uint64("seed", 0, "simulate only the history with this seed")
	continueFlag  = flag.Bool("go-on", false, "continue after a history fails")
	firstSeedFlag = flag.Uint64("first", 1, "seed of the first history")
)

// faultDuration is the time for which faults are injected in a history.
const faultDuration = 7 * time.Second

// simulateHistory simulates one history. The seed determines the number of machines and the faults.
func simulateHistory(seed uint64) *simulation {
	sim := newSimulation(seed, 1+int(seed%2))
	sim.unboundedFaults = seed%3 == 0
	sim.targetedFaults = seed%4 < 3
	sequentialFaults := seed%6 == 1 || seed%6 == 2 // each replacement can complete before the next fault
	if sequentialFaults {
		sim.targetedFaults = false
	}
	if seed%5 == 0 {
		sim.snapshotPadding = 3*snapshotChunkBytes + int(seed%7)*snapshotChunkBytes
	}
	if seed%8 == 7 {
		sim.commandPadding = 16 << 10
	}
	for _, n := range sim.machines {
		if sim.rng.IntN(3) == 0 {
			n.applyDelay = sim.randomUpTo(400 * time.Millisecond)
		}
	}
	sim.runClients(40 * time.Millisecond)
	faultIntervals := []time.Duration{250 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second}
	faultInterval := faultIntervals[sim.rng.IntN(len(faultIntervals))]
	if sequentialFaults {
		sim.run(recoveryTime, sim.isHealthy)
	}
	for sim.now < faultDuration && len(sim.violations) == 0 {
		sim.run(sim.now+sim.randomUpTo(faultInterval), nil)
		sim.injectRandomFault()
		if sequentialFaults {
			sim.run(sim.now+6*time.Second, nil)
		}
		if sim.unboundedFaults && sim.rng.IntN(2) == 0 {
			sim.healAllLinks()
		}
		if !sim.unboundedFaults && sim.now > livenessBound {
			sim.checkLiveness()
		}
	}
	if len(sim.violations) > 0 {
		return sim
	}
	// Each fault ends after its duration. One second after the last fault, healAll ends what remains, such
	// as partitions without a duration.
	sim.targetedFaults = false
	sim.run(max(sim.now, sim.lastFault)+time.Second, nil)
	sim.healAll()
	sim.clientsStopped = true
	sim.run(sim.now+50*time.Millisecond, nil)
	sim.clientsStopped = false
	sim.checkRecovery()
	return sim
}

// TestHistories simulates random histories with faults, alternately with 3 and 5 voters, and checks the
// guarantees of the log in each.
func TestHistories(t *testing.T) {
	first, last := *firstSeedFlag, *firstSeedFlag+uint64(*historiesFlag)-1
	if *seedFlag != 0 {
		first, last = *seedFlag, *seedFlag
	}
	counts := map[string]int{}
	for seed := first; seed <= last; seed++ {
		sim := simulateHistory(seed)
		for name, n := range sim.counts {
			counts[name] += n
		}
		// "~" sorts the totals after the counters of single events.
		counts["~ acknowledged commands"] += len(sim.acknowledged)
		counts["~ completed reads"] += sim.completedReads
		counts["~ terms with a leader"] += len(sim.leaders)
		counts["~ contact checks"] += sim.contactChecks
		counts["~ histories with unknown linearizability"] += sim.undecidedHistories
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(sim.violations, "; "))
			if !*continueFlag {
				break
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%9d %s", counts[name], name)
	}
}

// TestDiskLostAfterAcknowledgement checks that an acknowledged command survives if, immediately after the
// acknowledgement, faultTolerance machines or fewer lose their disks and all others lose power. It covers
// each machine of three, and each machine and each pair of five.
func TestDiskLostAfterAcknowledgement(t *testing.T) {
	Convey("Acknowledged commands survive the loss of tolerated disks and a power loss of all others", t, func() {
		for _, faultTolerance := range []int{1, 2} {
			size := 2*faultTolerance + 1
			for a := range size {
				for b := a; b < size; b++ {
					if faultTolerance == 1 && a != b {
						continue
					}
					for seed := range uint64(4) {
						sim := newSimulation(seed, faultTolerance)
						sim.run(5*time.Second, sim.isHealthy)
						So(sim.isHealthy(), ShouldBeTrue)
						sim.run(sim.now+2*time.Second, func() bool {
							sim.issueClientRequests()
							return len(sim.acknowledged) > 0
						})
						acked := len(sim.acknowledged)
						lost := []MemberID{sim.machines[a].id, sim.machines[b].id}
						for i, n := range sim.machines {
							if i == a || i == b {
								sim.replaceDisk(n)
							} else {
								sim.powerOff(n)
							}
						}
						sim.healAll()
						sim.checkRecovery()
						So(acked, ShouldBeGreaterThan, 0)
						So(fmt.Sprint(seed, a, b, sim.violations), ShouldEqual, fmt.Sprint(seed, a, b, []string{}))
						current, committed := sim.leader().replica.Membership()
						So(committed, ShouldBeTrue)
						So(current.IsVoter(lost[0]) || current.IsVoter(lost[1]), ShouldBeFalse)
					}
				}
			}
		}
	})
}

// TestDiskLostWhileLearnersLosePower checks that an acknowledged command survives if, in a cluster with
// learners, faultTolerance voters or learners lose their disks and all other machines lose power at the
// same time.
func TestDiskLostWhileLearnersLosePower(t *testing.T) {
	const learners = 3
	Convey("Acknowledged commands survive disk losses while all other voters and learners lose power", t, func() {
		for _, faultTolerance := range []int{1, 2} {
			size := 2*faultTolerance + 1 + learners
			for seed := range uint64(3 * size) {
				sim := newSimulation(seed, faultTolerance)
				for range learners {
					learner := sim.addMachine()
					sim.emptyDisk(learner)
					sim.schedule(sim.randomUpTo(300*time.Millisecond), func() { sim.powerOn(learner) })
				}
				sim.run(5*time.Second, nil)
				So(sim.isHealthy(), ShouldBeTrue)
				sim.run(sim.now+2*time.Second, func() bool {
					sim.issueClientRequests()
					return len(sim.acknowledged) > 0
				})
				So(len(sim.acknowledged), ShouldBeGreaterThan, 0)
				lost := sim.rng.Perm(size)[:faultTolerance]
				for i, n := range sim.machines {
					if slices.Contains(lost, i) {
						sim.replaceDisk(n)
					} else {
						sim.powerOff(n)
					}
				}
				sim.healAll()
				sim.checkRecovery()
				So(fmt.Sprint(seed, lost, sim.violations), ShouldEqual, fmt.Sprint(seed, lost, []string{}))
			}
		}
	})
}

// TestReturningMemberIsNotDisruptive checks that a follower does not increment the term when it returns
// after a pause or a partition, and that a paused leader steps down and aborts its pending requests
// before any other action.
func TestReturningMemberIsNotDisruptive(t *testing.T) {
	Convey("Given a leader and two followers", t, func() {
		sim := newSimulation(7, 1)
		sim.run(2*time.Second, nil)
		id, term := sim.machines[0].replica.Leader()
		So(id, ShouldNotBeEmpty)
		leadingMachine := sim.machineByAddress[id.Address()]
		followerMachine := sim.machines[0]
		if followerMachine == leadingMachine {
			followerMachine = sim.machines[1]
		}
		Convey("a follower that was paused, or does not receive the leader's messages, keeps the term", func() {
			followerMachine.frozen = true
			sim.run(sim.now+1900*time.Millisecond, nil)
			followerMachine.frozen = false
			sim.runMachine(followerMachine)
			sim.cutLink(leadingMachine.address, followerMachine.address, dropMessages)
			sim.run(sim.now+3*time.Second, nil)
			sim.healAllLinks()
			sim.run(sim.now+2*time.Second, nil)
			for _, n := range sim.machines {
				leader, now := n.replica.Leader()
				So(leader, ShouldEqual, id)
				So(now, ShouldEqual, term)
			}
		})
		Convey("a paused leader steps down before any other action, and is replaced within 1.3 s", func() {
			token, err := sim.proposeTo(leadingMachine)
			So(err, ShouldBeNil)
			index := leadingMachine.replica.log.lastIndex()
			leadingMachine.frozen = true
			frozenAt := sim.now
			sim.run(frozenAt+3*time.Second, func() bool {
				leader, _ := followerMachine.replica.Leader()
				return leader != "" && leader != id
			})
			So(sim.now-frozenAt, ShouldBeLessThan, 1300*time.Millisecond)
			now := sim.localTime(leadingMachine) + time.Second
			So(leadingMachine.replica.IsLeader(now), ShouldBeFalse)
			_, err = leadingMachine.replica.Read(now)
			So(errs.KindOf(err), ShouldEqual, errs.NotLeader)
			r, _ := leadingMachine.replica.Ready(now)
			So(r.CompletedProposals, ShouldResemble, []Completion{{Token: token, Index: index, Aborted: true}})
			So(r.Messages, ShouldBeEmpty)
		})
	})
}
