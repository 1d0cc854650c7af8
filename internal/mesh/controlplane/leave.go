package controlplane

import (
	"context"
	"slices"
	"time"

	"caperarch/internal/mesh/cluster"
	"caperarch/internal/mesh/replication"
)

const (
	// leaveGraceFraction is the fraction of the grace period for which a leaving machine waits for its
	// replacement.
	leaveGraceFraction = 0.5
	// leaveCheckInterval is the time between two checks of a leaving machine. It is longer than a leader
	// takes from reading its view of the machines to starting the membership change that it bases on
	// this view.
	leaveCheckInterval = 60 * time.Millisecond
	// requiredSafeAnswers is the number of consecutive answers in which the leader has to say that the
	// machine may leave. Between two answers the leader starts any membership change that it had decided
	// on before it learned that the machine is leaving.
	requiredSafeAnswers = 2
)

// leave prepares this machine's shutdown: it transfers leadership to another member, and waits until
// this machine's vote has passed to a replacement if there is one. It takes at most leaveGraceFraction
// of the grace period.
func (s *Server) leave(node *replication.Node) {
	timeout := time.Duration(leaveGraceFraction * float64(s.settings.Guarantees.Bounds.GracePeriod))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	local := s.memberList.Local()
	local.Leaving = true
	s.memberList.SetLocal(local)
	for safeAnswers := 0; safeAnswers < requiredSafeAnswers; {
		switch {
		case node.Status().IsLeader:
			err := node.TransferLeadership(ctx, s.leavingMembers()...)
			if err != nil && len(node.Status().Progress) == 0 {
				return // this machine is the only member
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

// leavingMembers returns the machines that are shutting down. Leadership is transferred to none of them,
// since two leaving machines would otherwise transfer it to each other.
func (s *Server) leavingMembers() []replication.MemberID {
	var leaving []replication.MemberID
	for _, member := range s.memberList.LiveMembers(s.now()) {
		if member.Leaving {
			leaving = append(leaving, member.ID)
		}
	}
	return leaving
}

// safeToLeave asks the leader whether this machine may leave. The membership known to this machine is
// not sufficient: it may be outdated, and a newer membership may include this machine.
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
