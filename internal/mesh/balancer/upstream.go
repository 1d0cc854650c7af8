package balancer

import (
	"cmp"
	"slices"
	"time"

	"caperarch/policy"
)

const (
	// failureBackoff is how long an upstream is not selected after a failure to reach it, doubled up
	// to maxBackoffDoublings times.
	failureBackoff      = 40 * time.Millisecond
	maxBackoffDoublings = 4
	// gateRejectionBackoff is the same after its gate rejected a request.
	gateRejectionBackoff = 15 * time.Millisecond
	// loadReportTTL is how long a gate's report of its load is believed.
	loadReportTTL = 400 * time.Millisecond
	// noTimeKnown stands for an unknown time: a long one, as no Wake is needed for it.
	noTimeKnown = time.Hour
)

// upstream is one instance and what is known of it.
type upstream struct {
	policy.Server
	virtualDeadline float64 // of its next request, see selectUpstream
	inFlight        int     // this sidecar's attempts
	reportedLoad    float64 // in flight and queued there as its gate reported, corrected by what was sent since
	reportedAt      time.Duration
	availableAt     time.Duration // not selected until then
	failures        int           // to reach it, in a row
}

// loadAt is how many requests an upstream has, as far as is known. An old report does not count, but
// this sidecar's own attempts do.
func (u *upstream) loadAt(now time.Duration) float64 {
	if now-u.reportedAt > loadReportTTL {
		return float64(u.inFlight)
	}
	return max(u.reportedLoad, float64(u.inFlight))
}

// List applies an update of the upstreams.
func (b *Balancer) List(now time.Duration, kind policy.ListKind, entries []policy.Server) {
	if kind == policy.ListFailed {
		return
	}
	if kind != policy.ListDelta {
		for _, u := range b.upstreams {
			u.State = policy.Deregistered
		}
	}
	for _, e := range entries {
		b.applyEntry(e)
	}
	isDeregistered := func(u *upstream) bool { return u.State == policy.Deregistered }
	b.upstreams = slices.DeleteFunc(b.upstreams, isDeregistered)
	b.totalSlots = 0
	for _, u := range b.upstreams {
		if u.State == policy.Ready {
			b.totalSlots += u.Weight
		}
	}
	b.resizeAll()
	b.dispatchQueued(now)
}

// applyEntry updates an upstream or adds it.
func (b *Balancer) applyEntry(e policy.Server) {
	e.Weight = max(1, e.Weight)
	at, known := slices.BinarySearchFunc(b.upstreams, e.ID, compareID)
	if known {
		b.upstreams[at].Server = e
		return
	}
	b.upstreams = slices.Insert(b.upstreams, at, &upstream{Server: e, virtualDeadline: b.virtualTime[e.Cell]})
}

// compareID orders upstreams by their ids.
func compareID(u *upstream, id policy.ServerID) int { return cmp.Compare(u.ID, id) }

// recordOutcome learns from the end of an attempt whether its upstream can be reached.
func (b *Balancer) recordOutcome(now time.Duration, a *attempt, ending policy.Ending) {
	u := a.upstream
	switch ending {
	case policy.Served, policy.InvalidRequest, policy.Errored, policy.Cancelled:
		u.failures = 0
	case policy.GateRejected:
		a.rejectedByGate = true
		u.failures = 0
		u.availableAt = max(u.availableAt, now+gateRejectionBackoff)
		b.counters.Walled++
	case policy.NoConnection, policy.ConnectionLost, policy.NotProcessed:
		u.failures++
		backoff := failureBackoff << min(u.failures-1, maxBackoffDoublings)
		u.availableAt = max(u.availableAt, now+backoff)
	}
}

// nextAvailable is the earliest time at which an upstream of a request's service becomes available
// again or the report of its gate expires; noTimeKnown from now where there is no such time.
func (b *Balancer) nextAvailable(now time.Duration, r *request) time.Duration {
	next := now + noTimeKnown
	for _, u := range b.upstreams {
		if u.Cell != r.class.Service {
			continue
		}
		if u.availableAt > now {
			next = min(next, u.availableAt)
		}
		if reportOld := u.reportedAt + loadReportTTL + 1; reportOld > now {
			next = min(next, reportOld)
		}
	}
	return next
}
