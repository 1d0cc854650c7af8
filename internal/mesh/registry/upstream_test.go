package registry

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUpstreamGoesStaleWithItsLease(t *testing.T) {
	Convey("An expired lease leaves a stale upstream for 20 s; one that left leaves none", t, func() {
		table, up := New(1), upstream("a", 1)
		renew(table, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		table.Expire(LeaseTTL)
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 ready?")
		renew(table, LeaseTTL, Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up})
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 ready")
		table.Expire(2*LeaseTTL + StaleTTL - 1)
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 ready?")
		table.Expire(2*LeaseTTL + StaleTTL)
		So(show(table, 0), ShouldEqual, "")
		renew(table, at(30000), Lease{Node: "n1", Incarnation: 1, Sequence: 3, Upstream: &up})
		left := Lease{Node: "n1", Incarnation: 1, Sequence: 4, Upstream: &up, Left: true}
		So(renew(table, at(30000), left), ShouldBeTrue)
		So(show(table, 0)+fmt.Sprint(table.Members()), ShouldEqual, "0")
		// Nothing of the incarnation that left is taken, nor an old heartbeat of its upstream; a later
		// one is.
		So(renew(table, at(30000), Lease{Node: "n1", Incarnation: 1, Sequence: 5, Upstream: &up}), ShouldBeFalse)
		renew(table, at(30000), Lease{Node: "n1", Incarnation: 2, Sequence: 1, Upstream: &up})
		So(show(table, 0)+fmt.Sprint(table.Members()), ShouldEqual, "1")
		up.Sequence = 2
		renew(table, at(30000), Lease{Node: "n1", Incarnation: 2, Sequence: 2, Upstream: &up})
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 ready")
	})
}

func TestNewestInstanceWins(t *testing.T) {
	Convey("The later heartbeat and the newer instance win, and the deregistered stay away", t, func() {
		table, up := New(1), upstream("a", 5)
		renew(table, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		direct := Upstream{Instance: "a", Service: "s1", Address: "10.0.0.1:80", State: Draining, Sequence: 4}
		So(heartbeat(table, 0, direct), ShouldBeFalse)
		direct.Sequence = 6
		So(heartbeat(table, 0, direct), ShouldBeTrue)
		renew(table, at(10), Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up})
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		// A sidecar that is behind its upstream's heartbeats still refreshes it.
		table.Expire(LeaseTTL + at(9))
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		// The next instance at the address runs beside the same sidecar; the one before does not
		// replace it.
		next := Upstream{Instance: "b", Service: "s1", Address: "10.0.0.1:80", Sequence: 1}
		So(heartbeat(table, at(20), next), ShouldBeTrue)
		So(show(table, 0), ShouldEqual, "b@10.0.0.1:90 ready")
		direct.Sequence = 7
		So(heartbeat(table, at(30), direct), ShouldBeFalse)
		renew(table, at(30), Lease{Node: "n1", Incarnation: 1, Sequence: 3, Upstream: &up})
		late := Upstream{Instance: "c", Service: "s1", Address: "10.0.0.1:80", Sequence: 1}
		So(table.RelayedHeartbeat(at(30), late, 0), ShouldBeFalse)
		So(show(table, 0), ShouldEqual, "b@10.0.0.1:90 ready")
		// Once b is stale, a later heartbeat of a shows that b was wrongly taken for alive.
		table.Expire(at(3000))
		So(heartbeat(table, at(3000), direct), ShouldBeTrue)
		So(show(table, 0), ShouldEqual, "a@10.0.0.1:90 draining")
		So(heartbeat(table, at(3000), Upstream{Instance: "a", State: Deregistered}), ShouldBeTrue)
		direct.Sequence = 99
		So(heartbeat(table, at(3001), direct), ShouldBeFalse)
		table.Expire(at(3000) + TombstoneTTL - 1)
		So(heartbeat(table, at(3000)+TombstoneTTL-1, direct), ShouldBeFalse)
		So(show(table, 0), ShouldEqual, "")
	})
}

func TestWarmupRunsDown(t *testing.T) {
	Convey("A warm-up runs down by the table's clock and is a change only when it starts anew", t, func() {
		table, up := New(1), upstream("a", 1)
		up.WarmupRemaining = 10
		renew(table, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		So(table.Upstreams(at(4000))[0].WarmupRemaining, ShouldEqual, 6)
		up.Sequence, up.WarmupRemaining = 2, 8.2
		So(renew(table, at(2000), Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up}), ShouldBeFalse)
		So(table.Number(), ShouldEqual, 1)
		up.Sequence, up.WarmupRemaining = 3, 10
		So(renew(table, at(4000), Lease{Node: "n1", Incarnation: 1, Sequence: 3, Upstream: &up}), ShouldBeTrue)
		So(table.Number(), ShouldEqual, 2)
		// A lease that repeats the heartbeat says nothing new of the warm-up.
		So(renew(table, at(6000), Lease{Node: "n1", Incarnation: 1, Sequence: 4, Upstream: &up}), ShouldBeFalse)
		So(table.Upstreams(at(6000))[0].WarmupRemaining, ShouldEqual, 8)
	})
}
