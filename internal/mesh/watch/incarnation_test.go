package watch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/registry"
)

func TestIncarnationGrowsAfterClockWentBack(t *testing.T) {
	title := "A sidecar renews its lease even if its machine's clock went back before the process started"
	runMesh(t, title, func(network *testNetwork, members []*testMember, sidecars []*testSidecar) {
		sidecars[2].stop()
		network.clockStep = -8 * time.Second
		restarted := network.testSidecar("c3", "zone-m3:1", memberAddresses...)
		defer restarted.stop()
		restarted.update(func() { restarted.upstream.Instance, restarted.upstream.Sequence = "i-c3-next", 1 })
		advance(2 * renewInterval)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3-next")
		// The lease must not expire, and must still be renewed after the machine's clock is right again.
		network.clockStep = 0
		advance(registry.LeaseTTL + registry.StaleTTL + time.Second)
		So(sidecars[0].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3-next")
		So(members[1].Counts().Live, ShouldEqual, 3)
	})
}
