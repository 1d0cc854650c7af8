package watch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/registry"
)

func TestRegistryDelay(t *testing.T) {
	Convey("Registry changes wait until all peers responded or failed and one responded, or the bound ends", t, func() {
		first, second := newGossipPeer("a:1", nil), newGossipPeer("b:1", nil)
		s := &Server{registryDelayedUntil: maxRegistryDelay, peers: map[string]*gossipPeer{"a:1": first, "b:1": second}}
		So(s.delaysRegistry(0), ShouldBeTrue)
		first.sync = syncDone
		So(s.delaysRegistry(0), ShouldBeTrue)
		second.sync = syncFailed
		So(s.delaysRegistry(0), ShouldBeFalse)
		first.sync = syncFailed
		So(s.delaysRegistry(0), ShouldBeTrue)
		So(s.delaysRegistry(maxRegistryDelay), ShouldBeFalse)
		So((&Server{registryDelayedUntil: maxRegistryDelay}).delaysRegistry(0), ShouldBeFalse)
	})
}

func TestDelayedGossipRefreshesNothing(t *testing.T) {
	title := "A gossip message older than a lease, or of unknown age, refreshes nothing"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		now := members[0].now()
		upstream := registry.Upstream{Instance: "late", Service: "s", Address: "late:80", Inbound: "late:90", Sequence: 1}
		message := func(echo clockReading, node string) *gossipRequest {
			return &gossipRequest{From: memberAddresses[1], Echo: echo, Leases: []registry.RemoteLease{{
				Lease: registry.Lease{Node: node, Incarnation: 1, Sequence: 1, Upstream: &upstream}, Remaining: registry.LeaseTTL,
			}}}
		}
		delayed := message(members[0].clock(now), "late")
		advance(registry.LeaseTTL)
		for _, request := range []*gossipRequest{delayed, message(clockReading{99, members[0].now()}, "foreign")} {
			_, err := members[0].receiveGossip(nil, request)
			So(err, ShouldBeNil)
			So(len(members[0].Upstreams()), ShouldEqual, 3)
		}
		_, err := members[0].receiveGossip(nil, message(members[0].clock(members[0].now()), "prompt"))
		So(err, ShouldBeNil)
		So(len(members[0].Upstreams()), ShouldEqual, 4)
	})
}

func TestGossipBypassesFailedLink(t *testing.T) {
	title := "Every change reaches two core machines whose link has failed, as long as a third one reaches both"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		network.blockLink("m1:1", "m2:1")
		network.blockLink("m2:1", "m1:1")
		advance(10 * time.Second)
		So(sidecars[0].upstreams()+","+sidecars[1].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3,i-c1 i-c2 i-c3")
		sidecars[0].update(func() { sidecars[0].upstream.State, sidecars[0].upstream.Sequence = registry.Draining, 2 })
		sidecars[0].RenewNow()
		advance(30 * ms)
		So(sidecars[1].upstreams(), ShouldEqual, "i-c1! i-c2 i-c3")
		So(members[0].Heartbeat(registry.Upstream{Instance: "i-c3", State: registry.Deregistered}), ShouldBeNil)
		advance(time.Second)
		So(sidecars[1].upstreams(), ShouldEqual, "i-c1! i-c2")

		// After a partition that outlasts its leases, a core machine receives the leases in full again.
		network.blockLink("m3:1", "m2:1")
		network.blockLink("m2:1", "m3:1")
		advance(registry.LeaseTTL + registry.TombstoneTTL + registry.StaleTTL)
		So(sidecars[0].upstreams()+","+sidecars[1].upstreams(), ShouldEqual, "i-c1! i-c3,i-c2")
		network.heal()
		advance(2 * time.Second)
		So(sidecars[0].upstreams()+","+sidecars[1].upstreams(), ShouldEqual, "i-c1! i-c2 i-c3,i-c1! i-c2 i-c3")
	})
}
