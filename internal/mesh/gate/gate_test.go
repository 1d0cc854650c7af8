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
type scene struct {
	policy.Host // what the gate has no use for
	g           *Gate
	now         time.Duration
	sends       uint64
	said        []string
	wakes       []time.Duration
	send        func(policy.RequestID)
	answer      func(policy.RequestID)
}

func (s *scene) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	s.Log(fmt.Sprintf("send %d to %d for %v", id, to, timeout))
	s.send(id)
}

func (s *scene) Refuse(id policy.RequestID, pause time.Duration) {
	s.Log(fmt.Sprintf("refuse %d %v", id, pause))
	s.answer(id)
}

func (s *scene) Fail(id policy.RequestID) {
	s.Log(fmt.Sprintf("fail %d", id))
	s.answer(id)
}

func (s *scene) Wake(d time.Duration) { s.wakes = append(s.wakes, s.now+d) }
func (s *scene) Log(line string)      { s.said = append(s.said, line) }

func newScene(slots float64) *scene {
	s := &scene{send: func(policy.RequestID) {}, answer: func(policy.RequestID) {}}
	s.g = New(s)
	s.list(policy.ListFull, 1, policy.Ready, slots)
	return s
}

func (s *scene) list(kind policy.ListKind, id policy.ServerID, state policy.State, slots float64) []string {
	s.g.List(s.now, kind, []policy.Server{{ID: id, State: state, Weight: slots}})
	return s.heard()
}

func (s *scene) ask(id policy.RequestID, rank int, left, aim time.Duration) []string {
	s.sends++
	return s.arrive(id, &AttemptTerms{Priority: rank, LatencyTarget: aim, Key: KeyOf(fmt.Sprint(id)), SendID: SendID{Number: s.sends}}, left)
}

// arrive has an arrival come with the terms given.
func (s *scene) arrive(id policy.RequestID, terms *AttemptTerms, left time.Duration) []string {
	s.g.Request(s.now, policy.Request{ID: id, Left: left, Terms: terms})
	return s.heard()
}

// end ends an attempt after some more time.
func (s *scene) end(after time.Duration, id policy.RequestID, ending policy.Ending) []string {
	s.now += after
	s.g.Outcome(s.now, policy.Outcome{ID: id, Ending: ending})
	return s.heard()
}

func (s *scene) wake(at time.Duration) []string {
	s.now = at
	s.g.Wake(at)
	return s.heard()
}

func (s *scene) heard() (said []string) {
	said, s.said = s.said, nil
	return said
}

