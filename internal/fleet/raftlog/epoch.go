package raftlog

import (
	"errors"
	"fmt"
	"math"
	"time"

	"go.etcd.io/raft/v3"
)

// Bootstrap starts a new log under a higher epoch with this process as its first voter; UpdateVoters adds the
// other voters. Only an operator may start a log, because it ends the previous one. Bootstrap returns
// ErrLogExists if a majority of the voters has recently confirmed a leader of the current log.
func (n *Node) Bootstrap(now time.Duration, epoch uint64) error {
	switch {
	case n.lastLeaderAck > 0 && now-n.lastLeaderAck < 2*(electionHeartbeats+electionJitter)*n.heartbeat:
		return ErrLogExists
	case epoch <= n.epoch:
		return fmt.Errorf("agree: epoch %d is not above %d", epoch, n.epoch)
	}
	n.startEpoch(now, epoch)
	if err := n.startVoting(now); err != nil {
		return err
	}
	if err := n.raft.Bootstrap([]raft.Peer{{ID: n.id, Context: encodeVoters(n.Self)}}); err != nil {
		return err
	}
	if n.processReady(now); n.storageError != nil {
		return n.storageError
	}
	if err := n.raft.Campaign(); err != nil {
		return err
	}
	n.processReady(now)
	return n.storageError
}

// Restore loads into a new node the state that an earlier process of its voter saved. It does nothing if no
// state was saved.
func (n *Node) Restore(now time.Duration, s *SavedState) error {
	if s.Epoch == 0 {
		return nil
	}
	n.resetLog(now, s.Epoch)
	if s.HardState == nil {
		return nil
	}
	n.raftStorage = raft.NewMemoryStorage()
	if err := errors.Join(n.raftStorage.Append(s.Entries), n.raftStorage.SetHardState(s.HardState)); err != nil {
		return err
	}
	if err := n.startVoting(now); err != nil {
		return err
	}
	n.processReady(now)
	return nil
}

// StorageError returns the storage failure that permanently stopped this process from voting; nil if there
// was none.
func (n *Node) StorageError() error { return n.storageError }

// disableVoting permanently stops this process from voting after a storage failure: a voter must not send
// messages that depend on state it could not persist.
func (n *Node) disableVoting(err error) { n.storageError, n.raft, n.raftStorage = err, nil, nil }

// startEpoch replaces the current log by the empty log of another epoch, in memory and in Storage.
func (n *Node) startEpoch(now time.Duration, epoch uint64) {
	n.resetLog(now, epoch)
	if n.Storage != nil && n.storageError == nil {
		if err := n.Storage.Begin(epoch); err != nil {
			n.disableVoting(err)
		}
	}
}

// resetLog discards all state of the current log and sets the epoch of the next log.
func (n *Node) resetLog(now time.Duration, epoch uint64) {
	n.epoch, n.log, n.raft, n.raftStorage = epoch, nil, nil, nil
	n.voters, n.senders = make(map[uint64]Voter), make(map[uint64]int)
	n.heardAt = make(map[uint64]time.Duration)
	n.pending, n.lastLeaderAck, n.highestIndex, n.reportedLeader, n.reportedTerm = nil, 0, 0, 0, 0
	n.pendingConfirms, n.lastQuorumAck, n.quorumAckIndex = make(map[uint64]time.Duration), 0, 0
	n.loggedTokens, n.buffered = make(map[uint64]bool), make(map[uint64]Entry)
	n.nextPoll = now
	n.Host.Reset(epoch)
}

// startVoting creates the raft instance, after which this process can vote.
func (n *Node) startVoting(now time.Duration) error {
	if n.storageError != nil {
		return n.storageError
	}
	if n.raftStorage == nil {
		n.raftStorage = raft.NewMemoryStorage()
	}
	var err error
	n.raft, err = raft.NewRawNode(&raft.Config{
		ID: n.id,
		// raft's own election timer would use the system's random source, so this package times elections
		// with Config.Rand and raft's timer never fires.
		ElectionTick:             1 << 30,
		HeartbeatTick:            heartbeatTicks,
		Storage:                  n.raftStorage,
		MaxSizePerMsg:            0,
		MaxCommittedSizePerReady: math.MaxUint64,
		MaxInflightMsgs:          8,
		PreVote:                  true,
		// A leader that was removed from the voters can't commit entries, but its heartbeats would prevent
		// elections.
		StepDownOnRemoval: true,
		Logger:            discardLogger{},
	})
	n.resetElectionTimeout(now)
	return err
}

// resetElectionTimeout restarts the election timeout with a new random length.
func (n *Node) resetElectionTimeout(now time.Duration) {
	n.electionDeadline = now + electionHeartbeats*n.heartbeat + time.Duration(
		n.Rand.Int64N(int64(electionJitter*n.heartbeat)),
	)
}
