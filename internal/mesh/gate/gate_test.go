package gate

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"caperarch/internal/proxy/engine"
	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
)

var _ engine.Module = (*Gate)(nil)

func TestQueueOrderByPriority(t *testing.T) {
	Convey("Slots are assigned by priority and then by arrival, and a full queue drops its lowest priority", t, func() {
		h := newHarness(1)
		So(h.request(1, 2, time.Second, 0), ShouldResemble, []string{"send 1 to 1 for 0s"})
		So(h.request(2, 2, time.Second, 0), ShouldBeEmpty)
		So(h.request(3, 2, time.Second, 0), ShouldBeEmpty)
		So(h.request(4, 2, time.Second, 0), ShouldResemble, []string{"refuse 4 10ms"})
		So(h.request(5, 1, time.Second, 0), ShouldResemble, []string{"refuse 3 10ms"})
		h.gate.Request(h.now, policy.Request{ID: 6, TimeLeft: time.Second}) // without AttemptTerms: defaultPriority
		So(h.takeDecisions(), ShouldResemble, []string{"refuse 6 10ms"})
		So(h.endAttempt(ms, 1, policy.Served), ShouldResemble, []string{"send 5 to 1 for 0s"})
		So(h.request(7, 0, time.Second, 0), ShouldBeEmpty) // priority 0 has a queue capacity of its own
		So(h.endAttempt(ms, 5, policy.Served), ShouldResemble, []string{"send 7 to 1 for 0s"})
		So(h.endAttempt(ms, 7, policy.Served), ShouldResemble, []string{"send 2 to 1 for 0s"})
		So(h.endAttempt(ms, 2, policy.Served), ShouldBeEmpty)
	})
	// All requests have the same service time.
	Convey("One of lowPriorityInterval slots goes to the request of a lower priority that has waited longest", t, func() {
		h := newHarness(3)
		var order []policy.RequestID
		h.request(2000, 0, time.Minute, 0)
		h.endAttempt(3*ms, 2000, policy.Served) // the service time of all other requests as well
		h.onSend = func(id policy.RequestID) { order = append(order, id) }
		for id := policy.RequestID(1); id <= 3; id++ {
			h.request(id, 0, time.Minute, 0)
			h.now += ms
		}
		h.now -= ms
		h.request(1000, 7, time.Minute, 0)
		for id := policy.RequestID(4); len(order) < 3+2*lowPriorityInterval; id++ {
			h.request(id, 0, time.Minute, 0) // so a request of priority 0 waits whenever a slot is assigned
			h.endAttempt(ms, order[len(order)-3], policy.Served)
			if id == 4 {
				h.request(1001, 5, time.Minute, 0)
			}
		}
		So(slices.Index(order, 1000), ShouldEqual, 3+lowPriorityInterval-1)
		So(slices.Index(order, 1001), ShouldEqual, 3+2*lowPriorityInterval-1)
	})
	Convey("Requests of a lower priority with four times the service time get a slot a quarter as often", t, func() {
		h := newHarness(1)
		h.request(1, 0, time.Minute, 0)
		h.endAttempt(ms, 1, policy.Served)
		h.request(2, 3, time.Minute, 0)
		h.endAttempt(4*ms, 2, policy.Served)
		var order []policy.RequestID
		h.onSend = func(id policy.RequestID) { order = append(order, id) }
		h.request(3, 0, time.Minute, 0)
		h.request(1000, 3, time.Minute, 0)
		for id := policy.RequestID(4); slices.Index(order, 1000) < 0 && id < 100; id++ {
			h.request(id, 0, time.Minute, 0)
			h.endAttempt(ms, order[len(order)-1], policy.Served)
		}
		So(slices.Index(order, 1000), ShouldEqual, 1+4*(lowPriorityInterval-1))
	})
}

func TestRequestsThatCannotStartInTimeAreRejected(t *testing.T) {
	Convey("With a mean service time of 100 ms, no request is queued that can't start in time", t, func() {
		h := newHarness(1)
		h.request(1, 2, time.Second, 0)
		h.endAttempt(100*ms, 1, policy.Served)
		So(h.gate.MeanServiceTime(), ShouldEqual, 100*ms)
		h.request(2, 2, time.Second, 0)
		// A quarter of the latency target is not more than the expected wait of 100 ms.
		So(h.request(3, 2, time.Second, 400*ms), ShouldResemble, []string{"refuse 3 100ms"})
		So(h.request(4, 2, 190*ms, 0), ShouldResemble, []string{"refuse 4 100ms"})
		So(h.wakes, ShouldBeEmpty)
		So(h.request(5, 2, time.Second, 0), ShouldBeEmpty)
		h.now += 10 * ms
		So(h.request(6, 1, 2*time.Second, 0), ShouldBeEmpty)
		So(h.wakes, ShouldResemble, []time.Duration{350 * ms})
		So(h.wake(349*ms), ShouldBeEmpty)
		So(h.wake(350*ms), ShouldResemble, []string{"refuse 5 200ms"})
		So(h.wakes, ShouldResemble, []time.Duration{350 * ms, 610 * ms})
		So(h.endAttempt(ms, 2, policy.Served), ShouldResemble, []string{"send 6 to 1 for 0s"})
		h.wake(610 * ms)
		So(h.wakes, ShouldHaveLength, 2) // the queue is empty

		h = newHarness(4)
		h.request(1, 2, time.Second, 0)
		h.endAttempt(100*ms, 1, policy.Served)
		for id := policy.RequestID(2); id <= 5; id++ {
			h.request(id, 2, time.Second, 0)
		}
		// The request could start in time, but would end after its deadline.
		So(h.request(6, 2, 120*ms, 0), ShouldResemble, []string{"refuse 6 25ms"})
	})
}

