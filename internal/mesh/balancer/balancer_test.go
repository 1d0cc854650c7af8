package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"caperarch/internal/proxy/engine"
	"caperarch/policy"
)

var _ engine.Module = (*Balancer)(nil)

const ms = time.Millisecond

// scene plays a trace against a balancer in zone 0, and is the host and the budget that record what it decides.
type scene struct {
	policy.Host // what the balancer has no use for
	p           *Balancer
	now         time.Duration
	said        []string
	wakes       []time.Duration
	leave       int // further arrivals that the budget allows
	spent       int
	send        func(id policy.RequestID, to policy.ServerID, timeout time.Duration)
	answer      func(id policy.RequestID, failed bool)
}

func (s *scene) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	s.said = append(s.said, fmt.Sprintf("send %d to %d", id, to))
	s.send(id, to, timeout)
}

func (s *scene) Refuse(id policy.RequestID, _ time.Duration) {
	s.said = append(s.said, fmt.Sprintf("refuse %d", id))
	s.answer(id, false)
}

func (s *scene) Fail(id policy.RequestID) {
	s.said = append(s.said, fmt.Sprintf("fail %d", id))
	s.answer(id, true)
}

func (s *scene) Cancel(id policy.RequestID, attempt int) {
	s.said = append(s.said, fmt.Sprintf("cancel %d.%d", id, attempt))
}

func (s *scene) Wake(d time.Duration)                { s.wakes = append(s.wakes, s.now+d) }
func (s *scene) RecordRequest(time.Duration, int)    {}
func (s *scene) Allowed(_ time.Duration, _ int) bool { return s.leave > s.spent }
func (s *scene) Charge(time.Duration, int)           { s.spent++ }

func newScene(servers ...policy.Server) *scene {
	s := &scene{now: time.Second, send: func(policy.RequestID, policy.ServerID, time.Duration) {}, answer: func(policy.RequestID, bool) {}}
	s.p = New(Config{Zone: 0, Members: func() int { return 1 }, RetryBudget: s}, s)
	s.p.Start(s.now)
	s.p.List(s.now, policy.ListFull, servers)
	return s
}

// ready is a server of service 0 that takes requests.
func ready(id policy.ServerID, zone int, slots float64) policy.Server {
	return policy.Server{ID: id, Zone: zone, State: policy.Ready, Weight: slots}
}

// order asks for service 0 with the whole of the slots, a second and an aim of half of it, and two arrivals.
func order(change ...func(*RequestClass)) *RequestClass {
	o := &RequestClass{Compartment: CompartmentSpec{Name: "all", Share: 1}, Priority: 1, Idempotent: true, MaxAttempts: 2, LatencyTarget: 500 * ms}
	for _, c := range change {
		c(o)
	}
	return o
}

func (s *scene) ask(id policy.RequestID, o *RequestClass) []string {
	s.p.Request(s.now, policy.Request{ID: id, Left: time.Second, Terms: o})
	return s.heard()
}

func (s *scene) end(id policy.RequestID, attempt int, ending policy.Ending, load ...float64) []string {
	o := policy.Outcome{ID: id, Attempt: attempt, Ending: ending, Settled: ending == policy.Served}
	if len(load) > 0 {
		o.Load = policy.Load{Has: policy.HasInFlight, InFlight: load[0]}
	}
	s.p.Outcome(s.now, o)
	return s.heard()
}

// turns has so many requests, one after the other and each served at once, and says where they went.
func (s *scene) turns(from policy.RequestID, n int) (to []policy.ServerID) {
	s.send = func(_ policy.RequestID, server policy.ServerID, _ time.Duration) { to = append(to, server) }
	for id := from; id < from+policy.RequestID(n); id++ {
		s.ask(id, order())
		s.end(id, 0, policy.Served)
	}
	s.send = func(policy.RequestID, policy.ServerID, time.Duration) {}
	return to
}

// advance lets time pass with all wakes on the way.
func (s *scene) advance(d time.Duration) []string {
	to := s.now + d
	for slices.Sort(s.wakes); len(s.wakes) > 0 && s.wakes[0] <= to; slices.Sort(s.wakes) {
		s.now, s.wakes = s.wakes[0], s.wakes[1:]
		s.p.Wake(s.now)
	}
	s.now = to
	return s.heard()
}

func (s *scene) heard() (said []string) {
	said, s.said = s.said, nil
	return said
}

func count(all []policy.ServerID, id policy.ServerID) (n int) {
	for _, one := range all {
		if one == id {
			n++
		}
	}
	return n
}

