package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var leaseLimits = map[string]Limit{"a": {172, 172}}

// newLeaseLimiter is a limiter of twelve that knows its number and whose floor is full at 10 s.
func newLeaseLimiter() *LocalLimiter {
	l, err := NewLocalLimiter(0, rules)
	So(err, ShouldBeNil)
	So(l.Configure(0, leaseLimits, 12), ShouldBeNil)
	return l
}

// admitAll is how many requests a limiter admits at once.
func admitAll(now time.Duration, l *LocalLimiter) (admitted int) {
	for l.Allow(now, "a") {
		admitted++
	}
	return admitted
}

// contactWith has a limiter ask and be answered at once by an allocator of an epoch.
func contactWith(now time.Duration, l *LocalLimiter, epoch Epoch) Request {
	request := l.Request(now)
	So(l.ApplyResponse(now, Response{Epoch: epoch, Members: 12, Clock: now}), ShouldBeNil)
	return request
}

func TestFloorIsNeverMadeUp(t *testing.T) {
	Convey("A new process has no floor until a lease of the one before is over, and then what has flowed", t, func() {
		l := newLeaseLimiter()
		So(admitAll(legacyFloorLease, l), ShouldEqual, 0)
		perSecond := floorRateFraction * 172 / 12
		So(admitAll(legacyFloorLease+300*ms, l), ShouldEqual, int(0.3*perSecond))
		So(admitAll(10*second, l), ShouldEqual, 7)
	})
	Convey("No number of members, no floor; a lower limit and a tenant that comes back keep nothing", t, func() {
		l, err := NewLocalLimiter(0, rules)
		So(err, ShouldBeNil)
		So(l.Configure(0, leaseLimits, UnknownMembers), ShouldBeNil)
		So(admitAll(10*second, l), ShouldEqual, 0)

		l = newLeaseLimiter()
		So(l.Configure(10*second, map[string]Limit{"a": {8, 8}}, 12), ShouldBeNil)
		So(admitAll(10*second, l), ShouldEqual, 2)

		l = newLeaseLimiter()
		So(l.Configure(10*second, nil, 12), ShouldBeNil)
		So(l.Configure(10*second, leaseLimits, 12), ShouldBeNil)
		So(admitAll(10*second, l), ShouldEqual, 0)
	})
	Convey("Tokens that come after they have expired are lost", t, func() {
		l := newLeaseLimiter()
		So(admitAll(10*second, l), ShouldEqual, 7)
		l.Request(10 * second)
		late := Response{Epoch: 1, Grants: []Grant{{"a", 5}}, Members: 12, Clock: second}
		So(l.ApplyResponse(10*second+TokenTTL, late), ShouldBeNil)
		So(admitAll(10*second+TokenTTL, l), ShouldBeLessThan, 5)
	})
}

func TestLimiterLeavesItsFloorFromTheSendingOn(t *testing.T) {
	Convey("A floor doesn't fill under a lease, whether or not the response comes; unanswered, no lease is sent", t, func() {
		l := newLeaseLimiter()
		So(contactWith(10*second, l, 1).Lease, ShouldBeNil) // the allocator's clock isn't known yet
		So(admitAll(10*second, l), ShouldEqual, 7)
		sent := l.Request(10*second + 200*ms)
		So(sent.Lease, ShouldNotBeNil)
		So(*sent.Lease, ShouldResemble, FloorLease{Share: 1. / 12, Epoch: 1, Clock: 10 * second, Elapsed: 200 * ms})
		until := 10*second + 200*ms + limiterFloorLease
		So(admitAll(until, l), ShouldEqual, 0)
		So(l.Request(until).Lease, ShouldBeNil)
		So(admitAll(until+second, l), ShouldEqual, 7)
	})
}

