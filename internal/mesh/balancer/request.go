package balancer

import (
	"time"

	"caperarch/policy"
)

const (
	// maxWaitFraction is the fraction of its latency target for which a request may be queued. After a rejection, the
	// client still has time for a retry within the target.
	maxWaitFraction = 0.2
	// highestPriorityWaitFraction is the fraction of its remaining time for which a request of priority 0 may be
	// queued, if that is longer.
	highestPriorityWaitFraction = 0.4
)

// RequestClass holds the attributes of a request by which the balancer decides. It is passed in
// policy.Request.Attributes.
type RequestClass struct {
	Service       int // number of the service, equal to policy.Server.Cell of the service's upstreams
	Compartment   CompartmentSpec
	Tenant        string        // "": none
	Priority      int           // 0 is the highest priority
	Idempotent    bool          // the request may run more than once
	MaxAttempts   int           // largest number of attempts that reach an upstream
	LatencyTarget time.Duration // an answer within this time has its full value to the client
	ConfigVersion int64         // version of the configuration from which the other fields are derived
}

// request is a request that has no answer yet or has an attempt in flight.
type request struct {
	id           policy.RequestID
	class        *RequestClass
	compartment  *compartment
	deadline     time.Duration
	waitDeadline time.Duration // the request is rejected if it is still queued at this time

	attempts        []attempt
	reachedAttempts int // number of attempts that reached an upstream, or may have
	chargedAttempts int // value of reachedAttempts when the retry budget was last charged

	inFlight   bool // the last attempt is in flight
	holdsSlot  bool // the request holds a slot of its compartment
	answered   bool
	mayHaveRun bool // a failed attempt may have run
}

// attempt is one send of a request.
type attempt struct {
	upstream       *upstream // nil: the upstream may be selected again, see clearGateRejections
	rejectedByGate bool
	done           bool
}

// newRequest returns the state of a request that arrives at the time now.
func newRequest(now time.Duration, q policy.Request, class *RequestClass, c *compartment) *request {
	r := &request{id: q.ID, class: class, compartment: c, deadline: now + q.TimeLeft - deadlineMargin}
	wait := time.Duration(maxWaitFraction * float64(class.LatencyTarget))
	if class.Priority == 0 { // if an internal check fails, the request that made the check fails, too
		wait = max(wait, time.Duration(highestPriorityWaitFraction*float64(q.TimeLeft)))
	}
	r.waitDeadline = min(r.deadline, now+wait)
	return r
}

// attempted reports whether the request has an attempt at an upstream that excludes the upstream from selection.
func (r *request) attempted(u *upstream) bool {
	for i := range r.attempts {
		if r.attempts[i].upstream == u {
			return true
		}
	}
	return false
}

// clearGateRejections allows upstreams whose gates rejected the request to be selected again.
func (r *request) clearGateRejections() {
	for i := range r.attempts {
		if r.attempts[i].rejectedByGate {
			r.attempts[i].upstream = nil
		}
	}
}
