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
	historiesFlag = flag.Int("histories", 300, "how many random histories are played")
	seedFlag      = flag.Uint64("seed", 0, "play the history of this seed alone")
	goOnFlag      = flag.Bool("go-on", false, "go on after a history that fails")
	firstFlag     = flag.Uint64("first", 1, "the seed of the first history")
)

// faultDuration is how long faults are injected in a history.
const faultDuration = 7 * time.Second

// playHistory plays one history: its seed decides how many machines there are and which faults occur.
func playHistory(seed uint64) *simulation {
	sim := newSimulation(seed, 1+int(seed%2))
	sim.unboundedFaults = seed%3 == 0
	sim.targetedFaults = seed%4 < 3
	oneAtATime := seed%6 == 1 || seed%6 == 2 // so that each replacement is observed to its end
	if oneAtATime {
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
	paces := []time.Duration{250 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second}
	pace := paces[sim.rng.IntN(len(paces))]
	if oneAtATime {
		sim.run(recoveryTime, sim.isHealthy)
	}
	for sim.now < faultDuration && len(sim.violations) == 0 {
		sim.run(sim.now+sim.randomUpTo(pace), nil)
		sim.injectRandomFault()
		if oneAtATime {
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
	// Faults end by themselves; after the last one everything is healed.
	sim.targetedFaults = false
	sim.run(max(sim.now, sim.lastFault)+time.Second, nil)
	sim.healAll()
	sim.clientsStopped = true
	sim.run(sim.now+50*time.Millisecond, nil)
	sim.clientsStopped = false
	sim.checkRecovery()
	return sim
}

// TestHistories plays random histories, 3 and 5 voters in turn.
func TestHistories(t *testing.T) {
	first, last := *firstFlag, *firstFlag+uint64(*historiesFlag)-1
	if *seedFlag != 0 {
		first, last = *seedFlag, *seedFlag
	}
	counts := map[string]int{}
	for seed := first; seed <= last; seed++ {
		sim := playHistory(seed)
		for what, n := range sim.counts {
			counts[what] += n
		}
		counts["~ acknowledged"] += len(sim.acknowledged)
		counts["~ reads"] += sim.completedReads
		counts["~ terms"] += len(sim.leaders)
		counts["~ contact checks"] += sim.contactChecks
		counts["~ histories undecided by porcupine"] += sim.undecidedHistories
		if len(sim.violations) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(sim.violations, "; "))
			if !*goOnFlag {
				break
			}
		}
	}
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%9d %s", counts[what], what)
	}
}

// Right after an acknowledgement some machines lose their disks while all others lose power: each
// machine in turn, and each two of five.
func TestDiskLostAfterAcknowledgement(t *testing.T) {
	Convey("Acknowledged commands survive the loss of any tolerated disks while all other machines lose power", t, func() {
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
						sim.run(sim.now+2*time.Second, func() bool { sim.proposeEverywhere(); return len(sim.acknowledged) > 0 })
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

// The same where machines without a vote are there, which lose power in the same moment as all others: as many disks
// as tolerated are lost, of voters or of them.
func TestDiskLostWhileLearnersLosePower(t *testing.T) {
	const learners = 3
	Convey("Acknowledged commands survive, though no machine that kept its disk kept its power", t, func() {
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
				sim.run(sim.now+2*time.Second, func() bool { sim.proposeEverywhere(); return len(sim.acknowledged) > 0 })
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

// A member that was partitioned or frozen raises no term when it returns, and a leader that loses
// its majority steps down and aborts its callers' requests.
func TestReturningMemberDisturbsNothing(t *testing.T) {
	Convey("Given three members with a leader", t, func() {
		sim := newSimulation(7, 1)
		sim.run(2*time.Second, nil)
		id, term := sim.machines[0].replica.Leader()
		So(id, ShouldNotBeEmpty)
		lead := sim.machineAt[id.Address()]
		other := sim.machines[0]
		if other == lead {
			other = sim.machines[1]
		}
		Convey("a follower that was frozen, or doesn't receive the leader's messages, leaves the term as it is", func() {
			other.frozen = true
			sim.run(sim.now+1900*time.Millisecond, nil)
			other.frozen = false
			sim.runMachine(other)
			sim.cutLink(lead.address, other.address, dropping)
			sim.run(sim.now+3*time.Second, nil)
			sim.healAllLinks()
			sim.run(sim.now+2*time.Second, nil)
			for _, n := range sim.machines {
				leader, now := n.replica.Leader()
				So(leader, ShouldEqual, id)
				So(now, ShouldEqual, term)
			}
		})
		Convey("a leader that was frozen steps down before it does anything, and another is elected in time", func() {
			token, err := sim.proposeTo(lead)
			So(err, ShouldBeNil)
			index := lead.replica.log.lastIndex()
			lead.frozen = true
			since := sim.now
			sim.run(since+3*time.Second, func() bool {
				leader, _ := other.replica.Leader()
				return leader != "" && leader != id
			})
			So(sim.now-since, ShouldBeLessThan, 1300*time.Millisecond)
			now := sim.localTime(lead) + time.Second
			So(lead.replica.IsLeader(now), ShouldBeFalse)
			_, err = lead.replica.Read(now)
			So(errs.KindOf(err), ShouldEqual, errs.NotLeader)
			r, _ := lead.replica.Ready(now)
			So(r.CompletedProposals, ShouldResemble, []Completion{{Token: token, Index: index, Aborted: true}})
			So(r.Messages, ShouldBeEmpty)
		})
	})
}
