package gate

import (
	"time"

	"caperarch/policy"
)

const (
	// defaultPriority is the priority of a request without AttemptTerms.
	defaultPriority = 2
	// lowestPriority is the largest priority number, and bounds the number of queues. A request with a larger number
	// is treated as a request of lowestPriority.
	lowestPriority = 15
	// waitDivisor limits the time that a request may wait to 1/waitDivisor of its latency target. The rest is for
	// its execution.
	waitDivisor = 4
	// highPriorityWaitDivisor limits the time that a request of priority 0 may wait to 1/highPriorityWaitDivisor of
	// its remaining time.
	highPriorityWaitDivisor = 2
	// maxRemaining caps the remaining time of a request, so that sums of times do not overflow.
	maxRemaining = time.Hour
)

// AttemptTerms are the attributes of an attempt that the caller's sidecar sends along with a request. They are passed
// in policy.Request.Attributes.
type AttemptTerms struct {
	Priority      int           // 0 is the highest priority: internal checks
	Idempotent    bool          // the request may run more than once
	LatencyTarget time.Duration // time within which the caller would like the answer; 0: none
	AttemptIDHash AttemptIDHash // hash of the attempt id; unused if Idempotent
	SendID        SendID        // unused if Idempotent
}

// request is a request that is queued or has its attempt in flight.
type request struct {
	id        policy.RequestID
	priority  int
	arrivedAt time.Duration
	startBy   time.Duration // the request is rejected if it is still queued at this time
	deadline  time.Duration
	terms     *AttemptTerms // nil: the request came without AttemptTerms
	mayCancel bool          // see MayCancel

	sent     bool
	sentAt   time.Duration   // set if sent
	upstream policy.ServerID // set if sent
}

// newRequest returns the state of a request that arrives at the time now.
func newRequest(now time.Duration, q policy.Request) *request {
	remaining := min(q.TimeLeft, maxRemaining)
	r := &request{id: q.ID, priority: defaultPriority, arrivedAt: now, deadline: now + remaining, mayCancel: MayCancel(q)}
	latencyTarget := remaining
	r.terms, _ = q.Attributes.(*AttemptTerms)
	if r.terms != nil {
		r.priority = min(max(r.terms.Priority, 0), lowestPriority)
		if r.terms.LatencyTarget > 0 {
			latencyTarget = min(r.terms.LatencyTarget, remaining)
		}
	}
	r.startBy = now + latencyTarget/waitDivisor
	if r.priority == 0 { // if an internal check fails, the request that made the check fails, too
		r.startBy = now + remaining/highPriorityWaitDivisor
	}
	return r
}

// atMostOnce reports whether a request must not run more than once.
func (r *request) atMostOnce() bool { return r.terms != nil && !r.terms.Idempotent }

// MayCancel reports whether the attempt of a request may be cancelled once its caller has left. Only an attempt that is
// known to be idempotent may: after the cancellation of any other attempt nobody could tell whether the request ran.
func MayCancel(q policy.Request) bool {
	terms, _ := q.Attributes.(*AttemptTerms)
	return terms != nil && terms.Idempotent
}
