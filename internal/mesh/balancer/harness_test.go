package balancer

import (
	"fmt"
	"slices"
	"time"

	"caperarch/internal/proxy/engine"
	"caperarch/policy"
)

var _ engine.Module = (*Balancer)(nil)

const ms = time.Millisecond

// harness drives a balancer in zone 0. It is the policy.Host that records the balancer's decisions as text, and the
// RetryBudget that counts charged retries.
type harness struct {
	policy.Host    // nil: methods that the balancer does not call
	balancer       *Balancer
	now            time.Duration
	decisions      []string
	wakes          []time.Duration
	allowedRetries int
	chargedRetries int
	onSend         func(id policy.RequestID, to policy.ServerID, timeout time.Duration)
	onAnswer       func(id policy.RequestID, failed bool)
}

func newHarness(servers ...policy.Server) *harness {
	h := &harness{
		now:      time.Second,
		onSend:   func(policy.RequestID, policy.ServerID, time.Duration) {},
		onAnswer: func(policy.RequestID, bool) {},
	}
	h.balancer = New(Config{Zone: 0, SidecarCount: func() int { return 1 }, RetryBudget: h}, h)
	h.balancer.Start(h.now)
	h.balancer.List(h.now, policy.ListFull, servers)
	return h
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

func (h *harness) Wake(d time.Duration) { h.wakes = append(h.wakes, h.now+d) }

func (h *harness) RecordRequest(time.Duration, int)    {}
func (h *harness) Allowed(_ time.Duration, _ int) bool { return h.allowedRetries > h.chargedRetries }
func (h *harness) Charge(time.Duration, int)           { h.chargedRetries++ }

// ready returns a ready server of service 0.
func ready(id policy.ServerID, zone int, slots float64) policy.Server {
	return policy.Server{ID: id, Zone: zone, State: policy.Ready, Weight: slots}
}

// newClass returns the class of an idempotent request for service 0 with two attempts, in a compartment of all slots.
func newClass(change ...func(*RequestClass)) *RequestClass {
	class := &RequestClass{
		Compartment: CompartmentSpec{Name: "all", Share: 1}, Priority: 1, Idempotent: true,
		MaxAttempts: 2, LatencyTarget: 500 * ms,
	}
	for _, c := range change {
		c(class)
	}
	return class
}

// request delivers a request with a remaining time of 1 s, and returns the decisions.
func (h *harness) request(id policy.RequestID, class *RequestClass) []string {
	h.balancer.Request(h.now, policy.Request{ID: id, TimeLeft: time.Second, Attributes: class})
	return h.takeDecisions()
}

// endAttempt ends an attempt, optionally with the load that the gate reports, and returns the decisions.
func (h *harness) endAttempt(
	id policy.RequestID, attempt int, ending policy.Ending, load ...float64,
) []string {
	o := policy.Outcome{ID: id, Attempt: attempt, Ending: ending, Finished: ending == policy.Served}
	if len(load) > 0 {
		o.Load = policy.Load{Has: policy.HasInFlight, InFlight: load[0]}
	}
	h.balancer.Outcome(h.now, o)
	return h.takeDecisions()
}

// serveOneByOne delivers n requests, each of which is served before the next arrives. It returns their upstreams.
func (h *harness) serveOneByOne(from policy.RequestID, n int) (to []policy.ServerID) {
	h.onSend = func(_ policy.RequestID, server policy.ServerID, _ time.Duration) {
		to = append(to, server)
	}
	for id := from; id < from+policy.RequestID(n); id++ {
		h.request(id, newClass())
		h.endAttempt(id, 0, policy.Served)
	}
	h.onSend = func(policy.RequestID, policy.ServerID, time.Duration) {}
	return to
}

// advance moves the time forward, with all wakes that become due, and returns the decisions.
func (h *harness) advance(d time.Duration) []string {
	to := h.now + d
	for slices.Sort(h.wakes); len(h.wakes) > 0 && h.wakes[0] <= to; slices.Sort(h.wakes) {
		h.now, h.wakes = h.wakes[0], h.wakes[1:]
		h.balancer.Wake(h.now)
	}
	h.now = to
	return h.takeDecisions()
}

// takeDecisions returns the decisions since its last call.
func (h *harness) takeDecisions() (decisions []string) {
	decisions, h.decisions = h.decisions, nil
	return decisions
}

func countOf(ids []policy.ServerID, id policy.ServerID) (n int) {
	for _, got := range ids {
		if got == id {
			n++
		}
	}
	return n
}
