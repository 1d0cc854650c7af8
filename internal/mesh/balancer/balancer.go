// Package balancer decides, at the sidecar beside a caller, when and where each request goes: it is
// an engine's decision module, free of I/O, with time passed in.
//
// The design is the bulkhead's: each tenant, and each service for requests without one, has a
// compartment of its own, a semaphore of slots with a short queue; who finds both full is refused
// at once. A slot is held for an attempt's life. The upstream is the one whose turn it is by smooth
// weighted round robin over those that are ready, weighted by the slots that they report. What this
// sidecar knows of them beyond the catalogue is what their gates told with the last answers: one
// that is full loses its turn.
package balancer

import (
	"time"

	"caperarch/policy"
)

const (
	// waitShare of the aim is the longest that a request may wait here and be refused still in
	// time to be served elsewhere or later.
	maxWaitFraction = 0.2
	// urgentShare of all its time is the same for a request of the highest rank.
	highestPriorityWaitFraction = 0.4
	// errorShare of a service's requests may have another run after the upstream's own failure:
	// one in so many is chance, more is a fault that further runs only feed (what a run calls is
	// called again with it). errorMost may come at once.
	errorRetryFraction = 0.02
	maxErrorRetries    = 4
	// pauseLeast and pauseMost bound what a refused client is told to wait.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Second
	// failPause is how long an upstream has no turns after a failure to reach it, doubled up to
	// failDouble times.
	failureBackoff      = 40 * time.Millisecond
	maxBackoffDoublings = 4
	// gatedFor is how long an upstream has no turns whose gate turned a request back, unless an
	// answer tells of room before.
	gateRejectionBackoff = 15 * time.Millisecond
	// toldFor is how long a gate's word on its load is believed.
	loadReportTTL = 400 * time.Millisecond
	// nearFull is the share of an upstream's slots up to which one in the caller's own zone is
	// preferred: crossing zones has a price, a queue a higher one.
	localZoneLoadLimit = 0.75
	// overFull is how far beyond its slots, as a share of them, an upstream is sent to where all
	// are full: its gate's queue is short.
	overloadAllowance = 0.5
	// endMargin before its deadline a request is given up: an answer later than that comes too late.
	deadlineMargin = 5 * time.Millisecond
	// forgetAfter is how long an empty compartment that nobody asked for is kept.
	idleCompartmentTTL = 30 * time.Second
)

// RequestClass is what a request asks for: policy.Request.Terms.
type RequestClass struct {
	Service       int // number of the service that is to run it, as policy.Server.Cell has it
	Compartment   CompartmentSpec
	Tenant        string        // "": none
	Priority      int           // 0 goes first
	Idempotent    bool          // it may run more than once
	MaxAttempts   int           // upstreams that it may be sent to at most
	LatencyTarget time.Duration // an answer within this is worth all
}

// RetryBudget bounds arrivals at a service after each request's first.
type RetryBudget interface {
	RecordRequest(now time.Duration, service int)
	Allowed(now time.Duration, service int) bool
	Charge(now time.Duration, service int)
}

// Config is what a Balancer is made of.
type Config struct {
	Zone        int        // policy.Server.Zone of those beside us
	Members     func() int // sidecars that share the upstreams, at least 1
	RetryBudget RetryBudget
}

// Balancer is the module. One goroutine calls it.
type Balancer struct {
	cfg              Config
	host             policy.Host
	requests         map[policy.RequestID]*request
	servers          []*upstream // by id, so that turns are the same everywhere
	compartments     map[string]*compartment
	waiting          int
	totalSlots       float64 // slots of all that are ready
	members          int
	virtualTime      map[int]float64 // time of round robin, by service
	errorRetryCredit map[int]float64 // runs after a failure that a service has left
	wakeAt           time.Duration
	sweepAt          time.Duration
	counters         policy.Counters
}

