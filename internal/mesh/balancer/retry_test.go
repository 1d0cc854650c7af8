package balancer

import (
	"testing"
	"time"

	"caperarch/internal/mesh/headers"
	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRetries(t *testing.T) {
	three := []policy.Server{ready(1, 0, 8), ready(2, 0, 8), ready(3, 0, 8)}
	Convey("A request that reached no upstream goes to the next one and costs nothing", t, func() {
		for _, ending := range []policy.Ending{policy.GateRejected, policy.NoConnection, policy.NotSent} {
			h := newHarness(three...)
			h.request(1, newClass(func(c *RequestClass) { c.Idempotent, c.MaxAttempts = false, 1 }))
			So(h.endAttempt(1, 0, ending), ShouldResemble, []string{"send 1 to 2"})
			So(h.endAttempt(1, 1, ending), ShouldResemble, []string{"send 1 to 3"})
			So(h.chargedRetries, ShouldEqual, 0)
		}
	})
	Convey("One that a newer configuration doesn't allow goes to no other, and is answered by what is known of it", t, func() {
		h := newHarness(three...)
		h.allowedRetries = 5
		h.request(1, newClass())
		So(h.endAttempt(1, 0, headers.ConfigOutdated), ShouldResemble, []string{"refuse 1"})
		h.request(2, newClass())
		h.endAttempt(2, 0, policy.ConnectionLost)
		So(h.endAttempt(2, 1, headers.ConfigOutdated), ShouldResemble, []string{"fail 2"})
	})
	Convey("One that reached an upstream is retried within the budget, if it can't run twice", t, func() {
		for _, ending := range []policy.Ending{
			policy.NotProcessed, policy.ConnectionLost, policy.TimedOut, policy.Cancelled, policy.Ending(99),
		} {
			notIdempotent := newClass(func(c *RequestClass) { c.Idempotent = false })
			withoutBudget, nextOfNotIdempotent := "fail 1", byte('f')
			if ending == policy.NotProcessed { // it has not run
				withoutBudget, nextOfNotIdempotent = "refuse 1", 's'
			}
			h := newHarness(three...)
			h.request(1, newClass())
			So(h.endAttempt(1, 0, ending), ShouldResemble, []string{withoutBudget})
			h.allowedRetries = 5
			h.request(2, newClass())
			So(h.endAttempt(2, 0, ending)[0], ShouldStartWith, "send 2")
			So(h.chargedRetries, ShouldEqual, 1)
			So(h.endAttempt(2, 1, ending), ShouldHaveLength, 1) // of two attempts
			So(h.chargedRetries, ShouldEqual, 1)
			h.now += time.Second // all upstreams are available again
			h.request(3, notIdempotent)
			So(h.endAttempt(3, 0, ending)[0][0], ShouldEqual, nextOfNotIdempotent)
		}
	})
	Convey("No more is charged than the budget allows, also where retries were queued", t, func() {
		h := newHarness(ready(1, 0, 8))
		h.allowedRetries = 1
		for id := policy.RequestID(1); id <= 3; id++ {
			h.request(id, newClass())
		}
		for id := policy.RequestID(1); id <= 3; id++ {
			h.endAttempt(id, 0, policy.NotProcessed) // there is no other upstream yet
		}
		h.balancer.List(h.now, policy.ListDelta, []policy.Server{ready(2, 0, 8)})
		So(h.chargedRetries, ShouldBeLessThanOrEqualTo, h.allowedRetries)
	})
	Convey("Responses of failure are retried for one request of fifty", t, func() {
		h := newHarness(three...)
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
	Convey("Events of unknown requests, repeated or early ones, change nothing", t, func() {
		h := newHarness(three...)
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
