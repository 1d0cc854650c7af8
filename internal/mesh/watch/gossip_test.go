package watch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/registry"
)

func TestRegistryDelay(t *testing.T) {
	Convey("Registry changes wait until each peer answered or failed and one answered, or for the bound", t, func() {
		one, two := newGossipPeer("a:1", nil), newGossipPeer("b:1", nil)
		s := &Server{registryDelayedUntil: maxRegistryDelay, peers: map[string]*gossipPeer{"a:1": one, "b:1": two}}
		So(s.delaysRegistry(0), ShouldBeTrue)
		one.sync = syncDone
		So(s.delaysRegistry(0), ShouldBeTrue)
		two.sync = syncFailed
		So(s.delaysRegistry(0), ShouldBeFalse)
		one.sync = syncFailed
		So(s.delaysRegistry(0), ShouldBeTrue)
		So(s.delaysRegistry(maxRegistryDelay), ShouldBeFalse)
		So((&Server{registryDelayedUntil: maxRegistryDelay}).delaysRegistry(0), ShouldBeFalse)
	})
}

func TestLateGossipExtendsNothing(t *testing.T) {
	title := "A message between members that was delayed for long refreshes nothing"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		now := m[0].now()
		up := registry.Upstream{Instance: "late", Service: "s", Address: "late:80", Inbound: "late:90", Sequence: 1}
		message := func(echo clockReading, node string) *gossipRequest {
			return &gossipRequest{From: memberAddresses[1], Echo: echo, Leases: []registry.RemoteLease{{
				Lease: registry.Lease{Node: node, Incarnation: 1, Sequence: 1, Upstream: &up}, Remaining: registry.LeaseTTL,
			}}}
		}
		late := message(m[0].clock(now), "late")
		advance(registry.LeaseTTL)
		for _, q := range []*gossipRequest{late, message(clockReading{99, m[0].now()}, "foreign")} {
			_, err := m[0].receiveGossip(nil, q)
			So(err, ShouldBeNil)
			So(len(m[0].Upstreams()), ShouldEqual, 3)
		}
		_, err := m[0].receiveGossip(nil, message(m[0].clock(m[0].now()), "prompt"))
		So(err, ShouldBeNil)
		So(len(m[0].Upstreams()), ShouldEqual, 4)
	})
}

func TestGossipAroundSeveredLink(t *testing.T) {
	title := "A severed link between two members hides nothing while a third reaches both"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		n.sever("m1:1", "m2:1")
		n.sever("m2:1", "m1:1")
		advance(10 * time.Second)
		So(c[0].upstreams()+","+c[1].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3,i-c1 i-c2 i-c3")
		c[0].change(func() { c[0].up.State, c[0].up.Sequence = registry.Draining, 2 })
		c[0].RenewNow()
		advance(30 * ms)
		So(c[1].upstreams(), ShouldEqual, "i-c1! i-c2 i-c3")
		So(m[0].Heartbeat(registry.Upstream{Instance: "i-c3", State: registry.Deregistered}), ShouldBeNil)
		advance(time.Second)
		So(c[1].upstreams(), ShouldEqual, "i-c1! i-c2")

		// After a partition so long that its leases expired, a member receives them in full again.
		n.sever("m3:1", "m2:1")
		n.sever("m2:1", "m3:1")
		advance(registry.LeaseTTL + registry.TombstoneTTL + registry.StaleTTL)
		So(c[0].upstreams()+","+c[1].upstreams(), ShouldEqual, "i-c1! i-c3,i-c2")
		n.heal()
		advance(2 * time.Second)
		So(c[0].upstreams()+","+c[1].upstreams(), ShouldEqual, "i-c1! i-c2 i-c3,i-c1! i-c2 i-c3")
	})
}
