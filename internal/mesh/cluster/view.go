package cluster

import (
	"slices"
	"time"

	"caperarch/internal/mesh/replication"
)

// View is the state on which a leader bases its decisions about the voters.
type View struct {
	Self   replication.MemberID
	Status *replication.Status
	// Live are the machines whose announcements haven't expired, including the leader's own.
	Live []Announcement
	// NewestJoin is the time at which the machine that joined last was first seen.
	NewestJoin time.Duration
}

// Learners returns the live machines that are not voters. They follow the log without voting.
func Learners(v View) []replication.MemberID {
	var learners []replication.MemberID
	for _, m := range v.Live {
		if !v.Status.Membership.IsVoter(m.ID) {
			learners = append(learners, m.ID)
		}
	}
	return learners
}

// HasReplacement reports whether the member is a voter and a learner is ready to replace it, so that a
// leaving member should wait for the replacement.
func HasReplacement(v View, id replication.MemberID) bool {
	return v.Status.Membership.IsVoter(id) && len(v.promotable()) > 0
}

// promotable returns the learners that may become voters: in contact with the leader, caught up with the
// log and not leaving.
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

// zone returns a member's zone, or "" if no live machine announces itself from the member's address.
func (v View) zone(id replication.MemberID) string {
	for _, m := range v.Live {
		if m.ID.Address() == id.Address() {
			return m.Zone
		}
	}
	return ""
}

// voterToReplace returns the voter to be replaced next: first a voter whose disk is certainly lost, then
// a leaving voter, then a voter out of contact.
func (v View) voterToReplace() (replication.MemberID, bool) {
	voters := v.Status.Membership.Voters
	for _, isLost := range []func(replication.MemberID) bool{v.hasNewDisk, v.isLeaving, v.isOutOfContact} {
		if i := slices.IndexFunc(voters, isLost); i >= 0 {
			return voters[i], true
		}
	}
	return "", false
}

// hasNewDisk reports whether a member with another disk announces itself from the voter's address. The
// voter's own disk is lost in this case.
func (v View) hasNewDisk(id replication.MemberID) bool {
	return slices.ContainsFunc(v.Live, func(m Announcement) bool {
		return m.ID.Address() == id.Address() && m.ID != id
	})
}

// isLeaving reports whether a voter other than the leader is leaving. The leader transfers its
// leadership before it is replaced.
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

// bestCandidate returns the learner whose zone has the fewest voters.
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
