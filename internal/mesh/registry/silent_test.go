package registry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// tableWithLeases returns a table in which each of the nodes renewed its lease at now.
func tableWithLeases(now time.Duration, nodes ...string) *Table {
	table := New(1)
	for _, node := range nodes {
		_, err := table.Renew(now, Lease{Node: node, Incarnation: 5, Sequence: 1})
		So(err, ShouldBeNil)
	}
	return table
}

func TestSilentSidecarsHoldShares(t *testing.T) {
	const silentSince = LeaseTTL
	Convey("A sidecar whose lease expires holds a share for SilentRetention, and no longer", t, func() {
		table := tableWithLeases(0, "a", "b", "c")
		table.Expire(silentSince)
		So(table.Counts(PeakWindow-time.Second), ShouldResemble, Counts{Live: 0, Peak: 3, ShareHolders: 3})
		table.Expire(time.Hour)
		So(table.Counts(time.Hour), ShouldResemble, Counts{Live: 0, Peak: 0, ShareHolders: 3})
		table.Expire(silentSince + SilentRetention)
		So(table.ShareHolders(silentSince+SilentRetention), ShouldEqual, 0)
	})
	Convey("A silent sidecar that renews its lease is counted once", t, func() {
		table := tableWithLeases(0, "a", "b")
		table.Expire(time.Hour)
		_, err := table.Renew(time.Hour, Lease{Node: "a", Incarnation: 6, Sequence: 1})
		So(err, ShouldBeNil)
		So(table.Counts(time.Hour), ShouldResemble, Counts{Live: 1, Peak: 1, ShareHolders: 2})
		So(table.Silent(time.Hour), ShouldResemble, []SilentSidecar{
			{"b", 5, SilentRetention + LeaseTTL - time.Hour},
		})
	})
	Convey("A sidecar that leaves in order, silent or not, is counted for LeaveWindow", t, func() {
		table := tableWithLeases(0, "a", "b")
		table.Expire(time.Hour)
		for _, node := range []string{"a", "b"} {
			_, err := table.Renew(time.Hour, Lease{Node: node, Incarnation: 5, Sequence: 2, Left: true})
			So(err, ShouldBeNil)
		}
		So(table.ShareHolders(time.Hour+LeaveWindow-time.Second), ShouldEqual, 2)
		So(table.ShareHolders(time.Hour+LeaveWindow+time.Second), ShouldEqual, 0)
		So(table.Silent(time.Hour), ShouldBeEmpty)
	})
	Convey("Sidecars that an earlier process stored hold shares until they leave or SilentRetention passes", t, func() {
		earlier := tableWithLeases(0, "a", "b", "c")
		table := New(2)
		table.RestoreHolders(0, earlier.Holders())
		So(table.Counts(0), ShouldResemble, Counts{Peak: 3, ShareHolders: 3})
		_, err := table.Renew(0, Lease{Node: "a", Incarnation: 1, Sequence: 1})
		So(err, ShouldBeNil)
		So(table.Counts(0), ShouldResemble, Counts{Live: 1, Peak: 3, ShareHolders: 3})
		_, err = table.Renew(time.Second, Lease{Node: "b", Incarnation: 5, Sequence: 2, Left: true})
		So(err, ShouldBeNil)
		So(table.ShareHolders(LeaveWindow+time.Second), ShouldEqual, 2)
		table.Expire(SilentRetention)
		So(table.Holders(), ShouldResemble, []string{"a"}) // "a" has become silent since its lease expired
	})
}

func TestMembersReportSilentSidecarsToEachOther(t *testing.T) {
	Convey("A member that starts counts the silent sidecars of another member for their remaining time", t, func() {
		from := tableWithLeases(0, "a", "b")
		from.Expire(time.Hour)
		to := tableWithLeases(0, "b", "c")
		to.MergeSilent(time.Second, from.Silent(time.Hour))
		So(to.ShareHolders(LeaveWindow+2*time.Second), ShouldEqual, 3)
		to.Expire(time.Second + SilentRetention + LeaseTTL - time.Hour)
		So(to.ShareHolders(SilentRetention), ShouldEqual, 2)
	})
	Convey("A reported sidecar that has left here is not marked silent, and an invalid report is ignored", t, func() {
		to := tableWithLeases(0, "a")
		_, err := to.Renew(0, Lease{Node: "a", Incarnation: 5, Sequence: 2, Left: true})
		So(err, ShouldBeNil)
		to.MergeSilent(0, []SilentSidecar{{"a", 5, time.Hour}, {"", 5, time.Hour}, {"y", 1, 0}})
		So(to.ShareHolders(LeaveWindow+time.Second), ShouldEqual, 0)
	})
	Convey("A sidecar that another member reported as silent can renew its lease", t, func() {
		to := New(1)
		to.MergeSilent(0, []SilentSidecar{{"a", 5, time.Hour}})
		changed, err := to.Renew(0, Lease{Node: "a", Incarnation: 5, Sequence: 1})
		So(err, ShouldBeNil)
		So(changed, ShouldBeTrue)
		So(to.Counts(0), ShouldResemble, Counts{Live: 1, Peak: 1, ShareHolders: 1})
	})
	Convey("A full table drops the sidecar that was silent longest, and is Busy if no sidecar is silent", t, func() {
		table := New(1)
		for i := range MaxLeases {
			_, err := table.Renew(time.Duration(i)*time.Millisecond, Lease{Node: fmt.Sprint(i), Incarnation: 1, Sequence: 1})
			So(err, ShouldBeNil)
		}
		_, err := table.Renew(0, Lease{Node: "new", Incarnation: 1, Sequence: 1})
		So(err, ShouldNotBeNil)
		now := LeaseTTL + time.Millisecond
		table.Expire(now) // the leases of nodes 0 and 1 expire
		_, err = table.Renew(now, Lease{Node: "new", Incarnation: 1, Sequence: 1})
		So(err, ShouldBeNil)
		So(table.Silent(now), ShouldHaveLength, 1)
		So(table.Silent(now)[0].Node, ShouldEqual, "1")
	})
}
