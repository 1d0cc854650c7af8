package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// planner holds the limits of all tenants and the number of members that share them, and derives the
// plans from both. Allocator and LocalLimiter have one each, and so follow the same plans.
type planner struct {
	rules          Rules
	limits         map[string]Limit // by tenant, only those with a rate
	members        memberCount      // as seen on this side
	peerMembers    int              // as the other side says: the Allocator, or the limiters
	plannedMembers int              // the number of members that plan divides by; 0 while none is known
}

// newPlanner returns a planner without limits that knows no members.
func newPlanner(rules Rules) (planner, error) {
	if err := rules.validate(); err != nil {
		return planner{}, err
	}
	return planner{rules: rules}, nil
}

// configure sets limits that were validated. They are enforced from the next call of update on.
func (p *planner) configure(now time.Duration, limits map[string]Limit, members int) {
	if members == UnknownMembers {
		p.members = memberCount{}
	} else {
		p.members.set(now, members)
	}
	p.limits = enforcedLimits(limits)
}

// memberCount is the number of members to divide by: the larger of what the two sides have seen lately.
// The side that knows of more is right, as nobody counts a member that was never there. It is
// UnknownMembers where this side knows none: then the core may not know this member either.
func (p *planner) memberCount(now time.Duration) int {
	own := p.members.at(now)
	if own == UnknownMembers {
		return UnknownMembers
	}
	return max(own, p.peerMembers)
}

// outdated reports whether the current plans are made for another number of members than there are now.
func (p *planner) outdated(now time.Duration) bool { return p.memberCount(now) != p.plannedMembers }

// update sets plannedMembers to the number of members that there is now.
func (p *planner) update(now time.Duration) { p.plannedMembers = p.memberCount(now) }

// plan is how a tenant's limit is divided.
func (p *planner) plan(limit Limit) plan { return p.rules.plan(limit, p.plannedMembers) }

// peerDefers reports whether the other side takes a tenant of this limit for a deferred one.
func (p *planner) peerDefers(limit Limit) bool { return p.rules.plan(limit, p.peerMembers).deferred }

// removeUnlimited removes the tenants that no longer have a limit. It allocates nothing, as the leader's
// Allocator is configured for each request.
func removeUnlimited[T any](tenants map[string]T, limits map[string]Limit) {
	for name := range tenants {
		if _, limited := limits[name]; !limited {
			delete(tenants, name)
		}
	}
}

// enforcedLimits are the limits of the tenants that have one: a rate of 0 is none.
func enforcedLimits(limits map[string]Limit) map[string]Limit {
	enforced := make(map[string]Limit, len(limits))
	for name, limit := range limits {
		if limit.Rate > 0 {
			enforced[name] = limit
		}
	}
	return enforced
}

func validateLimits(limits map[string]Limit) error {
	for name, limit := range limits {
		if !validAmount(limit.Rate) || !validAmount(limit.Burst) {
			return errs.New(errs.Invalid, "tenant %q: rate %v and burst %v must lie between 0 and 1e12",
				name, limit.Rate, limit.Burst)
		}
	}
	return nil
}
