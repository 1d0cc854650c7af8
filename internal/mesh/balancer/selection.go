package balancer

import (
	"cmp"
	"time"

	"caperarch/policy"
)

// SameMachine is the policy.Server.Zone of the upstream on the sidecar's own machine, if there is one. No zone has this
// number.
const SameMachine = -1

const (
	// sameMachineLoadLimit is the fraction of its slots in use up to which the upstream on the same machine is preferred
	// to all others: a request to it crosses no network link, and a machine's link may be its scarcest resource. The
	// limit is low because the sidecars of other machines send to the same upstream.
	sameMachineLoadLimit = 0.6
	// localZoneLoadLimit is the fraction of its slots in use up to which an upstream in the local zone is preferred to
	// upstreams in other zones: a request to another zone has a price, but waiting in a queue has a higher price.
	localZoneLoadLimit = 0.75
	// overloadAllowance is the fraction of its slots by which an upstream may be overloaded when all upstreams are full.
	// It is limited because the gate's queue is short.
	overloadAllowance = 0.5
)

// selectUpstream selects one of the ready and available upstreams of the request's service by smooth weighted round
// robin. The round robin is an earliest-deadline-first scheduler in virtual time, as in Envoy: the deadlines of an
// upstream with n slots are 1/n apart.
//
// The upstream on the same machine takes precedence, then upstreams in the local zone, each while its load is below the
// limit; then all upstreams with a free slot. If all upstreams are full, the upstream with the smallest load per slot
// is selected. The result is nil if no upstream is available.
func (b *Balancer) selectUpstream(now time.Duration, r *request) *upstream {
	var sameMachine, inZone, withCapacity, leastLoaded *upstream
	for _, u := range b.upstreams {
		if u.Cell != r.class.Service || u.State != policy.Ready || now < u.availableAt || r.attempted(u) {
			continue
		}
		load := u.loadAt(now) / u.Weight
		if load >= 1 {
			leastLoaded = lessLoaded(now, leastLoaded, u)
			continue
		}
		withCapacity = earlierDeadline(withCapacity, u)
		if u.Zone == SameMachine && load < sameMachineLoadLimit {
			sameMachine = u
		}
		if b.inLocalZone(u) && load < localZoneLoadLimit {
			inZone = earlierDeadline(inZone, u)
		}
	}
	selected := cmp.Or(sameMachine, inZone, withCapacity, leastLoaded)
	if selected != nil {
		b.advanceVirtualTime(selected)
	}
	return selected
}

// inLocalZone reports whether an upstream is in this sidecar's zone.
func (b *Balancer) inLocalZone(u *upstream) bool {
	return u.Zone == b.cfg.Zone || u.Zone == SameMachine
}

// earlierDeadline returns the upstream with the earlier virtual deadline, best if the deadlines are equal. best may be
// nil.
func earlierDeadline(best, u *upstream) *upstream {
	if best == nil || u.virtualDeadline < best.virtualDeadline {
		return u
	}
	return best
}

// lessLoaded returns the upstream with the smaller load per slot, best if the loads are equal or the load of u exceeds
// the overloadAllowance. best may be nil.
func lessLoaded(now time.Duration, best, u *upstream) *upstream {
	load := u.loadAt(now) / u.Weight
	if load >= 1+overloadAllowance {
		return best
	}
	if best == nil || load < best.loadAt(now)/best.Weight {
		return u
	}
	return best
}

// advanceVirtualTime moves the virtual time of a service to the deadline of the selected upstream, and sets the next
// deadline of the upstream. Virtual time never goes back, so an upstream that was not selected for a while is selected
// first only once, without compensation for the requests that it missed.
func (b *Balancer) advanceVirtualTime(u *upstream) {
	service := u.Cell
	b.virtualTime[service] = max(b.virtualTime[service], u.virtualDeadline)
	u.virtualDeadline = b.virtualTime[service] + 1/u.Weight
}