func TestRanks(t *testing.T) {
	Convey("Slots go by rank and then by arrival, and a higher rank takes the last place of the lowest", t, func() {
		s := newScene(1)
		So(s.ask(1, 2, time.Second, 0), ShouldResemble, []string{"send 1 to 1 for 0s"})
		So(s.ask(2, 2, time.Second, 0), ShouldBeEmpty)
		So(s.ask(3, 2, time.Second, 0), ShouldBeEmpty)
		So(s.ask(4, 2, time.Second, 0), ShouldResemble, []string{"refuse 4 10ms"})
		So(s.ask(5, 1, time.Second, 0), ShouldResemble, []string{"refuse 3 10ms"})
		s.g.Request(s.now, policy.Request{ID: 6, Left: time.Second}) // with no Terms: no higher than 2
		So(s.heard(), ShouldResemble, []string{"refuse 6 10ms"})
		So(s.end(ms, 1, policy.Served), ShouldResemble, []string{"send 5 to 1 for 0s"})
		So(s.ask(7, 0, time.Second, 0), ShouldBeEmpty) // internal checks have places of their own
		So(s.end(ms, 5, policy.Served), ShouldResemble, []string{"send 7 to 1 for 0s"})
		So(s.end(ms, 7, policy.Served), ShouldResemble, []string{"send 2 to 1 for 0s"})
		So(s.end(ms, 2, policy.Served), ShouldBeEmpty)
	})
	Convey("Of turnEvery slots one goes to the lower rank that has waited longest, where all hold theirs equally long", t, func() {
		s := newScene(3)
		var order []policy.RequestID
		s.ask(2000, 0, time.Minute, 0)
		s.end(3*ms, 2000, policy.Served) // as long as all others
		s.send = func(id policy.RequestID) { order = append(order, id) }
		for id := policy.RequestID(1); id <= 3; id++ {
			s.ask(id, 0, time.Minute, 0)
			s.now += ms
		}
		s.now -= ms
		s.ask(1000, 7, time.Minute, 0)
		for id := policy.RequestID(4); len(order) < 3+2*lowPriorityInterval; id++ {
			s.ask(id, 0, time.Minute, 0) // one of rank 0 waits whenever a slot is handed out
			s.end(ms, order[len(order)-3], policy.Served)
			if id == 4 {
				s.ask(1001, 5, time.Minute, 0)
			}
		}
		So(slices.Index(order, 1000), ShouldEqual, 3+lowPriorityInterval-1)
		So(slices.Index(order, 1001), ShouldEqual, 3+2*lowPriorityInterval-1)
	})
	Convey("One that holds its slot for four times as long has its turn a quarter as often", t, func() {
		s := newScene(1)
		s.ask(1, 0, time.Minute, 0)
		s.end(ms, 1, policy.Served)
		s.ask(2, 3, time.Minute, 0)
		s.end(4*ms, 2, policy.Served)
		var order []policy.RequestID
		s.send = func(id policy.RequestID) { order = append(order, id) }
		s.ask(3, 0, time.Minute, 0)
		s.ask(1000, 3, time.Minute, 0)
		for id := policy.RequestID(4); slices.Index(order, 1000) < 0 && id < 100; id++ {
			s.ask(id, 0, time.Minute, 0)
			s.end(ms, order[len(order)-1], policy.Served)
		}
		So(slices.Index(order, 1000), ShouldEqual, 1+4*(lowPriorityInterval-1))
	})
}

func TestInTime(t *testing.T) {
	Convey("With a mean of 100 ms, nobody waits who can't start in time", t, func() {
		s := newScene(1)
		s.ask(1, 2, time.Second, 0)
		s.end(100*ms, 1, policy.Served)
		So(s.g.MeanServiceTime(), ShouldEqual, 100*ms)
		s.ask(2, 2, time.Second, 0)
		So(s.ask(3, 2, time.Second, 400*ms), ShouldResemble, []string{"refuse 3 100ms"}) // a quarter of its aim is no more
		So(s.ask(4, 2, 190*ms, 0), ShouldResemble, []string{"refuse 4 100ms"})
		So(s.wakes, ShouldBeEmpty)
		So(s.ask(5, 2, time.Second, 0), ShouldBeEmpty)
		s.now += 10 * ms
		So(s.ask(6, 1, 2*time.Second, 0), ShouldBeEmpty)
		So(s.wakes, ShouldResemble, []time.Duration{350 * ms})
		So(s.wake(349*ms), ShouldBeEmpty)
		So(s.wake(350*ms), ShouldResemble, []string{"refuse 5 200ms"})
		So(s.wakes, ShouldResemble, []time.Duration{350 * ms, 610 * ms})
		So(s.end(ms, 2, policy.Served), ShouldResemble, []string{"send 6 to 1 for 0s"})
		s.wake(610 * ms)
		So(s.wakes, ShouldHaveLength, 2) // nothing waits

		s = newScene(4)
		s.ask(1, 2, time.Second, 0)
		s.end(100*ms, 1, policy.Served)
		for id := policy.RequestID(2); id <= 5; id++ {
			s.ask(id, 2, time.Second, 0)
		}
		So(s.ask(6, 2, 120*ms, 0), ShouldResemble, []string{"refuse 6 25ms"}) // it would start in time, and end too late
	})
}

