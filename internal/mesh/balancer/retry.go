package balancer

import (
	"time"

	"caperarch/internal/mesh/headers"
	"caperarch/policy"
)

const (
	// errorRetryFraction of a service's requests may be retried after a failure that the upstream
	// itself reports: so many are chance, more are a fault that retries amplify, as they repeat the
	// nested calls too. Up to maxErrorRetries accumulate.
	errorRetryFraction = 0.02
	maxErrorRetries    = 4
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rejected request.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Second
	// retryAfterDivisor is the part of the latency target that it is between them, one in so many:
	// the client's own retry can still meet the target.
	retryAfterDivisor = 8
)

// retry gives a request another attempt after its last one failed, or answers it.
func (b *Balancer) retry(now time.Duration, r *request, ending policy.Ending) {
	reached := true
	switch ending {
	case headers.ConfigOutdated: // every gate that knows the newest configuration rejects it
		b.giveUp(r)
		return
	case policy.GateRejected, policy.NoConnection, policy.NotSent:
		reached = false // another upstream costs nothing
	case policy.NotProcessed:
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
	// No upstream is left. Those whose gates rejected the request may have capacity soon.
	r.clearGateRejections()
	if now >= r.waitDeadline || r.mayHaveRun {
		b.giveUp(r)
		return
	}
	b.releaseSlot(r)
	b.enqueueFirst(now, r)
}

// mayRetry reports whether a request that reached an upstream may go to another.
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

// earnErrorRetry adds a request's fraction of a retry to its service's credit.
func (b *Balancer) earnErrorRetry(service int) {
	credit := b.errorRetryCredit[service] + errorRetryFraction
	b.errorRetryCredit[service] = min(maxErrorRetries, credit)
}

// giveUp answers a request that has no further attempt: rejected if it has not run, else failed.
func (b *Balancer) giveUp(r *request) {
	if !r.mayHaveRun {
		b.reject(r)
		return
	}
	b.counters.Failed++
	b.host.Fail(r.id)
	b.complete(r)
}

// reject answers a request that has not run, with a Retry-After.
func (b *Balancer) reject(r *request) {
	b.counters.Refused++
	retryAfter := r.class.LatencyTarget / retryAfterDivisor
	b.host.Refuse(r.id, min(maxRetryAfter, max(minRetryAfter, retryAfter)))
	b.complete(r)
}
