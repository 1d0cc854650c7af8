package gate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"caperarch/policy"

	"pgregory.net/rapid"
)

// gateTrace is a random sequence of events, with the expected state of the requests.
type gateTrace struct {
	t *rapid.T
	h *harness

	slots    int
	upstream policy.ServerID
	ready    bool // whether the upstream is ready

	last           policy.RequestID
	inFlight       []policy.RequestID                 // attempts at the current upstream
	inFlightBefore []policy.RequestID                 // attempts at former upstreams
	waitDeadlines  map[policy.RequestID]time.Duration // of the queued requests
	highest        map[policy.RequestID]bool          // requests of priority 0
	idempotent     map[policy.RequestID]bool
	answered       map[policy.RequestID]bool
}

// maxTraceSlots is the largest number of slots of an upstream in a trace.
const maxTraceSlots = 6

func newGateTrace(t *rapid.T) *gateTrace {
	tr := &gateTrace{
		t: t, h: newHarness(3), slots: 3, upstream: 1, ready: true,
		waitDeadlines: map[policy.RequestID]time.Duration{},
		highest:       map[policy.RequestID]bool{},
		idempotent:    map[policy.RequestID]bool{},
		answered:      map[policy.RequestID]bool{},
	}
	tr.h.onAnswer = tr.recordAnswer
	tr.h.onSend = tr.recordSend
	return tr
}

func (tr *gateTrace) recordAnswer(id policy.RequestID) {
	if tr.answered[id] {
		tr.t.Fatalf("request %d was answered a second time, want one answer", id)
	}
	tr.answered[id] = true
	delete(tr.waitDeadlines, id)
}

func (tr *gateTrace) recordSend(id policy.RequestID) {
	_, waiting := tr.waitDeadlines[id]
	if !waiting || !tr.ready || len(tr.inFlight) >= tr.slots {
		tr.t.Fatalf("request %d sent: waiting %v, upstream ready %v, %d attempts in flight for %d slots",
			id, waiting, tr.ready, len(tr.inFlight), tr.slots)
	}
	delete(tr.waitDeadlines, id)
	tr.inFlight = append(tr.inFlight, id)
}

// advance moves the time forward, with all wakes that become due, and checks that no request waits too long.
func (tr *gateTrace) advance(d time.Duration) {
	h, to := tr.h, tr.h.now+d
	for slices.Sort(h.wakes); len(h.wakes) > 0 && h.wakes[0] <= to; slices.Sort(h.wakes) {
		at := h.wakes[0]
		h.wakes = h.wakes[1:]
		h.wake(at)
	}
	h.now = to
	for id, until := range tr.waitDeadlines {
		if h.now >= until {
			tr.t.Fatalf("request %d is still queued at %v, want it sent or answered before %v", id, h.now, until)
		}
	}
}

// end ends attempt i of a list of attempts in flight.
func (tr *gateTrace) end(inFlight *[]policy.RequestID, i int, ending policy.Ending) {
	id := (*inFlight)[i]
	*inFlight = slices.Delete(*inFlight, i, i+1)
	if ending == policy.Served && !tr.answered[id] {
		tr.recordAnswer(id) // the engine answers the client before it reports the outcome
	}
	tr.h.gate.Outcome(tr.h.now, policy.Outcome{ID: id, Ending: ending, Finished: tr.answered[id]})
}

// step generates and delivers a random event.
func (tr *gateTrace) step() {
	t := tr.t
	ending := policy.Ending(rapid.IntRange(int(policy.Served), int(policy.GateRejected)).Draw(t, "ending"))
	switch what := rapid.IntRange(0, 12).Draw(t, "what"); {
	case what == 0 && tr.ready:
		tr.slots = rapid.IntRange(1, maxTraceSlots).Draw(t, "slots")
		tr.h.list(policy.ListDelta, tr.upstream, policy.Ready, float64(tr.slots))
	case what == 1 && tr.ready:
		tr.ready = false
		state := rapid.SampledFrom([]policy.State{policy.Draining, policy.Deregistered}).Draw(t, "state")
		tr.h.list(policy.ListDelta, tr.upstream, state, 1)
	case what == 1:
		tr.replaceUpstream()
	case what == 2 && tr.last > 0:
		tr.disconnect()
	case what == 3 && len(tr.inFlightBefore) > 0:
		tr.end(&tr.inFlightBefore, 0, ending)
	case what <= 7 && len(tr.inFlight) > 0:
		tr.end(&tr.inFlight, rapid.IntRange(0, len(tr.inFlight)-1).Draw(t, "which"), ending)
	default:
		for range rapid.IntRange(1, 8).Draw(t, "burst") {
			tr.request()
		}
	}
}

