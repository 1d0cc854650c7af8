package replication

import (
	"slices"
	"time"
)

const (
	// manageEvery is how often a leader looks at its membership.
	manageEvery = 100 * time.Millisecond
	// silentOut is the silence after which a voter is replaced.
	silentOut = 2 * time.Second
	// neverHeardOut is the same for a voter that a leader has never heard.
	neverHeardOut = time.Second
	// announceOut is how long an announcement counts.
	announceOut = 2 * time.Second
)

// announcement is what a machine last told a leader of itself.
type announcement struct {
	at      time.Duration
	leaving bool
}

// manageAll has every machine that leads look at its membership, as the control plane does.
func (w *world) manageAll() {
	for _, n := range w.machines {
		if n.replica == nil || n.frozen {
			continue
		}
		for _, other := range w.machines {
			if other.replica != nil && !other.frozen && w.reaches(other, n) {
				n.announced[other.id] = announcement{at: w.now, leaving: other.leaving}
			}
		}
		n.manage = true
		w.pump(n)
	}
	w.after(manageEvery, w.manageAll)
}

// manageMembers is the policy: learners are all who announced themselves; below the target size
// caught-up learners are let in so that the size becomes odd; a voter that is replaced at its
// address, leaves or is silent is swapped for one, one at a time.
func (w *world) manageMembers(n *machine) {
	r, now := n.replica, w.clock(n)
	if !r.IsLeader(now) || w.manageOff {
		return
	}
	membership, committed := r.Membership()
	r.SetLearners(now, w.learnersFor(n, membership))
	if !committed || membership.IsJoint() {
		return
	}
	ready := w.caughtUpLearners(n)
	if out := w.voterToReplace(n, membership); out != "" && len(ready) > 0 {
		voters := slices.Clone(membership.Voters)
		voters[slices.Index(voters, out)] = successor(ready, membership, out)
		if r.ChangeMembership(now, voters) == nil {
			w.count("voter swapped")
		}
		return
	}
	// A leader goes last, so that it hands over to one that stays.
	if n.leaving && len(ready) > 0 && r.TransferLeadership(now) {
		w.count("leadership transferred")
		return
	}
	missing := w.target - len(membership.Voters)
	grow := min(missing, len(ready))
	if (len(membership.Voters)+grow)%2 == 0 {
		grow--
	}
	if grow > 0 && r.ChangeMembership(now, append(slices.Clone(membership.Voters), ready[:grow]...)) == nil {
		w.count("membership grown")
	}
}

func (w *world) learnersFor(n *machine, m Membership) []MemberID {
	var learners []MemberID
	for id, a := range n.announced {
		if w.now-a.at > announceOut || a.leaving || m.IsVoter(id) {
			continue
		}
		learners = append(learners, id)
	}
	slices.Sort(learners)
	return learners
}

func (w *world) caughtUpLearners(n *machine) []MemberID {
	var ready []MemberID
	for _, p := range n.replica.Progress(w.clock(n)) {
		if !p.IsVoter && p.CaughtUp && p.SinceLastContact <= ContactTimeout {
			ready = append(ready, p.ID)
		}
	}
	return ready
}

// successor is the learner that takes a voter's place: the one at its address, or one at an address
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

// voterToReplace is the first voter that should go, "" when none should: those first whose address
// another has, since that one can take no other's place.
func (w *world) voterToReplace(n *machine, m Membership) MemberID {
	silent := map[MemberID]time.Duration{}
	for _, p := range n.replica.Progress(w.clock(n)) {
		silent[p.ID] = p.SinceLastContact
		if p.Match == 0 && p.SinceLastContact > neverHeardOut { // by this leader, and not by the one before
			silent[p.ID] = silentOut + 1
		}
	}
	for _, id := range m.Voters {
		if id != n.id && w.replacedAtAddress(n, id) {
			return id
		}
	}
	for _, id := range m.Voters {
		if id != n.id && (n.announced[id].leaving || silent[id] > silentOut) {
			return id
		}
	}
	return ""
}

// replacedAtAddress says that another member announced itself from a member's address since.
func (w *world) replacedAtAddress(n *machine, id MemberID) bool {
	for other, a := range n.announced {
		if other != id && other.Address() == id.Address() && a.at > n.announced[id].at {
			return true
		}
	}
	return false
}
