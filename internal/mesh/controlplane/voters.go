package controlplane

import (
	"context"
	"time"

	"caperarch/internal/mesh/cluster"
	"caperarch/internal/mesh/replication"

	"go.uber.org/zap"
)

// planInterval is the time between checks of whether the voters have to change.
const planInterval = 50 * time.Millisecond

// manageVoters updates the learners and changes the voters while this machine is the leader, until ctx
// ends.
func (s *Server) manageVoters(ctx context.Context, node *replication.Node) {
	tolerance := s.settings.Guarantees.FaultTolerance
	target := cluster.TargetVoters(tolerance.Machines, tolerance.Zones, tolerance.Regions)
	planner := cluster.NewPlanner(target)
	for sleep(ctx, planInterval) {
		view := s.clusterView(node)
		if !view.Status.IsLeader {
			continue
		}
		if err := node.SetLearners(ctx, cluster.Learners(view)); err != nil {
			continue
		}
		voters, ok := planner.Plan(s.now(), view)
		if !ok {
			continue
		}
		if err := node.ChangeMembership(ctx, voters); err != nil {
			s.log.Info("voters not changed, retrying", zap.Error(err))
			continue
		}
		s.log.Warn("voters changed",
			zap.Any("from", view.Status.Membership.Voters), zap.Any("to", voters))
	}
}

// clusterView returns the state on which a leader bases its decisions about the voters.
func (s *Server) clusterView(node *replication.Node) cluster.View {
	return cluster.View{
		Self:       node.ID(),
		Status:     node.Status(),
		Live:       s.memberList.LiveMembers(s.now()),
		NewestJoin: s.memberList.NewestJoin(),
	}
}
