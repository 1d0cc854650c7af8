package replication

import (
	"slices"
	"time"
)

const (
	// manageInterval is the interval at which a leader checks its membership.
	manageInterval = 100 * time.Millisecond
	// lastContactThreshold is the time without contact after which a voter is replaced.
	lastContactThreshold = 2 * time.Second
	// neverContactedThreshold is the time without contact after which a voter is replaced that has never
	// answered the leader.
	neverContactedThreshold = time.Second
	// announcementTTL is the time for which an announcement is valid.
	announcementTTL = 2 * time.Second
)

// announcement is the newest announcement of a member that a machine has received.
type announcement struct {
	at      time.Duration
	leaving bool
}

// manageAllMachines distributes the announcements of all machines and makes every leader check its
// membership, as the control plane does.
func (sim *simulation) manageAllMachines() {
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
	sim.schedule(manageInterval, sim.manageAllMachines)
}

// manageMembership is a simple model of the Planner in package cluster. All announced members that are
// neither voters nor leaving become learners. A voter that is leaving, is out of contact or has a new
// disk at its address is replaced with a caught-up learner, one voter at a time. A membership below its
// target size is grown with caught-up learners to an odd number of voters.
func (sim *simulation) manageMembership(n *machine) {
	r, now := n.replica, sim.localTime(n)
	if !r.IsLeader(now) || sim.membershipChangesDisabled {
		return
	}
	membership, committed := r.Membership()
	r.SetLearners(now, sim.learnersFor(n, membership))
	if !committed || membership.IsJoint() {
		return
	}
	caughtUp := sim.caughtUpLearners(n)
	if outgoingVoter := sim.voterToReplace(n, membership); outgoingVoter != "" && len(caughtUp) > 0 {
		voters := slices.Clone(membership.Voters)
		voters[slices.Index(voters, outgoingVoter)] = successor(caughtUp, membership, outgoingVoter)
		if r.ChangeMembership(now, voters) == nil {
			sim.count("voter replaced")
		}
		return
	}
	// A leaving leader transfers leadership only after all other leaving voters are replaced, so that the
	// next leader is a voter that remains.
	if n.leaving && len(caughtUp) > 0 && r.TransferLeadership(now) {
		sim.count("leadership transferred")
		return
	}
	missing := sim.targetSize - len(membership.Voters)
	added := min(missing, len(caughtUp))
	if (len(membership.Voters)+added)%2 == 0 {
		added--
	}
	if added > 0 && r.ChangeMembership(now, append(slices.Clone(membership.Voters), caughtUp[:added]...)) == nil {
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
	var caughtUp []MemberID
	for _, p := range n.replica.Progress(sim.localTime(n)) {
		if !p.IsVoter && p.CaughtUp && p.SinceLastContact <= ContactTimeout {
			caughtUp = append(caughtUp, p.ID)
		}
	}
	return caughtUp
}

// successor returns the caught-up learner that replaces outgoingVoter. It prefers a learner at the same
// address, and then a learner at an address without a voter.
func successor(caughtUp []MemberID, m Membership, outgoingVoter MemberID) MemberID {
	taken := map[string]bool{}
	for _, id := range m.Voters {
		taken[id.Address()] = true
	}
	best := caughtUp[0]
	for _, id := range caughtUp {
		if id.Address() == outgoingVoter.Address() {
			return id
		}
		if taken[best.Address()] && !taken[id.Address()] {
			best = id
		}
	}
	return best
}

// voterToReplace returns the next voter to replace, or "". A voter with a new disk at its address comes
// first, because the new disk cannot replace any other voter.
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

// hasNewDisk reports whether another disk at the member's address was announced more recently than the
// member.
func (sim *simulation) hasNewDisk(n *machine, id MemberID) bool {
	for other, a := range n.announced {
		if other != id && other.Address() == id.Address() && a.at > n.announced[id].at {
			return true
		}
	}
	return false
}