func TestCompartments(t *testing.T) {
	of := func(name string) *RequestClass {
		return order(func(o *RequestClass) { o.Compartment, o.Tenant = CompartmentSpec{Name: name, Share: 0.25}, name })
	}
	Convey("A flood of one tenant fills its own slots and places, the rest is refused at once and no slot of another is taken", t, func() {
		s := newScene(ready(1, 0, 40), ready(2, 0, 40), ready(3, 0, 40))
		said := map[byte]int{}
		for id := policy.RequestID(1); id <= 100; id++ {
			for _, line := range s.ask(id, of("a")) {
				said[line[0]]++
			}
		}
		a := s.p.compartments["a"]
		So(a.slots, ShouldBeBetween, 0.25*0.58*120, 60) // its part of what one sidecar has out on average, and room for chance
		So(a.queueSlots, ShouldBeBetween, 1, a.slots)
		So(said, ShouldResemble, map[byte]int{'s': a.slots, 'r': 100 - a.slots - a.queueSlots})
		for i := range a.slots {
			So(s.ask(policy.RequestID(200+i), of("b")), ShouldHaveLength, 1)
		}
		So(s.p.compartments["b"].used, ShouldEqual, a.slots)
		So(s.end(1, 0, policy.Served), ShouldHaveLength, 1) // a slot free is the first one's who waits
		So(a.queue[0].id, ShouldEqual, policy.RequestID(a.slots+2))
		So(s.advance(99*ms), ShouldBeEmpty)
		So(s.advance(ms), ShouldHaveLength, a.queueSlots-1) // a fifth of the aim is over
		So(s.p.queued, ShouldEqual, 0)
	})
	Convey("Internal checks have their least slots, and wait for a good part of their time", t, func() {
		s := newScene(ready(1, 0, 20))
		check := order(func(o *RequestClass) {
			o.Compartment, o.Priority, o.LatencyTarget = CompartmentSpec{Name: "checks", Share: 0.01, MinSlots: 12}, 0, 100*ms
		})
		for id := policy.RequestID(1); id <= 12; id++ {
			So(s.ask(id, check), ShouldResemble, []string{fmt.Sprintf("send %d to 1", id)})
		}
		So(s.ask(13, check), ShouldBeEmpty)
		So(s.advance(399*ms), ShouldBeEmpty)
		So(s.advance(2*ms), ShouldResemble, []string{"refuse 13"})
	})
	Convey("With no more time than the margin nothing is sent, also of the highest rank and after a wait", t, func() {
		s := newScene(ready(1, 0, 1))
		for left := ms; left <= deadlineMargin; left += ms {
			s.p.Request(s.now, policy.Request{ID: policy.RequestID(left), Left: left, Terms: order()})
			So(s.heard(), ShouldResemble, []string{fmt.Sprintf("refuse %d", left)})
		}
		s = newScene()
		s.p.Request(s.now, policy.Request{ID: 1, Left: deadlineMargin + ms, Terms: order(func(o *RequestClass) { o.Priority = 0 })})
		s.now += ms
		s.p.List(s.now, policy.ListFull, []policy.Server{ready(1, 0, 1)})
		So(s.heard(), ShouldResemble, []string{"refuse 1"})
	})
	Convey("Who waits for a gate whose word was that it is full is sent once that word is old", t, func() {
		s := newScene(ready(1, 0, 1))
		s.ask(1, order())
		s.end(1, 0, policy.Served, 2)
		So(s.ask(2, order(func(o *RequestClass) { o.LatencyTarget = 10 * time.Second })), ShouldBeEmpty)
		So(s.advance(loadReportTTL+20*ms), ShouldResemble, []string{"send 2 to 1"})
	})
	Convey("Nobody overtakes who waits in the same compartment", t, func() {
		s := newScene(ready(1, 0, 4))
		s.ask(1, order())
		So(s.end(1, 0, policy.Gated), ShouldBeEmpty) // and it waits for the gate
		s.now += gateRejectionBackoff
		So(s.ask(2, order())[0], ShouldEqual, "send 1 to 1") // before the wake comes
	})
}

