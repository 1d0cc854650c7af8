package controlplane

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/registry"
	"caperarch/internal/mesh/watch"
)

func TestPropagationIsDueAfterApplyTime(t *testing.T) {
	Convey("An acknowledged version is due once its time is over, the newest of those that are", t, func() {
		p := propagation{applyTime: 3 * time.Second}
		So(p.dueVersion(time.Hour), ShouldEqual, 0)
		p.acknowledge(10*time.Second, 4)
		p.acknowledge(11*time.Second, 7)
		p.acknowledge(12*time.Second, 5) // an answer that waited
		So(p.dueVersion(12999*time.Millisecond), ShouldEqual, 0)
		So(p.dueVersion(13*time.Second), ShouldEqual, 4)
		So(p.dueVersion(20*time.Second), ShouldEqual, 7)
		for range 2 * maxPendingAcknowledgements {
			p.acknowledge(30*time.Second, 9)
		}
		So(len(p.pending), ShouldEqual, maxPendingAcknowledgements)
	})
	Convey("An entry names who lags, by which version, and what was sent", t, func() {
		all := []watch.LaggingSidecar{
			{Lagging: registry.Lagging{Node: "a", Applied: 3}},
			{Lagging: registry.Lagging{Node: "b", Applied: 2}, Watching: true, SentVersion: 4},
		}
		So(describeLagging(all), ShouldEqual, "a:3 b:2(sent 4)")
		So(describeLagging(make([]watch.LaggingSidecar, maxLoggedLagging+1)), ShouldEndWith, "...")
		So(describeLagging(nil), ShouldEqual, "")
	})
}
