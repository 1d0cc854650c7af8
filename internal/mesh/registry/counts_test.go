package registry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEarlierPeakCountsForTheWindow(t *testing.T) {
	Convey("The number of sidecars that an earlier process stored counts as a peak for PeakWindow only", t, func() {
		var names []string
		for i := range 12 {
			names = append(names, fmt.Sprint("earlier-", i))
		}
		table := New(1)
		table.RestoreHolders(0, names)
		_, err := table.Renew(time.Second, Lease{Node: "n", Incarnation: 1, Sequence: 1})
		So(err, ShouldBeNil)
		So(table.LiveLeases(), ShouldEqual, 1)
		So(table.PeakLiveLeases(time.Second), ShouldEqual, 12)
		So(table.PeakLiveLeases(PeakWindow-time.Second), ShouldEqual, 12)
		So(table.PeakLiveLeases(PeakWindow+time.Second), ShouldEqual, 1)
	})
}
