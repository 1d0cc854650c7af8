package registry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEarlierPeakCountsForTheWindow(t *testing.T) {
	Convey("A number that an earlier process has seen is a recent peak, and only for PeakWindow", t, func() {
		var names []string
		for i := range 12 {
			names = append(names, fmt.Sprint("earlier-", i))
		}
		table := New(1)
		table.RestoreHolders(0, names)
		_, err := table.Renew(time.Second, Lease{Node: "n", Incarnation: 1, Sequence: 1})
		So(err, ShouldBeNil)
		So(table.Members(), ShouldEqual, 1)
		So(table.PeakMembers(time.Second), ShouldEqual, 12)
		So(table.PeakMembers(PeakWindow-time.Second), ShouldEqual, 12)
		So(table.PeakMembers(PeakWindow+time.Second), ShouldEqual, 1)
	})
}
