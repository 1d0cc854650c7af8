package balancer

import (
	"fmt"
	"testing"
	"time"

	"caperarch/policy"

	"pgregory.net/rapid"
)

// endings are those of attempts in a trace, some more often than others; 42 is an unknown one.
var endings = []policy.Ending{
	policy.Served, policy.Served, policy.Errored, policy.NotProcessed, policy.TimedOut,
	policy.NoConnection, policy.ConnectionLost, policy.Cancelled, policy.NotSent, policy.InvalidRequest,
	policy.GateRejected, policy.GateRejected, 42,
}

// tracedRequest is a request of a trace, as the test keeps account of it.
type tracedRequest struct {
	class                            *RequestClass
	deadline, waitDeadline           time.Duration
	sends, arrivals, chargedArrivals int
	mayHaveRun, inFlight, answered   bool
}

// mayBeSent reports whether another attempt is right.
func (r *tracedRequest) mayBeSent() bool {
	if r.answered || r.inFlight || r.mayHaveRun && !r.class.Idempotent {
		return false
	}
	return r.arrivals < max(1, r.class.MaxAttempts)
}

// trace is a random trace of events, with what the test knows of requests and upstreams.
type trace struct {
	t        *rapid.T
	h        *harness
	servers  map[policy.ServerID]policy.Server
	requests map[policy.RequestID]*tracedRequest // numbered from 1 on
	inFlight map[string]int                      // by compartment
	charged  int
	// ending is the request whose attempt ends now: it goes on with its own slot, also where its
	// compartment has become smaller.
	ending policy.RequestID
}

func newTrace(t *rapid.T) *trace {
	tr := &trace{
		t: t, h: newHarness(), servers: map[policy.ServerID]policy.Server{},
		requests: map[policy.RequestID]*tracedRequest{}, inFlight: map[string]int{},
	}
	tr.h.allowedRetries = rapid.IntRange(0, 40).Draw(t, "allowed retries")
	tr.h.onSend = tr.checkSend
	tr.h.onAnswer = tr.checkAnswer
	return tr
}

func (tr *trace) checkSend(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	r, server := tr.requests[id], tr.servers[to]
	c := tr.h.balancer.compartments[r.class.Compartment.Name]
	switch {
	case !r.mayBeSent():
		tr.t.Fatalf("request %d sent as %+v", id, r)
	case server.State != policy.Ready || server.Cell != r.class.Service:
		tr.t.Fatalf("request %d for service %d sent to %+v", id, r.class.Service, server)
	case timeout <= 0 || tr.h.now+timeout > r.deadline:
		tr.t.Fatalf("request %d sent for %v, its deadline is in %v", id, timeout, r.deadline-tr.h.now)
	case tr.inFlight[c.name] >= c.slots && id != tr.ending:
		tr.t.Fatalf("compartment %s has %d in flight already, and %d slots",
			c.name, tr.inFlight[c.name], c.slots)
	}
	if r.arrivals > r.chargedArrivals {
		r.chargedArrivals = r.arrivals
		tr.charged++
	}
	if tr.h.chargedRetries != tr.charged {
		tr.t.Fatalf("%d retries charged, want %d", tr.h.chargedRetries, tr.charged)
	}
	r.inFlight = true
	r.sends++
	tr.inFlight[c.name]++
}

func (tr *trace) checkAnswer(id policy.RequestID, failed bool) {
	r := tr.requests[id]
	if r.answered || failed != r.mayHaveRun {
		tr.t.Fatalf("request %d answered, failed %v, as %+v", id, failed, r)
	}
	r.answered = true
}

// end ends the attempt of a request.
func (tr *trace) end(id policy.RequestID, ending policy.Ending, load policy.Load) {
	r := tr.requests[id]
	r.inFlight = false
	tr.inFlight[r.class.Compartment.Name]--
	switch ending {
	case policy.GateRejected, policy.NoConnection, policy.NotSent:
	case policy.NotProcessed:
		r.arrivals++
	case policy.Served:
		r.answered = true // as the engine does
	default:
		r.arrivals++
		r.mayHaveRun = true
	}
	tr.ending = id
	tr.h.balancer.Outcome(tr.h.now, policy.Outcome{
		ID: id, Attempt: r.sends - 1, Ending: ending, Finished: r.answered, Load: load,
	})
	tr.ending = 0
}

