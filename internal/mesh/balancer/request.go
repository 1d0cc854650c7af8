package balancer

import (
	"time"

	"caperarch/policy"
)

const (
	// maxWaitFraction of its latency target is the longest that a request may wait here and still be
	// rejected in time to be served later.
	maxWaitFraction = 0.2
	// highestPriorityWaitFraction of all its time is the same for a request of the highest priority.
	highestPriorityWaitFraction = 0.4
)

// RequestClass is what the balancer decides by; policy.Request.Attributes holds it.
type RequestClass struct {
	Service       int // number of its service, the policy.Server.Cell of its upstreams
	Compartment   CompartmentSpec
	Tenant        string        // "": none
	Priority      int           // 0 is the highest
	Idempotent    bool          // it may run more than once
	MaxAttempts   int           // upstreams that it may reach
	LatencyTarget time.Duration // an answer within this earns its full value
	ConfigVersion int64         // of the configuration that the rest is from
}

// request is one that has no answer yet, or whose attempt is still in flight.
type request struct {
	id           policy.RequestID
	class        *RequestClass
	compartment  *compartment
	deadline     time.Duration
	waitDeadline time.Duration // it is queued no longer than this

	attempts        []attempt
	arrivals        int // attempts that reached an upstream, or may have
	chargedArrivals int // arrivals when the retry budget was charged last

	inFlight   bool // its last attempt
	holdsSlot  bool // of its compartment
	answered   bool
	mayHaveRun bool // an attempt that failed may have run
}

// attempt is one send of a request.
type attempt struct {
	upstream       *upstream // nil: it may be selected once more, see clearGateRejections
	rejectedByGate bool
	done           bool
}

// newRequest is a request that arrives now.
func newRequest(now time.Duration, q policy.Request, class *RequestClass, c *compartment) *request {
	r := &request{id: q.ID, class: class, compartment: c, deadline: now + q.TimeLeft - deadlineMargin}
	wait := time.Duration(maxWaitFraction * float64(class.LatencyTarget))
	if class.Priority == 0 { // if it fails, so does the request that made it
		wait = max(wait, time.Duration(highestPriorityWaitFraction*float64(q.TimeLeft)))
	}
	r.waitDeadline = min(r.deadline, now+wait)
	return r
}

// attempted reports whether a request was sent to an upstream.
func (r *request) attempted(u *upstream) bool {
	for i := range r.attempts {
		if r.attempts[i].upstream == u {
			return true
		}
	}
	return false
}

// clearGateRejections lets upstreams whose gates rejected a request be selected once more.
func (r *request) clearGateRejections() {
	for i := range r.attempts {
		if r.attempts[i].rejectedByGate {
			r.attempts[i].upstream = nil
		}
	}
}