func TestDrainingUpstreamIsSentNothing(t *testing.T) {
	for _, state := range []policy.State{policy.Draining, policy.Deregistered} {
		Convey(fmt.Sprintf("An upstream in state %d is sent no further request, its successor is", state), t, func() {
			h := newHarness(1)
			h.request(1, 2, time.Second, 0)
			h.request(2, 2, time.Second, 0)
			So(h.list(policy.ListDelta, 1, state, 1), ShouldResemble, []string{"refuse 2 200ms"})
			So(h.endAttempt(ms, 1, policy.Served), ShouldBeEmpty)
			h.list(policy.ListFull, 1, policy.Ready, 1)
			So(h.request(3, 0, time.Second, 0), ShouldResemble, []string{"refuse 3 200ms"})
			So(h.list(policy.ListFull, 2, policy.Ready, math.NaN()), ShouldResemble, []string{
				"the server list gives the upstream NaN slots, want at least 1 and finite: keeping 1",
			})
			So(h.request(4, 2, time.Second, 0), ShouldResemble, []string{"send 4 to 2 for 0s"})
			h.request(5, 2, time.Second, 0)
			h.gate.List(h.now, policy.ListFull, nil)
			So(h.takeDecisions(), ShouldResemble, []string{"refuse 5 200ms"})
		})
	}
}

func TestAnswerByEndingOfAttempt(t *testing.T) {
	Convey("A request is rejected if it has not run and fails if it may have run, without a second attempt", t, func() {
		h := newHarness(1)
		for ending, want := range map[policy.Ending]string{
			policy.NotProcessed: "refuse", policy.NoConnection: "refuse",
			policy.NotSent: "refuse", policy.GateRejected: "refuse",
			policy.Errored: "fail", policy.ConnectionLost: "fail", policy.TimedOut: "fail",
			policy.Cancelled: "fail", policy.InvalidRequest: "fail",
		} {
			id := policy.RequestID(ending) + 1
			h.request(id, 2, time.Second, 0)
			mean := h.gate.MeanServiceTime()
			decisions := h.endAttempt(time.Duration(id)*100*ms, id, ending)
			if want == "refuse" {
				So(h.gate.MeanServiceTime(), ShouldEqual, mean)
			}
			So(decisions, ShouldHaveLength, 1)
			So(decisions[0], ShouldStartWith, fmt.Sprintf("%s %d", want, id))
			So(h.endAttempt(ms, id, ending), ShouldBeEmpty)
		}
	})
	Convey("An upstream that rejects a request has one slot fewer for 200 ms", t, func() {
		h := newHarness(2)
		h.request(1, 2, time.Minute, 0)
		h.request(2, 2, time.Minute, 0)
		h.request(3, 2, time.Minute, 0)
		So(h.endAttempt(ms, 1, policy.NotProcessed), ShouldResemble, []string{"refuse 1 10ms"})
		So(h.wakes[len(h.wakes)-1], ShouldEqual, 201*ms)
		So(h.wake(201*ms), ShouldResemble, []string{"send 3 to 1 for 0s"})
	})
	Convey("An unreachable upstream is sent nothing for a time that doubles until a connection succeeds", t, func() {
		h := newHarness(4)
		for id := policy.RequestID(1); id <= 5; id++ {
			h.request(id, 2, time.Minute, 0)
		}
		So(h.endAttempt(ms, 1, policy.NoConnection), ShouldResemble, []string{
			"refuse 1 10ms", "send 5 to 1 for 0s",
		})
		h.request(6, 2, time.Minute, 0)
		h.endAttempt(0, 2, policy.NoConnection)
		h.request(7, 2, time.Minute, 0)
		So(h.endAttempt(0, 3, policy.NoConnection), ShouldResemble, []string{
			"refuse 3 100ms", "refuse 7 100ms",
		})
		// The attempt was sent before the upstream became unreachable, so the time is not extended.
		So(h.endAttempt(0, 4, policy.NoConnection), ShouldResemble, []string{"refuse 4 100ms"})
		id := policy.RequestID(10)
		for _, unreachable := range []time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, 800 * ms} {
			h.now += unreachable - ms
			rejected := fmt.Sprintf("refuse %d 10ms", id)
			So(h.request(id, 0, time.Minute, 0), ShouldResemble, []string{rejected})
			h.now += ms
			sent := fmt.Sprintf("send %d to 1 for 0s", id)
			So(h.request(id, 0, time.Minute, 0), ShouldResemble, []string{sent})
			h.endAttempt(0, id, policy.NoConnection)
			id++
		}
		h.now += 800 * ms
		h.request(id, 0, time.Minute, 0)
		h.endAttempt(0, id, policy.Served)
		h.request(id+1, 0, time.Minute, 0)
		So(h.endAttempt(0, id+1, policy.NoConnection)[0], ShouldEndWith, " 10ms")
	})
}