// pick draws one of the requests for which a condition holds; false: there is none.
func (tr *trace) pick(holds func(*tracedRequest) bool) (policy.RequestID, bool) {
	var ids []policy.RequestID
	for id := policy.RequestID(1); int(id) <= len(tr.requests); id++ {
		if holds(tr.requests[id]) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(tr.t, "id"), true
}

func isInFlight(r *tracedRequest) bool { return r.inFlight }
func isOpen(r *tracedRequest) bool     { return !r.answered }

// step is a random event.
func (tr *trace) step() {
	switch what := rapid.IntRange(0, 12).Draw(tr.t, "what"); {
	case what == 0:
		tr.update()
	case what == 1:
		if id, ok := tr.pick(isOpen); ok {
			tr.requests[id].answered = true
			tr.h.balancer.ClientGone(tr.h.now, id)
		}
	case what <= 6:
		if id, ok := tr.pick(isInFlight); ok {
			load := policy.Load{
				Has:      policy.LoadFields(rapid.IntRange(0, 1).Draw(tr.t, "reported")),
				InFlight: float64(rapid.IntRange(0, 9).Draw(tr.t, "load")),
			}
			tr.end(id, rapid.SampledFrom(endings).Draw(tr.t, "ending"), load)
		}
	default:
		for range rapid.IntRange(1, 5).Draw(tr.t, "burst") {
			tr.request()
		}
	}
}

// update lists an upstream anew, alone or beside the others.
func (tr *trace) update() {
	server := policy.Server{
		ID:     policy.ServerID(rapid.IntRange(1, 5).Draw(tr.t, "server")),
		State:  policy.State(rapid.IntRange(0, 3).Draw(tr.t, "state")),
		Weight: float64(rapid.IntRange(1, 6).Draw(tr.t, "slots")),
	}
	server.Zone, server.Cell = int(server.ID)%2, int(server.ID)/4
	kind := rapid.SampledFrom([]policy.ListKind{
		policy.ListFull, policy.ListDelta, policy.ListDelta, policy.ListDelta, policy.ListCached,
	}).Draw(tr.t, "kind")
	if kind != policy.ListDelta {
		clear(tr.servers)
	}
	tr.servers[server.ID] = server
	tr.h.balancer.List(tr.h.now, kind, []policy.Server{server})
}

// request has a request arrive.
func (tr *trace) request() {
	t, now := tr.t, tr.h.now
	class := newClass(func(c *RequestClass) {
		c.Service = rapid.IntRange(0, 1).Draw(t, "service")
		c.Idempotent = rapid.Bool().Draw(t, "idempotent")
		c.MaxAttempts = rapid.IntRange(0, 3).Draw(t, "attempts")
		c.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
		c.LatencyTarget = time.Duration(rapid.IntRange(10, 2000).Draw(t, "latency target")) * ms
		name := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "compartment"))
		c.Compartment = CompartmentSpec{Name: name, Share: 0.3}
	})
	remaining := time.Duration(rapid.IntRange(10, 1500).Draw(t, "remaining")) * ms
	r := &tracedRequest{class: class, deadline: now + remaining}
	r.waitDeadline = min(now+remaining-deadlineMargin, now+class.LatencyTarget/5)
	if class.Priority == 0 {
		wait := time.Duration(highestPriorityWaitFraction * float64(remaining))
		r.waitDeadline = max(r.waitDeadline, now+wait)
	}
	id := policy.RequestID(len(tr.requests) + 1)
	tr.requests[id] = r
	tr.h.balancer.Request(now, policy.Request{ID: id, TimeLeft: remaining, Attributes: class})
	c := tr.h.balancer.compartments[class.Compartment.Name]
	if !r.answered && !r.inFlight && len(c.queue) > c.queueSlots {
		t.Fatalf("request %d is queued as one of %d for %d queue slots", id, len(c.queue), c.queueSlots)
	}
}

// check compares the slots in use with the trace's own count, and looks for who waits too long.
func (tr *trace) check() {
	for name, c := range tr.h.balancer.compartments {
		if c.used != tr.inFlight[name] {
			tr.t.Fatalf("compartment %s has %d slots in use for %d in flight",
				name, c.used, tr.inFlight[name])
		}
	}
	for id, r := range tr.requests {
		if !r.answered && !r.inFlight && tr.h.now > r.waitDeadline+ms {
			tr.t.Fatalf("request %d waits at %v, for longer than until %v", id, tr.h.now, r.waitDeadline)
		}
	}
}

// finish ends all attempts: each request has an answer then, and none is kept.
func (tr *trace) finish() {
	tr.h.advance(time.Minute)
	for id, ok := tr.pick(isInFlight); ok; id, ok = tr.pick(isInFlight) {
		tr.end(id, policy.Served, policy.Load{})
	}
	for id, r := range tr.requests {
		if !r.answered {
			tr.t.Fatalf("request %d has no answer", id)
		}
	}
	if b := tr.h.balancer; len(b.requests) > 0 || b.queued > 0 {
		tr.t.Fatalf("%d requests are kept, %d are queued", len(b.requests), b.queued)
	}
}

// In random traces each request has one answer, none runs a second time that is not idempotent, there
// are never more in flight than slots, nothing goes to an upstream that is not ready, nothing waits
// longer than its time, a request is rejected only where it has not run, and each retry is charged.
func TestBalancerRandomTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTrace(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			tr.h.advance(time.Duration(rapid.IntRange(0, 25).Draw(t, "ms")) * ms)
			tr.step()
			tr.check()
		}
		tr.finish()
	})
}
