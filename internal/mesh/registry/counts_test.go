package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEarlierPeakCountsForTheWindow(t *testing.T) {
	Convey("A number that an earlier process has seen is a recent peak, and only for PeakWindow", t, func() {
		table := New(1)
		table.RecordPeak(0, 12)
		_, err := table.Renew(time.Second, Lease{Node: "n", Incarnation: 1, Sequence: 1})
		So(err, ShouldBeNil)
		So(table.Members(), ShouldEqual, 1)
		So(table.PeakMembers(time.Second), ShouldEqual, 12)
		So(table.PeakMembers(PeakWindow-time.Second), ShouldEqual, 12)
		So(table.PeakMembers(PeakWindow+time.Second), ShouldEqual, 1)
	})
}
