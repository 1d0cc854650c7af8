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
type harness struct {
	policy.Host    // what the balancer has no use for
	balancer       *Balancer
	now            time.Duration
	decisions      []string
	wakes          []time.Duration
	allowedRetries int // further arrivals that the budget allows
	chargedRetries int
	onSend         func(id policy.RequestID, to policy.ServerID, timeout time.Duration)
	onAnswer       func(id policy.RequestID, failed bool)
}

func (h *harness) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	h.decisions = append(h.decisions, fmt.Sprintf("send %d to %d", id, to))
	h.onSend(id, to, timeout)
}

func (h *harness) Refuse(id policy.RequestID, _ time.Duration) {
	h.decisions = append(h.decisions, fmt.Sprintf("refuse %d", id))
	h.onAnswer(id, false)
}

func (h *harness) Fail(id policy.RequestID) {
	h.decisions = append(h.decisions, fmt.Sprintf("fail %d", id))
	h.onAnswer(id, true)
}

func (h *harness) Cancel(id policy.RequestID, attempt int) {
	h.decisions = append(h.decisions, fmt.Sprintf("cancel %d.%d", id, attempt))
}

func (h *harness) Wake(d time.Duration)                { h.wakes = append(h.wakes, h.now+d) }
func (h *harness) RecordRequest(time.Duration, int)    {}
func (h *harness) Allowed(_ time.Duration, _ int) bool { return h.allowedRetries > h.chargedRetries }
func (h *harness) Charge(time.Duration, int)           { h.chargedRetries++ }

func newHarness(servers ...policy.Server) *harness {
	h := &harness{now: time.Second, onSend: func(policy.RequestID, policy.ServerID, time.Duration) {}, onAnswer: func(policy.RequestID, bool) {}}
	h.balancer = New(Config{Zone: 0, Members: func() int { return 1 }, RetryBudget: h}, h)
	h.balancer.Start(h.now)
	h.balancer.List(h.now, policy.ListFull, servers)
	return h
}

// ready is a server of service 0 that takes requests.
func ready(id policy.ServerID, zone int, slots float64) policy.Server {
	return policy.Server{ID: id, Zone: zone, State: policy.Ready, Weight: slots}
}

// order asks for service 0 with the whole of the slots, a second and an aim of half of it, and two arrivals.
func newClass(change ...func(*RequestClass)) *RequestClass {
	class := &RequestClass{Compartment: CompartmentSpec{Name: "all", Share: 1}, Priority: 1, Idempotent: true, MaxAttempts: 2, LatencyTarget: 500 * ms}
	for _, c := range change {
		c(class)
	}
	return class
}

func (h *harness) request(id policy.RequestID, o *RequestClass) []string {
	h.balancer.Request(h.now, policy.Request{ID: id, Left: time.Second, Terms: o})
	return h.takeDecisions()
}

func (h *harness) endAttempt(id policy.RequestID, attempt int, ending policy.Ending, load ...float64) []string {
	o := policy.Outcome{ID: id, Attempt: attempt, Ending: ending, Settled: ending == policy.Served}
	if len(load) > 0 {
		o.Load = policy.Load{Has: policy.HasInFlight, InFlight: load[0]}
	}
	h.balancer.Outcome(h.now, o)
	return h.takeDecisions()
}

// turns has so many requests, one after the other and each served at once, and says where they went.
func (h *harness) serveEach(from policy.RequestID, n int) (to []policy.ServerID) {
	h.onSend = func(_ policy.RequestID, server policy.ServerID, _ time.Duration) { to = append(to, server) }
	for id := from; id < from+policy.RequestID(n); id++ {
		h.request(id, newClass())
		h.endAttempt(id, 0, policy.Served)
	}
	h.onSend = func(policy.RequestID, policy.ServerID, time.Duration) {}
	return to
}

