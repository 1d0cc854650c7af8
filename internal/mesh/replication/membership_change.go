package replication

import (
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
)

// ChangeMembership starts a change of the voters. It appends an entry with the joint membership of
// the old and the new voters, which is in force immediately. Once this entry is committed by a majority
// of each set, the leader appends an entry with the new voters alone. If ChangeMembership returns an
// error, the membership is unchanged. The error is of kind NotLeader, Busy, Invalid or NoQuorum. The
// change starts only under these conditions:
//   - An entry of the leader's own term is committed, so that the leader knows of every earlier change.
//   - No other change is in progress.
//   - The leader is among the new voters.
//   - A majority of the old voters and a majority of the new voters are in contact and have synced all
//     committed entries. The change can then be committed, and the new voters alone store all
//     committed entries on a majority of their disks.
//   - Every added voter is in contact and has synced all committed entries.
func (r *Replica) ChangeMembership(now time.Duration, voters []MemberID) error {
	r.checkQuorum(now)
	current := r.memberships.current()
	next := Membership{Voters: slices.Sorted(slices.Values(voters)), Outgoing: current.Voters}
	switch {
	case r.role != leader || r.storageFailed:
		return errs.New(errs.NotLeader, "replication: %s is not the leader or cannot write to its disk", r.id)
	case !r.hasCommittedInTerm():
		return errs.New(errs.Busy, "replication: current term has no committed entry")
	case current.IsJoint() || current.index > r.commit:
		return errs.New(errs.Busy, "replication: another membership change is in progress")
	case !slices.Contains(next.Voters, r.id):
		return errs.New(errs.Invalid, "replication: new voters exclude the leader, which must transfer leadership first")
	case slices.Equal(next.Voters, slices.Sorted(slices.Values(current.Voters))):
		return errs.New(errs.Invalid, "replication: new voters equal the current voters")
	}
	if err := next.validate(); err != nil {
		return err
	}
	if !next.hasQuorum(func(id MemberID) bool { return r.isCaughtUp(now, id) }) {
		return errs.New(errs.NoQuorum,
			"replication: no majority of the old or of the new voters is in contact with all committed entries")
	}
	for _, id := range next.Voters {
		if !current.IsVoter(id) && !r.isCaughtUp(now, id) {
			return errs.New(errs.Busy, "replication: new voter %s has not synced all committed entries", id)
		}
	}
	r.appendMembership(now, next)
	return nil
}

// appendMembership appends an entry with a membership to the leader's log and puts the membership in
// force.
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

// leaveJoint completes a membership change, including a change started by an earlier leader, once the
// joint membership is committed. A leader that is not among the new voters does not complete the
// change. It transfers leadership instead.
func (r *Replica) leaveJoint(now time.Duration) {
	current := r.memberships.current()
	if current.IsJoint() && current.index <= r.commit && slices.Contains(current.Voters, r.id) {
		r.appendMembership(now, Membership{Voters: current.Voters})
	}
}
