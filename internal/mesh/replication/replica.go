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

// progress is what a leader knows of another replica.
type progress struct {
	// match is the last entry known to be synced there; next is the first to send.
	match, next Index
	// resendAt is when what is on its way is sent again; 0 when nothing is.
	resendAt time.Duration
	// lastContact is the time at which the newest answered message was sent.
	lastContact time.Duration
	// clock is the member's own, in its newest answer.
	clock ClockReading
	// sentAt is when anything was sent last.
	sentAt                   time.Duration
	readRound, readRoundSent uint64
	commitSent               Index
	// snapshot is what is being sent in pieces, and offset where the next one begins.
	snapshot       *Snapshot
	checksum       uint64
	snapshotOffset int
}

type pendingProposal struct {
	token uint64
	index Index
	bytes int
}

type pendingRead struct {
	token, readRound uint64
	// index is what must be applied first; 0 until the round is confirmed.
	index Index
}

// ReplicaConfig is what a replica starts from.
type ReplicaConfig struct {
	// State is what its disk holds.
	State State
	// Seed makes the election times differ between replicas.
	Seed uint64
}

// Replica is one member of the cluster, as a state machine. It isn't safe for concurrent use.
// Between Ready and the Advance or PersistFailed that follows it, no other method may be called.
type Replica struct {
	id      MemberID
	cluster ClusterID
	random  *rand.Rand
	role    role
	// leader is whom the replica follows, "" when it knows none.
	leader MemberID
	// lastContact is when the leader's last message came, and lastQuorumAck the time at which a majority had
	// confirmed that leader, by its own word.
	lastContact, lastQuorumAck time.Duration
	// incarnation tells this replica's life from earlier ones of the same id, whose clocks were others.
	incarnation uint64
	// transferring says that this leader has asked another replica to take over in its stead, first at
	// handedOverAt. It holds to the end of the term, as the request may still be on its way.
	transferring      bool
	transferStartedAt time.Duration
	// nextTransferAt is when a leader that a change leaves out asks again to be relieved.
	nextTransferAt time.Duration
	// electionDeadline is when the next pre-vote begins, unless a leader is heard.
	electionDeadline time.Duration
	votes            map[MemberID]bool
	peers            map[MemberID]*progress
	learners         []MemberID
	// peerIDs is every replica that a leader sends to, in a fixed order.
	peerIDs []MemberID

	hardState   HardState
	log         entryLog
	memberships membershipHistory
	// stable is the last entry that is synced here.
	stable          Index
	commit, applied Index
	// leaderCommit is what the leader last said is committed.
	leaderCommit Index
	// matchedIndex is how far the log is known to equal that of the leader of this term.
	matchedIndex Index

	hardStateDirty, snapshotDirty bool
	truncateFrom                  Index
	pendingRestore                *Snapshot
	incoming                      *incomingSnapshot

	outbox           []Envelope
	pendingProposals []pendingProposal
	pendingBytes     int
	pendingReads     []pendingRead
	// readRound numbers the newest read round; roundOpen says that it has gone out, so that the next
	// read needs a new one.
	readRound        uint64
	readRoundSent    bool
	lastToken        uint64
	abortedProposals []Completion
	abortedReads     []Completion
	storageFailed    bool
	storageRetryAt   time.Duration
	applying         Index
	// rejectedMessages counts messages that were no proper ones.
	rejectedMessages uint64
}

// NewReplica starts a replica at the time now.
func NewReplica(cfg ReplicaConfig, now time.Duration) (*Replica, error) {
	state := cfg.State
	if state.ID == "" {
		return nil, errs.New(errs.Invalid, "replication: a replica without an id")
	}
	if len(state.Snapshot.Membership.Voters) > 0 {
		if err := state.Snapshot.Membership.validate(); err != nil {
			return nil, err
		}
	}
	r := &Replica{
		id:          state.ID,
		cluster:     state.Cluster,
		random:      rand.New(rand.NewPCG(cfg.Seed, uint64(len(state.ID)))),
		hardState:   state.HardState,
		memberships: membershipHistory{{state.Snapshot.Index, state.Snapshot.Membership}},
	}
	r.log.installSnapshot(state.Snapshot)
	for i, e := range state.Entries {
		if e.Index != state.Snapshot.Index+Index(i)+1 {
			return nil, errs.New(errs.DiskFailed, "replication: entry %d stands where %d belongs", e.Index, state.Snapshot.Index+Index(i)+1)
		}
	}
	r.log.append(state.Entries...)
	r.memberships.appendFrom(state.Entries)
	r.stable = r.log.lastIndex()
	r.commit = r.log.snapshot.Index
	r.applied = r.commit
	r.electionDeadline = now + r.randomDuration(minElectionRetry, maxElectionRetry)
	r.lastContact, r.lastQuorumAck = now-time.Hour, now-time.Hour
	r.readRoundSent = true
	r.incarnation = r.random.Uint64()
	return r, nil
}

func (r *Replica) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

// ID is the replica's own id.
func (r *Replica) ID() MemberID { return r.id }

// Leader names the leader that this replica follows ("" when it knows none) and its term.
func (r *Replica) Leader() (MemberID, Term) { return r.leader, r.hardState.Term }

// IsLeader says whether the replica leads its term at the time now.
func (r *Replica) IsLeader(now time.Duration) bool {
	r.checkQuorum(now)
	return r.role == leader
}

