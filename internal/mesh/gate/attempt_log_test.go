package gate

import (
	"encoding/binary"
	"testing"
	"time"

	"caperarch/policy"

	. "github.com/smartystreets/goconvey/convey"
)

// nonIdempotentTerms returns the terms of a non-idempotent request with the given attempt id and SendID.
func nonIdempotentTerms(id string, sender, number uint64) *AttemptTerms {
	return &AttemptTerms{Priority: 2, AttemptIDHash: HashAttemptID(id), SendID: SendID{Sender: sender, Number: number}}
}

func TestAttemptLogPreventsDuplicateExecution(t *testing.T) {
	const remaining = 10 * time.Second
	Convey("Other arrivals of a started request fail, also after the end of its attempt", t, func() {
		for _, ending := range []policy.Ending{
			policy.Served, policy.Errored, policy.ConnectionLost, policy.TimedOut, policy.Cancelled,
		} {
			h := newHarness(4)
			So(h.requestWithTerms(1, nonIdempotentTerms("a", 7, 1), remaining), ShouldResemble, []string{"send 1 to 1 for 0s"})
			So(h.requestWithTerms(2, nonIdempotentTerms("a", 7, 1), remaining), ShouldResemble, []string{"fail 2"})
			So(h.requestWithTerms(3, nonIdempotentTerms("a", 7, 2), remaining), ShouldResemble, []string{"fail 3"})
			h.endAttempt(ms, 1, ending)
			So(h.requestWithTerms(4, nonIdempotentTerms("a", 7, 1), remaining), ShouldResemble, []string{"fail 4"})
			So(h.requestWithTerms(5, nonIdempotentTerms("a", 7, 3), remaining), ShouldResemble, []string{"fail 5"})
			So(h.requestWithTerms(6, nonIdempotentTerms("b", 7, 4), remaining), ShouldResemble, []string{"send 6 to 1 for 0s"})
		}
	})
	Convey("Another arrival of a queued request neither starts the request nor is rejected as not executed", t, func() {
		h := newHarness(1)
		h.requestWithTerms(1, nonIdempotentTerms("a", 7, 1), remaining)
		So(h.requestWithTerms(2, nonIdempotentTerms("b", 7, 2), remaining), ShouldBeEmpty)
		So(h.requestWithTerms(3, nonIdempotentTerms("b", 7, 2), remaining), ShouldResemble, []string{"fail 3"})
		So(h.requestWithTerms(4, nonIdempotentTerms("b", 7, 3), remaining), ShouldResemble, []string{"fail 4"})
		So(h.endAttempt(ms, 1, policy.Served), ShouldResemble, []string{"send 2 to 1 for 0s"})
	})
	Convey("A delayed duplicate of a rejected send is rejected; a later send by the same sidecar may run", t, func() {
		h := newHarness(4)
		h.list(policy.ListDelta, 1, policy.Draining, 4)
		So(h.requestWithTerms(1, nonIdempotentTerms("a", 7, 5), remaining), ShouldResemble, []string{"refuse 1 200ms"})
		h.list(policy.ListFull, 2, policy.Ready, 4)
		So(h.requestWithTerms(2, nonIdempotentTerms("a", 7, 5), remaining), ShouldResemble, []string{"refuse 2 10ms"})
		// A send by another sidecar, or by another run of the same sidecar, does not count as later.
		So(h.requestWithTerms(3, nonIdempotentTerms("a", 8, 9), remaining), ShouldResemble, []string{"refuse 3 10ms"})
		So(h.requestWithTerms(4, nonIdempotentTerms("a", 7, 6), remaining), ShouldResemble, []string{"send 4 to 2 for 0s"})
		So(h.endAttempt(ms, 4, policy.NoConnection), ShouldResemble, []string{"refuse 4 10ms"})
		So(h.requestWithTerms(5, nonIdempotentTerms("a", 7, 5), remaining), ShouldResemble, []string{"refuse 5 10ms"})
		So(h.requestWithTerms(6, nonIdempotentTerms("a", 7, 7), remaining), ShouldResemble, []string{"send 6 to 2 for 0s"})
		So(h.requestWithTerms(7, nonIdempotentTerms("a", 7, 6), remaining), ShouldResemble, []string{"fail 7"})
	})
	Convey("A request whose caller left while it was queued may be sent again", t, func() {
		h := newHarness(1)
		h.requestWithTerms(1, nonIdempotentTerms("a", 7, 1), remaining)
		h.requestWithTerms(2, nonIdempotentTerms("b", 7, 2), remaining)
		h.gate.ClientGone(h.now, 2)
		So(h.requestWithTerms(3, nonIdempotentTerms("b", 7, 2), remaining)[0], ShouldStartWith, "refuse 3")
		So(h.requestWithTerms(4, nonIdempotentTerms("b", 7, 3), remaining), ShouldBeEmpty)
		So(h.endAttempt(ms, 1, policy.Served), ShouldResemble, []string{"send 4 to 1 for 0s"})
	})
	Convey("A request that the upstream rejected may be sent again, a duplicate of the same send may not", t, func() {
		h := newHarness(4)
		h.requestWithTerms(1, nonIdempotentTerms("a", 7, 1), remaining)
		So(h.endAttempt(ms, 1, policy.NotProcessed)[0], ShouldStartWith, "refuse 1")
		So(h.requestWithTerms(2, nonIdempotentTerms("a", 7, 1), remaining)[0], ShouldStartWith, "refuse 2")
		So(h.requestWithTerms(3, nonIdempotentTerms("a", 7, 2), remaining), ShouldResemble, []string{"send 3 to 1 for 0s"})
	})
	Convey("An idempotent request is not recorded", t, func() {
		h := newHarness(4)
		idempotent := &AttemptTerms{Priority: 2, Idempotent: true}
		So(h.requestWithTerms(1, idempotent, remaining), ShouldResemble, []string{"send 1 to 1 for 0s"})
		So(h.requestWithTerms(2, idempotent, remaining), ShouldResemble, []string{"send 2 to 1 for 0s"})
		So(h.gate.AttemptLog().Size(), ShouldEqual, 0)
	})
	Convey("A rejection before the gate is recorded, and promises nothing once another arrival has started", t, func() {
		h := newHarness(4)
		l := h.gate.AttemptLog()
		So(l.RecordRejection(h.now, HashAttemptID("a"), SendID{7, 1}, remaining), ShouldBeTrue)
		So(h.requestWithTerms(1, nonIdempotentTerms("a", 7, 1), remaining), ShouldResemble, []string{"refuse 1 10ms"})
		So(h.requestWithTerms(2, nonIdempotentTerms("a", 7, 2), remaining), ShouldResemble, []string{"send 2 to 1 for 0s"})
		So(l.RecordRejection(h.now, HashAttemptID("a"), SendID{7, 3}, remaining), ShouldBeFalse)
		So(l.RecordRejection(h.now, HashAttemptID("a"), SendID{7, 1}, remaining), ShouldBeFalse)
	})
}

