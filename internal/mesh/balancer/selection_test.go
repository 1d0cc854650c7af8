package balancer

import (
	"fmt"
	"testing"

	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUpstreamSelection(t *testing.T) {
	Convey("Upstreams are selected in proportion to their slots, at any time in the sequence", t, func() {
		slots := map[policy.ServerID]float64{1: 2, 2: 4, 3: 8}
		h := newHarness(ready(1, 0, 2), ready(2, 0, 4), ready(3, 0, 8))
		to := h.serveOneByOne(1, 140)
		for n := range to {
			for id, share := range slots {
				So(float64(countOf(to[:n+1], id)), ShouldAlmostEqual, float64(n+1)*share/14, 1.5)
			}
		}
	})
	Convey("A new upstream, or an upstream that was not selected for a while, gets no more than its share", t, func() {
		h := newHarness(ready(1, 0, 8))
		h.serveOneByOne(1, 40)
		h.balancer.List(h.now, policy.ListDelta, []policy.Server{ready(2, 0, 8)})
		So(countOf(h.serveOneByOne(100, 20), 2), ShouldBeBetweenOrEqual, 9, 11)
		h.request(200, newClass())
		h.request(201, newClass())
		h.endAttempt(200, 0, policy.NoConnection) // makes one of the two upstreams unavailable
		h.endAttempt(201, 0, policy.Served)
		h.endAttempt(200, 1, policy.Served)
		h.serveOneByOne(300, 40) // all sent to the other upstream
		h.now += failureBackoff
		to := h.serveOneByOne(400, 20)
		So(countOf(to, 1), ShouldBeBetweenOrEqual, 8, 12)
	})
	Convey("An upstream that its gate reports as full is not selected until the report has expired", t, func() {
		h := newHarness(ready(1, 0, 4), ready(2, 0, 4))
		h.request(1, newClass())
		h.endAttempt(1, 0, policy.Served, 4)
		So(countOf(h.serveOneByOne(10, 10), 1), ShouldEqual, 0)
		h.now += loadReportTTL + ms
		So(countOf(h.serveOneByOne(30, 20), 1), ShouldBeGreaterThan, 5)
	})
	Convey("The upstream on the same machine is preferred up to a load limit, and counts as in the local zone", t, func() {
		h := newHarness(ready(1, 0, 8), ready(2, SameMachine, 5), ready(3, 1, 8))
		So(countOf(h.serveOneByOne(1, 20), 2), ShouldEqual, 20)
		for id := policy.RequestID(101); id <= 103; id++ {
			So(h.request(id, newClass()), ShouldResemble, []string{fmt.Sprintf("send %d to 2", id)})
		}
		So(h.request(104, newClass()), ShouldResemble, []string{"send 104 to 1"}) // three of five slots are in use
		So(h.balancer.counters.Crossed, ShouldEqual, 0)
		h.endAttempt(101, 0, policy.Served)
		So(h.request(105, newClass()), ShouldResemble, []string{"send 105 to 2"})
		h.endAttempt(105, 0, policy.NoConnection)
		So(h.request(106, newClass()), ShouldResemble, []string{"send 106 to 1"})
		full := newHarness(ready(1, 0, 4), ready(2, SameMachine, 4))
		full.request(1, newClass())
		full.endAttempt(1, 0, policy.Served, 3) // the gate reports requests of other sidecars
		So(countOf(full.serveOneByOne(10, 8), 2), ShouldEqual, 0)
	})
	Convey("The local zone is preferred up to a load limit, and only ready upstreams are selected", t, func() {
		h := newHarness(ready(1, 0, 4), ready(2, 1, 8))
		So(countOf(h.serveOneByOne(1, 20), 1), ShouldEqual, 20)
		for id := policy.RequestID(101); id <= 103; id++ {
			So(h.request(id, newClass()), ShouldResemble, []string{fmt.Sprintf("send %d to 1", id)})
		}
		So(h.request(104, newClass()), ShouldResemble, []string{"send 104 to 2"}) // three of four slots are in use
		draining := policy.Server{ID: 2, Zone: 1, State: policy.Draining, Weight: 8}
		h.balancer.List(h.now, policy.ListDelta, []policy.Server{draining})
		So(h.request(105, newClass()), ShouldResemble, []string{"send 105 to 1"})
		h.balancer.List(h.now, policy.ListFailed, nil)
		So(h.request(106, newClass()), ShouldResemble, []string{"send 106 to 1"})
		unknownState := policy.Server{ID: 2, Zone: 1, State: 9, Weight: 8}
		h.balancer.List(h.now, policy.ListFull, []policy.Server{unknownState})
		So(h.request(107, newClass()), ShouldBeEmpty)
		So(h.advance(100*ms), ShouldResemble, []string{"refuse 107"})
	})
}
