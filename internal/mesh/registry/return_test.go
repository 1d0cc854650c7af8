package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A core member comes back after it was cut off or frozen, and tells what it held. Nothing of that may bring back
// what is gone, or undo what was said later.
func TestReturnOfAnOldMember(t *testing.T) {
	lease := func(node string, sequence uint64, up Upstream) Lease {
		return Lease{Node: node, Incarnation: 1, Sequence: sequence, Upstream: &up}
	}
	Convey("A frozen member tells of no lease that lapsed meanwhile, though it has not looked yet", t, func() {
		frozen, other := New(1), New(2)
		_, _ = frozen.Renew(0, lease("n1", 1, upstream("a", 3)))
		woken := TombstoneTTL + StaleTTL + 10*time.Second
		_, told := frozen.RemoteLease(woken, "n1")
		So(told, ShouldBeFalse)
		_, told = frozen.Renewal(woken, "n1")
		So(told, ShouldBeFalse)
		So(frozen.Leases(woken), ShouldBeEmpty)
		So(frozen.Unleased(woken), ShouldBeEmpty)
		// One that lapsed on its way vouches for nothing, and for nothing anew.
		late := []RemoteLease{{lease("n1", 9, upstream("a", 3)), 0}}
		So(other.Merge(woken, late), ShouldBeEmpty)
		So(show(other, woken), ShouldEqual, "")
		_, _ = other.Renew(woken, lease("n1", 9, upstream("a", 3)))
		newer, unknown := other.Extend(woken, []Renewal{{"n1", 1, 10, 1, 0}, {"n2", 1, 10, 1, -1}})
		So(len(newer)+len(unknown), ShouldEqual, 0)
		// That a sidecar has left is news however late it comes.
		gone := lease("n1", 10, upstream("a", 3))
		gone.Left = true
		So(other.Merge(woken, []RemoteLease{{gone, 0}}), ShouldResemble, []string{"n1"})
		So(show(other, woken), ShouldEqual, "")
	})
	Convey("What nobody vouches for grows no younger by being told on", t, func() {
		one, two := New(1), New(2)
		_, _ = one.Renew(0, lease("n1", 1, upstream("a", 3)))
		one.Expire(LeaseTTL)
		at := LeaseTTL + StaleTTL - time.Second
		for _, v := range one.Unleased(at) {
			So(two.RelayedHeartbeat(at, v.Upstream, v.Remaining), ShouldBeTrue)
		}
		So(show(two, at), ShouldEqual, "a@10.0.0.1:90 ready?")
		two.Expire(at + time.Second)
		So(show(two, at), ShouldEqual, "")
		So(two.RelayedHeartbeat(at, upstream("b", 1), -StaleTTL), ShouldBeFalse)
	})
	Convey("Late and doubled heartbeats undo nothing, also once the instance has lapsed", t, func() {
		table := New(1)
		draining := upstream("a", 10)
		draining.State = Draining
		_, _ = table.Renew(0, lease("n1", 1, draining))
		for _, sequence := range []int64{9, 10} {
			taken, err := table.Heartbeat(0, upstream("a", sequence))
			So(err, ShouldBeNil)
			So(taken, ShouldBeFalse)
		}
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		lapsed := LeaseTTL + StaleTTL
		table.Expire(lapsed)
		So(show(table, 0), ShouldEqual, "")
		for _, sequence := range []int64{9, 10} {
			taken, _ := table.Heartbeat(lapsed, upstream("a", sequence))
			So(taken, ShouldBeFalse)
		}
		_, _ = table.Renew(lapsed, lease("n1", 2, upstream("a", 9)))
		So(show(table, 0), ShouldEqual, "")
		// The sidecar itself comes back, its upstream with its last word, or a later one.
		_, _ = table.Renew(lapsed, lease("n1", 3, draining))
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		taken, _ := table.Heartbeat(lapsed, upstream("a", 11))
		So(taken, ShouldBeTrue)
	})
}