func TestAttemptLogBounds(t *testing.T) {
	hashOf := func(n int) (h AttemptIDHash) {
		binary.BigEndian.PutUint32(h[:], uint32(n))
		return h
	}
	Convey("A record lasts for the request's remaining time and a margin, without the time of a suspension", t, func() {
		var l AttemptLog
		So(l.admit(0, hashOf(1), SendID{7, 1}, 10*time.Minute), ShouldEqual, admitted)
		now := 24 * time.Hour // the process was suspended for 24 h
		So(l.admit(now, hashOf(1), SendID{7, 1}, time.Second), ShouldEqual, mayHaveExecuted)
		for range 658 {
			now += time.Second
			l.admit(now, hashOf(2), SendID{7, 2}, time.Second)
		}
		So(l.admit(now, hashOf(1), SendID{7, 1}, time.Second), ShouldEqual, mayHaveExecuted)
		for n := range 100 {
			now += time.Second
			l.admit(now, hashOf(3+n), SendID{7, 2}, time.Second)
		}
		So(l.Size(), ShouldBeLessThan, 70) // records of the last 61 s, and expired records that are not swept yet
		So(l.admit(now, hashOf(1), SendID{7, 9}, time.Second), ShouldEqual, admitted)
	})
	Convey("A full log admits no further request, promises nothing, and removes no record before its expiry", t, func() {
		var l AttemptLog
		for n := range maxRecords {
			l.admit(0, hashOf(n), SendID{7, uint64(n)}, time.Second)
		}
		So(l.admit(0, hashOf(maxRecords), SendID{8, 1}, time.Second), ShouldEqual, mayHaveExecuted)
		So(l.RecordRejection(0, hashOf(maxRecords), SendID{8, 1}, time.Second), ShouldBeFalse)
		So(l.admit(0, hashOf(0), SendID{7, 0}, time.Second), ShouldEqual, mayHaveExecuted)
		So(l.Size(), ShouldEqual, maxRecords)
	})
}
