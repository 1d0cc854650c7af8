package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// These tests have a core machine come back after it was partitioned or suspended, and tell what it
// held. Nothing of that may bring back what has ended, or undo what was reported later.

// leaseWith is a lease of a node's first incarnation.
func leaseWith(node string, sequence Sequence, up Upstream) Lease {
	return Lease{Node: node, Incarnation: 1, Sequence: sequence, Upstream: &up}
}

func TestSuspendedMemberTellsOfNoExpiredLease(t *testing.T) {
	Convey("A suspended member tells of no lease that expired, even before its next Expire", t, func() {
		suspended, other := New(1), New(2)
		_, _ = suspended.Renew(0, leaseWith("n1", 1, upstream("a", 3)))
		resumed := TombstoneTTL + StaleTTL + 10*time.Second
		_, ok := suspended.RemoteLease(resumed, "n1")
		So(ok, ShouldBeFalse)
		_, ok = suspended.Renewal(resumed, "n1")
		So(ok, ShouldBeFalse)
		So(suspended.Leases(resumed), ShouldBeEmpty)
		So(suspended.Unleased(resumed), ShouldBeEmpty)
		// One that expired on its way refreshes nothing, and lists nothing anew.
		late := []RemoteLease{{leaseWith("n1", 9, upstream("a", 3)), 0}}
		So(other.Merge(resumed, late), ShouldBeEmpty)
		So(show(other, resumed), ShouldEqual, "")
		_, _ = other.Renew(resumed, leaseWith("n1", 9, upstream("a", 3)))
		newer, unknown := other.Extend(resumed, []Renewal{{"n1", 1, 10, 1, 0}, {"n2", 1, 10, 1, -1}})
		So(len(newer)+len(unknown), ShouldEqual, 0)
		// That a sidecar has left is taken however late it arrives.
		left := leaseWith("n1", 10, upstream("a", 3))
		left.Left = true
		So(other.Merge(resumed, []RemoteLease{{left, 0}}), ShouldResemble, []string{"n1"})
		So(show(other, resumed), ShouldEqual, "")
	})
}

func TestRelayedHeartbeatKeepsItsAge(t *testing.T) {
	Convey("A stale upstream is kept no longer for being relayed", t, func() {
		one, two := New(1), New(2)
		_, _ = one.Renew(0, leaseWith("n1", 1, upstream("a", 3)))
		one.Expire(LeaseTTL)
		at := LeaseTTL + StaleTTL - time.Second
		for _, report := range one.Unleased(at) {
			So(two.RelayedHeartbeat(at, report.Upstream, report.Remaining), ShouldBeTrue)
		}
		So(show(two, at), ShouldEqual, "a@10.0.0.1:90 ready?")
		two.Expire(at + time.Second)
		So(show(two, at), ShouldEqual, "")
		So(two.RelayedHeartbeat(at, upstream("b", 1), -StaleTTL), ShouldBeFalse)
	})
}

func TestLateHeartbeatsUndoNothing(t *testing.T) {
	Convey("Late and repeated heartbeats undo nothing, also once the instance has expired", t, func() {
		table := New(1)
		draining := upstream("a", 10)
		draining.State = Draining
		_, _ = table.Renew(0, leaseWith("n1", 1, draining))
		for _, sequence := range []int64{9, 10} {
			So(heartbeat(table, 0, upstream("a", sequence)), ShouldBeFalse)
		}
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		expired := LeaseTTL + StaleTTL
		table.Expire(expired)
		So(show(table, 0), ShouldEqual, "")
		for _, sequence := range []int64{9, 10} {
			taken, _ := table.Heartbeat(expired, upstream("a", sequence))
			So(taken, ShouldBeFalse)
		}
		_, _ = table.Renew(expired, leaseWith("n1", 2, upstream("a", 9)))
		So(show(table, 0), ShouldEqual, "")
		// The sidecar itself comes back, its upstream with its last report, or a later one.
		_, _ = table.Renew(expired, leaseWith("n1", 3, draining))
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		taken, _ := table.Heartbeat(expired, upstream("a", 11))
		So(taken, ShouldBeTrue)
	})
}
