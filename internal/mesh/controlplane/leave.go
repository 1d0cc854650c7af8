package controlplane

import (
	"context"
	"slices"
	"time"

	"caperarch/internal/mesh/cluster"
	"caperarch/internal/mesh/replication"
)

const (
	// leaveGraceFraction is the fraction of the grace period for which a leaving machine waits to be
	// replaced.
	leaveGraceFraction = 0.5
	// leaveCheckInterval is between two checks of a leaving machine: longer than a leader takes from
	// its view of the machines to the change that it decides on.
	leaveCheckInterval = 60 * time.Millisecond
	// requiredSafeAnswers is how often in a row the leader has to say that a machine may leave:
	// between the two it has carried out what it had decided before it knew of the leaving.
	requiredSafeAnswers = 2
)

// leave transfers what others need of this machine before it ends: leadership, and its vote to a
// replacement if there is one. It is bounded by a fraction of the grace period.
func (s *Server) leave(node *replication.Node) {
	bound := time.Duration(leaveGraceFraction * float64(s.settings.Guarantees.Bounds.GracePeriod))
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	local := s.memberList.Local()
	local.Leaving = true
	s.memberList.SetLocal(local)
	for safeAnswers := 0; safeAnswers < requiredSafeAnswers; {
		switch {
		case node.Status().IsLeader:
			err := node.TransferLeadership(ctx, s.leavingMembers()...)
			if err != nil && len(node.Status().Progress) == 0 {
				return // there is no other member
			}
		case s.safeToLeave(ctx, node):
			safeAnswers++
		default:
			safeAnswers = 0
		}
		if !sleep(ctx, leaveCheckInterval) {
			return
		}
	}
}

// leavingMembers are the machines that are about to end: none of them is to take leadership, else two
// would transfer it to each other.
func (s *Server) leavingMembers() []replication.MemberID {
	var leaving []replication.MemberID
	for _, member := range s.memberList.LiveMembers(s.now()) {
		if member.Leaving {
			leaving = append(leaving, member.ID)
		}
	}
	return leaving
}

// safeToLeave asks the leader whether nothing waits for this machine any more: a membership here that
// doesn't include this machine may be older than one that does.
func (s *Server) safeToLeave(ctx context.Context, node *replication.Node) bool {
	leader := node.Status().Leader
	if leader == "" {
		return false
	}
	responses := s.announce(ctx, []string{leader.Address()})
	return slices.ContainsFunc(responses, func(r *cluster.AnnounceResponse) bool {
		return r.SafeToLeave && r.Leader == leader
	})
}
