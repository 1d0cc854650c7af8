package controlplane

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/replication"

	"go.uber.org/zap"
)

const (
	// openRetryInterval is between attempts to open a disk that fails.
	openRetryInterval = 300 * time.Millisecond
	// joinRetryInterval is between attempts of a machine that belongs to no cluster yet.
	joinRetryInterval = 100 * time.Millisecond
	// incarnationBytes is how many random bytes distinguish a new disk from all others.
	incarnationBytes = 8
)

// openIdentity opens the disk and makes it belong to the cluster. An empty one becomes a first voter's
// when the whole system starts for the first time and the settings name this machine as a seed; else
// that of a new member, under an id that no disk had before.
func (s *Server) openIdentity(ctx context.Context) (*replication.Store, replication.State, error) {
	store, state, err := s.openStore(ctx)
	if err != nil || state.ID != "" {
		return store, state, err
	}
	if state, err = s.newIdentity(ctx); err != nil {
		_ = store.Close()
		return nil, state, err
	}
	for {
		if err = store.Initialize(state); err == nil {
			return store, state, nil
		}
		s.log.Warn("log storage not initialised, retrying", zap.Error(err))
		if !sleep(ctx, openRetryInterval) {
			_ = store.Close()
			return nil, state, err
		}
	}
}

// openStore opens the disk, and retries until it succeeds or ctx ends.
func (s *Server) openStore(ctx context.Context) (*replication.Store, replication.State, error) {
	for {
		store, state, err := replication.OpenOrReset(s.settings.Self.DataDirectory, s.ownAddress(), s.log)
		if err == nil {
			return store, state, nil
		}
		s.log.Warn("log storage not opened, retrying", zap.Error(err))
		if !sleep(ctx, openRetryInterval) {
			return nil, replication.State{}, err
		}
	}
}

// newIdentity is the state of an empty disk. Unless it bootstraps the cluster it waits until another
// core machine says which cluster this is.
func (s *Server) newIdentity(ctx context.Context) (replication.State, error) {
	var state replication.State
	seeds := s.settings.SeedAddresses()
	if s.settings.Self.FirstStart && slices.Contains(seeds, s.ownAddress()) {
		state.ID = replication.NewMemberID(s.ownAddress(), "")
		state.Cluster, state.Snapshot.Membership = replication.Bootstrap(seeds)
		return state, nil
	}
	var incarnation [incarnationBytes]byte
	if _, err := crand.Read(incarnation[:]); err != nil {
		return state, errs.Wrap(err, errs.Internal, "a random incarnation")
	}
	state.ID = replication.NewMemberID(s.ownAddress(), hex.EncodeToString(incarnation[:]))
	local := s.memberList.Local()
	local.ID = state.ID
	s.memberList.SetLocal(local)
	for {
		if state.Cluster = s.discoverCluster(ctx); state.Cluster != 0 {
			return state, nil
		}
		if !sleep(ctx, joinRetryInterval) {
			return state, errs.New(errs.NoQuorum, "no core machine said which cluster this is")
		}
	}
}

// discoverCluster asks all that may be core machines which cluster they belong to, and returns 0 if none
// answers.
func (s *Server) discoverCluster(ctx context.Context) replication.ClusterID {
	for _, response := range s.announce(ctx, s.memberList.AnnounceTargets(s.now())) {
		if response.Cluster != 0 {
			return response.Cluster
		}
	}
	return 0
}
