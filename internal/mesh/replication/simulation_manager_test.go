package replication

import (
	"slices"
	"time"
)

const (
	// manageInterval is how often a leader checks its membership.
	manageInterval = 100 * time.Millisecond
	// lastContactThreshold is the time without contact after which a voter is replaced.
	lastContactThreshold = 2 * time.Second
	// neverContactedThreshold is the same for a voter that the leader never had contact with.
	neverContactedThreshold = time.Second
	// announcementTTL is how long an announcement counts.
	announcementTTL = 2 * time.Second
)

// announcement is the newest one of a machine that a leader has received.
type announcement struct {
	at      time.Duration
	leaving bool
}

// manageEverywhere makes every leader check its membership, as the control plane does.
func (sim *simulation) manageEverywhere() {
	for _, n := range sim.machines {
		if n.replica == nil || n.frozen {
			continue
		}
		for _, other := range sim.machines {
			if other.replica != nil && !other.frozen && sim.canReach(other, n) {
				n.announced[other.id] = announcement{at: sim.now, leaving: other.leaving}
			}
		}
		n.manageDue = true
		sim.runMachine(n)
	}
	sim.schedule(manageInterval, sim.manageEverywhere)
}

// manageMembers is a simple Planner: learners are all announced machines; below the target size
// caught-up learners are added so that the number of voters becomes odd; a voter that has a new disk
// at its address, is leaving or out of contact is replaced by a learner, one at a time.
func (sim *simulation) manageMembers(n *machine) {
	r, now := n.replica, sim.localTime(n)
	if !r.IsLeader(now) || sim.membershipFrozen {
		return
	}
	membership, committed := r.Membership()
	r.SetLearners(now, sim.learnersFor(n, membership))
	if !committed || membership.IsJoint() {
		return
	}
	ready := sim.caughtUpLearners(n)
	if out := sim.voterToReplace(n, membership); out != "" && len(ready) > 0 {
		voters := slices.Clone(membership.Voters)
		voters[slices.Index(voters, out)] = successor(ready, membership, out)
		if r.ChangeMembership(now, voters) == nil {
			sim.count("voter replaced")
		}
		return
	}
	// A leader leaves last, so that it transfers leadership to a voter that remains.
	if n.leaving && len(ready) > 0 && r.TransferLeadership(now) {
		sim.count("leadership transferred")
		return
	}
	missing := sim.target - len(membership.Voters)
	grow := min(missing, len(ready))
	if (len(membership.Voters)+grow)%2 == 0 {
		grow--
	}
	if grow > 0 && r.ChangeMembership(now, append(slices.Clone(membership.Voters), ready[:grow]...)) == nil {
		sim.count("membership grown")
	}
}

func (sim *simulation) learnersFor(n *machine, m Membership) []MemberID {
	var learners []MemberID
	for id, a := range n.announced {
		if sim.now-a.at > announcementTTL || a.leaving || m.IsVoter(id) {
			continue
		}
		learners = append(learners, id)
	}
	slices.Sort(learners)
	return learners
}

func (sim *simulation) caughtUpLearners(n *machine) []MemberID {
	var ready []MemberID
	for _, p := range n.replica.Progress(sim.localTime(n)) {
		if !p.IsVoter && p.CaughtUp && p.SinceLastContact <= ContactTimeout {
			ready = append(ready, p.ID)
		}
	}
	return ready
}

// successor returns the learner that replaces a voter: the one at its address, or one at an address
// that no voter has.
func successor(ready []MemberID, m Membership, out MemberID) MemberID {
	taken := map[string]bool{}
	for _, id := range m.Voters {
		taken[id.Address()] = true
	}
	best := ready[0]
	for _, id := range ready {
		if id.Address() == out.Address() {
			return id
		}
		if taken[best.Address()] && !taken[id.Address()] {
			best = id
		}
	}
	return best
}

// voterToReplace returns the next voter to replace, "" for none: first one with a new disk at its
// address, because that disk can replace no other voter.
func (sim *simulation) voterToReplace(n *machine, m Membership) MemberID {
	sinceContact := map[MemberID]time.Duration{}
	for _, p := range n.replica.Progress(sim.localTime(n)) {
		sinceContact[p.ID] = p.SinceLastContact
		if p.Match == 0 && p.SinceLastContact > neverContactedThreshold {
			sinceContact[p.ID] = lastContactThreshold + 1
		}
	}
	for _, id := range m.Voters {
		if id != n.id && sim.hasNewDisk(n, id) {
			return id
		}
	}
	for _, id := range m.Voters {
		if id != n.id && (n.announced[id].leaving || sinceContact[id] > lastContactThreshold) {
			return id
		}
	}
	return ""
}

// hasNewDisk says that another disk was announced at a member's address since.
func (sim *simulation) hasNewDisk(n *machine, id MemberID) bool {
	for other, a := range n.announced {
		if other != id && other.Address() == id.Address() && a.at > n.announced[id].at {
			return true
		}
	}
	return false
}
