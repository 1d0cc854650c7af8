package quota

import (
	"time"

	"caperarch/internal/mesh/errs"
)

// planner holds the limits of all tenants and the number of members that share the limits, and derives a plan
// for each limit. The Allocator and each LocalLimiter have a planner, so both derive the same plans.
type planner struct {
	rules          Rules
	limits         map[string]Limit // by tenant, only limits with a rate above 0
	members        memberCount      // as configured on this side
	peerMembers    int              // as reported by the other side: the Allocator or the limiters
	plannedMembers int              // the number of members that the current plans divide by, or UnknownMembers
}

// newPlanner returns a planner without limits and with an unknown number of members.
func newPlanner(rules Rules) (planner, error) {
	if err := rules.validate(); err != nil {
		return planner{}, err
	}
	return planner{rules: rules}, nil
}

// configure sets validated limits. The limits take effect with the next call of update.
func (p *planner) configure(now time.Duration, limits map[string]Limit, members int) {
	if members == UnknownMembers {
		p.members = memberCount{}
	} else {
		p.members.set(now, members)
	}
	p.limits = enforcedLimits(limits)
}

// effectiveMembers returns the number of members to divide by: the larger of the numbers that both sides have
// reported lately. The larger number is the correct one, as neither side counts a member that never existed.
// The result is UnknownMembers if this side doesn't know the number, because the core may then not count this
// member either.
func (p *planner) effectiveMembers(now time.Duration) int {
	ownMembers := p.members.value(now)
	if ownMembers == UnknownMembers {
		return UnknownMembers
	}
	return max(ownMembers, p.peerMembers)
}

// outdated reports whether the number of members differs from the number that the current plans divide by.
func (p *planner) outdated(now time.Duration) bool {
	return p.effectiveMembers(now) != p.plannedMembers
}

// update sets plannedMembers to the current number of members.
func (p *planner) update(now time.Duration) { p.plannedMembers = p.effectiveMembers(now) }

// plan returns the plan that divides a tenant's limit among the planned number of members.
func (p *planner) plan(limit Limit) plan { return p.rules.plan(limit, p.plannedMembers) }

// peerDefers reports whether the other side treats a tenant with this limit as deferred. The result is false while
// the other side's number of members is unknown.
func (p *planner) peerDefers(limit Limit) bool { return p.rules.plan(limit, p.peerMembers).deferred }

// removeUnlimited deletes the tenants without a limit. It allocates no memory, because the leader's Allocator
// is configured again for each request.
func removeUnlimited[T any](tenants map[string]T, limits map[string]Limit) {
	for name := range tenants {
		if _, limited := limits[name]; !limited {
			delete(tenants, name)
		}
	}
}

// enforcedLimits returns the limits with a rate above 0; a rate of 0 means no limit.
func enforcedLimits(limits map[string]Limit) map[string]Limit {
	enforced := make(map[string]Limit, len(limits))
	for name, limit := range limits {
		if limit.Rate > 0 {
			enforced[name] = limit
		}
	}
	return enforced
}

// validateLimits returns errs.Invalid if a rate or a burst is not between 0 and maxAmount.
func validateLimits(limits map[string]Limit) error {
	for name, limit := range limits {
		if !validAmount(limit.Rate) || !validAmount(limit.Burst) {
			return errs.New(errs.Invalid, "tenant %q: rate %v and burst %v must be between 0 and 1e12",
				name, limit.Rate, limit.Burst)
		}
	}
	return nil
}