// replaceUpstream lists a new, ready instance in place of an upstream that is not ready.
func (tr *gateTrace) replaceUpstream() {
	tr.inFlightBefore = append(tr.inFlightBefore, tr.inFlight...)
	tr.inFlight = nil
	tr.upstream++
	tr.ready = true
	tr.h.list(policy.ListDelta, tr.upstream, policy.Ready, float64(tr.slots))
}

// disconnect reports that the caller of one of the last ten requests has left. The attempt must be cancelled if and
// only if the request is idempotent and in flight.
func (tr *gateTrace) disconnect() {
	back := policy.RequestID(rapid.IntRange(0, 9).Draw(tr.t, "back"))
	id := tr.last - min(tr.last-1, back)
	inFlight := slices.Contains(tr.inFlight, id) || slices.Contains(tr.inFlightBefore, id)
	tr.answered[id] = true
	delete(tr.waitDeadlines, id)
	tr.h.takeDecisions()
	cancelled := slices.ContainsFunc(tr.h.disconnect(id), func(decision string) bool {
		return strings.HasPrefix(decision, "cancel")
	})
	if cancelled != (inFlight && tr.idempotent[id]) {
		tr.t.Fatalf("request %d, in flight %v, idempotent %v: cancelled %v, want a cancellation only if both hold",
			id, inFlight, tr.idempotent[id], cancelled)
	}
}

// request delivers a request with random attributes. The request may wait for a quarter of its remaining time, a
// request of priority 0 for half.
func (tr *gateTrace) request() {
	tr.last++
	remaining := time.Duration(rapid.IntRange(-10, 1000).Draw(tr.t, "remaining")) * ms
	priority := rapid.IntRange(-1, 20).Draw(tr.t, "priority")
	wait := remaining / 4
	if priority <= 0 {
		wait = remaining / 2
		tr.highest[tr.last] = true
	}
	tr.waitDeadlines[tr.last] = tr.h.now + wait
	if tr.idempotent[tr.last] = rapid.Bool().Draw(tr.t, "idempotent"); tr.idempotent[tr.last] {
		tr.h.requestWithTerms(tr.last, &AttemptTerms{Priority: priority, Idempotent: true}, remaining)
		return
	}
	tr.h.request(tr.last, priority, remaining, 0)
}

// checkLoad compares the published load with the expected load, and checks the bounds of the queue.
func (tr *gateTrace) checkLoad() {
	inFlight, queued, _ := tr.h.gate.Load()
	highestQueued := 0
	for id := range tr.waitDeadlines {
		if tr.highest[id] {
			highestQueued++
		}
	}
	if inFlight != len(tr.inFlight) || queued != len(tr.waitDeadlines) {
		tr.t.Fatalf("published load: %d in flight, %d queued; want %d in flight, %d queued",
			inFlight, queued, len(tr.inFlight), len(tr.waitDeadlines))
	}
	if queued-highestQueued > max(2, tr.slots) || highestQueued > highPriorityQueueFactor*maxTraceSlots {
		tr.t.Fatalf("%d requests queued for %d slots, %d of them of priority 0: too many", queued, tr.slots, highestQueued)
	}
}

// finish advances the time until Wake has emptied the queue, ends all attempts, and checks that each request has an
// answer.
func (tr *gateTrace) finish() {
	tr.advance(time.Minute)
	for len(tr.inFlight) > 0 {
		tr.end(&tr.inFlight, 0, policy.Served)
	}
	for len(tr.inFlightBefore) > 0 {
		tr.end(&tr.inFlightBefore, 0, policy.Served)
	}
	if len(tr.answered) != int(tr.last) {
		tr.t.Fatalf("%d of %d requests have an answer, want all", len(tr.answered), tr.last)
	}
}

