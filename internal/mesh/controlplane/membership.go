package controlplane

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"net/http"
	"slices"
	"sync"
	"time"

	"caperarch/internal/mesh/cluster"
	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
	"caperarch/internal/mesh/rpc"
	"caperarch/internal/mesh/settings"

	"go.uber.org/zap"
)

const (
	// announcePath is where a core machine tells another of itself and hears who the others are.
	announcePath = "/mesh/members"
	// maxAnnounceBytes bounds an announcement.
	maxAnnounceBytes = 64 << 10
	// announceTimeout bounds the wait for an answer to one.
	announceTimeout = 300 * time.Millisecond
	// joinRetryInterval is between two tries of a machine that belongs to no cluster yet.
	joinRetryInterval = 100 * time.Millisecond
	// planInterval is how often a leader looks whether the voters are to be changed.
	planInterval = 50 * time.Millisecond
	// leaveGraceFraction is the part of the grace period for which a leaving machine waits to be replaced.
	leaveGraceFraction = 0.5
	// leaveCheckInterval is between two looks of a leaving machine: longer than a leader takes from its view of
	// the machines to the change that it decides on.
	leaveCheckInterval = 60 * time.Millisecond
	// requiredSafeAnswers is how often in a row the leader has to release a leaving machine: between the two
	// it has carried out what it had decided before it knew of the leaving.
	requiredSafeAnswers = 2
	// incarnationBytes is how many random bytes tell a new disk from all others.
	incarnationBytes = 8
)

// openStore opens the disk; one that refuses is tried again until ctx ends.
func (s *Server) openStore(ctx context.Context) (*replication.Store, replication.State, error) {
	for {
		store, state, err := replication.OpenOrReset(s.settings.Self.DataDirectory, s.settings.OwnInternalAddress(), s.log)
		if err == nil {
			return store, state, nil
		}
		s.log.Warn("the disk refuses", zap.Error(err))
		if !sleep(ctx, openRetryInterval) {
			return nil, replication.State{}, err
		}
	}
}

// sleep waits; false: ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// identify opens the disk and has it belong to the cluster. An empty one becomes a first voter's, where
// the whole system starts for the first time and the settings name this machine as a seed; else that
// of a new member, under an id that no disk had before.
func (s *Server) identify(ctx context.Context) (*replication.Store, replication.State, error) {
	store, state, err := s.openStore(ctx)
	if err != nil || state.ID != "" {
		return store, state, err
	}
	state, err = s.newIdentity(ctx)
	for err == nil {
		if err = store.Initialize(state); err == nil {
			return store, state, nil
		}
		s.log.Warn("the disk refuses", zap.Error(err))
		if sleep(ctx, openRetryInterval) {
			err = nil
		}
	}
	_ = store.Close()
	return nil, state, err
}

func (s *Server) newIdentity(ctx context.Context) (replication.State, error) {
	var state replication.State
	if s.settings.Self.FirstStart && slices.Contains(s.settings.SeedAddresses(), s.settings.OwnInternalAddress()) {
		state.ID = replication.NewMemberID(s.settings.OwnInternalAddress(), "")
		state.Cluster, state.Snapshot.Membership = replication.Bootstrap(s.settings.SeedAddresses())
		return state, nil
	}
	var incarnation [incarnationBytes]byte
	if _, err := crand.Read(incarnation[:]); err != nil {
		return state, errs.Wrap(err, errs.Internal, "a random incarnation")
	}
	state.ID = replication.NewMemberID(s.settings.OwnInternalAddress(), hex.EncodeToString(incarnation[:]))
	own := s.memberList.Local()
	own.ID = state.ID
	s.memberList.SetLocal(own)
	for {
		if state.Cluster = s.discoverCluster(ctx); state.Cluster != 0 {
			return state, nil
		}
		if !sleep(ctx, joinRetryInterval) {
			return state, errs.New(errs.NoQuorum, "no core machine said which cluster this is")
		}
	}
}

// discoverCluster asks all that may be core machines which cluster they belong to; 0: nobody said.
func (s *Server) discoverCluster(ctx context.Context) replication.ClusterID {
	for _, p := range s.announce(ctx, s.memberList.AnnounceTargets(s.now())) {
		if p.Cluster != 0 {
			return p.Cluster
		}
	}
	return 0
}

// announce tells machines of this one, all at once, and returns what they say.
func (s *Server) announce(ctx context.Context, addresses []string) []*cluster.AnnounceResponse {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	own := s.memberList.Local()
	said := make([]*cluster.AnnounceResponse, len(addresses))
	var asked sync.WaitGroup
	for i, address := range addresses {
		asked.Go(func() {
			p, err := rpc.Call[cluster.Announcement, cluster.AnnounceResponse](ctx, s.client, "http://"+address+announcePath, &own)
			if err != nil {
				s.log.Debug("a core machine that doesn't answer", zap.String("address", address), zap.Error(err))
				return
			}
			if own.Cluster != 0 && p.Cluster != 0 && p.Cluster != own.Cluster {
				s.log.Warn("a core machine of another cluster", zap.String("address", address))
				return
			}
			said[i] = p
		})
	}
	asked.Wait()
	said = slices.DeleteFunc(said, func(p *cluster.AnnounceResponse) bool { return p == nil })
	for _, p := range said {
		s.memberList.Merge(p)
	}
	return said
}

