package balancer

import (
	"cmp"
	"time"

	"caperarch/policy"
)

const (
	// localZoneLoadLimit is the share of an upstream's slots up to which one in the own zone is
	// preferred: crossing zones has a price, waiting in a queue a higher one.
	localZoneLoadLimit = 0.75
	// overloadAllowance is how far beyond its slots, as a share of them, an upstream is sent to where
	// all are full: its gate's queue is short.
	overloadAllowance = 0.5
)

// selectUpstream is smooth weighted round robin over the ready upstreams of a request's service that
// have capacity: first among those of the own zone with some to spare, then among all. Where all are
// full it is the one with the shortest queue. It returns nil where there is none.
func (b *Balancer) selectUpstream(now time.Duration, r *request) *upstream {
	var inZone, withCapacity, leastLoaded *upstream
	for _, u := range b.upstreams {
		if u.Cell != r.class.Service || u.State != policy.Ready || now < u.availableAt || r.attempted(u) {
			continue
		}
		load := u.loadAt(now) / u.Weight
		if load >= 1 {
			leastLoaded = lessLoaded(now, leastLoaded, u)
			continue
		}
		withCapacity = earlier(withCapacity, u)
		if u.Zone == b.cfg.Zone && load < localZoneLoadLimit {
			inZone = earlier(inZone, u)
		}
	}
	selected := cmp.Or(inZone, withCapacity, leastLoaded)
	if selected != nil {
		b.takeTurn(selected)
	}
	return selected
}

// earlier is the upstream whose turn comes first, a where both have the same; a may be nil.
func earlier(a, u *upstream) *upstream {
	if a == nil || u.nextTurn < a.nextTurn {
		return u
	}
	return a
}

// lessLoaded is the upstream with less load for its slots, a where both have the same or u has more
// than the overload allowance; a may be nil.
func lessLoaded(now time.Duration, a, u *upstream) *upstream {
	load := u.loadAt(now) / u.Weight
	if load >= 1+overloadAllowance {
		return a
	}
	if a == nil || load < a.loadAt(now)/a.Weight {
		return u
	}
	return a
}

// takeTurn moves the virtual time on. An upstream that had no turns for a while is due first once,
// and does not get all the turns that it missed.
func (b *Balancer) takeTurn(u *upstream) {
	service := u.Cell
	b.virtualTime[service] = max(b.virtualTime[service], u.nextTurn)
	u.nextTurn = b.virtualTime[service] + 1/u.Weight
}
