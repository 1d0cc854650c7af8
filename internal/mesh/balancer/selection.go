package balancer

import (
	"cmp"
	"time"

	"caperarch/policy"
)

// SameMachine is the policy.Server.Zone of the upstream beside this sidecar, where there is one. No zone
// has this number.
const SameMachine = -1

const (
	// sameMachineLoadLimit is the share of its slots up to which the upstream on this machine is
	// preferred to all others: a request to it crosses no link, and a machine's link may be its narrowest
	// resource. It is low, as the sidecars of other machines send there as well.
	sameMachineLoadLimit = 0.6
	// localZoneLoadLimit is the share of an upstream's slots up to which one in the own zone is
	// preferred: crossing zones has a price, waiting in a queue a higher one.
	localZoneLoadLimit = 0.75
	// overloadAllowance is how far beyond its slots, as a share of them, an upstream is sent to where
	// all are full: its gate's queue is short.
	overloadAllowance = 0.5
)

// selectUpstream is smooth weighted round robin over the ready upstreams of a request's service that
// have capacity, as a scheduler by earliest deadline in virtual time (Envoy has the same): the
// deadlines of an upstream with n slots are 1/n apart. First comes the one on this machine, then those of
// the own zone, each while they have capacity to spare, then all. Where all are full it selects the one
// with the least load for its slots. It returns nil where there is none.
func (b *Balancer) selectUpstream(now time.Duration, r *request) *upstream {
	var onMachine, inZone, withCapacity, leastLoaded *upstream
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
			onMachine = u
		}
		if b.inOwnZone(u) && load < localZoneLoadLimit {
			inZone = earlierDeadline(inZone, u)
		}
	}
	selected := cmp.Or(onMachine, inZone, withCapacity, leastLoaded)
	if selected != nil {
		b.advanceVirtualTime(selected)
	}
	return selected
}

// inOwnZone reports whether an upstream is in this sidecar's zone.
func (b *Balancer) inOwnZone(u *upstream) bool { return u.Zone == b.cfg.Zone || u.Zone == SameMachine }

// earlierDeadline is the upstream with the earlier deadline, a where they are equal; a may be nil.
func earlierDeadline(a, u *upstream) *upstream {
	if a == nil || u.virtualDeadline < a.virtualDeadline {
		return u
	}
	return a
}

// lessLoaded is the upstream with less load for its slots, a where they are equal or u is beyond the
// overload allowance; a may be nil.
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

// advanceVirtualTime moves the virtual time to the deadline of a selected upstream, and sets its next
// one. An upstream that was not selected for a while is first once, and is not compensated for all that
// it missed.
func (b *Balancer) advanceVirtualTime(u *upstream) {
	service := u.Cell
	b.virtualTime[service] = max(b.virtualTime[service], u.virtualDeadline)
	u.virtualDeadline = b.virtualTime[service] + 1/u.Weight
}
