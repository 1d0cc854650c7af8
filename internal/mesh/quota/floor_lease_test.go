package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var leaseLimits = map[string]Limit{"a": {172, 172}}

// newLeaseLimiter returns a limiter that knows that there are twelve members, and whose floor is full at 10 s.
func newLeaseLimiter() *LocalLimiter {
	l, err := NewLocalLimiter(0, rules)
	So(err, ShouldBeNil)
	So(l.Configure(0, leaseLimits, 12), ShouldBeNil)
	return l
}

// admitAll sends requests until one is rejected, and returns how many the limiter admits.
func admitAll(now time.Duration, l *LocalLimiter) (admitted int) {
	for l.Allow(now, "a") {
		admitted++
	}
	return admitted
}

// exchange sends a limiter's request to an allocator of the given epoch, which responds immediately.
func exchange(now time.Duration, l *LocalLimiter, epoch Epoch) Request {
	request := l.Request(now)
	So(l.ApplyResponse(now, Response{Epoch: epoch, Members: 12, Clock: now}), ShouldBeNil)
	return request
}

func TestFloorStartsEmpty(t *testing.T) {
	Convey("A new process's floor fills only after the lease of the preceding process has expired", t, func() {
		l := newLeaseLimiter()
		So(admitAll(legacyFloorLeaseTTL, l), ShouldEqual, 0)
		perSecond := floorRateFraction * 172 / 12
		So(admitAll(legacyFloorLeaseTTL+300*ms, l), ShouldEqual, int(0.3*perSecond))
		So(admitAll(10*second, l), ShouldEqual, 7)
	})
	Convey("No floor without a number of members; a lower limit cuts it; a tenant added again starts empty", t, func() {
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
	Convey("Tokens that arrive after they have expired are lost", t, func() {
		l := newLeaseLimiter()
		So(admitAll(10*second, l), ShouldEqual, 7)
		l.Request(10 * second)
		late := Response{Epoch: 1, Grants: []Grant{{"a", 5}}, Members: 12, Clock: second}
		So(l.ApplyResponse(10*second+TokenTTL, late), ShouldBeNil)
		So(admitAll(10*second+TokenTTL, l), ShouldBeLessThan, 5)
	})
}

func TestFloorLeaseStartsWhenRequestIsSent(t *testing.T) {
	Convey("A leased floor doesn't fill even without a response; after a lost response no lease is sent", t, func() {
		l := newLeaseLimiter()
		So(exchange(10*second, l, 1).Lease, ShouldBeNil) // the allocator's clock isn't known yet
		So(admitAll(10*second, l), ShouldEqual, 7)
		sent := l.Request(10*second + 200*ms)
		So(sent.Lease, ShouldNotBeNil)
		So(*sent.Lease, ShouldResemble, FloorLease{Share: 1. / 12, Epoch: 1, Clock: 10 * second, Elapsed: 200 * ms})
		until := 10*second + 200*ms + floorLeaseTTL
		So(admitAll(until, l), ShouldEqual, 0)
		So(l.Request(until).Lease, ShouldBeNil)
		So(admitAll(until+second, l), ShouldEqual, 7)
	})
}

func TestAllocatorDatesLeasesFromEarliestSendTime(t *testing.T) {
	// leasedSeconds returns for how many seconds of the first 5 s the allocator counts a lease of all floors that
	// it receives at 2 s.
	leasedSeconds := func(lease FloorLease) float64 {
		a, err := NewAllocator(rules)
		So(err, ShouldBeNil)
		So(a.Configure(0, leaseLimits, 12), ShouldBeNil)
		_, err = a.Allocate(0, 3, "n", requestFor())
		So(err, ShouldNotBeNil) // rejected at the start of the epoch
		_, err = a.Allocate(2*second, 3, "n", &Request{Lease: &lease})
		So(err, ShouldBeNil)
		a.advance(5 * second)
		return (a.prepaidFillSeconds - 5*(1-floorRateFraction)) / floorRateFraction
	}
	Convey("A lease counts for its duration from the earliest time at which it can have been sent", t, func() {
		sent := FloorLease{Share: 1, Epoch: 3, Clock: 1500 * ms, Elapsed: 500 * ms}
		So(leasedSeconds(sent), ShouldAlmostEqual, floorLeaseTTL.Seconds())
		sent.Elapsed = 200 * ms // in transit for up to 300 ms
		So(leasedSeconds(sent), ShouldAlmostEqual, (floorLeaseTTL - 300*ms).Seconds())
		sent.Elapsed = 0
		So(leasedSeconds(sent), ShouldAlmostEqual, 0)
		sent.Elapsed = time.Hour // a send time in the future doesn't extend the lease
		So(leasedSeconds(sent), ShouldAlmostEqual, floorLeaseTTL.Seconds())
		sent.Epoch = 2 // a clock of another leader is ignored
		So(leasedSeconds(sent), ShouldAlmostEqual, 0)
	})
	Convey("A new epoch starts without tokens and leases", t, func() {
		a, err := NewAllocator(rules)
		So(err, ShouldBeNil)
		So(a.Configure(0, leaseLimits, 12), ShouldBeNil)
		for now := second; now < 4*second; now += 100 * ms {
			_, _ = a.Allocate(now, 3, "n", &Request{Lease: &FloorLease{Share: 1, Epoch: 3, Clock: now}})
		}
		_, err = a.Allocate(4*second, 4, "n", requestFor())
		So(err, ShouldNotBeNil)
		response, err := a.Allocate(4*second+TokenTTL, 4, "n", requestFor(Demand{Tenant: "a", Requested: 100}))
		So(err, ShouldBeNil)
		So(response.Grants, ShouldHaveLength, 1)
		own := TokenTTL.Seconds() * (1 - floorRateFraction) * 172
		So(response.Grants[0].Tokens, ShouldBeLessThanOrEqualTo, own)
	})
}

func TestBothSidesUseLargerMemberCount(t *testing.T) {
	Convey("A limiter uses the allocator's number if it is larger, and the allocator uses the limiter's", t, func() {
		l := newLeaseLimiter()
		l.Request(10 * second)
		So(l.ApplyResponse(10*second, Response{Epoch: 1, Members: 15, Clock: second}), ShouldBeNil)
		So(l.Request(10*second+ms).Lease.Share, ShouldEqual, 1./15)

		a, err := NewAllocator(rules)
		So(err, ShouldBeNil)
		So(a.Configure(0, leaseLimits, 12), ShouldBeNil)
		_, _ = a.Allocate(0, 1, "n", requestFor()) // rejected at the start of the epoch
		response, err := a.Allocate(second, 1, "n", &Request{Members: 14})
		So(err, ShouldBeNil)
		So(response.Members, ShouldEqual, 14)
	})
	Convey("If only the limiter defers a tenant, it reports nothing and admits from its floor alone", t, func() {
		l, err := NewLocalLimiter(0, rules)
		So(err, ShouldBeNil)
		So(l.Configure(0, leaseLimits, maxPrepaidMembers+4), ShouldBeNil)
		admitted := 0
		for now := 10 * second; now < 15*second; now += 100 * ms {
			for _, demand := range l.Request(now).Demands {
				So(demand.Admitted, ShouldEqual, 0) // requests on the floor aren't reported
			}
			So(l.ApplyResponse(now, Response{Epoch: 1, Members: 12, Clock: now}), ShouldBeNil)
			admitted += admitAll(now, l)
		}
		So(admitted, ShouldBeLessThanOrEqualTo, int(l.tenants["a"].floorDepth))
	})
}

func TestLimiterWithUnknownMemberCountHasNoFloor(t *testing.T) {
	Convey("A limiter that may no longer be counted has no floor, whatever number the leader sent", t, func() {
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
