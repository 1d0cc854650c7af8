package balancer

import (
	"cmp"
	"slices"
	"time"

	"caperarch/policy"
)

type upstream struct {
	policy.Server
	nextTurn     float64 // turn's time of smooth weighted round robin
	inFlight     int     // attempts of ours
	reportedLoad float64 // running and waiting there, as told, with what we sent since
	reportedAt   time.Duration
	availableAt  time.Duration // no turns until then
	failures     int
}

// pick is smooth weighted round robin over the ready upstreams of the service that have room: first
// among those of our own zone with some to spare, then among all, then, where all are full, the one
// whose queue is shortest.
func (b *Balancer) selectUpstream(now time.Duration, r *request) *upstream {
	var near, any, least *upstream
	for _, u := range b.servers {
		if u.Cell != r.class.Service || u.State != policy.Ready || now < u.availableAt || r.attempted(u) {
			continue
		}
		load := u.loadAt(now) / u.Weight
		switch {
		case load >= 1+overloadAllowance:
			continue
		case load >= 1:
			if least == nil || load < least.loadAt(now)/least.Weight {
				least = u
			}
			continue
		}
		if any == nil || u.nextTurn < any.nextTurn {
			any = u
		}
		if u.Zone == b.cfg.Zone && load < localZoneLoadLimit && (near == nil || u.nextTurn < near.nextTurn) {
			near = u
		}
	}
	best := cmp.Or(near, any, least)
	if best == nil {
		return nil
	}
	// Whoever had no turns for a while is due first once, and does not have all that it missed.
	b.virtualTime[r.class.Service] = max(b.virtualTime[r.class.Service], best.nextTurn)
	best.nextTurn = b.virtualTime[r.class.Service] + 1/best.Weight
	return best
}

// at is how much an upstream has to do as far as we know.
func (u *upstream) loadAt(now time.Duration) float64 {
	if now-u.reportedAt > loadReportTTL { // old news: what is ours is certain
		return float64(u.inFlight)
	}
	return max(u.reportedLoad, float64(u.inFlight))
}

// tried says whether a request has been to an upstream, or its gate turned it back just now.
func (r *request) attempted(u *upstream) bool {
	for i := range r.attempts {
		if r.attempts[i].upstream == u {
			return true
		}
	}
	return false
}

// opens is when an upstream has turns again that has none now, or its gate's word is old; far off
// where there is no such time.
func (b *Balancer) nextAvailable(now time.Duration, r *request) time.Duration {
	at := now + time.Hour
	for _, u := range b.servers {
		if u.Cell != r.class.Service {
			continue
		}
		for _, t := range []time.Duration{u.availableAt, u.reportedAt + loadReportTTL + 1} {
			if t > now {
				at = min(at, t)
			}
		}
	}
	return at
}

// judge learns how an upstream fares.
func (b *Balancer) recordOutcome(now time.Duration, a *attempt, end policy.Ending) {
	u := a.upstream
	switch end {
	case policy.Served, policy.Rejected, policy.Errored, policy.Cancelled:
		u.failures = 0
	case policy.Gated:
		a.rejectedByGate = true
		u.failures = 0
		u.availableAt = max(u.availableAt, now+gateRejectionBackoff)
		b.counters.Walled++
	case policy.NoConnection, policy.Broken, policy.TurnedAway:
		u.failures++
		u.availableAt = max(u.availableAt, now+failureBackoff<<min(u.failures-1, maxBackoffDoublings))
	}
}

// forgive lets upstreams whose gates turned a request back have it once more.
func (r *request) clearGateRejections() {
	for i := range r.attempts {
		if r.attempts[i].rejectedByGate {
			r.attempts[i].upstream = nil
		}
	}
}

// List takes news of the upstreams.
func (b *Balancer) List(now time.Duration, kind policy.ListKind, entries []policy.Server) {
	if kind == policy.ListFailed {
		return
	}
	if kind != policy.ListDelta {
		for _, u := range b.servers {
			u.State = policy.Gone
		}
	}
	for _, e := range entries {
		e.Weight = max(1, e.Weight)
		at, known := slices.BinarySearchFunc(b.servers, e.ID, compareID)
		if known {
			b.servers[at].Server = e
			continue
		}
		b.servers = slices.Insert(b.servers, at, &upstream{Server: e, nextTurn: b.virtualTime[e.Cell]})
	}
	b.servers = slices.DeleteFunc(b.servers, func(u *upstream) bool { return u.State == policy.Gone })
	b.totalSlots = 0
	for _, u := range b.servers {
		if u.State == policy.Ready {
			b.totalSlots += u.Weight
		}
	}
	b.resizeAll()
	b.dispatchQueued(now)
}

// byID orders upstreams.
func compareID(u *upstream, id policy.ServerID) int { return cmp.Compare(u.ID, id) }
