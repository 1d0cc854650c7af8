package replication

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

// histories is how many random histories TestHistories plays. ARCHIVE_SEED
// plays one of them again, ARCHIVE_HISTORIES plays more.
const histories = 300

func play(seed uint64) *world {
	n := 3
	if seed%2 == 0 {
		n = 5
	}
	w := newWorld(seed, n)
	w.clients(25 * time.Millisecond)
	w.spite = seed%4 < 3
	pace := []time.Duration{250 * time.Millisecond, 800 * time.Millisecond, 2 * time.Second}[w.rng.IntN(3)]
	for w.now < 8*time.Second && len(w.faults) == 0 {
		w.run(w.now+w.upTo(pace), nil)
		w.hurt()
		if w.rng.IntN(2) == 0 {
			w.cut = map[[2]string]bool{}
		}
	}
	// Troubles that end by themselves do so within 2 s; the last fault is the healing.
	w.run(w.now+2*time.Second, nil)
	w.heal()
	w.settle()
	return w
}

func TestHistories(t *testing.T) {
	first, last := uint64(1), uint64(histories)
	if seed, err := strconv.ParseUint(os.Getenv("ARCHIVE_SEED"), 10, 64); err == nil {
		first, last = seed, seed
	} else if n, err := strconv.ParseUint(os.Getenv("ARCHIVE_HISTORIES"), 10, 64); err == nil {
		last = n
	}
	acked, reads, views := 0, 0, 0
	Convey("Whatever happens to members, disks and links, nothing acknowledged is lost and the members come back", t, func() {
		for seed := first; seed <= last; seed++ {
			w := play(seed)
			acked, reads, views = acked+len(w.acked), reads+w.reads, views+len(w.leaders)
			So(fmt.Sprintf("ARCHIVE_SEED=%d %q", seed, w.faults), ShouldEqual, fmt.Sprintf("ARCHIVE_SEED=%d []", seed))
		}
	})
	t.Logf("%d acknowledged, %d reads, %d views", acked, reads, views)
}

// The closing fault: right after an acknowledgement some members lose their
// disks while all others lose power. Each member is taken, and with five each two of them.
func TestDiskLostAfterAcknowledgement(t *testing.T) {
	Convey("What was acknowledged survives the loss of any minority's disks while all others lose power", t, func() {
		for _, n := range []int{3, 5} {
			for a := range n {
				for b := range n {
					if n == 3 && a != b {
						continue
					}
					for seed := range uint64(4) {
						w := newWorld(seed, n)
						w.run(2*time.Second, func() bool { w.propose(); return len(w.acked) > 0 })
						acked := len(w.acked)
						for i, id := range w.ids {
							if i == a || i == b {
								w.wipe(w.nodes[id])
							} else {
								w.powerOff(w.nodes[id])
							}
						}
						w.heal()
						w.settle()
						So(acked, ShouldBeGreaterThan, 0)
						So(w.faults, ShouldBeEmpty)
					}
				}
			}
		}
	})
}

// A member that was cut off or frozen raises no view when it returns, and a
// sequencer that loses its majority stops and tells its callers.
func TestReturnDisturbsNothing(t *testing.T) {
	Convey("Given three members with a sequencer", t, func() {
		w := newWorld(7, 3)
		w.run(2*time.Second, nil)
		id, view := w.nodes[w.ids[0]].m.Sequencer()
		lead := w.nodes[id]
		other := w.nodes[w.ids[0]]
		if other == lead {
			other = w.nodes[w.ids[1]]
		}
		So(id, ShouldNotBeEmpty)
		Convey("a follower that was frozen and one that doesn't hear the sequencer leave the view as it is", func() {
			other.frozen = true
			w.run(w.now+2*time.Second, nil)
			other.frozen = false
			w.pump(other)
			w.cut[[2]string{lead.id, other.id}] = true
			w.run(w.now+3*time.Second, nil)
			w.cut = map[[2]string]bool{}
			w.run(w.now+2*time.Second, nil)
			for _, n := range w.nodes {
				seq, now := n.m.Sequencer()
				So(seq, ShouldEqual, id)
				So(now, ShouldEqual, view)
			}
		})
		Convey("a sequencer that thaws steps down before it does anything, and the new one came within about a second", func() {
			token, err := lead.m.Propose(w.now-lead.born, []byte("unclear"))
			So(err, ShouldBeNil)
			lead.frozen = true
			since := w.now
			w.run(since+3*time.Second, func() bool {
				seq, _ := other.m.Sequencer()
				return seq != "" && seq != id
			})
			So(w.now-since, ShouldBeLessThan, 1300*time.Millisecond)
			now := w.now + time.Second - lead.born
			So(lead.m.IsSequencer(now), ShouldBeFalse)
			_, err = lead.m.Read(now)
			So(errs.Of(err), ShouldEqual, errs.NotSequencer)
			r, _ := lead.m.Ready(now)
			So(r.Proposals, ShouldResemble, []Settlement{{Token: token, Index: lead.m.log.last(), Aborted: true}})
			So(r.Messages, ShouldBeEmpty)
		})
	})
}
