package replication

import (
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
)

// ChangeMembership begins a change of the voters. The entry that it appends puts the joint
// membership of old and new voters in force; once that is committed by a majority of both, the
// leader appends the new one alone. An error means that nothing was done; it is of kind NotLeader,
// Busy, Invalid or NoQuorum. The change begins only when all of this holds:
//   - an entry of the leader's own term is committed, so that it knows of every earlier change;
//   - no change is under way;
//   - the leader remains a voter;
//   - a majority of the old and of the new voters are in contact and have synced everything that is
//     committed, so that the change can be committed, and the new voters need no disk of the old;
//   - so has every voter that is new.
func (r *Replica) ChangeMembership(now time.Duration, voters []MemberID) error {
	r.checkQuorum(now)
	current := r.memberships.current()
	next := Membership{Voters: slices.Sorted(slices.Values(voters)), Outgoing: current.Voters}
	switch {
	case r.role != leader || r.storageFailed:
		return errs.New(errs.NotLeader, "replication: %s isn't the leader", r.id)
	case !r.hasCommittedInTerm():
		return errs.New(errs.Busy, "replication: the term has no committed entry yet")
	case current.IsJoint() || current.index > r.commit:
		return errs.New(errs.Busy, "replication: a change of membership is under way")
	case !slices.Contains(next.Voters, r.id):
		return errs.New(errs.Invalid, "replication: the leader can't leave; it hands over first")
	case slices.Equal(next.Voters, slices.Sorted(slices.Values(current.Voters))):
		return errs.New(errs.Invalid, "replication: these are the voters already")
	}
	if err := next.validate(); err != nil {
		return err
	}
	if !next.hasQuorum(func(id MemberID) bool { return r.isCaughtUp(now, id) }) {
		return errs.New(errs.NoQuorum,
			"replication: too few of the old or the new voters hold all that is committed")
	}
	for _, id := range next.Voters {
		if !current.IsVoter(id) && !r.isCaughtUp(now, id) {
			return errs.New(errs.Busy, "replication: %s has not caught up", id)
		}
	}
	r.appendMembership(now, next)
	return nil
}

func (r *Replica) appendMembership(now time.Duration, m Membership) {
	entry := Entry{
		Index:   r.log.lastIndex() + 1,
		Term:    r.hardState.Term,
		Kind:    EntryMembership,
		Command: m.encode(),
	}
	r.log.append(entry)
	r.memberships = append(r.memberships, indexedMembership{entry.Index, m})
	r.updatePeers(now)
}

// leaveJoint ends a change whose joint membership is committed, also one that an earlier leader
// began. A leader that isn't among the new voters transfers leadership instead.
func (r *Replica) leaveJoint(now time.Duration) {
	current := r.memberships.current()
	if current.IsJoint() && current.index <= r.commit && slices.Contains(current.Voters, r.id) {
		r.appendMembership(now, Membership{Voters: current.Voters})
	}
}