type request struct {
	id              policy.RequestID
	class           *RequestClass
	compartment     *compartment
	arrived         time.Duration
	deadline        time.Duration
	waitDeadline    time.Duration // it waits no longer than this before its first send
	attempts        []attempt
	arrivals        int // attempts that came to an upstream, or may have
	chargedArrivals int // of the further ones, that the budget was charged with
	inFlight        bool
	holdsSlot       bool // it holds a slot of its compartment
	answered        bool
	mayHaveRun      bool // an attempt that failed may have run
}

// New makes one.
func New(cfg Config, host policy.Host) *Balancer {
	return &Balancer{
		cfg: cfg, host: host, members: 1,
		requests:         make(map[policy.RequestID]*request),
		compartments:     make(map[string]*compartment),
		virtualTime:      make(map[int]float64),
		errorRetryCredit: make(map[int]float64),
	}
}

// Start begins its life.
func (b *Balancer) Start(time.Duration) {}

// Request takes a request on.
func (b *Balancer) Request(now time.Duration, q policy.Request) {
	o, ok := q.Terms.(*RequestClass)
	if !ok || q.Left <= deadlineMargin || b.requests[q.ID] != nil {
		b.counters.Refused++
		b.host.Refuse(q.ID, 0)
		return
	}
	b.cfg.RetryBudget.RecordRequest(now, o.Service)
	b.errorRetryCredit[o.Service] = min(maxErrorRetries, b.errorRetryCredit[o.Service]+errorRetryFraction)
	r := &request{
		id: q.ID, class: o, compartment: b.compartmentFor(now, o.Compartment), arrived: now, deadline: now + q.Left - deadlineMargin,
	}
	r.waitDeadline = min(r.deadline, now+time.Duration(maxWaitFraction*float64(o.LatencyTarget)))
	if o.Priority == 0 { // an internal check has no other try, and takes the request that made it along
		r.waitDeadline = min(r.deadline, max(r.waitDeadline, now+time.Duration(highestPriorityWaitFraction*float64(q.Left))))
	}
	b.requests[q.ID] = r
	b.dispatchQueued(now) // who waits goes first
	if !r.compartment.hasWaiting(o.Service) && b.dispatch(now, r) {
		return
	}
	if len(r.compartment.queue) >= r.compartment.queueSlots {
		b.reject(r)
		return
	}
	b.enqueue(now, r, false)
}

func (b *Balancer) scheduleWake(now, d time.Duration) {
	d = max(d, time.Millisecond)
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.Wake(d)
	}
}

// Wake takes that a time asked for has come.
func (b *Balancer) Wake(now time.Duration) {
	if b.wakeAt > 0 && now >= b.wakeAt {
		b.wakeAt = 0
	}
	b.dispatchQueued(now)
	b.removeIdleCompartments(now)
}

// feed gives free slots and turns to what waits, and refuses what waited too long.
func (b *Balancer) dispatchQueued(now time.Duration) {
	if b.waiting == 0 {
		return
	}
	next := now + time.Hour
	for _, c := range b.compartments {
		for i := 0; i < len(c.queue); {
			r := c.queue[i]
			switch {
			case now >= r.waitDeadline:
				b.reject(r) // which takes it out
			case b.dispatch(now, r):
				b.dequeue(r)
			default:
				next = min(next, r.waitDeadline, b.nextAvailable(now, r))
				i++
			}
		}
	}
	if b.waiting > 0 {
		b.scheduleWake(now, next-now)
	}
}

// ClientGone takes that a request's client has gone; its attempt is called off.
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

// StreamBegun takes that an answer is its client's while it still comes.
func (b *Balancer) StreamBegun(id policy.RequestID) {
	if r := b.requests[id]; r != nil {
		b.complete(r)
	}
}

// Probed has nothing to tell: gates tell with every answer.
func (b *Balancer) Probed(time.Duration, policy.ServerID, bool, policy.Load) {}

// Reconfigure changes nothing: compartments are sized by the shares that requests bring.
func (b *Balancer) Reconfigure(time.Duration, policy.Limits) error { return nil }

// Counters tell what it did so far.
func (b *Balancer) Counters() policy.Counters { return b.counters }
