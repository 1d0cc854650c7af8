package gate

import (
	"testing"
	"time"

	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAbandonedRequests(t *testing.T) {
	Convey("The attempt of an idempotent request is cancelled when the caller leaves", t, func() {
		h := newHarness(1)
		h.idempotentRequest(1, time.Second)
		h.idempotentRequest(2, time.Second)
		So(h.disconnect(1), ShouldResemble, []string{"cancel 1, attempt 0"})

		Convey("and the slot stays in use until the attempt has ended", func() {
			h.now += ms
			h.gate.Outcome(h.now, policy.Outcome{ID: 1, Ending: policy.Cancelled, Finished: true})
			So(h.takeDecisions(), ShouldResemble, []string{"send 2 to 1 for 0s"})
		})
	})
	Convey("The attempt of a request that is not known to be idempotent is not cancelled", t, func() {
		h := newHarness(2)
		h.request(1, defaultPriority, time.Second, 0)
		h.requestWithTerms(2, nil, time.Second)
		So(h.disconnect(1), ShouldBeEmpty)
		So(h.disconnect(2), ShouldBeEmpty)
	})
	Convey("A queued request whose caller left is never sent", t, func() {
		h := newHarness(1)
		h.idempotentRequest(1, time.Second)
		h.idempotentRequest(2, time.Second)
		So(h.disconnect(2), ShouldBeEmpty)
		So(h.endAttempt(ms, 1, policy.Served), ShouldBeEmpty)
	})
	Convey("A cancelled attempt changes the mean service time only where it raises the mean", t, func() {
		h := newHarness(1)
		h.idempotentRequest(1, time.Minute)
		h.endAttempt(160*ms, 1, policy.Served)
		cancelAfter := func(id policy.RequestID, after time.Duration) time.Duration {
			h.idempotentRequest(id, time.Minute)
			h.disconnect(id)
			h.endAttempt(after, id, policy.Cancelled)
			return h.gate.MeanServiceTime()
		}
		So(cancelAfter(2, 10*ms), ShouldEqual, 160*ms)
		So(cancelAfter(3, 320*ms), ShouldEqual, 170*ms)
	})
}
