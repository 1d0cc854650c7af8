package gate

import (
	"time"

	"caperarch/policy"
)

const (
	// minRetryAfter guards against callers that retry before anything can have changed.
	minRetryAfter = 10 * time.Millisecond
	// maxRetryAfter guards against a few very slow requests keeping callers away for long.
	maxRetryAfter = time.Second
	// closedRetryAfter is for callers of an upstream that drains or is deregistered.
	closedRetryAfter = 200 * time.Millisecond
)

// checkAttemptLog asks the attempt log for a request that must not run twice. It answers one that
// may not go on, and returns false.
func (g *Gate) checkAttemptLog(now time.Duration, r *request) bool {
	remaining := max(0, r.deadline-now)
	switch g.attempts.admit(now, r.terms.Key, r.terms.SendID, remaining) {
	case notExecuted:
		g.sendRejection(now, r)
		return false
	case mayHaveExecuted:
		g.fail(r)
		return false
	}
	return true
}

// reject answers a request that has not run. A later send of it may.
func (g *Gate) reject(now time.Duration, r *request) {
	g.recordPhase(r, rejected)
	g.sendRejection(now, r)
}

// sendRejection answers that a request has not run, and when a slot is expected to be free for it.
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

// fail answers a request that may have run.
func (g *Gate) fail(r *request) {
	g.counters.Failed++
	g.host.Fail(r.id)
}

// recordPhase records in the attempt log how far a request has got.
func (g *Gate) recordPhase(r *request, to phase) {
	if r.runsOnce() {
		g.attempts.setPhase(r.terms.Key, to)
	}
}
