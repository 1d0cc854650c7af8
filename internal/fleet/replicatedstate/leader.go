package replicatedstate

import (
	"cmp"
	"slices"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
)

// actAsLeader creates or drops the leader's state as leadership changes, and proposes the leader's next
// decision.
func (n *Node) actAsLeader(now time.Duration) {
	n.participant.AdvanceIndex(n.log.LastIndex())
	switch {
	case !n.log.IsLeader():
		n.leader = nil
		return
	case n.leader == nil || n.term != n.log.Term() || n.epoch != n.log.Epoch():
		n.leader = policyrollout.NewLeader(
			now, n.Size, LeaseExpiry(n.Lease, n.MaxClockError),
			quorumAckHeartbeats*raftlog.HeartbeatInterval(n.Size),
		)
		n.term, n.epoch = n.log.Term(), n.log.Epoch()
		n.Host.HandleEvent(Event{Kind: LeaderStarted, Sidecar: n.Self.Number})
	}
	if step, due := n.leader.Decide(now, n.participant.State(), n.Self.Number); due {
		n.proposeStep(now, step)
	}
}

// proposeStep proposes a decision of the leader unless the same decision was proposed within decisionRetry:
// the log itself retries a proposal.
func (n *Node) proposeStep(now time.Duration, step policyrollout.Step) {
	if n.lastDecision == step && now < n.decidedAt+decisionRetry {
		return
	}
	n.lastDecision, n.decidedAt = step, now
	if raw, err := step.Encode(); err == nil {
		_ = n.log.Propose(now, raw)
	}
}

// decisionRetry is the delay after which a decision that is not in the log yet is proposed as a new proposal.
// The log itself retries a proposal after 1 s, with growing delays.
const decisionRetry = 5 * time.Second

// updateVoters replaces voters that are permanently lost, if this sidecar leads.
func (n *Node) updateVoters(now time.Duration) {
	if n.leader == nil {
		return
	}
	candidates := n.voterCandidates(now)
	removable := n.removableVoters(now, candidates)
	n.log.UpdateVoters(now, func(voter raftlog.Voter) bool { return slices.Contains(removable, voter) }, candidates)
}

// removableVoters returns the lost voters. If there are too few candidates to replace all of them and the
// number of voters would become even, one lost voter is kept: removing it would not make the quorum smaller,
// and if that voter is only slow, its vote would be missing.
func (n *Node) removableVoters(now time.Duration, candidates []raftlog.Voter) (removable []raftlog.Voter) {
	voters := n.log.Voters()
	for _, voter := range voters {
		if n.voterLost(now, voter) {
			removable = append(removable, voter)
		}
	}
	newCandidates := 0
	for _, candidate := range candidates {
		if !slices.Contains(voters, candidate) {
			newCandidates++
		}
	}
	replaced := min(newCandidates, len(removable))
	if replaced == len(removable) || (len(voters)-len(removable)+replaced)%2 != 0 {
		return removable
	}
	hasSuccessor := func(voter raftlog.Voter) bool {
		return slices.ContainsFunc(candidates, func(candidate raftlog.Voter) bool {
			return candidate.Number == voter.Number
		})
	}
	for i, voter := range removable {
		if !hasSuccessor(voter) {
			return slices.Delete(removable, i, i+1)
		}
	}
	return removable
}

// voterLost reports whether a voter's process seems to be unable to take part any more. Missing reports are
// not sufficient: reports are sent by way of relays, which may be down or on the other side of a partition
// while the voter itself answers its leader.
func (n *Node) voterLost(now time.Duration, voter raftlog.Voter) bool {
	incarnation, recent := n.leader.VoterIncarnation(now, voter.Number)
	if recent {
		// a later process of that sidecar reports, which does not have the voter's saved vote
		return incarnation != voter.Incarnation
	}
	return now >= n.leader.TermStart()+LeaseExpiry(n.Lease, n.MaxClockError) && !n.log.InContact(now, voter)
}

// voterCandidates returns the processes that can become voters, in an order that does not depend on which
// sidecar leads. It returns nil if no voter has to be replaced or added.
func (n *Node) voterCandidates(now time.Duration) (all []raftlog.Voter) {
	voters := n.log.Voters()
	if len(voters) >= raftlog.VotersFor(n.Size) &&
		!slices.ContainsFunc(voters, func(voter raftlog.Voter) bool { return n.voterLost(now, voter) }) {
		return nil // all voters are present
	}
	for i := range n.Size {
		if incarnation, recent := n.leader.VoterIncarnation(now, i); recent && incarnation != noVote {
			all = append(all, raftlog.Voter{Number: i, Incarnation: incarnation})
		}
	}
	slices.SortFunc(all, func(a, b raftlog.Voter) int { return cmp.Compare(a.ID(), b.ID()) })
	return all
}
