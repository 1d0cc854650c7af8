package balancer

import (
	"time"

	"caperarch/policy"
)

const (
	// errorRetryFraction of a service's requests may be sent again after the upstream's own failure:
	// one in so many is chance, more is a fault that retries only feed, as they repeat the nested
	// calls too. Up to maxErrorRetries may be saved up.
	errorRetryFraction = 0.02
	maxErrorRetries    = 4
	// minRetryAfter and maxRetryAfter bound what a rejected client is told to wait.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Second
	// retryAfterDivisor of its latency target is what it is told between them: the client's own retry
	// is still within the target.
	retryAfterDivisor = 8
)

// retry gives a request another attempt after its last one failed, or answers it.
func (b *Balancer) retry(now time.Duration, r *request, ending policy.Ending) {
	reached := true
	switch ending {
	case policy.Gated, policy.NoConnection, policy.NotSent:
		reached = false // another upstream costs nothing
	case policy.TurnedAway:
		r.arrivals++
	default:
		r.arrivals++
		r.mayHaveRun = true
	}
	if r.mayHaveRun && !r.class.Idempotent || r.arrivals >= max(1, r.class.MaxAttempts) || now >= r.deadline {
		b.giveUp(r)
		return
	}
	if reached && !b.mayRetry(now, r, ending) {
		b.giveUp(r)
		return
	}
	if b.dispatch(now, r) {
		return
	}
	// All were sent to. Those whose gates rejected it may have capacity soon.
	r.clearGateRejections()
	if now >= r.waitDeadline || r.mayHaveRun {
		b.giveUp(r)
		return
	}
	b.releaseSlot(r)
	b.enqueueFirst(now, r)
}

// mayRetry says whether a request that reached an upstream may go to another.
func (b *Balancer) mayRetry(now time.Duration, r *request, ending policy.Ending) bool {
	if !b.cfg.RetryBudget.Allowed(now, r.class.Service) {
		return false
	}
	if ending != policy.Errored {
		return true
	}
	if b.errorRetryCredit[r.class.Service] < 1 {
		return false
	}
	b.errorRetryCredit[r.class.Service]--
	return true
}

// earnErrorRetry adds a request's part to its service's credit.
func (b *Balancer) earnErrorRetry(service int) {
	credit := b.errorRetryCredit[service] + errorRetryFraction
	b.errorRetryCredit[service] = min(maxErrorRetries, credit)
}

// giveUp answers a request that gets no further attempt: rejected where that is true, else failed.
func (b *Balancer) giveUp(r *request) {
	if !r.mayHaveRun {
		b.reject(r)
		return
	}
	b.counters.Failed++
	b.host.Fail(r.id)
	b.complete(r)
}

// reject answers a request that has not run, and tells its client when to come back.
func (b *Balancer) reject(r *request) {
	b.counters.Refused++
	retryAfter := r.class.LatencyTarget / retryAfterDivisor
	b.host.Refuse(r.id, min(maxRetryAfter, max(minRetryAfter, retryAfter)))
	b.complete(r)
}
