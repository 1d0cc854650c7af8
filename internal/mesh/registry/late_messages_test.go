package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// In these tests a core machine was partitioned or suspended, and then reports an outdated state. The outdated reports
// must not restore what has ended, nor undo later reports.

// leaseWith returns a lease of the first incarnation of a node.
func leaseWith(node string, sequence Sequence, up Upstream) Lease {
	return Lease{Node: node, Incarnation: 1, Sequence: sequence, Upstream: &up}
}

func TestSuspendedMemberSendsNoExpiredLease(t *testing.T) {
	Convey("A member that was suspended sends no expired lease, even before its next Expire", t, func() {
		suspended, other := New(1), New(2)
		_, _ = suspended.Renew(0, leaseWith("n1", 1, upstream("a", 3)))
		resumed := TombstoneTTL + StaleTTL + 10*time.Second
		_, ok := suspended.RemoteLease(resumed, "n1")
		So(ok, ShouldBeFalse)
		_, ok = suspended.Renewal(resumed, "n1")
		So(ok, ShouldBeFalse)
		So(suspended.Leases(resumed), ShouldBeEmpty)
		So(suspended.Unleased(resumed), ShouldBeEmpty)
		// A lease that expired in transit neither refreshes nor adds an upstream.
		late := []RemoteLease{{leaseWith("n1", 9, upstream("a", 3)), 0}}
		So(other.Merge(resumed, late), ShouldBeEmpty)
		So(describeUpstreams(other, resumed), ShouldEqual, "")
		_, _ = other.Renew(resumed, leaseWith("n1", 9, upstream("a", 3)))
		newer, unknown := other.Extend(resumed, []Renewal{{"n1", 1, 10, 1, 0}, {"n2", 1, 10, 1, -1}})
		So(len(newer)+len(unknown), ShouldEqual, 0)
		// The report that a sidecar has left is applied however late it arrives.
		left := leaseWith("n1", 10, upstream("a", 3))
		left.Left = true
		So(other.Merge(resumed, []RemoteLease{{left, 0}}), ShouldResemble, []string{"n1"})
		So(describeUpstreams(other, resumed), ShouldEqual, "")
	})
}

func TestRelayedHeartbeatKeepsItsAge(t *testing.T) {
	Convey("Relaying a heartbeat does not prolong the time for which a stale upstream is kept", t, func() {
		one, two := New(1), New(2)
		_, _ = one.Renew(0, leaseWith("n1", 1, upstream("a", 3)))
		one.Expire(LeaseTTL)
		at := LeaseTTL + StaleTTL - time.Second
		for _, report := range one.Unleased(at) {
			So(two.RelayedHeartbeat(at, report.Upstream, report.Remaining), ShouldBeTrue)
		}
		So(describeUpstreams(two, at), ShouldEqual, "a@10.0.0.1:90 ready?")
		two.Expire(at + time.Second)
		So(describeUpstreams(two, at), ShouldEqual, "")
		So(two.RelayedHeartbeat(at, upstream("b", 1), -StaleTTL), ShouldBeFalse)
	})
}

func TestLateHeartbeatsUndoNothing(t *testing.T) {
	Convey("Late and repeated heartbeats undo no newer report, even after the instance has expired", t, func() {
		table := New(1)
		draining := upstream("a", 10)
		draining.State = Draining
		_, _ = table.Renew(0, leaseWith("n1", 1, draining))
		for _, sequence := range []int64{9, 10} {
			So(heartbeat(table, 0, upstream("a", sequence)), ShouldBeFalse)
		}
		So(describeUpstreams(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		expired := LeaseTTL + StaleTTL
		table.Expire(expired)
		So(describeUpstreams(table, 0), ShouldEqual, "")
		for _, sequence := range []int64{9, 10} {
			applied, _ := table.Heartbeat(expired, upstream("a", sequence))
			So(applied, ShouldBeFalse)
		}
		_, _ = table.Renew(expired, leaseWith("n1", 2, upstream("a", 9)))
		So(describeUpstreams(table, 0), ShouldEqual, "")
		// A lease that repeats the upstream's last report restores the upstream, and a later heartbeat is applied.
		_, _ = table.Renew(expired, leaseWith("n1", 3, draining))
		So(describeUpstreams(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		applied, _ := table.Heartbeat(expired, upstream("a", 11))
		So(applied, ShouldBeTrue)
	})
}
