package gate

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"caperarch/policy"
)

// terms are those of a request that must not run twice.
func onceTerms(id string, sender, number uint64) *AttemptTerms {
	return &AttemptTerms{Priority: 2, Key: KeyOf(id), SendID: SendID{Sender: sender, Number: number}}
}

func TestAttemptLogKeepsRequestsFromRunningTwice(t *testing.T) {
	const left = 10 * time.Second
	Convey("A request that was begun is begun by no other arrival, which is told that it may have run, also when it is over", t, func() {
		for _, ending := range []policy.Ending{policy.Served, policy.Errored, policy.Broken, policy.TimedOut, policy.Cancelled} {
			h := newHarness(4)
			So(h.requestWithTerms(1, onceTerms("a", 7, 1), left), ShouldResemble, []string{"send 1 to 1 for 0s"})
			So(h.requestWithTerms(2, onceTerms("a", 7, 1), left), ShouldResemble, []string{"fail 2"})
			So(h.requestWithTerms(3, onceTerms("a", 7, 2), left), ShouldResemble, []string{"fail 3"})
			h.endAttempt(ms, 1, ending)
			So(h.requestWithTerms(4, onceTerms("a", 7, 1), left), ShouldResemble, []string{"fail 4"})
			So(h.requestWithTerms(5, onceTerms("a", 7, 3), left), ShouldResemble, []string{"fail 5"})
			So(h.requestWithTerms(6, onceTerms("b", 7, 4), left), ShouldResemble, []string{"send 6 to 1 for 0s"})
		}
	})
	Convey("One that waits is neither begun by another arrival nor refused as never run", t, func() {
		h := newHarness(1)
		h.requestWithTerms(1, onceTerms("a", 7, 1), left)
		So(h.requestWithTerms(2, onceTerms("b", 7, 2), left), ShouldBeEmpty)
		So(h.requestWithTerms(3, onceTerms("b", 7, 2), left), ShouldResemble, []string{"fail 3"})
		So(h.requestWithTerms(4, onceTerms("b", 7, 3), left), ShouldResemble, []string{"fail 4"})
		So(h.endAttempt(ms, 1, policy.Served), ShouldResemble, []string{"send 2 to 1 for 0s"})
	})
	Convey("A late copy of a send that was turned away is turned away too; a later send of the same sidecar may run", t, func() {
		h := newHarness(4)
		h.list(policy.ListDelta, 1, policy.Draining, 4)
		So(h.requestWithTerms(1, onceTerms("a", 7, 5), left), ShouldResemble, []string{"refuse 1 200ms"})
		h.list(policy.ListFull, 2, policy.Ready, 4)
		So(h.requestWithTerms(2, onceTerms("a", 7, 5), left), ShouldResemble, []string{"refuse 2 10ms"})
		So(h.requestWithTerms(3, onceTerms("a", 8, 9), left), ShouldResemble, []string{"refuse 3 10ms"}) // of another sidecar, or another life
		So(h.requestWithTerms(4, onceTerms("a", 7, 6), left), ShouldResemble, []string{"send 4 to 2 for 0s"})
		So(h.endAttempt(ms, 4, policy.NoConnection), ShouldResemble, []string{"refuse 4 10ms"})
		So(h.requestWithTerms(5, onceTerms("a", 7, 5), left), ShouldResemble, []string{"refuse 5 10ms"})
		So(h.requestWithTerms(6, onceTerms("a", 7, 7), left), ShouldResemble, []string{"send 6 to 2 for 0s"})
		So(h.requestWithTerms(7, onceTerms("a", 7, 6), left), ShouldResemble, []string{"fail 7"})
	})
	Convey("One whose caller left while it waited does not run later, and may be sent again", t, func() {
		h := newHarness(1)
		h.requestWithTerms(1, onceTerms("a", 7, 1), left)
		h.requestWithTerms(2, onceTerms("b", 7, 2), left)
		h.gate.ClientGone(h.now, 2)
		So(h.requestWithTerms(3, onceTerms("b", 7, 2), left)[0], ShouldStartWith, "refuse 3")
		So(h.requestWithTerms(4, onceTerms("b", 7, 3), left), ShouldBeEmpty)
		So(h.endAttempt(ms, 1, policy.Served), ShouldResemble, []string{"send 4 to 1 for 0s"})
	})
	Convey("What the upstream refused may be sent again, but not by a late copy", t, func() {
		h := newHarness(4)
		h.requestWithTerms(1, onceTerms("a", 7, 1), left)
		So(h.endAttempt(ms, 1, policy.TurnedAway)[0], ShouldStartWith, "refuse 1")
		So(h.requestWithTerms(2, onceTerms("a", 7, 1), left)[0], ShouldStartWith, "refuse 2")
		So(h.requestWithTerms(3, onceTerms("a", 7, 2), left), ShouldResemble, []string{"send 3 to 1 for 0s"})
	})
	Convey("What may run twice is not remembered", t, func() {
		h := newHarness(4)
		safe := &AttemptTerms{Priority: 2, Idempotent: true}
		So(h.requestWithTerms(1, safe, left), ShouldResemble, []string{"send 1 to 1 for 0s"})
		So(h.requestWithTerms(2, safe, left), ShouldResemble, []string{"send 2 to 1 for 0s"})
		So(h.gate.AttemptLog().Size(), ShouldEqual, 0)
	})
	Convey("What the front turns away is remembered, and not promised where the request is here by another arrival", t, func() {
		h := newHarness(4)
		f := h.gate.AttemptLog()
		So(f.RecordRejection(h.now, KeyOf("a"), SendID{7, 1}, left), ShouldBeTrue)
		So(h.requestWithTerms(1, onceTerms("a", 7, 1), left), ShouldResemble, []string{"refuse 1 10ms"})
		So(h.requestWithTerms(2, onceTerms("a", 7, 2), left), ShouldResemble, []string{"send 2 to 1 for 0s"})
		So(f.RecordRejection(h.now, KeyOf("a"), SendID{7, 3}, left), ShouldBeFalse)
		So(f.RecordRejection(h.now, KeyOf("a"), SendID{7, 1}, left), ShouldBeFalse)
	})
}

