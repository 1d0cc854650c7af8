package gate

import (
	"fmt"
	"time"

	"caperarch/policy"
)

const ms = time.Millisecond

// harness drives a gate, and is the host that records what it decides.
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

// newHarness has an upstream 1 with so many slots.
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

// list updates an upstream.
func (h *harness) list(
	kind policy.ListKind, id policy.ServerID, state policy.State, slots float64,
) []string {
	h.gate.List(h.now, kind, []policy.Server{{ID: id, State: state, Weight: slots}})
	return h.takeDecisions()
}

// request has a non-idempotent request arrive that was never sent before.
func (h *harness) request(
	id policy.RequestID, priority int, remaining, latencyTarget time.Duration,
) []string {
	h.lastSend++
	return h.requestWithTerms(id, &AttemptTerms{
		Priority: priority, LatencyTarget: latencyTarget,
		Key: KeyOf(fmt.Sprint(id)), SendID: SendID{Number: h.lastSend},
	}, remaining)
}

// idempotentRequest has an idempotent request arrive.
func (h *harness) idempotentRequest(id policy.RequestID, remaining time.Duration) []string {
	return h.requestWithTerms(id, &AttemptTerms{Priority: defaultPriority, Idempotent: true}, remaining)
}

// leave has the caller of a request leave.
func (h *harness) leave(id policy.RequestID) []string {
	h.gate.ClientGone(h.now, id)
	return h.takeDecisions()
}

// requestWithTerms has a request arrive.
func (h *harness) requestWithTerms(
	id policy.RequestID, terms *AttemptTerms, remaining time.Duration,
) []string {
	h.gate.Request(h.now, policy.Request{ID: id, TimeLeft: remaining, Attributes: terms})
	return h.takeDecisions()
}

// endAttempt ends an attempt after some more time.
func (h *harness) endAttempt(
	after time.Duration, id policy.RequestID, ending policy.Ending,
) []string {
	h.now += after
	h.gate.Outcome(h.now, policy.Outcome{ID: id, Ending: ending})
	return h.takeDecisions()
}

// wake moves the time on and calls Wake.
func (h *harness) wake(at time.Duration) []string {
	h.now = at
	h.gate.Wake(at)
	return h.takeDecisions()
}

// takeDecisions returns what was decided since the last call.
func (h *harness) takeDecisions() (decisions []string) {
	decisions, h.decisions = h.decisions, nil
	return decisions
}