func TestDrain(t *testing.T) {
	for _, state := range []policy.State{policy.Draining, policy.Gone} {
		Convey(fmt.Sprintf("An upstream in state %d is sent nothing more, the one in its place is", state), t, func() {
			s := newScene(1)
			s.ask(1, 2, time.Second, 0)
			s.ask(2, 2, time.Second, 0)
			So(s.list(policy.ListDelta, 1, state, 1), ShouldResemble, []string{"refuse 2 200ms"})
			So(s.end(ms, 1, policy.Served), ShouldBeEmpty)
			s.list(policy.ListFull, 1, policy.Ready, 1)
			So(s.ask(3, 0, time.Second, 0), ShouldResemble, []string{"refuse 3 200ms"})
			So(s.list(policy.ListFull, 2, policy.Ready, math.NaN()), ShouldResemble, []string{"the upstream has no usable number of slots (NaN): it stays at 1"})
			So(s.ask(4, 2, time.Second, 0), ShouldResemble, []string{"send 4 to 2 for 0s"})
			s.ask(5, 2, time.Second, 0)
			s.g.List(s.now, policy.ListFull, nil)
			So(s.heard(), ShouldResemble, []string{"refuse 5 200ms"})
		})
	}
}

func TestEndings(t *testing.T) {
	Convey("What never ran is turned back, what may have run has failed, and each has one attempt", t, func() {
		s := newScene(1)
		for ending, want := range map[policy.Ending]string{
			policy.TurnedAway: "refuse", policy.NoConnection: "refuse", policy.NotSent: "refuse", policy.Gated: "refuse",
			policy.Errored: "fail", policy.Broken: "fail", policy.TimedOut: "fail", policy.Cancelled: "fail", policy.Rejected: "fail",
		} {
			id := policy.RequestID(ending) + 1
			s.ask(id, 2, time.Second, 0)
			mean := s.g.MeanServiceTime()
			said := s.end(time.Duration(id)*100*ms, id, ending)
			if want == "refuse" {
				So(s.g.MeanServiceTime(), ShouldEqual, mean)
			}
			So(said, ShouldHaveLength, 1)
			So(said[0], ShouldStartWith, fmt.Sprintf("%s %d", want, id))
			So(s.end(ms, id, ending), ShouldBeEmpty)
		}
	})
	Convey("An upstream that sheds has one slot fewer for 200 ms", t, func() {
		s := newScene(2)
		s.ask(1, 2, time.Minute, 0)
		s.ask(2, 2, time.Minute, 0)
		s.ask(3, 2, time.Minute, 0)
		So(s.end(ms, 1, policy.TurnedAway), ShouldResemble, []string{"refuse 1 10ms"})
		So(s.wakes[len(s.wakes)-1], ShouldEqual, 201*ms)
		So(s.wake(201*ms), ShouldResemble, []string{"send 3 to 1 for 0s"})
	})
	Convey("One that takes no connections is left alone for longer and longer, until one comes about", t, func() {
		s := newScene(4)
		for id := policy.RequestID(1); id <= 5; id++ {
			s.ask(id, 2, time.Minute, 0)
		}
		So(s.end(ms, 1, policy.NoConnection), ShouldResemble, []string{"refuse 1 10ms", "send 5 to 1 for 0s"})
		s.ask(6, 2, time.Minute, 0)
		s.end(0, 2, policy.NoConnection)
		s.ask(7, 2, time.Minute, 0)
		So(s.end(0, 3, policy.NoConnection), ShouldResemble, []string{"refuse 3 100ms", "refuse 7 100ms"})
		So(s.end(0, 4, policy.NoConnection), ShouldResemble, []string{"refuse 4 100ms"}) // sent before: nothing new
		id := policy.RequestID(10)
		for _, dead := range []time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, 800 * ms} {
			s.now += dead - ms
			So(s.ask(id, 0, time.Minute, 0), ShouldResemble, []string{fmt.Sprintf("refuse %d 10ms", id)})
			s.now += ms
			So(s.ask(id, 0, time.Minute, 0), ShouldResemble, []string{fmt.Sprintf("send %d to 1 for 0s", id)})
			s.end(0, id, policy.NoConnection)
			id++
		}
		s.now += 800 * ms
		s.ask(id, 0, time.Minute, 0)
		s.end(0, id, policy.Served)
		s.ask(id+1, 0, time.Minute, 0)
		So(s.end(0, id+1, policy.NoConnection)[0], ShouldEndWith, " 10ms")
	})
}

