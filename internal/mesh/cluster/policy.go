package cluster

import (
	"slices"
	"time"

	"caperarch/internal/mesh/replication"
)

const (
	// LastContactThreshold is how long a voter is unheard before a learner may take its place. It is above any
	// election and any heartbeat that is merely late, and so far below catchUpS that a successor
	// votes in time. A voter that was wrongly taken for lost costs nothing but a move: its
	// successor holds all that it held.
	LastContactThreshold = 2 * time.Second
	// neverContactedThreshold is the same for a voter that a leader has never heard: it was silent before
	// the election, too, and an election with its wait alone would take most of catchUpS.
	neverContactedThreshold = time.Second
	// minChangeInterval is the least time between two changes, so that flickering machines can't keep the
	// log busy with memberships.
	minChangeInterval = 300 * time.Millisecond
	// joinSettleTime is how long nobody new is heard of before the set grows, so that the voters are
	// spread over the zones of all that are there and not of the first to come.
	joinSettleTime = 500 * time.Millisecond
)

// TargetVoters is how many voters bear the loss of so many machines, zones or regions at once.
func TargetVoters(machines, zones, regions int) int {
	return max(3, 2*max(machines, zones, regions)+1)
}

// View is what a leader knows when it decides.
type View struct {
	Self   replication.MemberID
	Status *replication.Status
	// Live are the machines that announced themselves lately, the leader's own word among them.
	Live []Announcement
	// NewestJoin is when the newest of them was first heard.
	NewestJoin time.Duration
}

// Planner decides on changes of the voters, one at a time.
type Planner struct {
	target     int
	lastChange time.Duration
	hasChanged bool
}

// NewPlanner plans for so many voters.
func NewPlanner(target int) *Planner { return &Planner{target: target} }

// Learners are the machines that follow the log without a vote.
func Learners(v View) []replication.MemberID {
	var learners []replication.MemberID
	for _, m := range v.Live {
		if !v.Status.Membership.IsVoter(m.ID) {
			learners = append(learners, m.ID)
		}
	}
	return learners
}

// Plan returns the voters to change to; false: nothing is to be changed now.
func (p *Planner) Plan(now time.Duration, v View) ([]replication.MemberID, bool) {
	if !v.Status.IsLeader || !v.Status.MembershipStable || p.hasChanged && now-p.lastChange < minChangeInterval {
		return nil, false
	}
	candidates := v.candidates()
	next, ok := p.replace(v, candidates)
	if !ok {
		next, ok = p.grow(now, v, candidates)
	}
	if ok {
		p.lastChange, p.hasChanged = now, true
	}
	return next, ok
}

// candidates is the learners that could vote: in touch, up to date and here to stay.
func (v View) candidates() []replication.MemberID {
	var candidates []replication.MemberID
	for _, m := range v.Live {
		known, ok := v.progress(m.ID)
		if ok && !known.IsVoter && known.CaughtUp && known.SinceLastContact <= replication.ContactTimeout && !m.Leaving {
			candidates = append(candidates, m.ID)
		}
	}
	return candidates
}

func (v View) progress(id replication.MemberID) (replication.Progress, bool) {
	i := slices.IndexFunc(v.Status.Progress, func(p replication.Progress) bool { return p.ID == id })
	if i < 0 {
		return replication.Progress{}, false
	}
	return v.Status.Progress[i], true
}

// zone is where a member stands, as far as it has said.
func (v View) zone(id replication.MemberID) string {
	for _, m := range v.Live {
		if m.ID.Address() == id.Address() {
			return m.Zone
		}
	}
	return ""
}

// replace puts a spare learner in the place of a voter that is lost: first one whose disk is gone for
// certain, then one that is leaving, then one that is unheard.
func (p *Planner) replace(v View, candidates []replication.MemberID) ([]replication.MemberID, bool) {
	replaced, ok := v.voterToReplace()
	if !ok {
		return nil, false
	}
	remaining := slices.DeleteFunc(slices.Clone(v.Status.Membership.Voters), func(id replication.MemberID) bool { return id == replaced })
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(id replication.MemberID) bool { return containsAddress(remaining, id.Address()) })
	if len(candidates) == 0 {
		return nil, false
	}
	successor := v.bestCandidate(remaining, candidates)
	// The new disk at the lost one's address is in its zone and can take no other's place.
	if i := slices.IndexFunc(candidates, func(id replication.MemberID) bool { return id.Address() == replaced.Address() }); i >= 0 {
		successor = candidates[i]
	}
	return append(remaining, successor), true
}

// containsAddress says whether one of the members is at an address.
func containsAddress(members []replication.MemberID, address string) bool {
	return slices.ContainsFunc(members, func(id replication.MemberID) bool { return id.Address() == address })
}

// voterToReplace is the voter to be replaced next.
func (v View) voterToReplace() (replication.MemberID, bool) {
	voters := v.Status.Membership.Voters
	for _, lost := range []func(replication.MemberID) bool{v.hasNewDisk, v.isLeaving, v.isOutOfContact} {
		if i := slices.IndexFunc(voters, lost); i >= 0 {
			return voters[i], true
		}
	}
	return "", false
}

// hasNewDisk says that another disk announces itself from the voter's address: its own is gone.
func (v View) hasNewDisk(id replication.MemberID) bool {
	return slices.ContainsFunc(v.Live, func(m Announcement) bool { return m.ID.Address() == id.Address() && m.ID != id })
}

func (v View) isLeaving(id replication.MemberID) bool {
	return id != v.Self && slices.ContainsFunc(v.Live, func(m Announcement) bool { return m.ID == id && m.Leaving })
}

func (v View) isOutOfContact(id replication.MemberID) bool {
	known, ok := v.progress(id)
	return ok && (known.SinceLastContact > LastContactThreshold || known.Match == 0 && known.SinceLastContact > neverContactedThreshold)
}

// grow promotes learners until the target is reached, to an odd number: an even one bears no more
// than the odd one below it.
func (p *Planner) grow(now time.Duration, v View, candidates []replication.MemberID) ([]replication.MemberID, bool) {
	voters := slices.Clone(v.Status.Membership.Voters)
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(id replication.MemberID) bool { return containsAddress(voters, id.Address()) })
	size := min(p.target, len(voters)+len(candidates))
	if size%2 == 0 {
		size--
	}
	if size <= len(voters) || now-v.NewestJoin < joinSettleTime {
		return nil, false
	}
	for len(voters) < size {
		best := v.bestCandidate(voters, candidates)
		voters = append(voters, best)
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(id replication.MemberID) bool { return id == best })
	}
	return voters, true
}

// bestCandidate is the spare learner whose zone has the fewest of the voters.
func (v View) bestCandidate(voters, candidates []replication.MemberID) replication.MemberID {
	inZone := map[string]int{}
	for _, id := range voters {
		inZone[v.zone(id)]++
	}
	best := candidates[0]
	for _, id := range candidates[1:] {
		if inZone[v.zone(id)] < inZone[v.zone(best)] {
			best = id
		}
	}
	return best
}

// HasReplacement says whether a leaving voter has somebody to wait for: a spare learner.
func HasReplacement(v View, id replication.MemberID) bool {
	return v.Status.Membership.IsVoter(id) && len(v.candidates()) > 0
}
