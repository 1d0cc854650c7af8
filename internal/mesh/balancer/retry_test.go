package balancer

import (
	"testing"
	"time"

	"caperarch/internal/mesh/headers"
	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRetries(t *testing.T) {
	upstreams := []policy.Server{ready(1, 0, 8), ready(2, 0, 8), ready(3, 0, 8)}
	Convey("A request that reached no upstream is sent to the next upstream without a charge", t, func() {
		for _, ending := range []policy.Ending{policy.GateRejected, policy.NoConnection, policy.NotSent} {
			h := newHarness(upstreams...)
			h.request(1, newClass(func(c *RequestClass) { c.Idempotent, c.MaxAttempts = false, 1 }))
			So(h.endAttempt(1, 0, ending), ShouldResemble, []string{"send 1 to 2"})
			So(h.endAttempt(1, 1, ending), ShouldResemble, []string{"send 1 to 3"})
			So(h.chargedRetries, ShouldEqual, 0)
		}
	})
	Convey("A request that a newer configuration does not allow is sent to no other upstream", t, func() {
		h := newHarness(upstreams...)
		h.allowedRetries = 5
		h.request(1, newClass())
		So(h.endAttempt(1, 0, headers.ConfigOutdated), ShouldResemble, []string{"refuse 1"})
		h.request(2, newClass())
		h.endAttempt(2, 0, policy.ConnectionLost)
		So(h.endAttempt(2, 1, headers.ConfigOutdated), ShouldResemble, []string{"fail 2"})
	})
	Convey("A request that reached an upstream is retried within the budget, if a second run is safe", t, func() {
		for _, ending := range []policy.Ending{
			policy.NotProcessed, policy.ConnectionLost, policy.TimedOut, policy.Cancelled, policy.Ending(99),
		} {
			nonIdempotent := newClass(func(c *RequestClass) { c.Idempotent = false })
			withoutBudget, nonIdempotentDecision := "fail 1", byte('f')
			if ending == policy.NotProcessed { // the request has not run
				withoutBudget, nonIdempotentDecision = "refuse 1", 's'
			}
			h := newHarness(upstreams...)
			h.request(1, newClass())
			So(h.endAttempt(1, 0, ending), ShouldResemble, []string{withoutBudget})
			h.allowedRetries = 5
			h.request(2, newClass())
			So(h.endAttempt(2, 0, ending)[0], ShouldStartWith, "send 2")
			So(h.chargedRetries, ShouldEqual, 1)
			So(h.endAttempt(2, 1, ending), ShouldHaveLength, 1) // answered, as two attempts have reached an upstream
			So(h.chargedRetries, ShouldEqual, 1)
			h.now += time.Second // all upstreams are available again
			h.request(3, nonIdempotent)
			So(h.endAttempt(3, 0, ending)[0][0], ShouldEqual, nonIdempotentDecision)
		}
	})
	Convey("No more retries are charged than the budget allows, including queued retries", t, func() {
		h := newHarness(ready(1, 0, 8))
		h.allowedRetries = 1
		for id := policy.RequestID(1); id <= 3; id++ {
			h.request(id, newClass())
		}
		for id := policy.RequestID(1); id <= 3; id++ {
			h.endAttempt(id, 0, policy.NotProcessed) // the retry is queued, as there is no other upstream yet
		}
		h.balancer.List(h.now, policy.ListDelta, []policy.Server{ready(2, 0, 8)})
		So(h.chargedRetries, ShouldBeLessThanOrEqualTo, h.allowedRetries)
	})
	Convey("After an error response of the upstream, one request of fifty is retried", t, func() {
		h := newHarness(upstreams...)
		h.allowedRetries = 1000
		retried := 0
		for id := policy.RequestID(1); id <= 500; id++ {
			h.request(id, newClass())
			if h.endAttempt(id, 0, policy.Errored)[0][0] == 's' {
				retried++
				h.endAttempt(id, 1, policy.Served)
			}
		}
		So(retried, ShouldBeBetweenOrEqual, 9, 10)
	})
	Convey("Events of unknown requests or attempts, and repeated events, are ignored", t, func() {
		h := newHarness(upstreams...)
		h.request(1, newClass())
		h.endAttempt(77, 0, policy.ConnectionLost)
		h.endAttempt(1, 1, policy.ConnectionLost)
		h.endAttempt(1, -1, policy.ConnectionLost)
		h.endAttempt(1, 0, policy.Served)
		h.endAttempt(1, 0, policy.ConnectionLost)
		h.balancer.Wake(0)
		h.balancer.ClientGone(h.now, 1)
		h.balancer.StreamStarted(77)
		h.balancer.Probed(h.now, 77, true, policy.Load{})
		So(h.takeDecisions(), ShouldBeEmpty)
		h.balancer.Request(h.now, policy.Request{ID: 2, TimeLeft: time.Second})
		h.balancer.Request(h.now, policy.Request{ID: 3, Attributes: newClass()})
		So(h.takeDecisions(), ShouldResemble, []string{"refuse 2", "refuse 3"})
		h.request(4, newClass())
		So(h.endAttempt(4, 0, policy.GateRejected), ShouldHaveLength, 1)
		So(h.endAttempt(4, 0, policy.GateRejected), ShouldBeEmpty)
		h.balancer.ClientGone(h.now, 4)
		So(h.takeDecisions(), ShouldResemble, []string{"cancel 4.1"})
		So(h.endAttempt(4, 1, policy.ConnectionLost), ShouldBeEmpty)
		So(h.balancer.requests, ShouldBeEmpty)
	})
}
