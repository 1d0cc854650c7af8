package balancer

import (
	"cmp"
	"slices"
	"time"

	"caperarch/policy"
)

type upstream struct {
	policy.Server
	due    float64 // turn's time of smooth weighted round robin
	out    int     // attempts of ours
	load   float64 // running and waiting there, as told, with what we sent since
	toldAt time.Duration
	backAt time.Duration // no turns until then
	fails  int
}

// pick is smooth weighted round robin over the ready upstreams of the service that have room: first
// among those of our own zone with some to spare, then among all, then, where all are full, the one
// whose queue is shortest.
func (b *Balancer) pick(now time.Duration, r *request) *upstream {
	var near, any, least *upstream
	for _, u := range b.servers {
		if u.Cell != r.order.Service || u.State != policy.Ready || now < u.backAt || r.tried(u) {
			continue
		}
		load := u.at(now) / u.Weight
		switch {
		case load >= 1+overFull:
			continue
		case load >= 1:
			if least == nil || load < least.at(now)/least.Weight {
				least = u
			}
			continue
		}
		if any == nil || u.due < any.due {
			any = u
		}
		if u.Zone == b.cfg.Zone && load < nearFull && (near == nil || u.due < near.due) {
			near = u
		}
	}
	best := cmp.Or(near, any, least)
	if best == nil {
		return nil
	}
	// Whoever had no turns for a while is due first once, and does not have all that it missed.
	b.turn[r.order.Service] = max(b.turn[r.order.Service], best.due)
	best.due = b.turn[r.order.Service] + 1/best.Weight
	return best
}

// at is how much an upstream has to do as far as we know.
func (u *upstream) at(now time.Duration) float64 {
	if now-u.toldAt > toldFor { // old news: what is ours is certain
		return float64(u.out)
	}
	return max(u.load, float64(u.out))
}

// tried says whether a request has been to an upstream, or its gate turned it back just now.
func (r *request) tried(u *upstream) bool {
	for i := range r.attempts {
		if r.attempts[i].to == u {
			return true
		}
	}
	return false
}

// opens is when an upstream has turns again that has none now, or its gate's word is old; far off
// where there is no such time.
func (b *Balancer) opens(now time.Duration, r *request) time.Duration {
	at := now + time.Hour
	for _, u := range b.servers {
		if u.Cell != r.order.Service {
			continue
		}
		for _, t := range []time.Duration{u.backAt, u.toldAt + toldFor + 1} {
			if t > now {
				at = min(at, t)
			}
		}
	}
	return at
}

// judge learns how an upstream fares.
func (b *Balancer) judge(now time.Duration, a *attempt, end policy.Ending) {
	u := a.to
	switch end {
	case policy.Served, policy.Rejected, policy.Errored, policy.Cancelled:
		u.fails = 0
	case policy.Gated:
		a.gated = true
		u.fails = 0
		u.backAt = max(u.backAt, now+gatedFor)
		b.count.Walled++
	case policy.NoConnection, policy.Broken, policy.TurnedAway:
		u.fails++
		u.backAt = max(u.backAt, now+failPause<<min(u.fails-1, failDouble))
	}
}

// forgive lets upstreams whose gates turned a request back have it once more.
func (r *request) forgive() {
	for i := range r.attempts {
		if r.attempts[i].gated {
			r.attempts[i].to = nil
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
		at, known := slices.BinarySearchFunc(b.servers, e.ID, byID)
		if known {
			b.servers[at].Server = e
			continue
		}
		b.servers = slices.Insert(b.servers, at, &upstream{Server: e, due: b.turn[e.Cell]})
	}
	b.servers = slices.DeleteFunc(b.servers, func(u *upstream) bool { return u.State == policy.Gone })
	b.total = 0
	for _, u := range b.servers {
		if u.State == policy.Ready {
			b.total += u.Weight
		}
	}
	b.resize()
	b.feed(now)
}

// byID orders upstreams.
func byID(u *upstream, id policy.ServerID) int { return cmp.Compare(u.ID, id) }
