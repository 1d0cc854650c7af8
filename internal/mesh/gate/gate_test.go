package gate

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"caperarch/internal/proxy/engine"
	"caperarch/policy"
)

var _ engine.Module = (*Gate)(nil)

const ms = time.Millisecond

// scene plays a trace against a gate whose upstream 1 has the slots, and is the host that records what it decides.
type harness struct {
	policy.Host // what the gate has no use for
	gate        *Gate
	now         time.Duration
	lastSend    uint64
	decisions   []string
	wakes       []time.Duration
	onSend      func(policy.RequestID)
	onAnswer    func(policy.RequestID)
}

func (h *harness) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	h.Log(fmt.Sprintf("send %d to %d for %v", id, to, timeout))
	h.onSend(id)
}

func (h *harness) Refuse(id policy.RequestID, pause time.Duration) {
	h.Log(fmt.Sprintf("refuse %d %v", id, pause))
	h.onAnswer(id)
}

func (h *harness) Fail(id policy.RequestID) {
	h.Log(fmt.Sprintf("fail %d", id))
	h.onAnswer(id)
}

func (h *harness) Wake(d time.Duration) { h.wakes = append(h.wakes, h.now+d) }
func (h *harness) Log(line string)      { h.decisions = append(h.decisions, line) }

func newHarness(slots float64) *harness {
	h := &harness{onSend: func(policy.RequestID) {}, onAnswer: func(policy.RequestID) {}}
	h.gate = New(h)
	h.list(policy.ListFull, 1, policy.Ready, slots)
	return h
}

func (h *harness) list(kind policy.ListKind, id policy.ServerID, state policy.State, slots float64) []string {
	h.gate.List(h.now, kind, []policy.Server{{ID: id, State: state, Weight: slots}})
	return h.takeDecisions()
}

func (h *harness) request(id policy.RequestID, rank int, left, aim time.Duration) []string {
	h.lastSend++
	return h.requestWithTerms(id, &AttemptTerms{Priority: rank, LatencyTarget: aim, Key: KeyOf(fmt.Sprint(id)), SendID: SendID{Number: h.lastSend}}, left)
}

// arrive has an arrival come with the terms given.
func (h *harness) requestWithTerms(id policy.RequestID, terms *AttemptTerms, left time.Duration) []string {
	h.gate.Request(h.now, policy.Request{ID: id, Left: left, Terms: terms})
	return h.takeDecisions()
}

// end ends an attempt after some more time.
func (h *harness) endAttempt(after time.Duration, id policy.RequestID, ending policy.Ending) []string {
	h.now += after
	h.gate.Outcome(h.now, policy.Outcome{ID: id, Ending: ending})
	return h.takeDecisions()
}

func (h *harness) wake(at time.Duration) []string {
	h.now = at
	h.gate.Wake(at)
	return h.takeDecisions()
}

func (h *harness) takeDecisions() (decisions []string) {
	decisions, h.decisions = h.decisions, nil
	return decisions
}