// advance lets time pass with all wakes on the way.
func (h *harness) advance(d time.Duration) []string {
	to := h.now + d
	for slices.Sort(h.wakes); len(h.wakes) > 0 && h.wakes[0] <= to; slices.Sort(h.wakes) {
		h.now, h.wakes = h.wakes[0], h.wakes[1:]
		h.balancer.Wake(h.now)
	}
	h.now = to
	return h.takeDecisions()
}

func (h *harness) takeDecisions() (decisions []string) {
	decisions, h.decisions = h.decisions, nil
	return decisions
}

func countOf(all []policy.ServerID, id policy.ServerID) (n int) {
	for _, one := range all {
		if one == id {
			n++
		}
	}
	return n
}

func TestCompartmentsIsolateTenants(t *testing.T) {
	of := func(name string) *RequestClass {
		return newClass(func(o *RequestClass) { o.Compartment, o.Tenant = CompartmentSpec{Name: name, Share: 0.25}, name })
	}
	Convey("A flood of one tenant fills its own slots and places, the rest is refused at once and no slot of another is taken", t, func() {
		h := newHarness(ready(1, 0, 40), ready(2, 0, 40), ready(3, 0, 40))
		said := map[byte]int{}
		for id := policy.RequestID(1); id <= 100; id++ {
			for _, line := range h.request(id, of("a")) {
				said[line[0]]++
			}
		}
		a := h.balancer.compartments["a"]
		So(a.slots, ShouldBeBetween, 0.25*0.58*120, 60) // its part of what one sidecar has out on average, and room for chance
		So(a.queueSlots, ShouldBeBetween, 1, a.slots)
		So(said, ShouldResemble, map[byte]int{'s': a.slots, 'r': 100 - a.slots - a.queueSlots})
		for i := range a.slots {
			So(h.request(policy.RequestID(200+i), of("b")), ShouldHaveLength, 1)
		}
		So(h.balancer.compartments["b"].used, ShouldEqual, a.slots)
		So(h.endAttempt(1, 0, policy.Served), ShouldHaveLength, 1) // a slot free is the first one's who waits
		So(a.queue[0].id, ShouldEqual, policy.RequestID(a.slots+2))
		So(h.advance(99*ms), ShouldBeEmpty)
		So(h.advance(ms), ShouldHaveLength, a.queueSlots-1) // a fifth of the aim is over
		So(h.balancer.queued, ShouldEqual, 0)
	})
	Convey("Internal checks have their least slots, and wait for a good part of their time", t, func() {
		h := newHarness(ready(1, 0, 20))
		check := newClass(func(o *RequestClass) {
			o.Compartment, o.Priority, o.LatencyTarget = CompartmentSpec{Name: "checks", Share: 0.01, MinSlots: 12}, 0, 100*ms
		})
		for id := policy.RequestID(1); id <= 12; id++ {
			So(h.request(id, check), ShouldResemble, []string{fmt.Sprintf("send %d to 1", id)})
		}
		So(h.request(13, check), ShouldBeEmpty)
		So(h.advance(399*ms), ShouldBeEmpty)
		So(h.advance(2*ms), ShouldResemble, []string{"refuse 13"})
	})
	Convey("With no more time than the margin nothing is sent, also of the highest rank and after a wait", t, func() {
		h := newHarness(ready(1, 0, 1))
		for left := ms; left <= deadlineMargin; left += ms {
			h.balancer.Request(h.now, policy.Request{ID: policy.RequestID(left), Left: left, Terms: newClass()})
			So(h.takeDecisions(), ShouldResemble, []string{fmt.Sprintf("refuse %d", left)})
		}
		h = newHarness()
		h.balancer.Request(h.now, policy.Request{ID: 1, Left: deadlineMargin + ms, Terms: newClass(func(o *RequestClass) { o.Priority = 0 })})
		h.now += ms
		h.balancer.List(h.now, policy.ListFull, []policy.Server{ready(1, 0, 1)})
		So(h.takeDecisions(), ShouldResemble, []string{"refuse 1"})
	})
	Convey("Who waits for a gate whose word was that it is full is sent once that word is old", t, func() {
		h := newHarness(ready(1, 0, 1))
		h.request(1, newClass())
		h.endAttempt(1, 0, policy.Served, 2)
		So(h.request(2, newClass(func(o *RequestClass) { o.LatencyTarget = 10 * time.Second })), ShouldBeEmpty)
		So(h.advance(loadReportTTL+20*ms), ShouldResemble, []string{"send 2 to 1"})
	})
	Convey("Nobody overtakes who waits in the same compartment", t, func() {
		h := newHarness(ready(1, 0, 4))
		h.request(1, newClass())
		So(h.endAttempt(1, 0, policy.Gated), ShouldBeEmpty) // and it waits for the gate
		h.now += gateRejectionBackoff
		So(h.request(2, newClass())[0], ShouldEqual, "send 1 to 1") // before the wake comes
	})
}

