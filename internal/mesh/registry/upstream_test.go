package registry

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUpstreamGoesStaleWithItsLease(t *testing.T) {
	Convey("An upstream is stale for 20 s after its lease expires, and is removed when its sidecar leaves", t, func() {
		table, up := New(1), upstream("a", 1)
		renew(table, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		table.Expire(LeaseTTL)
		So(describeUpstreams(table, 0), ShouldEqual, "a@10.0.0.1:90 ready?")
		renew(table, LeaseTTL, Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up})
		So(describeUpstreams(table, 0), ShouldEqual, "a@10.0.0.1:90 ready")
		table.Expire(2*LeaseTTL + StaleTTL - 1)
		So(describeUpstreams(table, 0), ShouldEqual, "a@10.0.0.1:90 ready?")
		table.Expire(2*LeaseTTL + StaleTTL)
		So(describeUpstreams(table, 0), ShouldEqual, "")
		renew(table, millis(30000), Lease{Node: "n1", Incarnation: 1, Sequence: 3, Upstream: &up})
		left := Lease{Node: "n1", Incarnation: 1, Sequence: 4, Upstream: &up, Left: true}
		So(renew(table, millis(30000), left), ShouldBeTrue)
		So(describeUpstreams(table, 0)+fmt.Sprint(table.LiveLeases()), ShouldEqual, "0")
		// The incarnation that left cannot renew its lease. An old heartbeat of its upstream is ignored, a later
		// heartbeat is applied.
		So(renew(table, millis(30000), Lease{Node: "n1", Incarnation: 1, Sequence: 5, Upstream: &up}), ShouldBeFalse)
		renew(table, millis(30000), Lease{Node: "n1", Incarnation: 2, Sequence: 1, Upstream: &up})
		So(describeUpstreams(table, 0)+fmt.Sprint(table.LiveLeases()), ShouldEqual, "1")
		up.Sequence = 2
		renew(table, millis(30000), Lease{Node: "n1", Incarnation: 2, Sequence: 2, Upstream: &up})
		So(describeUpstreams(table, 0), ShouldEqual, "a@10.0.0.1:90 ready")
	})
}

func TestNewestInstanceWins(t *testing.T) {
	Convey("The later heartbeat and the newer instance win, and a deregistered instance is not restored", t, func() {
		table, up := New(1), upstream("a", 5)
		renew(table, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		direct := Upstream{Instance: "a", Service: "s1", Address: "10.0.0.1:80", State: Draining, Sequence: 4}
		So(heartbeat(table, 0, direct), ShouldBeFalse)
		direct.Sequence = 6
		So(heartbeat(table, 0, direct), ShouldBeTrue)
		renew(table, millis(10), Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up})
		So(describeUpstreams(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		// A lease with an older report than the last heartbeat still refreshes the upstream.
		table.Expire(LeaseTTL + millis(9))
		So(describeUpstreams(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		// The next instance at the address is assigned to the same sidecar. The instance that it replaced does not
		// replace it in turn.
		next := Upstream{Instance: "b", Service: "s1", Address: "10.0.0.1:80", Sequence: 1}
		So(heartbeat(table, millis(20), next), ShouldBeTrue)
		So(describeUpstreams(table, 0), ShouldEqual, "b@10.0.0.1:90 ready")
		direct.Sequence = 7
		So(heartbeat(table, millis(30), direct), ShouldBeFalse)
		renew(table, millis(30), Lease{Node: "n1", Incarnation: 1, Sequence: 3, Upstream: &up})
		late := Upstream{Instance: "c", Service: "s1", Address: "10.0.0.1:80", Sequence: 1}
		So(table.RelayedHeartbeat(millis(30), late, 0), ShouldBeFalse)
		So(describeUpstreams(table, 0), ShouldEqual, "b@10.0.0.1:90 ready")
		// Once b is stale, a later heartbeat of a shows that a is the instance that runs.
		table.Expire(millis(3000))
		So(heartbeat(table, millis(3000), direct), ShouldBeTrue)
		So(describeUpstreams(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		So(heartbeat(table, millis(3000), Upstream{Instance: "a", State: Deregistered}), ShouldBeTrue)
		direct.Sequence = 99
		So(heartbeat(table, millis(3001), direct), ShouldBeFalse)
		table.Expire(millis(3000) + TombstoneTTL - 1)
		So(heartbeat(table, millis(3000)+TombstoneTTL-1, direct), ShouldBeFalse)
		So(describeUpstreams(table, 0), ShouldEqual, "")
	})
}

func TestWarmupRunsDown(t *testing.T) {
	Convey("A warm-up runs down by the table's clock and counts as a change only when it restarts", t, func() {
		table, up := New(1), upstream("a", 1)
		up.WarmupRemaining = 10
		renew(table, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		So(table.Upstreams(millis(4000))[0].WarmupRemaining, ShouldEqual, 6)
		up.Sequence, up.WarmupRemaining = 2, 8.2
		So(renew(table, millis(2000), Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up}), ShouldBeFalse)
		So(table.Number(), ShouldEqual, 1)
		up.Sequence, up.WarmupRemaining = 3, 10
		So(renew(table, millis(4000), Lease{Node: "n1", Incarnation: 1, Sequence: 3, Upstream: &up}), ShouldBeTrue)
		So(table.Number(), ShouldEqual, 2)
		// A lease that repeats the last heartbeat leaves the warm-up as it is.
		So(renew(table, millis(6000), Lease{Node: "n1", Incarnation: 1, Sequence: 4, Upstream: &up}), ShouldBeFalse)
		So(table.Upstreams(millis(6000))[0].WarmupRemaining, ShouldEqual, 8)
	})
}
