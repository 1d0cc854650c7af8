package replication

import (
	"math/rand/v2"
	"time"

	"caperarch/internal/mesh/errs"
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// longAgo is how old contact is taken to be when there has been none.
const longAgo = time.Hour

// ReplicaConfig is what a replica starts from.
type ReplicaConfig struct {
	// State is what the replica's disk holds.
	State State
	// Seed makes election timeouts differ between replicas.
	Seed uint64
}

// Replica is one member of the cluster, as a state machine. It isn't safe for concurrent use.
// Between Ready and the Advance or PersistFailed that follows it, no other method may be called.
// Times are durations since the start of the replica's process.
type Replica struct {
	id      MemberID
	cluster ClusterID
	// incarnation distinguishes this run of the replica from earlier ones of the same id, whose
	// clocks started at other times.
	incarnation Incarnation
	random      *rand.Rand

	role role
	// leader is the member that the replica follows, "" when it knows of none.
	leader MemberID
	// electionDeadline is when the next pre-vote begins, unless a leader sends a message before.
	electionDeadline time.Duration
	// votes are the members that have granted this candidate their vote.
	votes map[MemberID]bool

	hardState   HardState
	log         entryLog
	memberships membershipHistory
	// stable is the last entry that is synced on this replica's disk.
	stable Index
	// commit is the last entry known to be committed, applied the last one handed to the
	// application, and applying the last one that the newest Ready hands to it.
	commit, applied, applying Index
	// lastToken is the token of the newest proposal or read.
	lastToken Token
	// rejectedMessages counts messages that were dropped as malformed or impossible.
	rejectedMessages uint64

	followerState
	leaderState
	unsavedChanges
	readyOutput
}

// followerState is what a replica knows of the leader that it follows.
type followerState struct {
	// lastContact is when the leader's last message arrived.
	lastContact time.Duration
	// lastQuorumAck is the time at which, by the leader's messages, a majority had confirmed it.
	lastQuorumAck time.Duration
	// leaderCommit is the last entry that the leader has said to be committed.
	leaderCommit Index
	// matchedIndex is the last entry up to which the log is known to equal the leader's.
	matchedIndex Index
	// incoming is the snapshot that the leader is sending, nil for none.
	incoming *incomingSnapshot
}

// leaderState is what a leader keeps of its peers and callers.
type leaderState struct {
	peers map[MemberID]*progress
	// peerIDs are the keys of peers, sorted.
	peerIDs          []MemberID
	learners         []MemberID
	pendingProposals []pendingProposal
	// pendingBytes is the total size of the pending proposals.
	pendingBytes int
	pendingReads []pendingRead
	// readRound is the newest read round; readRoundSent says that its heartbeats have gone out, so
	// that the next read needs another round.
	readRound     ReadRound
	readRoundSent bool
	// transferring says that this leader has asked a peer to take over, first at transferStartedAt.
	// It remains set to the end of the term, because the request may still be in flight.
	transferring      bool
	transferStartedAt time.Duration
	// nextTransferAt is when a leader that isn't among the new voters asks a peer again.
	nextTransferAt time.Duration
}

// unsavedChanges is what the next WriteBatch must hold besides the entries after stable.
type unsavedChanges struct {
	hardStateDirty, snapshotDirty bool
	// truncateFrom is the first entry to drop from the disk, 0 for none.
	truncateFrom Index
	// storageFailed says that the last write failed; the next attempt is due at storageRetryAt.
	storageFailed  bool
	storageRetryAt time.Duration
}

// readyOutput is what the next Ready hands out.
type readyOutput struct {
	outbox           []Envelope
	pendingRestore   *Snapshot
	abortedProposals []Completion
	abortedReads     []Completion
}

// NewReplica starts a replica at the time now. An error is of kind Invalid or DiskFailed and means
// that the state isn't one that a replica saved.
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
	r.lastContact, r.lastQuorumAck = now-longAgo, now-longAgo
	r.readRoundSent = true
	r.incarnation = Incarnation(r.random.Uint64())
	return r, nil
}

// validate returns an error of kind Invalid or DiskFailed unless a replica can start from the state.
func (s *State) validate() error {
	if s.ID == "" {
		return errs.New(errs.Invalid, "replication: a replica without an id")
	}
	if len(s.Snapshot.Membership.Voters) > 0 {
		if err := s.Snapshot.Membership.validate(); err != nil {
			return err
		}
	}
	for i, e := range s.Entries {
		if want := s.Snapshot.Index + Index(i) + 1; e.Index != want {
			return errs.New(errs.DiskFailed, "replication: entry %d stands where %d belongs", e.Index, want)
		}
	}
	return nil
}

func (r *Replica) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

// ID is the replica's own id.
func (r *Replica) ID() MemberID { return r.id }

// Leader returns the leader that this replica follows ("" when it knows of none) and its term.
func (r *Replica) Leader() (MemberID, Term) { return r.leader, r.hardState.Term }

// IsLeader reports whether the replica leads its term at the time now.
func (r *Replica) IsLeader(now time.Duration) bool {
	r.checkQuorum(now)
	return r.role == leader
}

// Membership returns the membership in force, and whether it is committed.
func (r *Replica) Membership() (m Membership, committed bool) {
	current := r.memberships.current()
	return current.Membership, current.index <= r.commit
}

// IsVoter reports whether the replica is a voter in the membership in force.
func (r *Replica) IsVoter() bool { return r.memberships.current().IsVoter(r.id) }

// StorageFailed reports whether the last write failed; the replica sends nothing until one succeeds.
func (r *Replica) StorageFailed() bool { return r.storageFailed }

// Applied is the last entry that was handed out as committed and confirmed by Advance.
func (r *Replica) Applied() Index { return r.applied }

// RejectedMessages counts the messages that were dropped as malformed or impossible.
func (r *Replica) RejectedMessages() uint64 { return r.rejectedMessages }

// Step processes a message from a member. Messages of another cluster and malformed ones are
// counted and dropped.
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
		r.stepSnapshot(now, from, msg.Term, msg.SnapshotChunk)
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

// Tick does what is due at the time now.
func (r *Replica) Tick(now time.Duration) {
	r.checkQuorum(now)
	if r.role != leader && !r.storageFailed && r.IsVoter() && now >= r.electionDeadline {
		r.startPreVote(now)
	}
	r.transferIfOutgoing(now)
}

// NextWake is when Tick is due next.
func (r *Replica) NextWake() time.Duration {
	switch {
	case r.storageFailed:
		return r.storageRetryAt
	case r.role == leader:
		return r.nextSend()
	case !r.IsVoter():
		return forever
	}
	return r.electionDeadline
}

// send queues a message; it goes out with the next Ready. While the storage fails nothing is sent.
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
