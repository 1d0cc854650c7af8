package balancer

import (
	"time"

	"caperarch/internal/mesh/headers"
	"caperarch/policy"
)

const (
	// errorRetryFraction is the fraction of a service's requests that may be retried after policy.Errored. Up to this
	// fraction, such failures are likely to be isolated. A higher fraction indicates a fault, which retries would
	// amplify, as each retry repeats the nested calls of the request as well.
	errorRetryFraction = 0.02
	// maxErrorRetries is the largest credit for such retries that a service accumulates.
	maxErrorRetries = 4
	// minRetryAfter and maxRetryAfter bound the Retry-After of a rejected request.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = time.Second
	// retryAfterDivisor sets the Retry-After to 1/retryAfterDivisor of the latency target within these bounds, so that
	// the client's own retry can still meet the target.
	retryAfterDivisor = 8
)

// retry sends or queues a request again after its last attempt failed, or answers the request.
func (b *Balancer) retry(now time.Duration, r *request, ending policy.Ending) {
	reached := true
	switch ending {
	case headers.ConfigOutdated: // every gate that knows the newest configuration rejects it
		b.giveUp(r)
		return
	case policy.GateRejected, policy.NoConnection, policy.NotSent:
		reached = false // no upstream was reached, so the next attempt is not charged
	case policy.NotProcessed:
		r.reachedAttempts++
	default:
		r.reachedAttempts++
		r.mayHaveRun = true
	}
	if r.mayHaveRun && !r.class.Idempotent || r.reachedAttempts >= max(1, r.class.MaxAttempts) || now >= r.deadline {
		b.giveUp(r)
		return
	}
	if reached && !b.allowRetry(now, r, ending) {
		b.giveUp(r)
		return
	}
	if b.dispatch(now, r) {
		return
	}
	// No upstream is available now. An upstream whose gate rejected the request may have capacity soon.
	r.clearGateRejections()
	if now >= r.waitDeadline || r.mayHaveRun {
		b.giveUp(r)
		return
	}
	b.releaseSlot(r)
	b.enqueueFront(now, r)
}

// allowRetry reports whether a request whose last attempt reached an upstream may be sent again. After policy.Errored,
// an allowed retry uses up credit of the service.
func (b *Balancer) allowRetry(now time.Duration, r *request, ending policy.Ending) bool {
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

// addErrorRetryCredit adds the errorRetryFraction of one request to the credit of its service.
func (b *Balancer) addErrorRetryCredit(service int) {
	credit := b.errorRetryCredit[service] + errorRetryFraction
	b.errorRetryCredit[service] = min(maxErrorRetries, credit)
}

// giveUp answers a request that gets no further attempt: it fails a request that may have run, and rejects any other.
func (b *Balancer) giveUp(r *request) {
	if !r.mayHaveRun {
		b.reject(r)
		return
	}
	b.counters.Failed++
	b.host.Fail(r.id)
	b.complete(r)
}

// reject answers that a request has not run, with a Retry-After.
func (b *Balancer) reject(r *request) {
	b.counters.Refused++
	retryAfter := r.class.LatencyTarget / retryAfterDivisor
	b.host.Refuse(r.id, min(maxRetryAfter, max(minRetryAfter, retryAfter)))
	b.complete(r)
}