func TestUpstreamSelection(t *testing.T) {
	Convey("Turns go by slots, and smoothly: at any moment each has had its part", t, func() {
		slots := map[policy.ServerID]float64{1: 2, 2: 4, 3: 8}
		h := newHarness(ready(1, 0, 2), ready(2, 0, 4), ready(3, 0, 8))
		to := h.serveEach(1, 140)
		for n := range to {
			for id, w := range slots {
				So(float64(countOf(to[:n+1], id)), ShouldAlmostEqual, float64(n+1)*w/14, 1.5)
			}
		}
	})
	Convey("One that comes new, or comes back after a while without turns, begins beside the others", t, func() {
		h := newHarness(ready(1, 0, 8))
		h.serveEach(1, 40)
		h.balancer.List(h.now, policy.ListDelta, []policy.Server{ready(2, 0, 8)})
		So(countOf(h.serveEach(100, 20), 2), ShouldBeBetweenOrEqual, 9, 11)
		h.request(200, newClass())
		h.request(201, newClass())
		h.endAttempt(200, 0, policy.NoConnection) // one of the two
		h.endAttempt(201, 0, policy.Served)
		h.endAttempt(200, 1, policy.Served)
		h.serveEach(300, 40) // all by the other
		h.now += failureBackoff
		to := h.serveEach(400, 20)
		So(countOf(to, 1), ShouldBeBetweenOrEqual, 8, 12)
	})
	Convey("One that is full by its gate's word loses its turns, until the word is old", t, func() {
		h := newHarness(ready(1, 0, 4), ready(2, 0, 4))
		h.request(1, newClass())
		h.endAttempt(1, 0, policy.Served, 4)
		So(countOf(h.serveEach(10, 10), 1), ShouldEqual, 0)
		h.now += loadReportTTL + ms
		So(countOf(h.serveEach(30, 20), 1), ShouldBeGreaterThan, 5)
	})
	Convey("The own zone comes first while it has room, then the others, and nothing goes to those that drain or left", t, func() {
		h := newHarness(ready(1, 0, 4), ready(2, 1, 8))
		So(countOf(h.serveEach(1, 20), 1), ShouldEqual, 20)
		for id := policy.RequestID(101); id <= 103; id++ {
			So(h.request(id, newClass()), ShouldResemble, []string{fmt.Sprintf("send %d to 1", id)})
		}
		So(h.request(104, newClass()), ShouldResemble, []string{"send 104 to 2"}) // three of four are nearly full
		h.balancer.List(h.now, policy.ListDelta, []policy.Server{{ID: 2, Zone: 1, State: policy.Draining, Weight: 8}})
		So(h.request(105, newClass()), ShouldResemble, []string{"send 105 to 1"})
		h.balancer.List(h.now, policy.ListFailed, nil)
		So(h.request(106, newClass()), ShouldResemble, []string{"send 106 to 1"})
		h.balancer.List(h.now, policy.ListFull, []policy.Server{{ID: 2, Zone: 1, State: 9, Weight: 8}})
		So(h.request(107, newClass()), ShouldBeEmpty)
		So(h.advance(100*ms), ShouldResemble, []string{"refuse 107"})
	})
}