func TestTurns(t *testing.T) {
	Convey("Turns go by slots, and smoothly: at any moment each has had its part", t, func() {
		slots := map[policy.ServerID]float64{1: 2, 2: 4, 3: 8}
		s := newScene(ready(1, 0, 2), ready(2, 0, 4), ready(3, 0, 8))
		to := s.turns(1, 140)
		for n := range to {
			for id, w := range slots {
				So(float64(count(to[:n+1], id)), ShouldAlmostEqual, float64(n+1)*w/14, 1.5)
			}
		}
	})
	Convey("One that comes new, or comes back after a while without turns, begins beside the others", t, func() {
		s := newScene(ready(1, 0, 8))
		s.turns(1, 40)
		s.p.List(s.now, policy.ListDelta, []policy.Server{ready(2, 0, 8)})
		So(count(s.turns(100, 20), 2), ShouldBeBetweenOrEqual, 9, 11)
		s.ask(200, order())
		s.ask(201, order())
		s.end(200, 0, policy.NoConnection) // one of the two
		s.end(201, 0, policy.Served)
		s.end(200, 1, policy.Served)
		s.turns(300, 40) // all by the other
		s.now += failureBackoff
		to := s.turns(400, 20)
		So(count(to, 1), ShouldBeBetweenOrEqual, 8, 12)
	})
	Convey("One that is full by its gate's word loses its turns, until the word is old", t, func() {
		s := newScene(ready(1, 0, 4), ready(2, 0, 4))
		s.ask(1, order())
		s.end(1, 0, policy.Served, 4)
		So(count(s.turns(10, 10), 1), ShouldEqual, 0)
		s.now += loadReportTTL + ms
		So(count(s.turns(30, 20), 1), ShouldBeGreaterThan, 5)
	})
	Convey("The own zone comes first while it has room, then the others, and nothing goes to those that drain or left", t, func() {
		s := newScene(ready(1, 0, 4), ready(2, 1, 8))
		So(count(s.turns(1, 20), 1), ShouldEqual, 20)
		for id := policy.RequestID(101); id <= 103; id++ {
			So(s.ask(id, order()), ShouldResemble, []string{fmt.Sprintf("send %d to 1", id)})
		}
		So(s.ask(104, order()), ShouldResemble, []string{"send 104 to 2"}) // three of four are nearly full
		s.p.List(s.now, policy.ListDelta, []policy.Server{{ID: 2, Zone: 1, State: policy.Draining, Weight: 8}})
		So(s.ask(105, order()), ShouldResemble, []string{"send 105 to 1"})
		s.p.List(s.now, policy.ListFailed, nil)
		So(s.ask(106, order()), ShouldResemble, []string{"send 106 to 1"})
		s.p.List(s.now, policy.ListFull, []policy.Server{{ID: 2, Zone: 1, State: 9, Weight: 8}})
		So(s.ask(107, order()), ShouldBeEmpty)
		So(s.advance(100*ms), ShouldResemble, []string{"refuse 107"})
	})
}

func TestFurther(t *testing.T) {
	three := []policy.Server{ready(1, 0, 8), ready(2, 0, 8), ready(3, 0, 8)}
	Convey("What never came to an upstream goes elsewhere and costs nothing, also what is not safe", t, func() {
		for _, ending := range []policy.Ending{policy.Gated, policy.NoConnection, policy.NotSent} {
			s := newScene(three...)
			s.ask(1, order(func(o *RequestClass) { o.Idempotent, o.MaxAttempts = false, 1 }))
			So(s.end(1, 0, ending), ShouldResemble, []string{"send 1 to 2"})
			So(s.end(1, 1, ending), ShouldResemble, []string{"send 1 to 3"})
			So(s.spent, ShouldEqual, 0)
		}
	})
	Convey("What came to one goes on with the budget's leave, is charged for as it is sent, and never where it may run twice", t, func() {
		for _, ending := range []policy.Ending{policy.TurnedAway, policy.Broken, policy.TimedOut, policy.Cancelled, policy.Ending(99)} {
			unsafe := order(func(o *RequestClass) { o.Idempotent = false })
			free := ending == policy.TurnedAway // it has not run
			s := newScene(three...)
			s.ask(1, order())
			want := []string{"fail 1"}
			if free {
				want = []string{"refuse 1"}
			}
			So(s.end(1, 0, ending), ShouldResemble, want) // no leave
			s.leave = 5
			s.ask(2, order())
			So(s.end(2, 0, ending)[0], ShouldStartWith, "send 2")
			So(s.spent, ShouldEqual, 1)
			So(s.end(2, 1, ending), ShouldHaveLength, 1) // two arrivals are all
			So(s.spent, ShouldEqual, 1)
			s.now += time.Second // all have turns again
			s.ask(3, unsafe)
			So(s.end(3, 0, ending)[0][0], ShouldEqual, map[bool]byte{true: 's', false: 'f'}[free])
		}
	})
	Convey("No more is spent than the budget allows, also where those with its leave had to wait", t, func() {
		s := newScene(ready(1, 0, 8))
		s.leave = 1
		for id := policy.RequestID(1); id <= 3; id++ {
			s.ask(id, order())
		}
		for id := policy.RequestID(1); id <= 3; id++ {
			s.end(id, 0, policy.TurnedAway) // there is nowhere else yet
		}
		s.p.List(s.now, policy.ListDelta, []policy.Server{ready(2, 0, 8)})
		So(s.spent, ShouldBeLessThanOrEqualTo, s.leave)
	})
	Convey("An upstream's own failures have another run for one request of fifty", t, func() {
		s := newScene(three...)
		s.leave = 1000
		again := 0
		for id := policy.RequestID(1); id <= 500; id++ {
			s.ask(id, order())
			if s.end(id, 0, policy.Errored)[0][0] == 's' {
				again++
				s.end(id, 1, policy.Served)
			}
		}
		So(again, ShouldBeBetweenOrEqual, 9, 10)
	})
	Convey("What comes of nothing known, twice or early changes nothing", t, func() {
		s := newScene(three...)
		s.ask(1, order())
		s.end(77, 0, policy.Broken)
		s.end(1, 1, policy.Broken)
		s.end(1, -1, policy.Broken)
		s.end(1, 0, policy.Served)
		s.end(1, 0, policy.Broken)
		s.p.Wake(0)
		s.p.ClientGone(s.now, 1)
		s.p.StreamBegun(77)
		s.p.Probed(s.now, 77, true, policy.Load{})
		So(s.heard(), ShouldBeEmpty)
		s.p.Request(s.now, policy.Request{ID: 2, Left: time.Second})
		s.p.Request(s.now, policy.Request{ID: 3, Terms: order()})
		So(s.heard(), ShouldResemble, []string{"refuse 2", "refuse 3"})
		s.ask(4, order())
		So(s.end(4, 0, policy.Gated), ShouldHaveLength, 1)
		So(s.end(4, 0, policy.Gated), ShouldBeEmpty)
		s.p.ClientGone(s.now, 4)
		So(s.heard(), ShouldResemble, []string{"cancel 4.1"})
		So(s.end(4, 1, policy.Broken), ShouldBeEmpty)
		So(s.p.requests, ShouldBeEmpty)
	})
}