// TestRandom plays random traces: never more out than slots, nothing to an upstream that left, nobody waits longer
// than a quarter of its time, all that waits is heard of by Wake alone, and each request has exactly one answer.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScene(3)
		slots, upstream, open := 3, policy.ServerID(1), true
		var out, old []policy.RequestID // attempts at this upstream, and at those before
		var next policy.RequestID
		waits := map[policy.RequestID]time.Duration{} // until when
		highest := map[policy.RequestID]bool{}        // those of the highest rank
		answered := map[policy.RequestID]bool{}
		s.answer = func(id policy.RequestID) {
			if answered[id] {
				t.Fatalf("request %d has a second answer", id)
			}
			answered[id] = true
			delete(waits, id)
		}
		s.send = func(id policy.RequestID) {
			if _, ok := waits[id]; !ok || !open || len(out) >= slots {
				t.Fatalf("request %d sent, waits %v, open %v, %d out for %d slots", id, ok, open, len(out), slots)
			}
			delete(waits, id)
			out = append(out, id)
		}
		advance := func(d time.Duration) { // by all wakes on the way
			to := s.now + d
			for slices.Sort(s.wakes); len(s.wakes) > 0 && s.wakes[0] <= to; slices.Sort(s.wakes) {
				at := s.wakes[0]
				s.wakes = s.wakes[1:]
				s.wake(at)
			}
			s.now = to
			for id, until := range waits {
				if s.now >= until {
					t.Fatalf("request %d still waits at %v, for longer than until %v", id, s.now, until)
				}
			}
		}
		end := func(at *[]policy.RequestID, i int, ending policy.Ending) {
			id := (*at)[i]
			if *at = slices.Delete(*at, i, i+1); ending == policy.Served && !answered[id] {
				s.answer(id) // the engine's part
			}
			s.g.Outcome(s.now, policy.Outcome{ID: id, Ending: ending, Settled: answered[id]})
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * ms)
			ending := policy.Ending(rapid.IntRange(int(policy.Served), int(policy.Gated)).Draw(t, "ending"))
			switch what := rapid.IntRange(0, 12).Draw(t, "what"); {
			case what == 0 && open: // other slots
				slots = rapid.IntRange(1, 6).Draw(t, "slots")
				s.list(policy.ListDelta, upstream, policy.Ready, float64(slots))
			case what == 1 && open:
				open = false
				s.list(policy.ListDelta, upstream, rapid.SampledFrom([]policy.State{policy.Draining, policy.Gone}).Draw(t, "state"), 1)
			case what == 1: // another one is in its place
				upstream, open, old, out = upstream+1, true, append(old, out...), nil
				s.list(policy.ListDelta, upstream, policy.Ready, float64(slots))
			case what == 2 && next > 0:
				id := next - min(next-1, policy.RequestID(rapid.IntRange(0, 9).Draw(t, "gone")))
				answered[id] = true
				delete(waits, id)
				s.g.ClientGone(s.now, id)
			case what == 3 && len(old) > 0:
				end(&old, 0, ending)
			case what <= 7 && len(out) > 0:
				end(&out, rapid.IntRange(0, len(out)-1).Draw(t, "which"), ending)
			default:
				for range rapid.IntRange(1, 8).Draw(t, "burst") {
					next++
					left := time.Duration(rapid.IntRange(-10, 1000).Draw(t, "left")) * ms
					rank, part := rapid.IntRange(-1, 20).Draw(t, "rank"), time.Duration(4)
					if rank <= 0 { // internal checks have no other try
						part, highest[next] = 2, true
					}
					waits[next] = s.now + left/part
					s.ask(next, rank, left, 0)
				}
			}
			running, queued, _ := s.g.Load()
			urgent := 0
			for id := range waits {
				if highest[id] {
					urgent++
				}
			}
			if running != len(out) || queued != len(waits) || queued-urgent > max(2, slots) || urgent > highPriorityQueueSlots*6 { // 6: the most slots there are
				t.Fatalf("load %d, %d; %d are out and %d wait for %d slots", running, queued, len(out), len(waits), slots)
			}
		}
		advance(time.Minute) // no outcome comes: what waits is turned back by Wake
		for len(out) > 0 {
			end(&out, 0, policy.Served)
		}
		for len(old) > 0 {
			end(&old, 0, policy.Served)
		}
		if len(answered) != int(next) {
			t.Fatalf("%d of %d requests have an answer", len(answered), next)
		}
	})
}
