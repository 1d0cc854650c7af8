package replication

import (
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/errs"
)

// role is a replica's current role in the Raft protocol.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// noContactAge is the assumed age of the last contact if there has been no contact yet.
const noContactAge = time.Hour

// ReplicaConfig holds the arguments of NewReplica.
type ReplicaConfig struct {
	// State is the state stored on the replica's disk.
	State State
	// Seed seeds the replica's random numbers. Replicas need different seeds, so that their election
	// timeouts differ.
	Seed uint64
}

// Replica is the Raft state machine of one member of the cluster. It is not safe for concurrent use.
// After Ready has returned work, the caller must call Advance or PersistFailed before any other
// method. Times are durations since the start of the replica's process.
type Replica struct {
	id      MemberID
	cluster ClusterID
	// incarnation distinguishes this run of the replica from earlier runs with the same id, whose
	// clocks started at other times.
	incarnation Incarnation
	random      *rand.Rand

	role role
	// leader is the member that the replica follows, or "" if it knows of no leader.
	leader MemberID
	// electionDeadline is the time of the next pre-vote. A message from the leader or a granted vote
	// postpones it.
	electionDeadline time.Duration
	// votes are the members that have granted this candidate or pre-candidate their vote.
	votes map[MemberID]bool

	hardState   HardState
	log         entryLog
	memberships membershipHistory
	// stable is the index of the last entry that is synced to this replica's disk.
	stable Index
	// commit is the index of the last entry known to be committed. applied is the index of the last
	// entry that the application has received. applying is the index of the last entry that the
	// newest Ready passes to the application.
	commit, applied, applying Index
	// lastToken is the token of the newest proposal or read.
	lastToken Token
	// rejectedMessages counts the messages that were dropped because they were malformed or
	// contradicted the protocol.
	rejectedMessages uint64

	followerState
	leaderState
	unsavedChanges
	readyOutput
}

// followerState is a replica's knowledge of the leader that it follows.
type followerState struct {
	// lastContact is the time at which the newest message of the leader was received.
	lastContact time.Duration
	// lastQuorumAck is a time, on this replica's clock, at or before the last confirmation of the
	// leader by a majority. It is derived from the leader's messages.
	lastQuorumAck time.Duration
	// leaderCommit is the highest commit index that the leader has reported.
	leaderCommit Index
	// matchedIndex is the index up to which the log is known to equal the leader's log.
	matchedIndex Index
	// incoming is the snapshot that is being received from the leader, or nil.
	incoming *incomingSnapshot
}

// leaderState is a leader's state of its peers and of its callers' requests.
type leaderState struct {
	peers map[MemberID]*progress
	// peerIDs holds the keys of peers in sorted order.
	peerIDs          []MemberID
	learners         []MemberID
	pendingProposals []pendingProposal
	// pendingBytes is the total size of the pending proposals.
	pendingBytes int
	pendingReads []pendingRead
	// readRound is the newest read round. readRoundSent is set once the heartbeats of that round have
	// been sent. The next read then needs a new round.
	readRound     ReadRound
	readRoundSent bool
	// transferring is set once this leader has sent a TimeoutNow message. transferStartedAt is the
	// time of the first one. transferring remains set until the end of the term, because the message
	// may still be in flight.
	transferring      bool
	transferStartedAt time.Duration
	// nextTransferAt is the earliest time at which a leader that is not among the new voters of a
	// joint membership requests the next leadership transfer.
	nextTransferAt time.Duration
}

// unsavedChanges describes the changes that the next WriteBatch must contain, in addition to the
// entries after stable.
type unsavedChanges struct {
	hardStateDirty, snapshotDirty bool
	// truncateFrom is the index of the first entry to delete from the disk, or 0.
	truncateFrom Index
	// storageFailed is set while the most recent write has failed. The next attempt is due at
	// storageRetryAt.
	storageFailed  bool
	storageRetryAt time.Duration
}

// readyOutput is the output that the next Ready returns.
type readyOutput struct {
	outbox           []Envelope
	pendingRestore   *Snapshot
	abortedProposals []Completion
	abortedReads     []Completion
}

// NewReplica returns a replica that starts at the time now. It returns an error of kind Invalid or
// DiskFailed if the state cannot have been saved by a replica.
func NewReplica(config ReplicaConfig, now time.Duration) (*Replica, error) {
	state := config.State
	if err := state.validate(); err != nil {
		return nil, err
	}
	r := &Replica{
		id:          state.ID,
		cluster:     state.Cluster,
		random:      rand.New(rand.NewPCG(config.Seed, uint64(len(state.ID)))),
		hardState:   state.HardState,
		memberships: membershipHistory{{state.Snapshot.Index, state.Snapshot.Membership}},
	}
	r.log.installSnapshot(state.Snapshot)
	r.log.append(state.Entries...)
	r.memberships.appendFrom(state.Entries)
	r.stable = r.log.lastIndex()
	r.commit = r.log.snapshot.Index
	r.applied = r.commit
	r.electionDeadline = now + r.randomDuration(minElectionRetry, maxElectionRetry)
	r.lastContact, r.lastQuorumAck = now-noContactAge, now-noContactAge
	r.readRoundSent = true
	r.incarnation = Incarnation(r.random.Uint64())
	return r, nil
}

