package cluster

import (
	"slices"
	"time"

	"caperarch/internal/mesh/replication"
)

const (
	// LastContactThreshold is how long a voter is without contact before a learner may replace it.
	// It is above any election and any late heartbeat, and so far below catchUpS that a replacement
	// votes in time. Replacing a voter that was wrongly taken for lost costs one change: its
	// replacement stores everything that it stored.
	LastContactThreshold = 2 * time.Second
	// neverContactedThreshold is the same for a voter that the leader has never had contact with:
	// it was without contact before the election, too, and an election and the wait after it would
	// take most of catchUpS.
	neverContactedThreshold = time.Second
	// minChangeInterval is the shortest time between two changes, so that flapping machines can't
	// keep the log busy with memberships.
	minChangeInterval = 300 * time.Millisecond
	// minJoinAge is how long ago the newest machine must have joined before voters are added, so that
	// they are spread over the zones of all machines and not of the first to join.
	minJoinAge = 500 * time.Millisecond
)

// TargetVoters is how many voters tolerate the loss of so many machines, zones or regions at once.
func TargetVoters(machines, zones, regions int) int {
	return max(3, 2*max(machines, zones, regions)+1)
}

// Planner decides on changes of the voters, one at a time.
type Planner struct {
	target int
	// lastChange is when the last change was planned; hasChanged says that there was one.
	lastChange time.Duration
	hasChanged bool
}

// NewPlanner returns a planner for a number of voters.
func NewPlanner(target int) *Planner { return &Planner{target: target} }

// Plan returns the voters to change to; ok is false when nothing is to be changed now.
func (p *Planner) Plan(now time.Duration, v View) (voters []replication.MemberID, ok bool) {
	if !v.Status.IsLeader || !v.Status.MembershipStable || p.hasChanged && now-p.lastChange < minChangeInterval {
		return nil, false
	}
	learners := v.promotable()
	voters, ok = replaceLostVoter(v, learners)
	if !ok {
		voters, ok = p.grow(now, v, learners)
	}
	if ok {
		p.lastChange, p.hasChanged = now, true
	}
	return voters, ok
}

// replaceLostVoter puts a learner in the place of a lost voter.
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
	// The new disk at the lost one's address is in the same zone, and can replace no other voter.
	sameAddress := func(id replication.MemberID) bool { return id.Address() == lost.Address() }
	if i := slices.IndexFunc(candidates, sameAddress); i >= 0 {
		successor = candidates[i]
	}
	return append(remaining, successor), true
}

// grow adds learners until the target is reached, to an odd number: an even one tolerates no more
// losses than the odd one below it.
func (p *Planner) grow(
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

// without returns the members but one.
func without(members []replication.MemberID, excluded replication.MemberID) []replication.MemberID {
	return slices.DeleteFunc(slices.Clone(members), func(id replication.MemberID) bool { return id == excluded })
}

// withoutAddressesOf returns the members at whose address no voter is.
func withoutAddressesOf(voters, members []replication.MemberID) []replication.MemberID {
	return slices.DeleteFunc(slices.Clone(members), func(id replication.MemberID) bool {
		return slices.ContainsFunc(voters, func(voter replication.MemberID) bool {
			return voter.Address() == id.Address()
		})
	})
}
