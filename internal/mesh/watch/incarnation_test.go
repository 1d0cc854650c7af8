package watch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/registry"
)

func TestIncarnationGrowsThoughTheClockWentBack(t *testing.T) {
	title := "A process whose machine's clock went back before it started renews its lease all the same"
	runMesh(t, title, func(n *network, m []*member, c []*sidecar) {
		c[2].stop()
		n.clockStep = -8 * time.Second
		restarted := n.sidecar("c3", "zone-m3:1", memberAddresses...)
		defer restarted.stop()
		restarted.change(func() { restarted.up.Instance, restarted.up.Sequence = "i-c3-next", 1 })
		advance(2 * renewInterval)
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3-next")
		// Nor does it expire, also after its own clock is right again.
		n.clockStep = 0
		advance(registry.LeaseTTL + registry.StaleTTL + time.Second)
		So(c[0].upstreams(), ShouldEqual, "i-c1 i-c2 i-c3-next")
		So(m[1].Counts().Live, ShouldEqual, 3)
	})
}
