package balancer

import (
	"fmt"
	"testing"
	"time"

	"caperarch/policy"

	"pgregory.net/rapid"
)

// endings are the endings of attempts in a trace. Endings that occur twice are drawn more often; 42 is not a defined
// ending.
var endings = []policy.Ending{
	policy.Served, policy.Served, policy.Errored, policy.NotProcessed, policy.TimedOut,
	policy.NoConnection, policy.ConnectionLost, policy.Cancelled, policy.NotSent, policy.InvalidRequest,
	policy.GateRejected, policy.GateRejected, 42,
}

// tracedRequest is the expected state of a request.
type tracedRequest struct {
	class                                   *RequestClass
	deadline, waitDeadline                  time.Duration
	sends, reachedAttempts, chargedAttempts int
	mayHaveRun, inFlight, answered          bool
}

// mayBeSent reports whether the balancer may send another attempt.
func (r *tracedRequest) mayBeSent() bool {
	if r.answered || r.inFlight || r.mayHaveRun && !r.class.Idempotent {
		return false
	}
	return r.reachedAttempts < max(1, r.class.MaxAttempts)
}

// trace is a random sequence of events, with the expected state of requests and upstreams.
type trace struct {
	t        *rapid.T
	h        *harness
	servers  map[policy.ServerID]policy.Server
	requests map[policy.RequestID]*tracedRequest // ids ascend from 1
	inFlight map[string]int                      // number of attempts, by compartment
	charged  int                                 // number of retries that should have been charged
	// ending is the request whose attempt is ending, 0 if none. The request keeps its slot for a retry, even if its
	// compartment has become smaller than the number of slots in use.
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
		tr.t.Fatalf("request %d sent in state %+v, which allows no further attempt", id, r)
	case server.State != policy.Ready || server.Cell != r.class.Service:
		tr.t.Fatalf("request %d for service %d sent to %+v, want a ready server of the service", id, r.class.Service, server)
	case timeout <= 0 || tr.h.now+timeout > r.deadline:
		tr.t.Fatalf("request %d sent with a timeout of %v, want at most %v and above 0", id, timeout, r.deadline-tr.h.now)
	case tr.inFlight[c.name] >= c.slots && id != tr.ending:
		tr.t.Fatalf("compartment %s has %d attempts in flight for %d slots, want no further attempt",
			c.name, tr.inFlight[c.name], c.slots)
	}
	if r.reachedAttempts > r.chargedAttempts {
		r.chargedAttempts = r.reachedAttempts
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
		tr.t.Fatalf("request %d answered, failed %v, in state %+v; want one answer, failed if it may have run", id, failed, r)
	}
	r.answered = true
}

// end ends the last attempt of a request.
func (tr *trace) end(id policy.RequestID, ending policy.Ending, load policy.Load) {
	r := tr.requests[id]
	r.inFlight = false
	tr.inFlight[r.class.Compartment.Name]--
	switch ending {
	case policy.GateRejected, policy.NoConnection, policy.NotSent:
	case policy.NotProcessed:
		r.reachedAttempts++
	case policy.Served:
		r.answered = true // the engine answers the client before it reports the outcome
	default:
		r.reachedAttempts++
		r.mayHaveRun = true
	}
	tr.ending = id
	tr.h.balancer.Outcome(tr.h.now, policy.Outcome{
		ID: id, Attempt: r.sends - 1, Ending: ending, Finished: r.answered, Load: load,
	})
	tr.ending = 0
}

// pick draws one of the requests that satisfy a condition, and returns false if there is none.
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

func isInFlight(r *tracedRequest) bool   { return r.inFlight }
func isUnanswered(r *tracedRequest) bool { return !r.answered }

// step generates and delivers a random event.
func (tr *trace) step() {
	switch what := rapid.IntRange(0, 12).Draw(tr.t, "what"); {
	case what == 0:
		tr.update()
	case what == 1:
		if id, ok := tr.pick(isUnanswered); ok {
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

// update delivers a list event with one random server: a full or cached list of this server alone, or a delta.
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

// request delivers a request with random attributes.
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
		t.Fatalf("request %d is queued among %d requests, want at most %d", id, len(c.queue), c.queueSlots)
	}
}

// check compares the slots in use with the attempts in flight, and checks that no request waits too long.
func (tr *trace) check() {
	for name, c := range tr.h.balancer.compartments {
		if c.usedSlots != tr.inFlight[name] {
			tr.t.Fatalf("compartment %s has %d slots in use, want %d, the number of attempts in flight",
				name, c.usedSlots, tr.inFlight[name])
		}
	}
	for id, r := range tr.requests {
		if !r.answered && !r.inFlight && tr.h.now > r.waitDeadline+ms {
			tr.t.Fatalf("request %d is still queued at %v, want it sent or answered by %v", id, tr.h.now, r.waitDeadline)
		}
	}
}

// finish ends all attempts, and checks that each request has an answer and that the balancer keeps no request.
func (tr *trace) finish() {
	tr.h.advance(time.Minute)
	for id, ok := tr.pick(isInFlight); ok; id, ok = tr.pick(isInFlight) {
		tr.end(id, policy.Served, policy.Load{})
	}
	for id, r := range tr.requests {
		if !r.answered {
			tr.t.Fatalf("request %d has no answer after the end of all attempts, want one", id)
		}
	}
	if b := tr.h.balancer; len(b.requests) > 0 || b.queued > 0 {
		tr.t.Fatalf("the balancer keeps %d requests and counts %d as queued, want none", len(b.requests), b.queued)
	}
}

// In random traces, each request has exactly one answer, a request that may have run is sent again only if it is
// idempotent, no compartment has more attempts in flight than slots, requests are sent to ready upstreams only, no
// request waits past its wait deadline, a request is rejected only if it has not run, and each retry is charged.
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
