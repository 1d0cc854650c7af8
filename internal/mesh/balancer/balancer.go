// Package balancer decides, at the sidecar beside a caller, when and where each request goes: it is
// a decision module, with neither I/O nor a clock of its own.
//
// Its design is the bulkhead: each tenant, and each service for requests without a tenant, has a
// compartment, that is a number of slots and a short queue. A request that finds both full is
// rejected at once. A request occupies a slot while it has an attempt in flight. The upstream is
// selected by smooth weighted round robin over those that are ready, weighted by the slots that they
// report. What this sidecar knows of their load is what their gates report with each response: a full
// one is passed over.
//
// Promises: each request gets one answer; one that may have run is sent again only if it is
// idempotent; a request is rejected only where it has not run; attempts after the first that reached
// an upstream are charged to the retry budget.
//
// A Balancer has no goroutines. One goroutine drives it, as policy.Balancer says.
package balancer

import (
	"time"

	"caperarch/policy"
)

// deadlineMargin before its deadline a request is given up: a later answer would be too late.
const deadlineMargin = 5 * time.Millisecond

// RetryBudget bounds the attempts of a service's requests that reach an upstream after the first one
// that did. The service is given by its number.
type RetryBudget interface {
	// RecordRequest counts a request.
	RecordRequest(now time.Duration, service int)
	// Allowed reports whether one more retry may be sent.
	Allowed(now time.Duration, service int) bool
	// Charge charges a retry that is sent to the budget.
	Charge(now time.Duration, service int)
}

// Config is what a Balancer is made of.
type Config struct {
	Zone        int        // policy.Server.Zone of the upstreams in this sidecar's zone
	Members     func() int // sidecars that share the upstreams, at least 1
	RetryBudget RetryBudget
}

// Balancer is the decision module.
type Balancer struct {
	cfg      Config
	host     policy.Host
	requests map[policy.RequestID]*request

	upstreams        []*upstream     // in the order of their ids, so that all sidecars pick alike
	totalSlots       float64         // of the ready upstreams
	virtualTime      map[int]float64 // of the round robin, by service number
	errorRetryCredit map[int]float64 // retries after failures of the upstream, by service number

	compartments map[string]*compartment
	queued       int // in all compartments
	members      int // that compartments are sized for

	wakeAt   time.Duration // when Wake is due next; 0: nothing was asked for
	sweepAt  time.Duration // when idle compartments are looked for next
	counters policy.Counters
}

// New makes a balancer without upstreams.
func New(cfg Config, host policy.Host) *Balancer {
	return &Balancer{
		cfg: cfg, host: host, members: 1,
		requests:         make(map[policy.RequestID]*request),
		compartments:     make(map[string]*compartment),
		virtualTime:      make(map[int]float64),
		errorRetryCredit: make(map[int]float64),
	}
}

// Start does nothing: a balancer has nothing to do before its first list.
func (b *Balancer) Start(time.Duration) {}

// Request receives a request: it is sent, queued or rejected at once. Its Terms are a *RequestClass.
func (b *Balancer) Request(now time.Duration, q policy.Request) {
	class, ok := q.Attributes.(*RequestClass)
	if !ok || q.TimeLeft <= deadlineMargin || b.requests[q.ID] != nil {
		b.counters.Refused++
		b.host.Refuse(q.ID, 0)
		return
	}
	b.cfg.RetryBudget.RecordRequest(now, class.Service)
	b.earnErrorRetry(class.Service)
	r := newRequest(now, q, class, b.compartmentFor(now, class.Compartment))
	b.requests[q.ID] = r
	b.dispatchQueued(now) // those that wait go first
	if !r.compartment.hasWaiting(class.Service) && b.dispatch(now, r) {
		return
	}
	if len(r.compartment.queue) >= r.compartment.queueSlots {
		b.reject(r)
		return
	}
	b.enqueue(now, r)
}

// Outcome records the end of an attempt.
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

// Wake sends what may be sent by now, rejects what has waited too long and drops idle compartments.
func (b *Balancer) Wake(now time.Duration) {
	if b.wakeAt > 0 && now >= b.wakeAt {
		b.wakeAt = 0
	}
	b.dispatchQueued(now)
	b.removeIdleCompartments(now)
}

// ClientGone ends a request whose client has left; its attempt is cancelled.
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

// StreamStarted records that a client has its answer while that still arrives.
func (b *Balancer) StreamStarted(id policy.RequestID) {
	if r := b.requests[id]; r != nil {
		b.complete(r)
	}
}

// Probed does nothing: gates report with every response, and no health checks are made.
func (b *Balancer) Probed(time.Duration, policy.ServerID, bool, policy.Load) {}

// Reconfigure does nothing: compartments are sized by the shares that requests bring.
func (b *Balancer) Reconfigure(time.Duration, policy.Limits) error { return nil }

// Counters returns counts of what the balancer did since it was made.
func (b *Balancer) Counters() policy.Counters { return b.counters }

// complete closes a request that has its answer. It is dropped once none of its attempts is in
// flight.
func (b *Balancer) complete(r *request) {
	r.answered = true
	b.dequeue(r)
	if r.inFlight {
		return
	}
	b.releaseSlot(r)
	delete(b.requests, r.id)
}

// scheduleWake asks for a Wake after d, unless an earlier one is due.
func (b *Balancer) scheduleWake(now, d time.Duration) {
	d = max(d, time.Millisecond)
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}
