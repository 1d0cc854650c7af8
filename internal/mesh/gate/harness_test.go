package gate

import (
	"fmt"
	"time"

	"caperarch/policy"
)

const ms = time.Millisecond

// harness drives a gate, and is the policy.Host that records the gate's decisions as text.
type harness struct {
	policy.Host // nil: methods that the gate does not call
	gate        *Gate
	now         time.Duration
	lastSend    uint64
	decisions   []string
	wakes       []time.Duration
	onSend      func(policy.RequestID)
	onAnswer    func(policy.RequestID)
}

// newHarness returns a harness with upstream 1, which has the given number of slots.
func newHarness(slots float64) *harness {
	h := &harness{onSend: func(policy.RequestID) {}, onAnswer: func(policy.RequestID) {}}
	h.gate = New(h)
	h.list(policy.ListFull, 1, policy.Ready, slots)
	return h
}

func (h *harness) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	h.Log(fmt.Sprintf("send %d to %d for %v", id, to, timeout))
	h.onSend(id)
}

func (h *harness) Refuse(id policy.RequestID, retryAfter time.Duration) {
	h.Log(fmt.Sprintf("refuse %d %v", id, retryAfter))
	h.onAnswer(id)
}

func (h *harness) Fail(id policy.RequestID) {
	h.Log(fmt.Sprintf("fail %d", id))
	h.onAnswer(id)
}

func (h *harness) Cancel(id policy.RequestID, attempt int) {
	h.Log(fmt.Sprintf("cancel %d, attempt %d", id, attempt))
}

func (h *harness) Wake(d time.Duration) { h.wakes = append(h.wakes, h.now+d) }
func (h *harness) Log(line string)      { h.decisions = append(h.decisions, line) }

// list applies an update of one upstream, and returns the decisions.
func (h *harness) list(
	kind policy.ListKind, id policy.ServerID, state policy.State, slots float64,
) []string {
	h.gate.List(h.now, kind, []policy.Server{{ID: id, State: state, Weight: slots}})
	return h.takeDecisions()
}

// request delivers a non-idempotent request that was not sent before, and returns the decisions.
func (h *harness) request(
	id policy.RequestID, priority int, remaining, latencyTarget time.Duration,
) []string {
	h.lastSend++
	return h.requestWithTerms(id, &AttemptTerms{
		Priority: priority, LatencyTarget: latencyTarget,
		AttemptIDHash: HashAttemptID(fmt.Sprint(id)), SendID: SendID{Number: h.lastSend},
	}, remaining)
}

// idempotentRequest delivers an idempotent request of the default priority, and returns the decisions.
func (h *harness) idempotentRequest(id policy.RequestID, remaining time.Duration) []string {
	return h.requestWithTerms(id, &AttemptTerms{Priority: defaultPriority, Idempotent: true}, remaining)
}

// disconnect reports that the caller of a request has left, and returns the decisions.
func (h *harness) disconnect(id policy.RequestID) []string {
	h.gate.ClientGone(h.now, id)
	return h.takeDecisions()
}

// requestWithTerms delivers a request with the given terms, and returns the decisions.
func (h *harness) requestWithTerms(
	id policy.RequestID, terms *AttemptTerms, remaining time.Duration,
) []string {
	h.gate.Request(h.now, policy.Request{ID: id, TimeLeft: remaining, Attributes: terms})
	return h.takeDecisions()
}

// endAttempt advances the time and ends the attempt of a request, and returns the decisions.
func (h *harness) endAttempt(
	after time.Duration, id policy.RequestID, ending policy.Ending,
) []string {
	h.now += after
	h.gate.Outcome(h.now, policy.Outcome{ID: id, Ending: ending})
	return h.takeDecisions()
}

// wake sets the time and calls Wake, and returns the decisions.
func (h *harness) wake(at time.Duration) []string {
	h.now = at
	h.gate.Wake(at)
	return h.takeDecisions()
}

// takeDecisions returns the decisions since its last call.
func (h *harness) takeDecisions() (decisions []string) {
	decisions, h.decisions = h.decisions, nil
	return decisions
}
