package controlplane

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCoreMachinesReplaced has each of the first three machines replaced in turn, in order, without
// notice, and by an empty disk at its address: nothing that was acknowledged is lost, and changes go
// on.
func TestCoreMachinesReplaced(t *testing.T) {
	const inOrder, atOnce = 6, 0.001 // grace periods in seconds
	Convey("Each replaced machine's vote goes to its successor, and the last one knows everything", t, func() {
		c, seeds := newTestCluster(t), []int{1, 2, 3}
		disks := t.TempDir()
		disk := func(name string) string {
			path := filepath.Join(disks, name)
			So(os.MkdirAll(path, 0o700), ShouldBeNil)
			return path
		}
		c.start(machineConfig{1, true, disk("1"), seeds, atOnce})
		c.start(machineConfig{2, true, disk("2"), seeds, inOrder})
		c.start(machineConfig{3, true, disk("3"), seeds, atOnce})
		c.eventually("a leader", c.hasVoters(1, 1, 2, 3))
		c.change(1, 1, 0)

		// Planned: the successor starts first, and the old one ends once it votes.
		c.start(machineConfig{4, false, disk("4"), seeds, inOrder})
		c.eventually("machine 4 to follow", func() bool {
			return c.status(4).InContact && !c.status(4).Voter
		})
		c.stop(2)
		So(c.hasVoters(4, 1, 3, 4)(), ShouldBeTrue)
		c.change(4, 2, 1)

		// A disk is lost: the machine comes back at its address, as a new member.
		c.stop(3)
		So(os.RemoveAll(disk("3")), ShouldBeNil)
		c.start(machineConfig{3, false, disk("3"), []int{1, 4}, atOnce})
		c.eventually("the new disk to vote", func() bool {
			return c.hasVoters(4, 1, 3, 4)() && c.status(3).Voter &&
				c.status(3).MemberID != c.internalAddress(3)
		})
		c.change(3, 3, 2)

		// One is lost for good, and the only seed in the successor's settings is gone, too, until
		// they are changed.
		c.stop(1)
		c.start(machineConfig{5, false, disk("5"), []int{2}, atOnce})
		c.eventually("machine 5 to be up", func() bool { return c.status(5).ReportedBy != "" })
		So(c.status(5).MemberID, ShouldBeEmpty)
		c.machines[5].reload <- c.settings(machineConfig{5, false, disk("5"), []int{2, 3}, atOnce})
		c.eventually("machine 5 to vote", c.hasVoters(5, 3, 4, 5))
		c.change(5, 4, 3)

		// None of the first three disks is left, and another loss is tolerated.
		c.stop(4)
		c.change(5, 5, 4)
		So(c.version(3), ShouldEqual, 5)

		// A machine that was replaced comes back with its old disk: it follows, and knows the newest.
		c.start(machineConfig{4, false, disk("4"), []int{2}, atOnce})
		c.eventually("machine 4 to follow", func() bool {
			return c.status(4).InContact && c.version(4) == 5
		})
	})
}