// play is a request of a random trace, as the test keeps account of it.
type play struct {
	order                    *RequestClass
	deadline, until          time.Duration
	sends, arrivals, charged int
	mayRun, out, over        bool
}

// TestRandom plays random traces: one answer each, no second run of what may not run twice, never more out than slots, nothing to who has left, no wait beyond its time, a refusal only
// where nothing may have run, and a charge for each arrival after the first.
func TestRandom(t *testing.T) {
	endings := []policy.Ending{policy.Served, policy.Served, policy.Errored, policy.TurnedAway, policy.TimedOut, policy.NoConnection, policy.Broken, policy.Cancelled, policy.NotSent, policy.Rejected, policy.Gated, policy.Gated, 42}
	rapid.Check(t, func(t *rapid.T) {
		servers := map[policy.ServerID]policy.Server{}
		all, out := map[policy.RequestID]*play{}, map[string]int{}
		s := newScene()
		s.leave = rapid.IntRange(0, 40).Draw(t, "leave")
		charged, ended := 0, policy.RequestID(0) // the one whose attempt ends now: where slots have become fewer meanwhile it goes on with its own
		s.send = func(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
			r, u := all[id], servers[to]
			w := s.p.compartments[r.order.Compartment.Name]
			switch {
			case r.over || r.out || r.mayRun && !r.order.Idempotent || r.arrivals >= max(1, r.order.MaxAttempts):
				t.Fatalf("request %d sent as %+v", id, r)
			case u.State != policy.Ready || u.Cell != r.order.Service:
				t.Fatalf("request %d for service %d sent to %+v", id, r.order.Service, u)
			case timeout <= 0 || s.now+timeout > r.deadline:
				t.Fatalf("request %d sent for %v, its deadline is %v from now", id, timeout, r.deadline-s.now)
			case out[w.name] >= w.slots && id != ended:
				t.Fatalf("compartment %s has %d out already, and %d slots", w.name, out[w.name], w.slots)
			}
			if r.arrivals > r.charged {
				r.charged, charged = r.arrivals, charged+1
			}
			if s.spent != charged {
				t.Fatalf("%d charged for %d further arrivals", s.spent, charged)
			}
			r.out, r.sends = true, r.sends+1
			out[w.name]++
		}
		s.answer = func(id policy.RequestID, failed bool) {
			if r := all[id]; r.over || failed != r.mayRun {
				t.Fatalf("request %d answered, failed %v, as %+v", id, failed, r)
			}
			all[id].over = true
		}
		end := func(id policy.RequestID, ending policy.Ending, load policy.Load) {
			r := all[id]
			r.out, ended = false, id
			out[r.order.Compartment.Name]--
			switch ending {
			case policy.Gated, policy.NoConnection, policy.NotSent:
			case policy.TurnedAway:
				r.arrivals++
			case policy.Served:
				r.over = true // the engine's part
			default:
				r.arrivals, r.mayRun = r.arrivals+1, true
			}
			s.p.Outcome(s.now, policy.Outcome{ID: id, Attempt: r.sends - 1, Ending: ending, Settled: r.over, Load: load})
			ended = 0
		}
		pick := func(ok func(*play) bool) (policy.RequestID, bool) {
			var ids []policy.RequestID
			for id := policy.RequestID(1); int(id) <= len(all); id++ {
				if ok(all[id]) {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(ids).Draw(t, "id"), true
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.advance(time.Duration(rapid.IntRange(0, 25).Draw(t, "ms")) * ms)
			switch what := rapid.IntRange(0, 12).Draw(t, "what"); {
			case what == 0:
				u := policy.Server{ID: policy.ServerID(rapid.IntRange(1, 5).Draw(t, "server")), State: policy.State(rapid.IntRange(0, 3).Draw(t, "state")), Weight: float64(rapid.IntRange(1, 6).Draw(t, "slots"))}
				u.Zone, u.Cell = int(u.ID)%2, int(u.ID)/4
				kind := rapid.SampledFrom([]policy.ListKind{policy.ListFull, policy.ListDelta, policy.ListDelta, policy.ListDelta, policy.ListCached}).Draw(t, "kind")
				if kind != policy.ListDelta {
					clear(servers)
				}
				servers[u.ID] = u
				s.p.List(s.now, kind, []policy.Server{u})
			case what == 1:
				if id, ok := pick(func(r *play) bool { return !r.over }); ok {
					all[id].over = true
					s.p.ClientGone(s.now, id)
				}
			case what <= 6:
				if id, ok := pick(func(r *play) bool { return r.out }); ok {
					load := policy.Load{Has: policy.LoadFields(rapid.IntRange(0, 1).Draw(t, "told")), InFlight: float64(rapid.IntRange(0, 9).Draw(t, "load"))}
					end(id, rapid.SampledFrom(endings).Draw(t, "ending"), load)
				}
			default:
				for range rapid.IntRange(1, 5).Draw(t, "burst") {
					id := policy.RequestID(len(all) + 1)
					o := order(func(o *RequestClass) {
						o.Service, o.Idempotent, o.MaxAttempts = rapid.IntRange(0, 1).Draw(t, "service"), rapid.Bool().Draw(t, "safe"), rapid.IntRange(0, 3).Draw(t, "attempts")
						o.Priority, o.LatencyTarget = rapid.IntRange(0, 2).Draw(t, "rank"), time.Duration(rapid.IntRange(10, 2000).Draw(t, "aim"))*ms
						o.Compartment = CompartmentSpec{Name: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "wall")), Share: 0.3}
					})
					left := time.Duration(rapid.IntRange(10, 1500).Draw(t, "left")) * ms
					r := &play{order: o, deadline: s.now + left, until: min(s.now+left-deadlineMargin, s.now+o.LatencyTarget/5)}
					if o.Priority == 0 {
						r.until = max(r.until, s.now+time.Duration(highestPriorityWaitFraction*float64(left)))
					}
					all[id] = r
					s.p.Request(s.now, policy.Request{ID: id, Left: left, Terms: o})
					if w := s.p.compartments[o.Compartment.Name]; !r.over && !r.out && len(w.queue) > w.queueSlots {
						t.Fatalf("request %d waits as one of %d for %d places", id, len(w.queue), w.queueSlots)
					}
				}
			}
			for name, w := range s.p.compartments {
				if w.used != out[name] {
					t.Fatalf("compartment %s has %d slots in use for %d out", name, w.used, out[name])
				}
			}
			for id, r := range all {
				if !r.over && !r.out && s.now > r.until+ms {
					t.Fatalf("request %d waits at %v, for longer than until %v", id, s.now, r.until)
				}
			}
		}
		for s.advance(time.Minute); ; {
			id, ok := pick(func(r *play) bool { return r.out })
			if !ok {
				break
			}
			end(id, policy.Served, policy.Load{})
		}
		for id, r := range all {
			if !r.over {
				t.Fatalf("request %d has no answer", id)
			}
		}
		if len(s.p.requests) > 0 || s.p.queued > 0 {
			t.Fatalf("%d requests are kept, %d wait", len(s.p.requests), s.p.queued)
		}
	})
}
