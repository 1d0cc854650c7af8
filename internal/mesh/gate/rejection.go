package gate

import (
	"time"

	"caperarch/policy"
)

const (
	// minRetryAfter keeps callers from retrying before the load can have changed.
	minRetryAfter = 10 * time.Millisecond
	// maxRetryAfter keeps a few very slow requests from delaying the retries of other callers for long.
	maxRetryAfter = time.Second
	// closedRetryAfter is the Retry-After for callers of an upstream that is draining or deregistered.
	closedRetryAfter = 200 * time.Millisecond
)

// checkAttemptLog reports whether the attempt log admits a non-idempotent request. It answers a request that the log
// does not admit.
func (g *Gate) checkAttemptLog(now time.Duration, r *request) bool {
	remaining := max(0, r.deadline-now)
	switch g.attempts.admit(now, r.terms.AttemptIDHash, r.terms.SendID, remaining) {
	case notExecuted:
		g.sendRejection(now, r)
		return false
	case mayHaveExecuted:
		g.fail(r)
		return false
	}
	return true
}

// reject answers that a request has not run, and records the rejection: a later send of the request may run.
func (g *Gate) reject(now time.Duration, r *request) {
	g.recordPhase(r, rejected)
	g.sendRejection(now, r)
}

// sendRejection answers that a request has not run. The Retry-After is the time until a slot is expected to be free for
// the request.
func (g *Gate) sendRejection(now time.Duration, r *request) {
	retryAfter := closedRetryAfter
	switch {
	case g.state == policy.Ready && now < g.health.unreachableUntil:
		retryAfter = g.health.unreachableUntil - now
	case g.state == policy.Ready:
		retryAfter = g.expectedWait(now, r.priority)
	}
	g.counters.Refused++
	g.host.Refuse(r.id, min(max(retryAfter, minRetryAfter), maxRetryAfter))
}

// fail answers that a request may have run.
func (g *Gate) fail(r *request) {
	g.counters.Failed++
	g.host.Fail(r.id)
}

// recordPhase updates the phase of a non-idempotent request in the attempt log. Other requests are not recorded.
func (g *Gate) recordPhase(r *request, to phase) {
	if r.atMostOnce() {
		g.attempts.setPhase(r.terms.AttemptIDHash, to)
	}
}
