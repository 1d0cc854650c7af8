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

// faultsFor is how long faults come in a history.
const faultsFor = 7 * time.Second

// play plays one history: its seed says how many machines there are, and which kind of trouble.
func play(seed uint64) *world {
	w := newWorld(seed, 1+int(seed%2))
	w.wild = seed%3 == 0
	w.spite = seed%4 < 3
	calm := seed%6 == 1 || seed%6 == 2 // one fault at a time, so that each replacement is seen to its end
	if calm {
		w.spite = false
	}
	if seed%5 == 0 {
		w.padding = 3*snapshotChunkBytes + int(seed%7)*snapshotChunkBytes
	}
	if seed%8 == 7 {
		w.commandPadding = 16 << 10
	}
	for _, n := range w.machines {
		if w.rng.IntN(3) == 0 {
			n.lag = w.upTo(400 * time.Millisecond)
		}
	}
	w.clients(40 * time.Millisecond)
	paces := []time.Duration{250 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second}
	pace := paces[w.rng.IntN(len(paces))]
	if calm {
		w.run(catchUp, w.isWhole)
	}
	for w.now < faultsFor && len(w.faults) == 0 {
		w.run(w.now+w.upTo(pace), nil)
		w.hurt()
		if calm {
			w.run(w.now+6*time.Second, nil)
		}
		if w.wild && w.rng.IntN(2) == 0 {
			w.healAllLinks()
		}
		if !w.wild && w.now > liveWithin {
			w.checkLive()
		}
	}
	if len(w.faults) > 0 {
		return w
	}
	// Troubles end by themselves; the last fault is the healing.
	w.spite = false
	w.run(max(w.now, w.lastFault)+time.Second, nil)
	w.heal()
	w.quiet = true
	w.run(w.now+50*time.Millisecond, nil)
	w.quiet = false
	w.settle()
	return w
}

// TestHistories plays random histories, 3 and 5 voters in turn.
func TestHistories(t *testing.T) {
	first, last := *firstFlag, *firstFlag+uint64(*historiesFlag)-1
	if *seedFlag != 0 {
		first, last = *seedFlag, *seedFlag
	}
	counts := map[string]int{}
	for seed := first; seed <= last; seed++ {
		w := play(seed)
		for what, n := range w.counts {
			counts[what] += n
		}
		counts["~ acknowledged"] += len(w.acked)
		counts["~ reads"] += w.reads
		counts["~ terms"] += len(w.leaders)
		counts["~ checks of contact"] += w.confirmed
		counts["~ histories that porcupine gave up on"] += w.unchecked
		if len(w.faults) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(w.faults, "; "))
			if !*goOnFlag {
				break
			}
		}
	}
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%9d %s", counts[what], what)
	}
}

// The closing fault: right after an acknowledgement some machines lose their disks while all others
// lose power. Each machine is taken, and with five each two of them.
func TestDiskLostAfterAcknowledgement(t *testing.T) {
	Convey("What was acknowledged survives the loss of any tolerated disks while all others lose power", t, func() {
		for _, faultTolerance := range []int{1, 2} {
			size := 2*faultTolerance + 1
			for a := range size {
				for b := a; b < size; b++ {
					if faultTolerance == 1 && a != b {
						continue
					}
					for seed := range uint64(4) {
						w := newWorld(seed, faultTolerance)
						w.run(5*time.Second, w.isWhole)
						So(w.isWhole(), ShouldBeTrue)
						w.run(w.now+2*time.Second, func() bool { w.propose(); return len(w.acked) > 0 })
						acked := len(w.acked)
						lost := []MemberID{w.machines[a].id, w.machines[b].id}
						for i, n := range w.machines {
							if i == a || i == b {
								w.wipe(n)
							} else {
								w.powerOff(n)
							}
						}
						w.heal()
						w.settle()
						So(acked, ShouldBeGreaterThan, 0)
						So(fmt.Sprint(seed, a, b, w.faults), ShouldEqual, fmt.Sprint(seed, a, b, []string{}))
						current, committed := w.leader().replica.Membership()
						So(committed, ShouldBeTrue)
						So(current.IsVoter(lost[0]) || current.IsVoter(lost[1]), ShouldBeFalse)
					}
				}
			}
		}
	})
}

// A member that was cut off or frozen raises no term when it returns, and a leader that loses its
// majority stops and tells its callers.
func TestReturnDisturbsNothing(t *testing.T) {
	Convey("Given three members with a leader", t, func() {
		w := newWorld(7, 1)
		w.run(2*time.Second, nil)
		id, term := w.machines[0].replica.Leader()
		So(id, ShouldNotBeEmpty)
		lead := w.at[id.Address()]
		other := w.machines[0]
		if other == lead {
			other = w.machines[1]
		}
		Convey("a follower that was frozen and one that doesn't hear the leader leave the term as it is", func() {
			other.frozen = true
			w.run(w.now+1900*time.Millisecond, nil)
			other.frozen = false
			w.pump(other)
			w.cutLink(lead.address, other.address, dropping)
			w.run(w.now+3*time.Second, nil)
			w.healAllLinks()
			w.run(w.now+2*time.Second, nil)
			for _, n := range w.machines {
				leader, now := n.replica.Leader()
				So(leader, ShouldEqual, id)
				So(now, ShouldEqual, term)
			}
		})
		Convey("a leader that thaws steps down before it does anything, and the new one came within about a second", func() {
			token, err := w.proposeTo(lead)
			So(err, ShouldBeNil)
			index := lead.replica.log.lastIndex()
			lead.frozen = true
			since := w.now
			w.run(since+3*time.Second, func() bool {
				leader, _ := other.replica.Leader()
				return leader != "" && leader != id
			})
			So(w.now-since, ShouldBeLessThan, 1300*time.Millisecond)
			now := w.clock(lead) + time.Second
			So(lead.replica.IsLeader(now), ShouldBeFalse)
			_, err = lead.replica.Read(now)
			So(errs.KindOf(err), ShouldEqual, errs.NotLeader)
			r, _ := lead.replica.Ready(now)
			So(r.CompletedProposals, ShouldResemble, []Completion{{Token: token, Index: index, Aborted: true}})
			So(r.Messages, ShouldBeEmpty)
		})
	})
}
