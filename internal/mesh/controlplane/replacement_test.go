package controlplane

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCoreMachinesReplaced replaces each of the first three machines: one in an orderly shutdown, one
// without notice, and one by an empty disk at the same address. No acknowledged change may be lost, and
// further changes have to be accepted throughout.
func TestCoreMachinesReplaced(t *testing.T) {
	const orderly, immediate = 6, 0.001 // grace periods in seconds
	Convey("Each replaced machine's vote passes to its successor, and the final machines have all changes", t, func() {
		c, seeds := newTestCluster(t), []int{1, 2, 3}
		disks := t.TempDir()
		disk := func(name string) string {
			path := filepath.Join(disks, name)
			So(os.MkdirAll(path, 0o700), ShouldBeNil)
			return path
		}
		c.start(machineConfig{1, true, disk("1"), seeds, immediate})
		c.start(machineConfig{2, true, disk("2"), seeds, orderly})
		c.start(machineConfig{3, true, disk("3"), seeds, immediate})
		c.eventually("a leader of voters 1, 2 and 3 exists", c.hasVoters(1, 1, 2, 3))
		c.change(1, 1, 0)

		// Planned replacement: the successor starts first, and the replaced machine stops once the
		// successor votes.
		c.start(machineConfig{4, false, disk("4"), seeds, orderly})
		c.eventually("machine 4 follows the log", func() bool {
			return c.status(4).InContact && !c.status(4).Voter
		})
		c.stop(2)
		So(c.hasVoters(4, 1, 3, 4)(), ShouldBeTrue)
		c.change(4, 2, 1)

		// Disk loss: the machine returns at the same address, as a new member.
		c.stop(3)
		So(os.RemoveAll(disk("3")), ShouldBeNil)
		c.start(machineConfig{3, false, disk("3"), []int{1, 4}, immediate})
		c.eventually("the new disk of machine 3 votes", func() bool {
			return c.hasVoters(4, 1, 3, 4)() && c.status(3).Voter &&
				c.status(3).MemberID != c.internalAddress(3)
		})
		c.change(3, 3, 2)

		// Permanent loss of a machine: the only seed in the successor's settings is gone, too, until the
		// settings are reloaded.
		c.stop(1)
		c.start(machineConfig{5, false, disk("5"), []int{2}, immediate})
		c.eventually("machine 5 answers status requests", func() bool { return c.status(5).ReportedBy != "" })
		So(c.status(5).MemberID, ShouldBeEmpty)
		c.machines[5].reload <- c.settings(machineConfig{5, false, disk("5"), []int{2, 3}, immediate})
		c.eventually("machine 5 votes", c.hasVoters(5, 3, 4, 5))
		c.change(5, 4, 3)

		// All of the first three disks have been replaced, and the cluster tolerates another loss.
		c.stop(4)
		c.change(5, 5, 4)
		So(c.version(3), ShouldEqual, 5)

		// A replaced machine returns with its old disk: it follows the log and has the newest version.
		c.start(machineConfig{4, false, disk("4"), []int{2}, immediate})
		c.eventually("machine 4 follows the log", func() bool {
			return c.status(4).InContact && c.version(4) == 5
		})
	})
}