func TestAttemptLogBounds(t *testing.T) {
	key := func(n int) (k Key) {
		binary.BigEndian.PutUint32(k[:], uint32(n))
		return k
	}
	Convey("A request is remembered for its own time and a margin while the process runs, however long it stands still", t, func() {
		var f AttemptLog
		So(f.admit(0, key(1), SendID{7, 1}, 10*time.Minute), ShouldEqual, admitted)
		now := 24 * time.Hour // it stood still
		So(f.admit(now, key(1), SendID{7, 1}, time.Second), ShouldEqual, mayHaveExecuted)
		for range 658 {
			now += time.Second
			f.admit(now, key(2), SendID{7, 2}, time.Second)
		}
		So(f.admit(now, key(1), SendID{7, 1}, time.Second), ShouldEqual, mayHaveExecuted)
		for n := range 100 {
			now += time.Second
			f.admit(now, key(3+n), SendID{7, 2}, time.Second)
		}
		So(f.Size(), ShouldBeLessThan, 70) // those of a margin, and what no look came to yet
		So(f.admit(now, key(1), SendID{7, 9}, time.Second), ShouldEqual, admitted)
	})
	Convey("With no room left nothing is begun and nothing promised, and nothing is forgotten before its time", t, func() {
		var f AttemptLog
		for n := range maxRecords {
			f.admit(0, key(n), SendID{7, uint64(n)}, time.Second)
		}
		So(f.admit(0, key(maxRecords), SendID{8, 1}, time.Second), ShouldEqual, mayHaveExecuted)
		So(f.RecordRejection(0, key(maxRecords), SendID{8, 1}, time.Second), ShouldBeFalse)
		So(f.admit(0, key(0), SendID{7, 0}, time.Second), ShouldEqual, mayHaveExecuted)
		So(f.Size(), ShouldEqual, maxRecords)
	})
}

// TestFenceRandom plays arrivals, copies and ends in any order: no id is sent to an upstream twice but for one whose attempt
// provably did not reach it, none runs that was refused under the same send, and none that ran is refused afterwards.
func TestAttemptLogRandomTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(2)
		type arrival struct {
			id   string
			send uint64
		}
		arrivals := map[policy.RequestID]arrival{}
		ran := map[string]bool{}
		promisedNotExecuted := map[arrival]bool{}
		var out []policy.RequestID
		h.onSend = func(id policy.RequestID) {
			a := arrivals[id]
			if ran[a.id] {
				t.Fatalf("%s runs twice", a.id)
			}
			if promisedNotExecuted[a] {
				t.Fatalf("%s runs after its send %d was turned away", a.id, a.send)
			}
			ran[a.id] = true
			out = append(out, id)
		}
		h.onAnswer = func(id policy.RequestID) { // as it is given: what it promises has to hold from then on
			a := arrivals[id]
			if !strings.HasPrefix(h.decisions[len(h.decisions)-1], "refuse") {
				return
			}
			if ran[a.id] {
				t.Fatalf("%s is refused and has run", a.id)
			}
			promisedNotExecuted[a] = true
		}
		var next policy.RequestID
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			h.takeDecisions()
			if len(out) > 0 && rapid.Bool().Draw(t, "end") {
				at := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				id := out[at]
				out = append(out[:at:at], out[at+1:]...)
				ending := rapid.SampledFrom([]policy.Ending{policy.Served, policy.Broken, policy.NoConnection, policy.TurnedAway}).Draw(t, "ending")
				if ending == policy.NoConnection || ending == policy.TurnedAway {
					ran[arrivals[id].id] = false
				}
				h.gate.Outcome(h.now, policy.Outcome{ID: id, Ending: ending})
			} else {
				next++
				a := arrival{fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id")), rapid.Uint64Range(1, 6).Draw(t, "send")}
				arrivals[next] = a
				h.gate.Request(h.now, policy.Request{ID: next, Left: time.Second, Terms: onceTerms(a.id, 7, a.send)})
			}
		}
	})
}