// validate returns an error of kind Invalid or DiskFailed if a replica cannot start from the state.
func (s *State) validate() error {
	if s.ID == "" {
		return errs.New(errs.Invalid, "replication: stored state has no member id")
	}
	if len(s.Snapshot.Membership.Voters) > 0 {
		if err := s.Snapshot.Membership.validate(); err != nil {
			return err
		}
	}
	for i, e := range s.Entries {
		if want := s.Snapshot.Index + Index(i) + 1; e.Index != want {
			return errs.New(errs.DiskFailed, "replication: stored log has entry %d, expected entry %d", e.Index, want)
		}
	}
	return nil
}

func (r *Replica) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

// ID returns the replica's own id.
func (r *Replica) ID() MemberID { return r.id }

// Leader returns the leader that this replica follows, or "" if it knows of no leader, and the
// replica's term.
func (r *Replica) Leader() (MemberID, Term) { return r.leader, r.hardState.Term }

// IsLeader reports whether the replica is the leader of its term at the time now.
func (r *Replica) IsLeader(now time.Duration) bool {
	r.checkQuorum(now)
	return r.role == leader
}

// Membership returns the newest membership in the log, which is in force, and reports whether its
// entry is committed.
func (r *Replica) Membership() (m Membership, committed bool) {
	current := r.memberships.current()
	return current.Membership, current.index <= r.commit
}

// IsVoter reports whether the replica is a voter in the membership in force.
func (r *Replica) IsVoter() bool { return r.memberships.current().IsVoter(r.id) }

// StorageFailed reports whether the most recent write failed. The replica sends no messages until a
// write succeeds.
func (r *Replica) StorageFailed() bool { return r.storageFailed }

// Applied returns the index of the last committed entry that was returned by Ready and confirmed by
// Advance.
func (r *Replica) Applied() Index { return r.applied }

// RejectedMessages returns the number of messages that were dropped because they were malformed or
// contradicted the protocol.
func (r *Replica) RejectedMessages() uint64 { return r.rejectedMessages }

// Step processes a message from a member. It counts and drops malformed messages and messages of
// another cluster.
func (r *Replica) Step(now time.Duration, from MemberID, msg Message) {
	if from == r.id || !r.isWellFormed(&msg) {
		r.rejectedMessages++
		return
	}
	r.checkQuorum(now)
	switch {
	case msg.Append != nil:
		r.stepAppend(now, from, msg.Term, msg.Append)
	case msg.SnapshotChunk != nil:
		r.stepSnapshotChunk(now, from, msg.Term, msg.SnapshotChunk)
	case msg.AppendResponse != nil:
		r.stepAppendResponse(now, from, msg.Term, msg.AppendResponse)
	case msg.SnapshotResponse != nil:
		r.stepSnapshotResponse(now, from, msg.Term, msg.SnapshotResponse)
	case msg.VoteRequest != nil:
		r.stepVoteRequest(now, from, msg.Term, msg.VoteRequest)
	case msg.VoteResponse != nil:
		r.stepVoteResponse(now, from, msg.Term, msg.VoteResponse)
	case msg.TimeoutNow != nil:
		r.stepTimeoutNow(now, from, msg.Term)
	}
}

// Tick performs the actions that are due at the time now.
func (r *Replica) Tick(now time.Duration) {
	r.checkQuorum(now)
	if r.role != leader && !r.storageFailed && r.IsVoter() && now >= r.electionDeadline {
		r.startPreVote(now)
	}
	r.transferIfOutgoing(now)
}

// NextWake returns the time at which Tick and Ready must next be called.
func (r *Replica) NextWake() time.Duration {
	switch {
	case r.storageFailed:
		return r.storageRetryAt
	case r.role == leader:
		return r.nextSendTime()
	case !r.IsVoter():
		return maxDuration
	}
	return r.electionDeadline
}

// send queues a message for the next Ready. While the storage fails, send drops all messages.
func (r *Replica) send(to MemberID, msg Message) {
	if r.storageFailed {
		return
	}
	msg.Cluster = r.cluster
	if msg.Term == 0 {
		msg.Term = r.hardState.Term
	}
	r.outbox = append(r.outbox, Envelope{To: to, Message: msg})
}
