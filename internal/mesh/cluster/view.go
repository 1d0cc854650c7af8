package cluster

import (
	"slices"
	"time"

	"caperarch/internal/mesh/replication"
)

// View is what a leader knows when it decides on the voters.
type View struct {
	Self   replication.MemberID
	Status *replication.Status
	// Live are the machines whose announcements haven't expired, the leader's own among them.
	Live []Announcement
	// NewestJoin is when the machine that joined last was first seen.
	NewestJoin time.Duration
}

// Learners returns the live machines that follow the log without a vote.
func Learners(v View) []replication.MemberID {
	var learners []replication.MemberID
	for _, m := range v.Live {
		if !v.Status.Membership.IsVoter(m.ID) {
			learners = append(learners, m.ID)
		}
	}
	return learners
}

// HasReplacement reports whether a voter that is leaving has a learner to wait for.
func HasReplacement(v View, id replication.MemberID) bool {
	return v.Status.Membership.IsVoter(id) && len(v.promotable()) > 0
}

// promotable returns the learners that may become voters: in contact, caught up and not leaving.
func (v View) promotable() []replication.MemberID {
	var learners []replication.MemberID
	for _, m := range v.Live {
		p, ok := v.progress(m.ID)
		if ok && !p.IsVoter && p.CaughtUp && p.SinceLastContact <= replication.ContactTimeout && !m.Leaving {
			learners = append(learners, m.ID)
		}
	}
	return learners
}

func (v View) progress(id replication.MemberID) (replication.Progress, bool) {
	i := slices.IndexFunc(v.Status.Progress, func(p replication.Progress) bool { return p.ID == id })
	if i < 0 {
		return replication.Progress{}, false
	}
	return v.Status.Progress[i], true
}

// zone is a member's zone, "" where it has announced none.
func (v View) zone(id replication.MemberID) string {
	for _, m := range v.Live {
		if m.ID.Address() == id.Address() {
			return m.Zone
		}
	}
	return ""
}

// voterToReplace returns the voter to be replaced next: first one whose disk is certainly lost,
// then one that is leaving, then one without contact.
func (v View) voterToReplace() (replication.MemberID, bool) {
	voters := v.Status.Membership.Voters
	for _, isLost := range []func(replication.MemberID) bool{v.hasNewDisk, v.isLeaving, v.isOutOfContact} {
		if i := slices.IndexFunc(voters, isLost); i >= 0 {
			return voters[i], true
		}
	}
	return "", false
}

// hasNewDisk reports whether another disk announces itself from the voter's address: its own is lost.
func (v View) hasNewDisk(id replication.MemberID) bool {
	return slices.ContainsFunc(v.Live, func(m Announcement) bool {
		return m.ID.Address() == id.Address() && m.ID != id
	})
}

// isLeaving reports whether a voter other than the leader waits to be replaced. The leader transfers its
// leadership first.
func (v View) isLeaving(id replication.MemberID) bool {
	return id != v.Self && slices.ContainsFunc(v.Live, func(m Announcement) bool {
		return m.ID == id && m.Leaving
	})
}

func (v View) isOutOfContact(id replication.MemberID) bool {
	p, ok := v.progress(id)
	if !ok {
		return false
	}
	neverContacted := p.Match == 0
	return p.SinceLastContact > LastContactThreshold ||
		neverContacted && p.SinceLastContact > neverContactedThreshold
}

// bestCandidate returns the learner in the zone with the fewest voters.
func (v View) bestCandidate(voters, learners []replication.MemberID) replication.MemberID {
	votersInZone := map[string]int{}
	for _, id := range voters {
		votersInZone[v.zone(id)]++
	}
	best := learners[0]
	for _, id := range learners[1:] {
		if votersInZone[v.zone(id)] < votersInZone[v.zone(best)] {
			best = id
		}
	}
	return best
}