// serveAnnouncements answers who the core machines are.
func (s *Server) serveAnnouncements(mux *http.ServeMux) {
	rpc.Handle(mux, announcePath, maxAnnounceBytes, func(_ *http.Request, a *cluster.Announcement) (*cluster.AnnounceResponse, error) {
		own := s.memberList.Local()
		if a.Cluster != 0 && own.Cluster != 0 && a.Cluster != own.Cluster {
			return nil, errs.New(errs.Invalid, "cluster: this is %x, not %x", own.Cluster, a.Cluster)
		}
		if err := s.memberList.Receive(s.now(), *a); err != nil {
			return nil, err
		}
		return s.announceResponse(a), nil
	})
}

// peers is this machine's word on who the core machines are.
func (s *Server) announceResponse(a *cluster.Announcement) *cluster.AnnounceResponse {
	p := &cluster.AnnounceResponse{Cluster: s.memberList.Local().Cluster, Machines: s.memberList.LiveMembers(s.now())}
	node := s.node.Load()
	if node == nil {
		return p
	}
	status := node.Status()
	p.Membership, p.Leader, p.Term = status.Membership, status.Leader, status.Term
	if a.Leaving && status.IsLeader && status.MembershipStable {
		p.SafeToLeave = !cluster.HasReplacement(s.clusterView(node), a.ID)
	}
	return p
}

// clusterView is what a leader's decisions rest on.
func (s *Server) clusterView(node *replication.Node) cluster.View {
	return cluster.View{Self: node.ID(), Status: node.Status(), Live: s.memberList.LiveMembers(s.now()), NewestJoin: s.memberList.NewestJoin()}
}

// announcePeriodically has the others know of this machine, and this one of them, until ctx ends.
func (s *Server) announcePeriodically(ctx context.Context, node *replication.Node) {
	for {
		s.memberList.SetMembership(node.Status().Membership)
		s.announce(ctx, s.memberList.AnnounceTargets(s.now()))
		if !sleep(ctx, cluster.AnnounceInterval) {
			return
		}
	}
}

// manageVoters has a leader keep learners up to date and change the voters, until ctx ends.
func (s *Server) manageVoters(ctx context.Context, node *replication.Node) {
	f := s.settings.Guarantees.FaultTolerance
	planner := cluster.NewPlanner(cluster.TargetVoters(f.Machines, f.Zones, f.Regions))
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
			s.log.Info("a change of the voters that can't be made now", zap.Error(err))
			continue
		}
		s.log.Warn("the voters change", zap.Any("from", view.Status.Membership.Voters), zap.Any("to", voters))
	}
}

// leave hands over what others need of this machine before it ends: the lead, and its vote to a
// successor if there is one. It is bounded by a part of the grace period.
func (s *Server) leave(node *replication.Node) {
	bound := time.Duration(leaveGraceFraction * float64(s.settings.Guarantees.Bounds.GracePeriod))
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	own := s.memberList.Local()
	own.Leaving = true
	s.memberList.SetLocal(own)
	for released := 0; released < requiredSafeAnswers; {
		if !node.Status().IsLeader {
			if s.safeToLeave(ctx, node) {
				released++
			} else {
				released = 0
			}
		} else if err := node.TransferLeadership(ctx, s.leavingMembers()...); err != nil && len(node.Status().Progress) == 0 {
			return // it is alone
		}
		if !sleep(ctx, leaveCheckInterval) {
			return
		}
	}
}

// leaving is the machines that are about to end: the lead goes to none of them, else two would hand it
// to each other.
func (s *Server) leavingMembers() []replication.MemberID {
	var leaving []replication.MemberID
	for _, m := range s.memberList.LiveMembers(s.now()) {
		if m.Leaving {
			leaving = append(leaving, m.ID)
		}
	}
	return leaving
}

// released says that nothing waits for this machine any more, by the leader's word: a membership that
// doesn't name it here may be older than one that does.
func (s *Server) safeToLeave(ctx context.Context, node *replication.Node) bool {
	leader := node.Status().Leader
	if leader == "" {
		return false
	}
	said := s.announce(ctx, []string{leader.Address()})
	return slices.ContainsFunc(said, func(p *cluster.AnnounceResponse) bool {
		return p.SafeToLeave && p.Leader == leader
	})
}

// follow takes over settings that were written anew: the seeds are where others may be found.
func (s *Server) watchSettings(ctx context.Context, reload <-chan *settings.Settings) {
	for {
		select {
		case set, ok := <-reload:
			if !ok {
				return
			}
			s.memberList.SetSeeds(set.SeedAddresses())
		case <-ctx.Done():
			return
		}
	}
}
