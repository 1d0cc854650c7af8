package cluster

import (
	"slices"
	"time"

	"caperarch/internal/mesh/replication"
)

const (
	// LastContactThreshold is how long a voter may be without contact to the leader before a learner
	// replaces it. The threshold is longer than any election and any heartbeat delay, and so much
	// shorter than the bound catchUpS that the replacement votes in time. If a voter is wrongly taken
	// for lost, the cost is one membership change: the replacement stores all entries that the replaced
	// voter stored.
	LastContactThreshold = 2 * time.Second
	// neverContactedThreshold is the threshold for a voter that the leader has never had contact with.
	// Such a voter was already without contact before the leader's election, and the election together
	// with LastContactThreshold would take most of catchUpS.
	neverContactedThreshold = time.Second
	// minChangeInterval is the minimum time between two membership changes, so that machines that
	// repeatedly fail and recover can't keep the log busy with membership changes.
	minChangeInterval = 300 * time.Millisecond
	// minJoinAge is the minimum time since the newest machine joined before voters are added. It lets
	// the voters be spread over the zones of all machines instead of the zones of the first machines to
	// join.
	minJoinAge = 500 * time.Millisecond
)

// TargetVoters returns the number of voters that tolerates the simultaneous loss of the given number of
// machines, zones or regions. It is at least 3.
func TargetVoters(machines, zones, regions int) int {
	return max(3, 2*max(machines, zones, regions)+1)
}

// Planner plans the changes of the voters, one change at a time.
type Planner struct {
	target int
	// lastChange is the time at which the last change was planned. It is valid only if hasChanged is
	// set.
	lastChange time.Duration
	hasChanged bool
}

// NewPlanner returns a planner whose target is the given number of voters.
func NewPlanner(target int) *Planner { return &Planner{target: target} }

// Plan returns the new voters if the voters have to change now; otherwise ok is false.
func (p *Planner) Plan(now time.Duration, v View) (voters []replication.MemberID, ok bool) {
	if !v.Status.IsLeader || !v.Status.MembershipStable || p.hasChanged && now-p.lastChange < minChangeInterval {
		return nil, false
	}
	learners := v.promotable()
	voters, ok = replaceLostVoter(v, learners)
	if !ok {
		voters, ok = p.addVoters(now, v, learners)
	}
	if ok {
		p.lastChange, p.hasChanged = now, true
	}
	return voters, ok
}

// replaceLostVoter returns the voters with a lost or leaving voter replaced by a learner, or false if
// there is no such voter or no suitable learner.
func replaceLostVoter(v View, learners []replication.MemberID) ([]replication.MemberID, bool) {
	lost, ok := v.voterToReplace()
	if !ok {
		return nil, false
	}
	remaining := without(v.Status.Membership.Voters, lost)
	candidates := withoutAddressesOf(remaining, learners)
	if len(candidates) == 0 {
		return nil, false
	}
	successor := v.bestCandidate(remaining, candidates)
	// The new disk at the lost voter's address is preferred. It is in the same zone as the lost voter,
	// and it can replace no other voter.
	sameAddress := func(id replication.MemberID) bool { return id.Address() == lost.Address() }
	if i := slices.IndexFunc(candidates, sameAddress); i >= 0 {
		successor = candidates[i]
	}
	return append(remaining, successor), true
}

// addVoters adds learners to the voters until their number reaches the target or the learners are used
// up. The resulting number is odd, since an even number of voters tolerates no more losses than the odd
// number below it.
func (p *Planner) addVoters(
	now time.Duration, v View, learners []replication.MemberID,
) ([]replication.MemberID, bool) {
	voters := slices.Clone(v.Status.Membership.Voters)
	candidates := withoutAddressesOf(voters, learners)
	size := min(p.target, len(voters)+len(candidates))
	if size%2 == 0 {
		size--
	}
	if size <= len(voters) || now-v.NewestJoin < minJoinAge {
		return nil, false
	}
	for len(voters) < size {
		best := v.bestCandidate(voters, candidates)
		voters = append(voters, best)
		candidates = without(candidates, best)
	}
	return voters, true
}

// without returns the members except the excluded one.
func without(members []replication.MemberID, excluded replication.MemberID) []replication.MemberID {
	return slices.DeleteFunc(slices.Clone(members), func(id replication.MemberID) bool { return id == excluded })
}

// withoutAddressesOf returns the members whose address is not the address of a voter.
func withoutAddressesOf(voters, members []replication.MemberID) []replication.MemberID {
	return slices.DeleteFunc(slices.Clone(members), func(id replication.MemberID) bool {
		return slices.ContainsFunc(voters, func(voter replication.MemberID) bool {
			return voter.Address() == id.Address()
		})
	})
}
