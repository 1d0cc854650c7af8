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
	// openRetryInterval is the time between attempts to open or initialise the log storage.
	openRetryInterval = 300 * time.Millisecond
	// joinRetryInterval is the time between attempts to learn the cluster ID from other core machines.
	joinRetryInterval = 100 * time.Millisecond
	// incarnationBytes is the number of random bytes in a member ID that distinguish a new disk from all
	// earlier disks at the same address.
	incarnationBytes = 8
)

// openInitializedStore opens the log storage and initialises the storage if it is empty, for one of two
// kinds of member. During the first start of the whole system, a machine that its settings name as a
// seed becomes one of the first voters. Any other machine becomes a new member whose ID no disk had
// before.
func (s *Server) openInitializedStore(ctx context.Context) (*replication.Store, replication.State, error) {
	store, state, err := s.openStore(ctx)
	if err != nil || state.ID != "" {
		return store, state, err
	}
	if state, err = s.newMemberState(ctx); err != nil {
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

// openStore opens the log storage, and retries until it succeeds or ctx ends.
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

// newMemberState returns the state with which an empty log storage is initialised. Unless this machine
// bootstraps the cluster, newMemberState waits until another core machine reports the cluster ID.
func (s *Server) newMemberState(ctx context.Context) (replication.State, error) {
	var state replication.State
	seeds := s.settings.SeedAddresses()
	if s.settings.Self.FirstStart && slices.Contains(seeds, s.ownAddress()) {
		state.ID = replication.NewMemberID(s.ownAddress(), "")
		state.Cluster, state.Snapshot.Membership = replication.Bootstrap(seeds)
		return state, nil
	}
	var incarnation [incarnationBytes]byte
	if _, err := crand.Read(incarnation[:]); err != nil {
		return state, errs.Wrap(err, errs.Internal, "read random bytes for the incarnation of a new member ID")
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
			return state, errs.New(errs.NoQuorum, "no core machine reported a cluster ID before the stop")
		}
	}
}

// discoverCluster announces this machine to every address at which a core machine may be found, and
// returns the first cluster ID that a response contains, or 0 if there is none.
func (s *Server) discoverCluster(ctx context.Context) replication.ClusterID {
	for _, response := range s.announce(ctx, s.memberList.AnnounceTargets(s.now())) {
		if response.Cluster != 0 {
			return response.Cluster
		}
	}
	return 0
}