func TestRetries(t *testing.T) {
	three := []policy.Server{ready(1, 0, 8), ready(2, 0, 8), ready(3, 0, 8)}
	Convey("What never came to an upstream goes elsewhere and costs nothing, also what is not safe", t, func() {
		for _, ending := range []policy.Ending{policy.Gated, policy.NoConnection, policy.NotSent} {
			h := newHarness(three...)
			h.request(1, newClass(func(o *RequestClass) { o.Idempotent, o.MaxAttempts = false, 1 }))
			So(h.endAttempt(1, 0, ending), ShouldResemble, []string{"send 1 to 2"})
			So(h.endAttempt(1, 1, ending), ShouldResemble, []string{"send 1 to 3"})
			So(h.chargedRetries, ShouldEqual, 0)
		}
	})
	Convey("What came to one goes on with the budget's leave, is charged for as it is sent, and never where it may run twice", t, func() {
		for _, ending := range []policy.Ending{policy.TurnedAway, policy.Broken, policy.TimedOut, policy.Cancelled, policy.Ending(99)} {
			unsafe := newClass(func(o *RequestClass) { o.Idempotent = false })
			free := ending == policy.TurnedAway // it has not run
			h := newHarness(three...)
			h.request(1, newClass())
			want := []string{"fail 1"}
			if free {
				want = []string{"refuse 1"}
			}
			So(h.endAttempt(1, 0, ending), ShouldResemble, want) // no leave
			h.allowedRetries = 5
			h.request(2, newClass())
			So(h.endAttempt(2, 0, ending)[0], ShouldStartWith, "send 2")
			So(h.chargedRetries, ShouldEqual, 1)
			So(h.endAttempt(2, 1, ending), ShouldHaveLength, 1) // two arrivals are all
			So(h.chargedRetries, ShouldEqual, 1)
			h.now += time.Second // all have turns again
			h.request(3, unsafe)
			So(h.endAttempt(3, 0, ending)[0][0], ShouldEqual, map[bool]byte{true: 's', false: 'f'}[free])
		}
	})
	Convey("No more is spent than the budget allows, also where those with its leave had to wait", t, func() {
		h := newHarness(ready(1, 0, 8))
		h.allowedRetries = 1
		for id := policy.RequestID(1); id <= 3; id++ {
			h.request(id, newClass())
		}
		for id := policy.RequestID(1); id <= 3; id++ {
			h.endAttempt(id, 0, policy.TurnedAway) // there is nowhere else yet
		}
		h.balancer.List(h.now, policy.ListDelta, []policy.Server{ready(2, 0, 8)})
		So(h.chargedRetries, ShouldBeLessThanOrEqualTo, h.allowedRetries)
	})
	Convey("An upstream's own failures have another run for one request of fifty", t, func() {
		h := newHarness(three...)
		h.allowedRetries = 1000
		again := 0
		for id := policy.RequestID(1); id <= 500; id++ {
			h.request(id, newClass())
			if h.endAttempt(id, 0, policy.Errored)[0][0] == 's' {
				again++
				h.endAttempt(id, 1, policy.Served)
			}
		}
		So(again, ShouldBeBetweenOrEqual, 9, 10)
	})
	Convey("What comes of nothing known, twice or early changes nothing", t, func() {
		h := newHarness(three...)
		h.request(1, newClass())
		h.endAttempt(77, 0, policy.Broken)
		h.endAttempt(1, 1, policy.Broken)
		h.endAttempt(1, -1, policy.Broken)
		h.endAttempt(1, 0, policy.Served)
		h.endAttempt(1, 0, policy.Broken)
		h.balancer.Wake(0)
		h.balancer.ClientGone(h.now, 1)
		h.balancer.StreamBegun(77)
		h.balancer.Probed(h.now, 77, true, policy.Load{})
		So(h.takeDecisions(), ShouldBeEmpty)
		h.balancer.Request(h.now, policy.Request{ID: 2, Left: time.Second})
		h.balancer.Request(h.now, policy.Request{ID: 3, Terms: newClass()})
		So(h.takeDecisions(), ShouldResemble, []string{"refuse 2", "refuse 3"})
		h.request(4, newClass())
		So(h.endAttempt(4, 0, policy.Gated), ShouldHaveLength, 1)
		So(h.endAttempt(4, 0, policy.Gated), ShouldBeEmpty)
		h.balancer.ClientGone(h.now, 4)
		So(h.takeDecisions(), ShouldResemble, []string{"cancel 4.1"})
		So(h.endAttempt(4, 1, policy.Broken), ShouldBeEmpty)
		So(h.balancer.requests, ShouldBeEmpty)
	})
}

