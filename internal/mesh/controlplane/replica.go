package controlplane

import (
	"context"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
)

// startReplica starts this machine's replica of the log. The replica runs until closeReplica is called;
// the goroutines that announce the machine and manage the voters run until ctx ends.
func (s *Server) startReplica(
	ctx context.Context, store *replication.Store, state replication.State,
) (node *replication.Node, closeReplica func(), err error) {
	local := s.memberList.Local()
	local.ID, local.Cluster = state.ID, state.Cluster
	s.memberList.SetLocal(local)
	transport := replication.NewTransport(state.ID, s.client, s.deliver, s.log)
	node, err = replication.StartNode(replication.NodeConfig{
		Storage:      store,
		State:        state,
		Send:         transport.Send,
		Apply:        s.stateMachine.apply,
		Restore:      s.stateMachine.restore,
		Snapshot:     s.stateMachine.snapshot,
		AppliedIndex: s.stateMachine.appliedIndex,
		Logger:       s.log,
	})
	if err != nil {
		transport.Close()
		return nil, nil, err
	}
	s.node.Store(node)
	s.memberList.SetMembership(node.Status().Membership)
	go s.announcePeriodically(ctx, node)
	go s.manageVoters(ctx, node)
	return node, func() {
		_ = node.Close()
		transport.Close()
	}, nil
}

// deliver passes messages that a peer sent in a response to the running node. Messages that arrive
// before the node runs are dropped.
func (s *Server) deliver(from replication.MemberID, messages []replication.Message) {
	if node := s.node.Load(); node != nil {
		node.Deliver(from, messages)
	}
}

// runningNode returns this machine's node, or an error of kind NotLeader while the node has not started.
func (s *Server) runningNode() (*replication.Node, error) {
	node := s.node.Load()
	if node == nil {
		return nil, errs.New(errs.NotLeader, "no log is held here")
	}
	return node, nil
}

// leader returns the leader's address, "" while this machine knows no leader, and this machine's current
// term.
func (s *Server) leader() (address string, term replication.Term) {
	node := s.node.Load()
	if node == nil {
		return "", 0
	}
	status := node.Status()
	return status.Leader.Address(), status.Term
}

// leaderForRequest returns the leader's address and whether this machine is the leader, or an error of
// kind NoQuorum while this machine knows no leader.
func (s *Server) leaderForRequest() (address string, isLocal bool, err error) {
	address, _ = s.leader()
	if address == "" {
		return "", false, errs.New(errs.NoQuorum, "no leader is known")
	}
	return address, address == s.ownAddress(), nil
}

// contact returns how long ago a majority of the voters is known to have confirmed the leader that this
// machine follows, provided that this machine has applied all entries that were committed at that time.
// ok is false while there is no such confirmation.
func (s *Server) contact() (age time.Duration, ok bool) {
	node := s.node.Load()
	if node == nil {
		return 0, false
	}
	return node.Contact()
}

// inContact reports whether a majority of the voters has recently confirmed the state that this machine
// serves.
func (s *Server) inContact() bool {
	node := s.node.Load()
	return node != nil && node.InContact()
}