// In random traces, no attempt is sent beyond the number of slots or to an upstream that is draining or deregistered,
// no request waits longer than its share of its remaining time, and each request has exactly one answer.
func TestGateRandomTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newGateTrace(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			tr.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * ms)
			tr.step()
			tr.checkLoad()
		}
		tr.finish()
	})
}

// arrival identifies a send of a non-idempotent request.
type arrival struct {
	id   string
	send uint64
}

// attemptTrace is a random sequence of first arrivals, repeated arrivals and ends of attempts.
type attemptTrace struct {
	t *rapid.T
	h *harness

	last     policy.RequestID
	arrivals map[policy.RequestID]arrival
	inFlight []policy.RequestID
	executed map[string]bool  // by id; reset to false if the attempt provably did not run
	rejected map[arrival]bool // sends that were rejected and must never run
}

func newAttemptTrace(t *rapid.T) *attemptTrace {
	tr := &attemptTrace{
		t: t, h: newHarness(2), arrivals: map[policy.RequestID]arrival{},
		executed: map[string]bool{}, rejected: map[arrival]bool{},
	}
	tr.h.onSend = tr.recordSend
	tr.h.onAnswer = tr.recordAnswer
	return tr
}

func (tr *attemptTrace) recordSend(id policy.RequestID) {
	a := tr.arrivals[id]
	if tr.executed[a.id] {
		tr.t.Fatalf("request %s was sent a second time after an attempt that may have run", a.id)
	}
	if tr.rejected[a] {
		tr.t.Fatalf("request %s was sent to the upstream after its send %d was rejected", a.id, a.send)
	}
	tr.executed[a.id] = true
	tr.inFlight = append(tr.inFlight, id)
}

// recordAnswer checks the gate's last answer. From then on, the promise of a rejection must hold.
func (tr *attemptTrace) recordAnswer(id policy.RequestID) {
	a := tr.arrivals[id]
	if !strings.HasPrefix(tr.h.decisions[len(tr.h.decisions)-1], "refuse") {
		return
	}
	if tr.executed[a.id] {
		tr.t.Fatalf("request %s was rejected as not executed after an attempt that may have run", a.id)
	}
	tr.rejected[a] = true
}

// arrive delivers a random send of one of five requests, for the first time or again.
func (tr *attemptTrace) arrive() {
	tr.last++
	a := arrival{
		id:   fmt.Sprint(rapid.IntRange(0, 4).Draw(tr.t, "id")),
		send: rapid.Uint64Range(1, 6).Draw(tr.t, "send"),
	}
	tr.arrivals[tr.last] = a
	tr.h.gate.Request(tr.h.now, policy.Request{
		ID: tr.last, TimeLeft: time.Second, Attributes: nonIdempotentTerms(a.id, 7, a.send),
	})
}

// endOne ends a random attempt in flight.
func (tr *attemptTrace) endOne() {
	i := rapid.IntRange(0, len(tr.inFlight)-1).Draw(tr.t, "which")
	id := tr.inFlight[i]
	tr.inFlight = slices.Delete(tr.inFlight, i, i+1)
	ending := rapid.SampledFrom([]policy.Ending{
		policy.Served, policy.ConnectionLost, policy.NoConnection, policy.NotProcessed,
	}).Draw(tr.t, "ending")
	if ending == policy.NoConnection || ending == policy.NotProcessed {
		tr.executed[tr.arrivals[id].id] = false
	}
	tr.h.gate.Outcome(tr.h.now, policy.Outcome{ID: id, Ending: ending})
}

// In random traces, no request is sent to the upstream a second time unless its attempt provably did not run, no send
// reaches the upstream after it was rejected, and no request is rejected as not executed after it may have run.
func TestAttemptLogRandomTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newAttemptTrace(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			tr.h.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
			tr.h.takeDecisions()
			if len(tr.inFlight) > 0 && rapid.Bool().Draw(t, "end") {
				tr.endOne()
			} else {
				tr.arrive()
			}
		}
	})
}
