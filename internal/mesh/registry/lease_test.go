package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func TestLeasesAreOrderedExpireAndAreCounted(t *testing.T) {
	Convey("Leases are ordered, expire LeaseTTL after receipt, and are counted by configuration version", t, func() {
		table, up := New(1), upstream("a", 1)
		So(renew(table, 0, Lease{Node: "n1", Incarnation: 5, Sequence: 2, Upstream: &up, Applied: 3}), ShouldBeTrue)
		again := Lease{Node: "n1", Incarnation: 5, Sequence: 3, Upstream: &up, Applied: 3}
		So(renew(table, millis(100), again), ShouldBeFalse)
		So(renew(table, millis(200), Lease{Node: "n1", Incarnation: 5, Sequence: 3, Applied: 9}), ShouldBeFalse)
		So(renew(table, millis(200), Lease{Node: "n1", Incarnation: 4, Sequence: 9, Applied: 9}), ShouldBeFalse)
		remote := []RemoteLease{{Lease{Node: "n2", Incarnation: 1, Sequence: 1, Applied: 4}, time.Hour}}
		So(table.Merge(0, remote), ShouldResemble, []string{"n2"})
		remote = []RemoteLease{{Lease{Node: "n2", Incarnation: 1, Sequence: 1, Applied: 9}, time.Hour}}
		So(table.Merge(0, remote), ShouldBeEmpty)
		behind := []int{table.LaggingCount(3), table.LaggingCount(4), table.LaggingCount(5)}
		So(behind, ShouldResemble, []int{0, 1, 2})
		table.Expire(millis(2399))
		So(table.LiveLeases(), ShouldEqual, 2)
		table.Expire(millis(2400))
		So(table.LiveLeases(), ShouldEqual, 1)
		table.Expire(millis(2500))
		counts := []int{table.LiveLeases(), table.PeakLiveLeases(millis(2500)), table.LaggingCount(9)}
		So(counts, ShouldResemble, []int{0, 2, 0})
		table.Expire(millis(33000))
		So(table.PeakLiveLeases(millis(33000)), ShouldEqual, 0)
		So(renew(table, millis(33000), Lease{Node: "n1", Incarnation: 5, Sequence: 3}), ShouldBeFalse)
		So(renew(table, millis(33000), Lease{Node: "n1", Incarnation: 6, Sequence: 1}), ShouldBeTrue)
		So(table.LiveLeases(), ShouldEqual, 1)
	})
}

func TestRenewalExtendsOnlyTheContentItRenews(t *testing.T) {
	Convey("A renewal extends a lease only if the lease has the content that is renewed", t, func() {
		here, there, up := New(1), New(2), upstream("a", 1)
		renew(here, 0, Lease{Node: "n1", Incarnation: 1, Sequence: 1, Upstream: &up})
		renew(here, millis(800), Lease{Node: "n1", Incarnation: 1, Sequence: 2, Upstream: &up})
		r, _ := here.Renewal(millis(900), "n1")
		So(r, ShouldResemble, Renewal{"n1", 1, 2, 1, millis(2300)})
		newer, unknown := there.Extend(millis(50), []Renewal{r})
		So(append(newer, unknown...), ShouldResemble, []string{"n1"})
		full, _ := here.RemoteLease(millis(900), "n1")
		So(there.Merge(millis(50), []RemoteLease{full}), ShouldResemble, []string{"n1"})
		r.Sequence, r.Remaining = 3, LeaseTTL
		newer, unknown = there.Extend(millis(1000), []Renewal{r, r})
		So([]int{len(newer), len(unknown)}, ShouldResemble, []int{1, 0})
		there.Expire(millis(3399))
		So(describeUpstreams(there, 0), ShouldEqual, "a@10.0.0.1:90 ready")
		r.Sequence, r.ContentSequence = 5, 4
		newer, unknown = there.Extend(millis(1000), []Renewal{r})
		So([]int{len(newer), len(unknown)}, ShouldResemble, []int{0, 1})
	})
}

func TestInvalidLeasesAreRejected(t *testing.T) {
	Convey("An invalid lease is rejected, and so is the lease of a new node when the table is full", t, func() {
		table := New(1)
		with := func(up Upstream) Lease { return leaseWith("n", 1, up) }
		for _, l := range []Lease{
			{},
			{Node: "n", Incarnation: 1},
			{Node: strings.Repeat("n", maxName+1), Incarnation: 1, Sequence: 1},
			with(Upstream{Instance: "a"}),
			with(Upstream{Instance: "a", Service: "s", Slots: -1}),
			with(Upstream{Instance: "a", Service: "s", WarmupRemaining: 1e300}),
			with(Upstream{Instance: "a", Service: "s", State: 7}),
		} {
			_, err := table.Renew(0, l)
			So(errs.KindOf(err), ShouldEqual, errs.Invalid)
			So(table.Merge(0, []RemoteLease{{Lease: l}}), ShouldBeEmpty)
		}
		for i := range MaxLeases {
			_, _ = table.Renew(0, Lease{Node: fmt.Sprint(i), Incarnation: 1, Sequence: 1})
		}
		_, err := table.Renew(0, Lease{Node: "one more", Incarnation: 1, Sequence: 1})
		So(errs.KindOf(err), ShouldEqual, errs.Busy)
		_, err = table.Renew(0, Lease{Node: "7", Incarnation: 1, Sequence: 2})
		So(err, ShouldBeNil)
	})
}
