package replication

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// behindBy is how many changes a member misses, while it is down.
	behindBy = 5000
	// changesEvery is how often changes go on coming: four a second.
	changesEvery = 250 * time.Millisecond
	// farBehindSeeds is how many histories are played of each size.
	farBehindSeeds = 2
	// narrowLink is the rate of the links of the grown sites, in bits a second.
	narrowLink = 3_000_000
)

// catchesUp has one of three members miss behindBy changes and says how long it takes, from its start on
// a narrow link, to hold all that is committed, and how much memory the leader's log took at most.
func catchesUp(seed uint64, stateBytes, commandBytes int) (took time.Duration, memory int) {
	w := newWorld(seed, 1)
	w.padding, w.commandPadding = stateBytes, commandBytes
	w.run(10*time.Second, w.isWhole)
	So(w.isWhole(), ShouldBeTrue)
	n := w.machines[0]
	if n == w.leader() {
		n = w.machines[1]
	}
	w.powerOff(n)
	w.manageOff = true
	for missed := len(w.order); len(w.order)-missed < behindBy && len(w.faults) == 0; {
		w.propose()
		w.run(w.now+10*time.Millisecond, nil)
	}
	w.bits = narrowLink
	var change func()
	change = func() {
		w.propose()
		w.after(changesEvery, change)
	}
	change()
	began := w.now
	w.powerOn(n)
	w.run(began+time.Minute, func() bool {
		lead := w.leader()
		if lead == nil {
			return false
		}
		memory = max(memory, lead.replica.log.bytes+len(lead.replica.log.snapshot.Data))
		p := lead.replica.peers[n.id]
		return p != nil && p.match > 0 && p.match >= lead.replica.commit && n.replica.Applied() >= p.match
	})
	So(w.faults, ShouldBeEmpty)
	return w.now - began, memory
}

func TestFarBehind(t *testing.T) {
	Convey("A member 5,000 changes behind catches up in time over 3 Mbit/s while changes come at four a second", t, func() {
		for _, size := range []struct{ state, command int }{{64 << 10, 200}, {400 << 10, 1 << 10}, {800 << 10, 2 << 10}} {
			worst, most := time.Duration(0), 0
			for seed := range uint64(farBehindSeeds) {
				took, memory := catchesUp(seed+1, size.state, size.command)
				worst, most = max(worst, took), max(most, memory)
			}
			t.Logf("state of %d KiB, commands of %d bytes: caught up within %v, the leader's log and snapshot %d KiB", size.state>>10, size.command, worst, most>>10)
			So(fmt.Sprint(worst, worst < catchUp), ShouldEqual, fmt.Sprint(worst, true))
		}
	})
}