func TestAllocatorCountsLeasesByTheirAge(t *testing.T) {
	// flow is for how long the allocator's bucket fills until 5 s, beyond its own tenth, if it receives a
	// lease of all floors at 2 s.
	flow := func(lease FloorLease) float64 {
		a, err := NewAllocator(rules)
		So(err, ShouldBeNil)
		So(a.Configure(0, leaseLimits, 12), ShouldBeNil)
		_, err = a.Allocate(0, 3, "n", wants())
		So(err, ShouldNotBeNil) // the epoch begins
		_, err = a.Allocate(2*second, 3, "n", &Request{Lease: &lease})
		So(err, ShouldBeNil)
		a.advance(5 * second)
		return (a.prepaidFlow - 5*(1-floorRateFraction)) / floorRateFraction
	}
	Convey("A lease counts for its time from the earliest moment at which it can have been sent", t, func() {
		sent := FloorLease{Share: 1, Epoch: 3, Clock: 1500 * ms, Elapsed: 500 * ms}
		So(flow(sent), ShouldAlmostEqual, limiterFloorLease.Seconds())
		sent.Elapsed = 200 * ms // it was under way for up to 300 ms
		So(flow(sent), ShouldAlmostEqual, (limiterFloorLease - 300*ms).Seconds())
		sent.Elapsed = 0
		So(flow(sent), ShouldAlmostEqual, 0)
		sent.Elapsed = time.Hour // a clock that is ahead gains nothing
		So(flow(sent), ShouldAlmostEqual, limiterFloorLease.Seconds())
		sent.Epoch = 2 // the clock of another leader says nothing
		So(flow(sent), ShouldAlmostEqual, 0)
	})
	Convey("A new epoch has neither tokens nor leases", t, func() {
		a, err := NewAllocator(rules)
		So(err, ShouldBeNil)
		So(a.Configure(0, leaseLimits, 12), ShouldBeNil)
		for now := second; now < 4*second; now += 100 * ms {
			_, _ = a.Allocate(now, 3, "n", &Request{Lease: &FloorLease{Share: 1, Epoch: 3, Clock: now}})
		}
		_, err = a.Allocate(4*second, 4, "n", wants())
		So(err, ShouldNotBeNil)
		response, err := a.Allocate(4*second+TokenTTL, 4, "n", wants(Demand{Tenant: "a", Want: 100}))
		So(err, ShouldBeNil)
		So(response.Grants, ShouldHaveLength, 1)
		own := TokenTTL.Seconds() * (1 - floorRateFraction) * 172
		So(response.Grants[0].Tokens, ShouldBeLessThanOrEqualTo, own)
	})
}

func TestBothSidesDivideByTheLargerNumber(t *testing.T) {
	Convey("A limiter takes the allocator's number if it is larger, and the allocator the limiter's", t, func() {
		l := newLeaseLimiter()
		l.Request(10 * second)
		So(l.ApplyResponse(10*second, Response{Epoch: 1, Members: 15, Clock: second}), ShouldBeNil)
		So(l.Request(10*second+ms).Lease.Share, ShouldEqual, 1./15)

		a, err := NewAllocator(rules)
		So(err, ShouldBeNil)
		So(a.Configure(0, leaseLimits, 12), ShouldBeNil)
		_, _ = a.Allocate(0, 1, "n", wants()) // the epoch begins
		response, err := a.Allocate(second, 1, "n", &Request{Members: 14})
		So(err, ShouldBeNil)
		So(response.Members, ShouldEqual, 14)
	})
	Convey("A limiter that defers a tenant has its floor alone while the allocator grants tokens for it", t, func() {
		l, err := NewLocalLimiter(0, rules)
		So(err, ShouldBeNil)
		So(l.Configure(0, leaseLimits, maxPrepaidMembers+4), ShouldBeNil)
		admitted := 0
		for now := 10 * second; now < 15*second; now += 100 * ms {
			for _, demand := range l.Request(now).Demands {
				So(demand.Used, ShouldEqual, 0) // the floor's tokens are no report
			}
			So(l.ApplyResponse(now, Response{Epoch: 1, Members: 12, Clock: now}), ShouldBeNil)
			admitted += admitAll(now, l)
		}
		So(admitted, ShouldBeLessThanOrEqualTo, int(l.tenants["a"].floorDepth))
	})
}

func TestForgottenLimiterHasNoFloor(t *testing.T) {
	Convey("A limiter that the core may have forgotten has no floor from then on, whatever the leader said", t, func() {
		limits := map[string]Limit{"a": {172, 172}}
		limiter, err := NewLocalLimiter(0, rules)
		So(err, ShouldBeNil)
		So(limiter.Configure(0, limits, 12), ShouldBeNil)
		_ = limiter.Request(0)
		So(limiter.ApplyResponse(0, Response{Epoch: 1, Members: 12}), ShouldBeNil)
		So(limiter.Allow(5*second, "a"), ShouldBeTrue)
		So(limiter.Configure(5*second, limits, UnknownMembers), ShouldBeNil)
		for now := 5 * second; now < 20*second; now += 100 * ms {
			So(limiter.Allow(now, "a"), ShouldBeFalse)
		}
		So(limiter.Configure(20*second, limits, 12), ShouldBeNil)
		So(limiter.Allow(20*second, "a"), ShouldBeFalse)
		So(limiter.Allow(25*second, "a"), ShouldBeTrue)
	})
}
