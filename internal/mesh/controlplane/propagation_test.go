package controlplane

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/watch"
)

func TestPropagationIsDueAfterApplyTime(t *testing.T) {
	Convey("dueVersion is the newest acknowledged version whose apply time has passed", t, func() {
		p := propagation{applyTime: 3 * time.Second}
		So(p.dueVersion(time.Hour), ShouldEqual, 0)
		p.acknowledge(10*time.Second, 4)
		p.acknowledge(11*time.Second, 7)
		p.acknowledge(12*time.Second, 5) // acknowledged after the newer version 7
		So(p.dueVersion(12999*time.Millisecond), ShouldEqual, 0)
		So(p.dueVersion(13*time.Second), ShouldEqual, 4)
		So(p.dueVersion(20*time.Second), ShouldEqual, 7)
		for range 2 * maxPendingAcknowledgements {
			p.acknowledge(30*time.Second, 9)
		}
		So(len(p.pending), ShouldEqual, maxPendingAcknowledgements)
	})
	Convey("A description lists each lagging sidecar with its applied and its sent version", t, func() {
		lagging := []watch.LaggingSidecar{
			{Lagging: registry.Lagging{Node: "a", Applied: 3}},
			{Lagging: registry.Lagging{Node: "b", Applied: 2}, Watching: true, SentVersion: 4},
		}
		So(describeLagging(lagging), ShouldEqual, "a:3 b:2(sent 4)")
		So(describeLagging(make([]watch.LaggingSidecar, maxLoggedLagging+1)), ShouldEndWith, "...")
		So(describeLagging(nil), ShouldEqual, "")
	})
}
