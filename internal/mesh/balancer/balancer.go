// Package balancer implements the load balancer of the sidecar beside a caller. A Balancer is a decision module,
// without I/O and without a clock of its own: it decides when and to which upstream instance each request is sent.
//
// The design follows the bulkhead pattern. Each tenant has a compartment, which is a number of slots and a short queue;
// requests without a tenant are grouped into compartments by service. A request occupies a slot while it has an attempt
// in flight. A request that finds the slots and the queue of its compartment full is rejected at once.
//
// Upstreams are selected by smooth weighted round robin over the ready instances, weighted by their numbers of slots.
// The gate, which is the admission control of the sidecar beside an upstream, reports the upstream's load with each
// response. An upstream that is known to be full is selected only if all upstreams are full.
//
// A Balancer guarantees:
//
//   - Each request gets exactly one answer.
//   - A request that may have run is sent again only if it is idempotent.
//   - A request is rejected only if it has not run.
//   - A request that reached an upstream is retried only within the retry budget.
//
// A Balancer has no goroutines: package engine reports events to it, and executes its decisions as the policy.Host. All
// its methods are called from one goroutine, under the rules of policy.Balancer.
package balancer

import (
	"time"

	"caperarch/policy"
)

// deadlineMargin is how long before the client's deadline a request ends: a later answer would reach the client too
// late.
const deadlineMargin = 5 * time.Millisecond

// RetryBudget limits the retries of each service. A retry is an attempt that follows an attempt that reached an
// upstream. Services are identified by their numbers.
type RetryBudget interface {
	// RecordRequest counts a new request.
	RecordRequest(now time.Duration, service int)
	// Allowed reports whether the budget allows one more retry.
	Allowed(now time.Duration, service int) bool
	// Charge charges a retry to the budget, when the retry is sent.
	Charge(now time.Duration, service int)
}

// Config holds the settings of a Balancer.
type Config struct {
	Zone         int        // policy.Server.Zone of the upstreams in this sidecar's zone
	SidecarCount func() int // number of sidecars that share the upstreams, at least 1
	RetryBudget  RetryBudget
}

// Balancer decides when and to which upstream each request of one sidecar is sent.
type Balancer struct {
	cfg      Config
	host     policy.Host
	requests map[policy.RequestID]*request

	upstreams        []*upstream     // in the order of their ids, so that all sidecars break ties alike
	totalSlots       float64         // slots of all ready upstreams
	virtualTime      map[int]float64 // virtual time of the round robin, by service number
	errorRetryCredit map[int]float64 // allowed retries after policy.Errored, by service number

	compartments map[string]*compartment
	queued       int // requests queued in all compartments
	sidecarCount int // number of sidecars for which the compartments are sized

	wakeAt   time.Duration // time of the requested Wake; 0: no Wake was requested
	sweepAt  time.Duration // time of the next removal of idle compartments
	counters policy.Counters
}

// New returns a balancer without upstreams.
func New(cfg Config, host policy.Host) *Balancer {
	return &Balancer{
		cfg: cfg, host: host, sidecarCount: 1,
		requests:         make(map[policy.RequestID]*request),
		compartments:     make(map[string]*compartment),
		virtualTime:      make(map[int]float64),
		errorRetryCredit: make(map[int]float64),
	}
}

// Start does nothing: a balancer has no work before its first List.
func (b *Balancer) Start(time.Duration) {}

// Request sends, queues or rejects an arriving request. The request's Attributes are a *RequestClass; a request with
// other Attributes is rejected.
func (b *Balancer) Request(now time.Duration, q policy.Request) {
	class, ok := q.Attributes.(*RequestClass)
	if !ok || q.TimeLeft <= deadlineMargin || b.requests[q.ID] != nil {
		b.counters.Refused++
		b.host.Refuse(q.ID, 0)
		return
	}
	b.cfg.RetryBudget.RecordRequest(now, class.Service)
	b.addErrorRetryCredit(class.Service)
	r := newRequest(now, q, class, b.compartmentFor(now, class.Compartment))
	b.requests[q.ID] = r
	b.dispatchQueued(now) // queued requests take precedence over the new request
	if !r.compartment.hasQueued(class.Service) && b.dispatch(now, r) {
		return
	}
	if len(r.compartment.queue) >= r.compartment.queueSlots {
		b.reject(r)
		return
	}
	b.enqueue(now, r)
}

// Outcome records the end of an attempt. A request without an answer is then retried or answered.
func (b *Balancer) Outcome(now time.Duration, o policy.Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done, r.inFlight = true, false
	u := a.upstream
	u.inFlight--
	u.reportedLoad = max(0, u.reportedLoad-1)
	if o.Load.Has&policy.HasInFlight != 0 && o.Ending != policy.NotSent {
		u.reportedLoad, u.reportedAt = o.Load.InFlight, now
	}
	b.recordOutcome(now, a, o.Ending)
	if r.answered || o.Finished || o.Ending == policy.Served {
		b.complete(r)
	} else {
		b.retry(now, r, o.Ending)
	}
	b.dispatchQueued(now)
}

// Wake sends queued requests for which a slot and an upstream are available, rejects queued requests whose wait has
// expired, and removes idle compartments.
func (b *Balancer) Wake(now time.Duration) {
	if b.wakeAt > 0 && now >= b.wakeAt {
		b.wakeAt = 0
	}
	b.dispatchQueued(now)
	b.removeIdleCompartments(now)
}

// ClientGone ends a request whose client has left, and cancels the attempt in flight.
func (b *Balancer) ClientGone(now time.Duration, id policy.RequestID) {
	r := b.requests[id]
	if r == nil || r.answered {
		return
	}
	if r.inFlight {
		b.host.Cancel(id, len(r.attempts)-1)
	}
	b.complete(r)
	b.dispatchQueued(now)
}

// StreamStarted records that the client is receiving the answer, while the attempt is still in flight.
func (b *Balancer) StreamStarted(id policy.RequestID) {
	if r := b.requests[id]; r != nil {
		b.complete(r)
	}
}

// Probed does nothing: gates report the load with every response, and the balancer requests no health checks.
func (b *Balancer) Probed(time.Duration, policy.ServerID, bool, policy.Load) {}

// Reconfigure does nothing: each request states the share of its compartment, see CompartmentSpec.
func (b *Balancer) Reconfigure(time.Duration, policy.Limits) error { return nil }

// Counters returns the totals since the balancer was created.
func (b *Balancer) Counters() policy.Counters { return b.counters }

// complete marks a request as answered. The request is removed, and its slot released, once no attempt is in flight.
func (b *Balancer) complete(r *request) {
	r.answered = true
	b.dequeue(r)
	if r.inFlight {
		return
	}
	b.releaseSlot(r)
	delete(b.requests, r.id)
}

// scheduleWake requests a Wake after d, at least 1 ms, unless an earlier Wake was requested.
func (b *Balancer) scheduleWake(now, d time.Duration) {
	d = max(d, time.Millisecond)
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}
