package replicatedstate

import (
	"slices"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// RequestLaggards asks the leader which sidecars a change waits for. View includes them once the leader's
// answer has arrived.
func (n *Node) RequestLaggards(now time.Duration) {
	n.now = now
	if n.leader == nil {
		n.send(n.log.Leader(), &accordpb.Message{Epoch: n.log.Epoch(), Who: true})
	}
}

// handleLaggards answers a request for laggards if this sidecar leads, and records the laggards that the
// leader reports in an answer.
func (n *Node) handleLaggards(now time.Duration, from int, m *accordpb.Message) {
	if m.Who && n.leader != nil {
		all := n.leader.Laggards(now, n.participant.State())
		answer := &accordpb.Message{Epoch: n.log.Epoch(), Count: uint32(len(all)) + 1}
		for _, laggard := range all[:min(len(all), maxLaggardsSent)] {
			answer.Behind = append(
				answer.Behind,
				&accordpb.Behind{Number: uint32(laggard.Number), Why: truncateText(laggard.Reason, maxLaggardReason)},
			)
		}
		n.addMaintenanceStatus(now, answer)
		n.send(from, answer)
	}
	if m.Count > 0 && from == n.log.Leader() {
		n.laggards = reportedLaggards{at: now, count: int(m.Count) - 1}
		for _, laggard := range m.Behind {
			n.laggards.list = append(
				n.laggards.list, policyrollout.Laggard{Number: int(laggard.Number), Reason: laggard.Why},
			)
		}
	}
}

// View is a snapshot of this sidecar's replica, for operators.
type View struct {
	Now          time.Duration
	Self         int
	Epoch        uint64
	LastIndex    uint64
	Leader       int // number of the leading sidecar; -1: unknown
	Voters       []raftlog.Voter
	State        policyrollout.State
	Active       policyrollout.Active
	ActiveUntil  time.Duration           // when Active ends without a further grant; not valid if Active is CutOff
	Laggards     []policyrollout.Laggard // some or all of the sidecars that a change waits for
	LaggardCount int                     // all sidecars that a change waits for; -1: no recent answer of the leader
	Proposals    []Proposal
}

// View returns a snapshot of this sidecar's replica.
func (n *Node) View(now time.Duration) View {
	v := View{
		Now:         now,
		Self:        n.Self.Number,
		Epoch:       n.log.Epoch(),
		LastIndex:   n.log.LastIndex(),
		Leader:      n.log.Leader(),
		Voters:      n.log.Voters(),
		State:       *n.participant.State(),
		Active:      n.Active(now),
		ActiveUntil: n.ActiveUntil(),

		LaggardCount: -1,
		Proposals:    slices.Clone(n.proposals),
	}
	v.State.History = slices.Clone(v.State.History)
	switch {
	case n.leader != nil:
		v.Laggards = n.leader.Laggards(now, n.participant.State())
		v.LaggardCount = len(v.Laggards)
	case n.laggards.at > 0 && now-n.laggards.at < laggardsLifetime:
		v.Laggards, v.LaggardCount = n.laggards.list, n.laggards.count
	}
	return v
}
