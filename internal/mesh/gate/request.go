package gate

import (
	"time"

	"caperarch/policy"
)

const (
	// defaultPriority is that of a request without AttemptTerms.
	defaultPriority = 2
	// lowestPriority bounds the number of queues; what has a lower one joins it.
	lowestPriority = 15
	// waitDivisor is the part of its latency target that a request may wait for, one in so many: the
	// rest is for its work.
	waitDivisor = 4
	// highPriorityWaitDivisor is the same of all its time for the highest priority.
	highPriorityWaitDivisor = 2
	// maxRemaining guards against sums that overflow.
	maxRemaining = time.Hour
)

// AttemptTerms are what a caller's sidecar sends along with a request: policy.Request.Attributes.
type AttemptTerms struct {
	Priority      int           // 0 is the highest: internal checks
	Idempotent    bool          // it may run twice
	LatencyTarget time.Duration // the time that its caller would like it answered in; 0: none
	Key           Key           // of its attempt id, unless it is idempotent
	SendID        SendID        // unless it is idempotent
}

// request is one that is queued or whose attempt is in flight.
type request struct {
	id        policy.RequestID
	priority  int
	arrivedAt time.Duration
	startBy   time.Duration // rejected if it is still queued then
	deadline  time.Duration
	terms     *AttemptTerms // nil: it brought none
	mayCancel bool          // see MayCancel

	sent     bool
	sentAt   time.Duration   // if sent
	upstream policy.ServerID // if sent
}

// newRequest is a request that arrives now.
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
	if r.priority == 0 { // if it fails, so does the request that made it
		r.startBy = now + remaining/highPriorityWaitDivisor
	}
	return r
}

// runsOnce reports whether a request must not run twice.
func (r *request) runsOnce() bool { return r.terms != nil && !r.terms.Idempotent }

// MayCancel reports whether the attempt of a request may be cancelled once its caller has left: that of
// one that is known to be idempotent. What must not run twice is finished once it has begun, or nobody
// could tell what became of it.
func MayCancel(q policy.Request) bool {
	terms, _ := q.Attributes.(*AttemptTerms)
	return terms != nil && terms.Idempotent
}
