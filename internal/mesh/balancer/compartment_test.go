package balancer

import (
	"fmt"
	"testing"
	"time"

	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCompartmentsIsolateTenants(t *testing.T) {
	classOf := func(tenant string) *RequestClass {
		return newClass(func(c *RequestClass) {
			c.Compartment, c.Tenant = CompartmentSpec{Name: tenant, Share: 0.25}, tenant
		})
	}
	Convey("A burst of one tenant fills only its own slots and queue slots, and the rest is rejected", t, func() {
		h := newHarness(ready(1, 0, 40), ready(2, 0, 40), ready(3, 0, 40))
		decided := map[byte]int{} // by the first letter: s for send, r for refuse
		for id := policy.RequestID(1); id <= 100; id++ {
			for _, decision := range h.request(id, classOf("a")) {
				decided[decision[0]]++
			}
		}
		a := h.balancer.compartments["a"]
		// Lower bound: the share 0.25 of the 0.58 x 120 slots that package sizing gives to a single sidecar.
		// The compartment is larger by sizing.Spread standard deviations.
		So(a.slots, ShouldBeBetween, 0.25*0.58*120, 60)
		So(a.queueSlots, ShouldBeBetween, 1, a.slots)
		So(decided, ShouldResemble, map[byte]int{'s': a.slots, 'r': 100 - a.slots - a.queueSlots})
		for i := range a.slots {
			So(h.request(policy.RequestID(200+i), classOf("b")), ShouldHaveLength, 1)
		}
		So(h.balancer.compartments["b"].usedSlots, ShouldEqual, a.slots)
		So(h.endAttempt(1, 0, policy.Served), ShouldHaveLength, 1) // the first queued request gets the slot
		So(a.queue[0].id, ShouldEqual, policy.RequestID(a.slots+2))
		So(h.advance(99*ms), ShouldBeEmpty)
		So(h.advance(ms), ShouldHaveLength, a.queueSlots-1) // maxWaitFraction of the latency target has passed
		So(h.balancer.queued, ShouldEqual, 0)
	})
	Convey("Internal checks have their minimum of slots, and are queued for 0.4 of their remaining time", t, func() {
		h := newHarness(ready(1, 0, 20))
		check := newClass(func(c *RequestClass) {
			c.Compartment = CompartmentSpec{Name: "checks", Share: 0.01, MinSlots: 12}
			c.Priority, c.LatencyTarget = 0, 100*ms
		})
		for id := policy.RequestID(1); id <= 12; id++ {
			So(h.request(id, check), ShouldResemble, []string{fmt.Sprintf("send %d to 1", id)})
		}
		So(h.request(13, check), ShouldBeEmpty)
		So(h.advance(399*ms), ShouldBeEmpty)
		So(h.advance(2*ms), ShouldResemble, []string{"refuse 13"})
	})
	Convey("No request is sent within deadlineMargin of its deadline, whatever its priority", t, func() {
		h := newHarness(ready(1, 0, 1))
		for remaining := ms; remaining <= deadlineMargin; remaining += ms {
			h.balancer.Request(h.now, policy.Request{
				ID: policy.RequestID(remaining), TimeLeft: remaining, Attributes: newClass(),
			})
			So(h.takeDecisions(), ShouldResemble, []string{fmt.Sprintf("refuse %d", remaining)})
		}
		h = newHarness()
		check := newClass(func(c *RequestClass) { c.Priority = 0 })
		h.balancer.Request(h.now, policy.Request{ID: 1, TimeLeft: deadlineMargin + ms, Attributes: check})
		h.now += ms
		h.balancer.List(h.now, policy.ListFull, []policy.Server{ready(1, 0, 1)})
		So(h.takeDecisions(), ShouldResemble, []string{"refuse 1"})
	})
	Convey("A request that is queued for a full upstream is sent once the load report has expired", t, func() {
		h := newHarness(ready(1, 0, 1))
		h.request(1, newClass())
		h.endAttempt(1, 0, policy.Served, 2)
		longTarget := newClass(func(c *RequestClass) { c.LatencyTarget = 10 * time.Second })
		So(h.request(2, longTarget), ShouldBeEmpty)
		So(h.advance(loadReportTTL+20*ms), ShouldResemble, []string{"send 2 to 1"})
	})
	Convey("A new request does not overtake requests that are queued in its compartment", t, func() {
		h := newHarness(ready(1, 0, 4))
		h.request(1, newClass())
		So(h.endAttempt(1, 0, policy.GateRejected), ShouldBeEmpty) // the request is queued for the same upstream
		h.now += gateRejectionBackoff
		// The arrival of request 2 sends request 1, before the Wake is due.
		So(h.request(2, newClass())[0], ShouldEqual, "send 1 to 1")
	})
}
