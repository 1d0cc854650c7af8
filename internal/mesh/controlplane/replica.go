package controlplane

import (
	"context"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"
)

// startReplica joins the replicated log until closeReplica is called. The loops that it starts end
// with ctx.
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

// deliver passes on what the transport received in answer to its own messages.
func (s *Server) deliver(from replication.MemberID, messages []replication.Message) {
	if node := s.node.Load(); node != nil {
		node.Deliver(from, messages)
	}
}

// runningNode is this machine's node, or an error of kind NotLeader while there is none.
func (s *Server) runningNode() (*replication.Node, error) {
	node := s.node.Load()
	if node == nil {
		return nil, errs.New(errs.NotLeader, "no log is held here")
	}
	return node, nil
}

// leader is the address of the leader, "" while none is known here, and its term.
func (s *Server) leader() (address string, term replication.Term) {
	node := s.node.Load()
	if node == nil {
		return "", 0
	}
	status := node.Status()
	return status.Leader.Address(), status.Term
}

// leaderForRequest is the address of the leader and whether it is this machine's, or an error of kind
// NoQuorum while none is known.
func (s *Server) leaderForRequest() (address string, isOwn bool, err error) {
	address, _ = s.leader()
	if address == "" {
		return "", false, errs.New(errs.NoQuorum, "no leader is known")
	}
	return address, address == s.ownAddress(), nil
}

// contact is how long ago a majority of the voters is known to have confirmed the leader that this
// machine follows, with all applied here that was committed then. Ok is false while that is unknown.
func (s *Server) contact() (age time.Duration, ok bool) {
	node := s.node.Load()
	if node == nil {
		return 0, false
	}
	return node.Contact()
}

// inContact reports whether a majority has lately confirmed what is known here.
func (s *Server) inContact() bool {
	node := s.node.Load()
	return node != nil && node.InContact()
}