func TestQueueOrderByPriority(t *testing.T) {
	Convey("Slots go by rank and then by arrival, and a higher rank takes the last place of the lowest", t, func() {
		h := newHarness(1)
		So(h.request(1, 2, time.Second, 0), ShouldResemble, []string{"send 1 to 1 for 0s"})
		So(h.request(2, 2, time.Second, 0), ShouldBeEmpty)
		So(h.request(3, 2, time.Second, 0), ShouldBeEmpty)
		So(h.request(4, 2, time.Second, 0), ShouldResemble, []string{"refuse 4 10ms"})
		So(h.request(5, 1, time.Second, 0), ShouldResemble, []string{"refuse 3 10ms"})
		h.gate.Request(h.now, policy.Request{ID: 6, Left: time.Second}) // with no Terms: no higher than 2
		So(h.takeDecisions(), ShouldResemble, []string{"refuse 6 10ms"})
		So(h.endAttempt(ms, 1, policy.Served), ShouldResemble, []string{"send 5 to 1 for 0s"})
		So(h.request(7, 0, time.Second, 0), ShouldBeEmpty) // internal checks have places of their own
		So(h.endAttempt(ms, 5, policy.Served), ShouldResemble, []string{"send 7 to 1 for 0s"})
		So(h.endAttempt(ms, 7, policy.Served), ShouldResemble, []string{"send 2 to 1 for 0s"})
		So(h.endAttempt(ms, 2, policy.Served), ShouldBeEmpty)
	})
	Convey("Of turnEvery slots one goes to the lower rank that has waited longest, where all hold theirs equally long", t, func() {
		h := newHarness(3)
		var order []policy.RequestID
		h.request(2000, 0, time.Minute, 0)
		h.endAttempt(3*ms, 2000, policy.Served) // as long as all others
		h.onSend = func(id policy.RequestID) { order = append(order, id) }
		for id := policy.RequestID(1); id <= 3; id++ {
			h.request(id, 0, time.Minute, 0)
			h.now += ms
		}
		h.now -= ms
		h.request(1000, 7, time.Minute, 0)
		for id := policy.RequestID(4); len(order) < 3+2*lowPriorityInterval; id++ {
			h.request(id, 0, time.Minute, 0) // one of rank 0 waits whenever a slot is handed out
			h.endAttempt(ms, order[len(order)-3], policy.Served)
			if id == 4 {
				h.request(1001, 5, time.Minute, 0)
			}
		}
		So(slices.Index(order, 1000), ShouldEqual, 3+lowPriorityInterval-1)
		So(slices.Index(order, 1001), ShouldEqual, 3+2*lowPriorityInterval-1)
	})
	Convey("One that holds its slot for four times as long has its turn a quarter as often", t, func() {
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

func TestNothingIsQueuedThatCannotStartInTime(t *testing.T) {
	Convey("With a mean of 100 ms, nobody waits who can't start in time", t, func() {
		h := newHarness(1)
		h.request(1, 2, time.Second, 0)
		h.endAttempt(100*ms, 1, policy.Served)
		So(h.gate.MeanServiceTime(), ShouldEqual, 100*ms)
		h.request(2, 2, time.Second, 0)
		So(h.request(3, 2, time.Second, 400*ms), ShouldResemble, []string{"refuse 3 100ms"}) // a quarter of its aim is no more
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
		So(h.wakes, ShouldHaveLength, 2) // nothing waits

		h = newHarness(4)
		h.request(1, 2, time.Second, 0)
		h.endAttempt(100*ms, 1, policy.Served)
		for id := policy.RequestID(2); id <= 5; id++ {
			h.request(id, 2, time.Second, 0)
		}
		So(h.request(6, 2, 120*ms, 0), ShouldResemble, []string{"refuse 6 25ms"}) // it would start in time, and end too late
	})
}

func TestDrainingUpstreamIsSentNothing(t *testing.T) {
	for _, state := range []policy.State{policy.Draining, policy.Gone} {
		Convey(fmt.Sprintf("An upstream in state %d is sent nothing more, the one in its place is", state), t, func() {
			h := newHarness(1)
			h.request(1, 2, time.Second, 0)
			h.request(2, 2, time.Second, 0)
			So(h.list(policy.ListDelta, 1, state, 1), ShouldResemble, []string{"refuse 2 200ms"})
			So(h.endAttempt(ms, 1, policy.Served), ShouldBeEmpty)
			h.list(policy.ListFull, 1, policy.Ready, 1)
			So(h.request(3, 0, time.Second, 0), ShouldResemble, []string{"refuse 3 200ms"})
			So(h.list(policy.ListFull, 2, policy.Ready, math.NaN()), ShouldResemble, []string{"the upstream has no usable number of slots (NaN): it stays at 1"})
			So(h.request(4, 2, time.Second, 0), ShouldResemble, []string{"send 4 to 2 for 0s"})
			h.request(5, 2, time.Second, 0)
			h.gate.List(h.now, policy.ListFull, nil)
			So(h.takeDecisions(), ShouldResemble, []string{"refuse 5 200ms"})
		})
	}
}

func TestAnswerByOutcomeOfAttempt(t *testing.T) {
	Convey("What never ran is turned back, what may have run has failed, and each has one attempt", t, func() {
		h := newHarness(1)
		for ending, want := range map[policy.Ending]string{
			policy.TurnedAway: "refuse", policy.NoConnection: "refuse", policy.NotSent: "refuse", policy.Gated: "refuse",
			policy.Errored: "fail", policy.Broken: "fail", policy.TimedOut: "fail", policy.Cancelled: "fail", policy.Rejected: "fail",
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
	Convey("An upstream that sheds has one slot fewer for 200 ms", t, func() {
		h := newHarness(2)
		h.request(1, 2, time.Minute, 0)
		h.request(2, 2, time.Minute, 0)
		h.request(3, 2, time.Minute, 0)
		So(h.endAttempt(ms, 1, policy.TurnedAway), ShouldResemble, []string{"refuse 1 10ms"})
		So(h.wakes[len(h.wakes)-1], ShouldEqual, 201*ms)
		So(h.wake(201*ms), ShouldResemble, []string{"send 3 to 1 for 0s"})
	})
	Convey("One that takes no connections is left alone for longer and longer, until one comes about", t, func() {
		h := newHarness(4)
		for id := policy.RequestID(1); id <= 5; id++ {
			h.request(id, 2, time.Minute, 0)
		}
		So(h.endAttempt(ms, 1, policy.NoConnection), ShouldResemble, []string{"refuse 1 10ms", "send 5 to 1 for 0s"})
		h.request(6, 2, time.Minute, 0)
		h.endAttempt(0, 2, policy.NoConnection)
		h.request(7, 2, time.Minute, 0)
		So(h.endAttempt(0, 3, policy.NoConnection), ShouldResemble, []string{"refuse 3 100ms", "refuse 7 100ms"})
		So(h.endAttempt(0, 4, policy.NoConnection), ShouldResemble, []string{"refuse 4 100ms"}) // sent before: nothing new
		id := policy.RequestID(10)
		for _, dead := range []time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, 800 * ms} {
			h.now += dead - ms
			So(h.request(id, 0, time.Minute, 0), ShouldResemble, []string{fmt.Sprintf("refuse %d 10ms", id)})
			h.now += ms
			So(h.request(id, 0, time.Minute, 0), ShouldResemble, []string{fmt.Sprintf("send %d to 1 for 0s", id)})
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

// TestRandom plays random traces: never more out than slots, nothing to an upstream that left, nobody waits longer
// than a quarter of its time, all that waits is heard of by Wake alone, and each request has exactly one answer.
func TestGateRandomTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(3)
		slots, upstream, open := 3, policy.ServerID(1), true
		var inFlight, inFlightBefore []policy.RequestID // attempts at this upstream, and at those before
		var next policy.RequestID
		waitDeadlines := map[policy.RequestID]time.Duration{} // until when
		highest := map[policy.RequestID]bool{}                // those of the highest rank
		answered := map[policy.RequestID]bool{}
		h.onAnswer = func(id policy.RequestID) {
			if answered[id] {
				t.Fatalf("request %d has a second answer", id)
			}
			answered[id] = true
			delete(waitDeadlines, id)
		}
		h.onSend = func(id policy.RequestID) {
			if _, ok := waitDeadlines[id]; !ok || !open || len(inFlight) >= slots {
				t.Fatalf("request %d sent, waits %v, open %v, %d out for %d slots", id, ok, open, len(inFlight), slots)
			}
			delete(waitDeadlines, id)
			inFlight = append(inFlight, id)
		}
		advance := func(d time.Duration) { // by all wakes on the way
			to := h.now + d
			for slices.Sort(h.wakes); len(h.wakes) > 0 && h.wakes[0] <= to; slices.Sort(h.wakes) {
				at := h.wakes[0]
				h.wakes = h.wakes[1:]
				h.wake(at)
			}
			h.now = to
			for id, until := range waitDeadlines {
				if h.now >= until {
					t.Fatalf("request %d still waits at %v, for longer than until %v", id, h.now, until)
				}
			}
		}
		end := func(at *[]policy.RequestID, i int, ending policy.Ending) {
			id := (*at)[i]
			if *at = slices.Delete(*at, i, i+1); ending == policy.Served && !answered[id] {
				h.onAnswer(id) // the engine's part
			}
			h.gate.Outcome(h.now, policy.Outcome{ID: id, Ending: ending, Settled: answered[id]})
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * ms)
			ending := policy.Ending(rapid.IntRange(int(policy.Served), int(policy.Gated)).Draw(t, "ending"))
			switch what := rapid.IntRange(0, 12).Draw(t, "what"); {
			case what == 0 && open: // other slots
				slots = rapid.IntRange(1, 6).Draw(t, "slots")
				h.list(policy.ListDelta, upstream, policy.Ready, float64(slots))
			case what == 1 && open:
				open = false
				h.list(policy.ListDelta, upstream, rapid.SampledFrom([]policy.State{policy.Draining, policy.Gone}).Draw(t, "state"), 1)
			case what == 1: // another one is in its place
				upstream, open, inFlightBefore, inFlight = upstream+1, true, append(inFlightBefore, inFlight...), nil
				h.list(policy.ListDelta, upstream, policy.Ready, float64(slots))
			case what == 2 && next > 0:
				id := next - min(next-1, policy.RequestID(rapid.IntRange(0, 9).Draw(t, "gone")))
				answered[id] = true
				delete(waitDeadlines, id)
				h.gate.ClientGone(h.now, id)
			case what == 3 && len(inFlightBefore) > 0:
				end(&inFlightBefore, 0, ending)
			case what <= 7 && len(inFlight) > 0:
				end(&inFlight, rapid.IntRange(0, len(inFlight)-1).Draw(t, "which"), ending)
			default:
				for range rapid.IntRange(1, 8).Draw(t, "burst") {
					next++
					left := time.Duration(rapid.IntRange(-10, 1000).Draw(t, "left")) * ms
					priority, part := rapid.IntRange(-1, 20).Draw(t, "rank"), time.Duration(4)
					if priority <= 0 { // internal checks have no other try
						part, highest[next] = 2, true
					}
					waitDeadlines[next] = h.now + left/part
					h.request(next, priority, left, 0)
				}
			}
			running, queued, _ := h.gate.Load()
			urgent := 0
			for id := range waitDeadlines {
				if highest[id] {
					urgent++
				}
			}
			if running != len(inFlight) || queued != len(waitDeadlines) || queued-urgent > max(2, slots) || urgent > highPriorityQueueSlots*6 { // 6: the most slots there are
				t.Fatalf("load %d, %d; %d are out and %d wait for %d slots", running, queued, len(inFlight), len(waitDeadlines), slots)
			}
		}
		advance(time.Minute) // no outcome comes: what waits is turned back by Wake
		for len(inFlight) > 0 {
			end(&inFlight, 0, policy.Served)
		}
		for len(inFlightBefore) > 0 {
			end(&inFlightBefore, 0, policy.Served)
		}
		if len(answered) != int(next) {
			t.Fatalf("%d of %d requests have an answer", len(answered), next)
		}
	})
}
