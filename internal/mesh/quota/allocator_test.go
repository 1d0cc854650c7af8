package quota

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

// requestFor returns a request with the given demands and without a lease.
func requestFor(demands ...Demand) *Request { return &Request{Demands: demands} }

func TestAllocator(t *testing.T) {
	Convey("Scarce tokens are shared max-min fairly; an epoch's start, an old epoch and bad numbers get none", t, func() {
		a, err := NewAllocator(rules)
		So(err, ShouldBeNil)
		So(a.Configure(0, map[string]Limit{"a": {100, 0}}, 3), ShouldBeNil)
		_, err = a.Allocate(0, 4, "x", requestFor(Demand{Tenant: "a", Requested: 1}))
		So(errs.KindOf(err), ShouldEqual, errs.Busy)
		granted := map[string]float64{}
		for now := TokenTTL; now < 20*second; now += 100 * ms {
			for node, want := range map[string]float64{"x": 1, "y": 50, "z": 500} {
				request := requestFor(Demand{Tenant: "a", Requested: want}, Demand{Tenant: "none", Requested: 1})
				request.Lease = &FloorLease{Share: 1. / 3, Epoch: 4, Clock: now}
				response, err := a.Allocate(now, 4, node, request)
				So(err, ShouldBeNil)
				for _, grant := range response.Grants {
					granted[node] += grant.Tokens
				}
			}
		}
		So(granted["x"], ShouldBeGreaterThan, 190)
		So(granted["y"], ShouldAlmostEqual, granted["z"], granted["z"]/20)
		So(granted["x"]+granted["y"]+granted["z"], ShouldBeBetween, 1750, 1950)
		_, err = a.Allocate(20*second, 3, "x", requestFor())
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		_, err = a.Allocate(20*second, 4, "x", requestFor(Demand{Tenant: "a", Requested: math.NaN()}))
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		So(errs.KindOf(a.Configure(0, map[string]Limit{"a": {-1, 0}}, 3)), ShouldEqual, errs.Invalid)
	})
}

func TestLimiterRejectsUnexpectedResponses(t *testing.T) {
	Convey("A response without a request in flight or of an older epoch is stale; no limit, no rejection", t, func() {
		l, err := NewLocalLimiter(0, rules)
		So(err, ShouldBeNil)
		So(l.Configure(0, map[string]Limit{"a": {100, 0}}, 3), ShouldBeNil)
		So(errs.KindOf(l.ApplyResponse(0, Response{Epoch: 5})), ShouldEqual, errs.Stale)
		l.Request(0)
		So(l.ApplyResponse(0, Response{Epoch: 5, Grants: []Grant{{"a", 3}}}), ShouldBeNil)
		l.Request(0)
		So(errs.KindOf(l.ApplyResponse(0, Response{Epoch: 4, Grants: []Grant{{"a", 3}}})), ShouldEqual, errs.Stale)
		So(l.Allow(0, "free"), ShouldBeTrue)
	})
}