// play is a request of a random trace, as the test keeps account of it.
type tracedRequest struct {
	class                            *RequestClass
	deadline, waitDeadline           time.Duration
	sends, arrivals, chargedArrivals int
	mayRun, inFlight, answered       bool
}

// TestRandom plays random traces: one answer each, no second run of what may not run twice, never more out than slots, nothing to who has left, no wait beyond its time, a refusal only
// where nothing may have run, and a charge for each arrival after the first.
func TestBalancerRandomTraces(t *testing.T) {
	endings := []policy.Ending{policy.Served, policy.Served, policy.Errored, policy.TurnedAway, policy.TimedOut, policy.NoConnection, policy.Broken, policy.Cancelled, policy.NotSent, policy.Rejected, policy.Gated, policy.Gated, 42}
	rapid.Check(t, func(t *rapid.T) {
		servers := map[policy.ServerID]policy.Server{}
		all, out := map[policy.RequestID]*tracedRequest{}, map[string]int{}
		h := newHarness()
		h.allowedRetries = rapid.IntRange(0, 40).Draw(t, "leave")
		charged, ended := 0, policy.RequestID(0) // the one whose attempt ends now: where slots have become fewer meanwhile it goes on with its own
		h.onSend = func(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
			r, u := all[id], servers[to]
			w := h.balancer.compartments[r.class.Compartment.Name]
			switch {
			case r.answered || r.inFlight || r.mayRun && !r.class.Idempotent || r.arrivals >= max(1, r.class.MaxAttempts):
				t.Fatalf("request %d sent as %+v", id, r)
			case u.State != policy.Ready || u.Cell != r.class.Service:
				t.Fatalf("request %d for service %d sent to %+v", id, r.class.Service, u)
			case timeout <= 0 || h.now+timeout > r.deadline:
				t.Fatalf("request %d sent for %v, its deadline is %v from now", id, timeout, r.deadline-h.now)
			case out[w.name] >= w.slots && id != ended:
				t.Fatalf("compartment %s has %d out already, and %d slots", w.name, out[w.name], w.slots)
			}
			if r.arrivals > r.chargedArrivals {
				r.chargedArrivals, charged = r.arrivals, charged+1
			}
			if h.chargedRetries != charged {
				t.Fatalf("%d charged for %d further arrivals", h.chargedRetries, charged)
			}
			r.inFlight, r.sends = true, r.sends+1
			out[w.name]++
		}
		h.onAnswer = func(id policy.RequestID, failed bool) {
			if r := all[id]; r.answered || failed != r.mayRun {
				t.Fatalf("request %d answered, failed %v, as %+v", id, failed, r)
			}
			all[id].answered = true
		}
		end := func(id policy.RequestID, ending policy.Ending, load policy.Load) {
			r := all[id]
			r.inFlight, ended = false, id
			out[r.class.Compartment.Name]--
			switch ending {
			case policy.Gated, policy.NoConnection, policy.NotSent:
			case policy.TurnedAway:
				r.arrivals++
			case policy.Served:
				r.answered = true // the engine's part
			default:
				r.arrivals, r.mayRun = r.arrivals+1, true
			}
			h.balancer.Outcome(h.now, policy.Outcome{ID: id, Attempt: r.sends - 1, Ending: ending, Settled: r.answered, Load: load})
			ended = 0
		}
		pick := func(ok func(*tracedRequest) bool) (policy.RequestID, bool) {
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
			h.advance(time.Duration(rapid.IntRange(0, 25).Draw(t, "ms")) * ms)
			switch what := rapid.IntRange(0, 12).Draw(t, "what"); {
			case what == 0:
				u := policy.Server{ID: policy.ServerID(rapid.IntRange(1, 5).Draw(t, "server")), State: policy.State(rapid.IntRange(0, 3).Draw(t, "state")), Weight: float64(rapid.IntRange(1, 6).Draw(t, "slots"))}
				u.Zone, u.Cell = int(u.ID)%2, int(u.ID)/4
				kind := rapid.SampledFrom([]policy.ListKind{policy.ListFull, policy.ListDelta, policy.ListDelta, policy.ListDelta, policy.ListCached}).Draw(t, "kind")
				if kind != policy.ListDelta {
					clear(servers)
				}
				servers[u.ID] = u
				h.balancer.List(h.now, kind, []policy.Server{u})
			case what == 1:
				if id, ok := pick(func(r *tracedRequest) bool { return !r.answered }); ok {
					all[id].answered = true
					h.balancer.ClientGone(h.now, id)
				}
			case what <= 6:
				if id, ok := pick(func(r *tracedRequest) bool { return r.inFlight }); ok {
					load := policy.Load{Has: policy.LoadFields(rapid.IntRange(0, 1).Draw(t, "told")), InFlight: float64(rapid.IntRange(0, 9).Draw(t, "load"))}
					end(id, rapid.SampledFrom(endings).Draw(t, "ending"), load)
				}
			default:
				for range rapid.IntRange(1, 5).Draw(t, "burst") {
					id := policy.RequestID(len(all) + 1)
					o := newClass(func(o *RequestClass) {
						o.Service, o.Idempotent, o.MaxAttempts = rapid.IntRange(0, 1).Draw(t, "service"), rapid.Bool().Draw(t, "safe"), rapid.IntRange(0, 3).Draw(t, "attempts")
						o.Priority, o.LatencyTarget = rapid.IntRange(0, 2).Draw(t, "rank"), time.Duration(rapid.IntRange(10, 2000).Draw(t, "aim"))*ms
						o.Compartment = CompartmentSpec{Name: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "wall")), Share: 0.3}
					})
					left := time.Duration(rapid.IntRange(10, 1500).Draw(t, "left")) * ms
					r := &tracedRequest{class: o, deadline: h.now + left, waitDeadline: min(h.now+left-deadlineMargin, h.now+o.LatencyTarget/5)}
					if o.Priority == 0 {
						r.waitDeadline = max(r.waitDeadline, h.now+time.Duration(highestPriorityWaitFraction*float64(left)))
					}
					all[id] = r
					h.balancer.Request(h.now, policy.Request{ID: id, Left: left, Terms: o})
					if w := h.balancer.compartments[o.Compartment.Name]; !r.answered && !r.inFlight && len(w.queue) > w.queueSlots {
						t.Fatalf("request %d waits as one of %d for %d places", id, len(w.queue), w.queueSlots)
					}
				}
			}
			for name, w := range h.balancer.compartments {
				if w.used != out[name] {
					t.Fatalf("compartment %s has %d slots in use for %d out", name, w.used, out[name])
				}
			}
			for id, r := range all {
				if !r.answered && !r.inFlight && h.now > r.waitDeadline+ms {
					t.Fatalf("request %d waits at %v, for longer than until %v", id, h.now, r.waitDeadline)
				}
			}
		}
		for h.advance(time.Minute); ; {
			id, ok := pick(func(r *tracedRequest) bool { return r.inFlight })
			if !ok {
				break
			}
			end(id, policy.Served, policy.Load{})
		}
		for id, r := range all {
			if !r.answered {
				t.Fatalf("request %d has no answer", id)
			}
		}
		if len(h.balancer.requests) > 0 || h.balancer.queued > 0 {
			t.Fatalf("%d requests are kept, %d wait", len(h.balancer.requests), h.balancer.queued)
		}
	})
}
