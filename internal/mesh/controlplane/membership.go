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
	// announceLimit bounds an announcement.
	announceLimit = 64 << 10
	// announceTime bounds the wait for an answer to one.
	announceTime = 300 * time.Millisecond
	// joinPause is between two tries of a machine that belongs to no cluster yet.
	joinPause = 100 * time.Millisecond
	// planEvery is how often a leader looks whether the voters are to be changed.
	planEvery = 50 * time.Millisecond
	// leavePart is the part of the grace period for which a leaving machine waits to be replaced.
	leavePart = 0.5
	// leavePause is between two looks of a leaving machine: longer than a leader takes from its view of
	// the machines to the change that it decides on.
	leavePause = 60 * time.Millisecond
	// releasedTwice is how often in a row the leader has to release a leaving machine: between the two
	// it has carried out what it had decided before it knew of the leaving.
	releasedTwice = 2
	// incarnationBytes is how many random bytes tell a new disk from all others.
	incarnationBytes = 8
)

// openStore opens the disk; one that refuses is tried again until ctx ends.
func (s *Server) openStore(ctx context.Context) (*replication.Store, replication.State, error) {
	for {
		store, state, err := replication.OpenOrReset(s.set.Self.DataDirectory, s.set.OwnInternalAddress(), s.log)
		if err == nil {
			return store, state, nil
		}
		s.log.Warn("the disk refuses", zap.Error(err))
		if !pause(ctx, openPause) {
			return nil, replication.State{}, err
		}
	}
}

// pause waits; false: ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
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
		if pause(ctx, openPause) {
			err = nil
		}
	}
	_ = store.Close()
	return nil, state, err
}

func (s *Server) newIdentity(ctx context.Context) (replication.State, error) {
	var state replication.State
	if s.set.Self.FirstStart && slices.Contains(s.set.SeedAddresses(), s.set.OwnInternalAddress()) {
		state.ID = replication.NewMemberID(s.set.OwnInternalAddress(), "")
		state.Cluster, state.Snapshot.Membership = replication.Bootstrap(s.set.SeedAddresses())
		return state, nil
	}
	var incarnation [incarnationBytes]byte
	if _, err := crand.Read(incarnation[:]); err != nil {
		return state, errs.Wrap(err, errs.Internal, "a random incarnation")
	}
	state.ID = replication.NewMemberID(s.set.OwnInternalAddress(), hex.EncodeToString(incarnation[:]))
	own := s.roster.Local()
	own.ID = state.ID
	s.roster.SetLocal(own)
	for {
		if state.Cluster = s.askCluster(ctx); state.Cluster != 0 {
			return state, nil
		}
		if !pause(ctx, joinPause) {
			return state, errs.New(errs.NoQuorum, "no core machine said which cluster this is")
		}
	}
}

// askCluster asks all that may be core machines which cluster they belong to; 0: nobody said.
func (s *Server) askCluster(ctx context.Context) replication.ClusterID {
	for _, p := range s.announce(ctx, s.roster.AnnounceTargets(s.now())) {
		if p.Cluster != 0 {
			return p.Cluster
		}
	}
	return 0
}

// announce tells machines of this one, all at once, and returns what they say.
func (s *Server) announce(ctx context.Context, addresses []string) []*cluster.AnnounceResponse {
	ctx, cancel := context.WithTimeout(ctx, announceTime)
	defer cancel()
	own := s.roster.Local()
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
		s.roster.Merge(p)
	}
	return said
}

// serveAnnouncements answers who the core machines are.
func (s *Server) serveAnnouncements(mux *http.ServeMux) {
	rpc.Handle(mux, announcePath, announceLimit, func(_ *http.Request, a *cluster.Announcement) (*cluster.AnnounceResponse, error) {
		own := s.roster.Local()
		if a.Cluster != 0 && own.Cluster != 0 && a.Cluster != own.Cluster {
			return nil, errs.New(errs.Invalid, "cluster: this is %x, not %x", own.Cluster, a.Cluster)
		}
		if err := s.roster.Receive(s.now(), *a); err != nil {
			return nil, err
		}
		return s.peers(a), nil
	})
}

// peers is this machine's word on who the core machines are.
func (s *Server) peers(a *cluster.Announcement) *cluster.AnnounceResponse {
	p := &cluster.AnnounceResponse{Cluster: s.roster.Local().Cluster, Machines: s.roster.LiveMembers(s.now())}
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
	return cluster.View{Self: node.ID(), Status: node.Status(), Live: s.roster.LiveMembers(s.now()), NewestJoin: s.roster.NewestJoin()}
}

// tellOthers has the others know of this machine, and this one of them, until ctx ends.
func (s *Server) tellOthers(ctx context.Context, node *replication.Node) {
	for {
		s.roster.SetMembership(node.Status().Membership)
		s.announce(ctx, s.roster.AnnounceTargets(s.now()))
		if !pause(ctx, cluster.AnnounceInterval) {
			return
		}
	}
}

// manageMembers has a leader keep learners up to date and change the voters, until ctx ends.
func (s *Server) manageMembers(ctx context.Context, node *replication.Node) {
	f := s.set.Guarantees.FaultTolerance
	planner := cluster.NewPlanner(cluster.TargetVoters(f.Machines, f.Zones, f.Regions))
	for pause(ctx, planEvery) {
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
	bound := time.Duration(leavePart * float64(s.set.Guarantees.Bounds.GracePeriod))
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	own := s.roster.Local()
	own.Leaving = true
	s.roster.SetLocal(own)
	for released := 0; released < releasedTwice; {
		if !node.Status().IsLeader {
			if s.released(ctx, node) {
				released++
			} else {
				released = 0
			}
		} else if err := node.TransferLeadership(ctx, s.leaving()...); err != nil && len(node.Status().Progress) == 0 {
			return // it is alone
		}
		if !pause(ctx, leavePause) {
			return
		}
	}
}

// leaving is the machines that are about to end: the lead goes to none of them, else two would hand it
// to each other.
func (s *Server) leaving() []replication.MemberID {
	var leaving []replication.MemberID
	for _, m := range s.roster.LiveMembers(s.now()) {
		if m.Leaving {
			leaving = append(leaving, m.ID)
		}
	}
	return leaving
}

// released says that nothing waits for this machine any more, by the leader's word: a membership that
// doesn't name it here may be older than one that does.
func (s *Server) released(ctx context.Context, node *replication.Node) bool {
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
func (s *Server) follow(ctx context.Context, reload <-chan *settings.Settings) {
	for {
		select {
		case set, ok := <-reload:
			if !ok {
				return
			}
			s.roster.SetSeeds(set.SeedAddresses())
		case <-ctx.Done():
			return
		}
	}
}
