package errs

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWireFormatOfKinds(t *testing.T) {
	Convey("Wire names, statuses and Retry-After values are as other processes and clients expect", t, func() {
		for _, want := range []struct {
			kind       Kind
			wireName   string
			status     int
			retryAfter string
		}{
			{Invalid, "Invalid", 400, ""},
			{Malformed, "Unreadable", 400, ""},
			{TooLarge, "TooLarge", 413, ""},
			{Stale, "Stale", 412, ""},
			{NotFound, "Unknown", 404, ""},
			{Busy, "Busy", 503, "0.2"},
			{NoQuorum, "NoQuorum", 503, "0.3"},
			{NotLeader, "NotLeader", 503, ""},
			{DeadlineExceeded, "Late", 503, ""},
			{Undetermined, "Undecided", 503, ""},
			{DiskFailed, "DiskFailed", 503, ""},
			{Unreachable, "Unreachable", 502, ""},
			{Internal, "Internal", 500, ""},
		} {
			So(want.kind.String(), ShouldEqual, want.wireName)
			So(want.kind.Status(), ShouldEqual, want.status)
			So(want.kind.RetryAfter(), ShouldEqual, want.retryAfter)
			So(ParseKind(want.wireName), ShouldEqual, want.kind)
		}
	})
	Convey("A kind or name that is not on the list is treated as Internal", t, func() {
		So(Kind(0).String(), ShouldEqual, "Internal")
		So((Internal + 1).Status(), ShouldEqual, 500)
		So(ParseKind("Malformed"), ShouldEqual, Internal)
		So(ParseKind(""), ShouldEqual, Internal)
	})
}

func TestKindOfWrappedErrors(t *testing.T) {
	Convey("KindOf returns the outermost kind, also if errors without a kind wrap it", t, func() {
		inner := New(Busy, "inner %d", 1)
		So(KindOf(inner), ShouldEqual, Busy)
		outer := Wrap(inner, Stale, "outer")
		So(KindOf(fmt.Errorf("context: %w", outer)), ShouldEqual, Stale)
		So(outer.Error(), ShouldEqual, "outer: inner 1")
		So(errors.Is(outer, inner), ShouldBeTrue)
		So(KindOf(errors.New("plain")), ShouldEqual, Internal)
		So(Wrap(nil, Stale, "nothing"), ShouldBeNil)
	})
}
