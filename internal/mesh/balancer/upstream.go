package balancer

import (
	"cmp"
	"slices"
	"time"

	"caperarch/policy"
)

const (
	// failureBackoff is how long an upstream is not selected after the first of consecutive failures to reach the
	// upstream. Each further failure doubles the time, up to maxBackoffDoublings times.
	failureBackoff      = 40 * time.Millisecond
	maxBackoffDoublings = 4
	// gateRejectionBackoff is how long an upstream is not selected after its gate rejected a request.
	gateRejectionBackoff = 15 * time.Millisecond
	// loadReportTTL is how long a gate's load report is valid.
	loadReportTTL = 400 * time.Millisecond
	// maxWakeDelay is the delay of a Wake if no earlier event is expected. It only has to be long.
	maxWakeDelay = time.Hour
)

// upstream is one instance of a service, with the balancer's view of its load and reachability.
type upstream struct {
	policy.Server
	virtualDeadline float64 // virtual time of the next request to the upstream, see selectUpstream
	inFlight        int     // attempts of this sidecar
	// reportedLoad is the number of requests in flight and queued in the gate's last report, corrected by this
	// sidecar's sends and outcomes since then.
	reportedLoad float64
	reportedAt   time.Duration
	availableAt  time.Duration // the upstream is not selected before this time
	failures     int           // consecutive failures to reach the upstream
}

// loadAt returns the estimated number of requests at an upstream: the reported load or the number of this sidecar's own
// attempts, whichever is larger. An expired report is not counted.
func (u *upstream) loadAt(now time.Duration) float64 {
	if now-u.reportedAt > loadReportTTL {
		return float64(u.inFlight)
	}
	return max(u.reportedLoad, float64(u.inFlight))
}

// List applies an update of the server list.
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

// applyEntry updates the upstream of a list entry, or adds an upstream.
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

// recordOutcome updates the availability of an attempt's upstream by the ending of the attempt.
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

// nextAvailable returns the earliest time at which an upstream of the request's service becomes available again or the
// load report of its gate expires, and now+maxWakeDelay if there is no such time.
func (b *Balancer) nextAvailable(now time.Duration, r *request) time.Duration {
	next := now + maxWakeDelay
	for _, u := range b.upstreams {
		if u.Cell != r.class.Service {
			continue
		}
		if u.availableAt > now {
			next = min(next, u.availableAt)
		}
		if reportExpiry := u.reportedAt + loadReportTTL + 1; reportExpiry > now {
			next = min(next, reportExpiry)
		}
	}
	return next
}
