package quota

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func TestAllocator(t *testing.T) {
	Convey("Scarce tokens are shared max-min fairly; none at first, twice or for an old epoch", t, func() {
		a, err := NewAllocator(rules)
		So(err, ShouldBeNil)
		So(a.Configure(0, map[string]Limit{"a": {100, 0}}, 3), ShouldBeNil)
		_, _, err = a.Allocate(0, 4, "x", []Demand{{"a", 1, 0}})
		So(errs.KindOf(err), ShouldEqual, errs.Busy)
		granted := map[string]float64{}
		for now := TokenTTL; now < 20*second; now += 100 * ms {
			for node, want := range map[string]float64{"x": 1, "y": 50, "z": 500} {
				grants, _, err := a.Allocate(now, 4, node, []Demand{{"a", want, 0}, {"none", 1, 0}})
				So(err, ShouldBeNil)
				for _, grant := range grants {
					granted[node] += grant.Tokens
				}
			}
		}
		So(granted["x"], ShouldBeGreaterThan, 190)
		So(granted["y"], ShouldAlmostEqual, granted["z"], granted["z"]/20)
		So(granted["x"]+granted["y"]+granted["z"], ShouldBeBetween, 1750, 1950)
		_, _, err = a.Allocate(20*second, 3, "x", nil)
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		_, _, err = a.Allocate(20*second, 4, "x", []Demand{{"a", math.NaN(), 0}})
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		So(errs.KindOf(a.Configure(0, map[string]Limit{"a": {-1, 0}}, 3)), ShouldEqual, errs.Invalid)
	})
}

func TestLimiterTakesOnlyResponsesItWaitsFor(t *testing.T) {
	Convey("A response is Stale without a request in flight or in an older epoch; no limit, no rejection", t, func() {
		l, err := NewLocalLimiter(rules)
		So(err, ShouldBeNil)
		So(l.Configure(0, map[string]Limit{"a": {100, 0}}, 3), ShouldBeNil)
		So(errs.KindOf(l.ApplyGrants(0, 5, nil, nil)), ShouldEqual, errs.Stale)
		l.Demands(0)
		So(l.ApplyGrants(0, 5, []Grant{{"a", 3}}, nil), ShouldBeNil)
		l.Demands(0)
		So(errs.KindOf(l.ApplyGrants(0, 4, []Grant{{"a", 3}}, nil)), ShouldEqual, errs.Stale)
		So(l.Allow(0, "free"), ShouldBeTrue)
	})
}