// Membership is the membership in force, and whether it is committed.
func (r *Replica) Membership() (Membership, bool) {
	current := r.memberships.current()
	return current.Membership, current.index <= r.commit
}

// IsVoter says whether the replica is a voter in the membership in force.
func (r *Replica) IsVoter() bool { return r.memberships.current().IsVoter(r.id) }

// StorageFailed says that the disk refused the last write; the replica is silent till it takes one.
func (r *Replica) StorageFailed() bool { return r.storageFailed }

// Applied is the last entry handed out as committed, and confirmed by Advance.
func (r *Replica) Applied() Index { return r.applied }

// RejectedMessages counts the messages that were dropped as no proper ones.
func (r *Replica) RejectedMessages() uint64 { return r.rejectedMessages }

// LastQuorumAck is the time at which, as far as is known here, a majority of the voters last confirmed
// the leader. It proves that all that was committed before it is held by this replica once its
// application has applied the index that comes with it. ok is false while there is no such index:
// no leader is known, or it has committed nothing of its own term yet.
func (r *Replica) LastQuorumAck() (at time.Duration, index Index, ok bool) {
	if r.role == leader {
		return r.leaderQuorumAck(), r.commit, r.hasCommittedInTerm()
	}
	return r.lastQuorumAck, r.leaderCommit, r.leader != ""
}

// hasCommittedInTerm says that an entry of this leader's own term is committed: then so is all that earlier
// leaders committed, and only then does it know how far that reaches.
func (r *Replica) hasCommittedInTerm() bool {
	term, ok := r.log.term(r.commit)
	return ok && term == r.hardState.Term
}

// lastQuorumContact is the time up to which a majority has answered this leader.
func (r *Replica) lastQuorumContact() time.Duration {
	return quorumValue(r.memberships.current().Membership, func(id MemberID) time.Duration {
		if id == r.id {
			return forever
		}
		return r.peers[id].lastContact
	})
}

// leaderQuorumAck is up to when a majority has confirmed that nobody else leads. Once this leader
// has asked another to take over, its voters' word is none against that one: no later confirmation counts.
func (r *Replica) leaderQuorumAck() time.Duration {
	at := r.lastQuorumContact()
	if r.transferring {
		return min(at, r.transferStartedAt)
	}
	return at
}

// checkQuorum makes a leader that a majority hasn't answered for ContactTimeout, or that asked in vain to
// be relieved, step down. It runs
// before anything a leader does, so that one that was frozen acts on nothing it believed before.
func (r *Replica) checkQuorum(now time.Duration) {
	if r.role != leader {
		return
	}
	if now-r.lastQuorumContact() > ContactTimeout || r.transferring && now-r.transferStartedAt > leadershipTransferTimeout {
		r.becomeFollower(r.hardState.Term, "")
		r.electionDeadline = now + r.randomDuration(MinElectionTimeout, MaxElectionTimeout)
	}
}

// becomeFollower ends whatever the replica was and makes it a follower in term.
func (r *Replica) becomeFollower(term Term, leads MemberID) {
	if term > r.hardState.Term {
		r.hardState.Term, r.hardState.Vote = term, ""
		r.hardStateDirty = true
		r.matchedIndex = 0
	}
	if r.role == leader {
		r.abortPending()
	}
	r.role, r.leader, r.votes = follower, leads, nil
}

// abortPending tells the callers of a leader that is none any more that they don't know.
func (r *Replica) abortPending() {
	for _, p := range r.pendingProposals {
		r.abortedProposals = append(r.abortedProposals, Completion{Token: p.token, Index: p.index, Aborted: true})
	}
	for _, q := range r.pendingReads {
		r.abortedReads = append(r.abortedReads, Completion{Token: q.token, Aborted: true})
	}
	r.pendingProposals, r.pendingReads, r.pendingBytes = nil, nil, 0
	r.peers, r.peerIDs, r.learners = nil, nil, nil
}

// hasLeaderLease says that the replica has heard a live leader within the shortest election time (or is
// one): then it refuses votes, so that a member that was cut off, frozen or retired disturbs
// nothing when it returns.
func (r *Replica) hasLeaderLease(now time.Duration) bool {
	return r.role == leader || r.leader != "" && now-r.lastContact < MinElectionTimeout
}

// Step takes in a message. Messages of another cluster and ones that make no sense are counted and dropped.
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

// isWellFormed says whether a message can be taken in at all.
func (r *Replica) isWellFormed(msg *Message) bool {
	if msg.Cluster != r.cluster || msg.payloadCount() != 1 {
		return false
	}
	if msg.Append != nil {
		for i := range msg.Append.Entries {
			e := &msg.Append.Entries[i]
			if e.Index != msg.Append.PrevIndex+Index(i)+1 || e.Term > msg.Term {
				return false
			}
			if e.Kind == EntryMembership {
				if _, err := decodeMembership(e.Command); err != nil {
					return false
				}
			}
		}
	}
	return msg.SnapshotChunk == nil || msg.SnapshotChunk.Header.isValidFor(msg.SnapshotChunk)
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
		wake := forever
		for _, id := range r.peerIDs {
			p := r.peers[id]
			wake = min(wake, p.sentAt+HeartbeatInterval)
			if p.resendAt > 0 {
				wake = min(wake, p.resendAt)
			}
		}
		return wake
	case !r.IsVoter():
		return forever
	}
	return r.electionDeadline
}

// send queues a message; it goes with the next Ready. A sick replica says nothing.
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
