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
	// resend is when what is on its way is sent again; 0 when nothing is.
	resend time.Duration
	// heard is the time at which the newest answered message was sent.
	heard time.Duration
	// clock is the member's own, in its newest answer.
	clock ClockReading
	// sent is when anything was sent last.
	sent             time.Duration
	round, roundSent uint64
	commitSent       Index
	// snapshot is what is being sent in pieces, and offset where the next one begins.
	snapshot *Snapshot
	sum      uint64
	offset   int
}

type proposal struct {
	token uint64
	index Index
	bytes int
}

type read struct {
	token, round uint64
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
	// heard is when the leader's last message came, and confirmed the time at which a majority had
	// confirmed that leader, by its own word.
	heard, confirmed time.Duration
	// life tells this replica's life from earlier ones of the same id, whose clocks were others.
	life uint64
	// handingOver says that this leader has asked another replica to take over in its stead, first at
	// handedOverAt. It holds to the end of the term, as the request may still be on its way.
	handingOver  bool
	handedOverAt time.Duration
	// handOverAt is when a leader that a change leaves out asks again to be relieved.
	handOverAt time.Duration
	// deadline is when the next pre-vote begins, unless a leader is heard.
	deadline time.Duration
	votes    map[MemberID]bool
	peers    map[MemberID]*progress
	learners []MemberID
	// order is every replica that a leader sends to, in a fixed order.
	order []MemberID

	hard        HardState
	log         entryLog
	memberships memberships
	// stable is the last entry that is synced here.
	stable          Index
	commit, applied Index
	// leaderCommit is what the leader last said is committed.
	leaderCommit Index
	// verified is how far the log is known to equal that of the leader of this term.
	verified Index

	hardDirty, snapshotDirty bool
	truncateFrom             Index
	restore                  *Snapshot
	incoming                 *incomingSnapshot

	out          []Envelope
	proposals    []proposal
	pendingBytes int
	reads        []read
	// round numbers the newest read round; roundOpen says that it has gone out, so that the next
	// read needs a new one.
	round         uint64
	roundOpen     bool
	token         uint64
	aborted       []Completion
	abortedReads  []Completion
	sick          bool
	retryAt       time.Duration
	lastCommitted Index
	// refused counts messages that were no proper ones.
	refused uint64
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
		hard:        state.HardState,
		memberships: memberships{{state.Snapshot.Index, state.Snapshot.Membership}},
	}
	r.log.reset(state.Snapshot)
	for i, e := range state.Entries {
		if e.Index != state.Snapshot.Index+Index(i)+1 {
			return nil, errs.New(errs.DiskFailed, "replication: entry %d stands where %d belongs", e.Index, state.Snapshot.Index+Index(i)+1)
		}
	}
	r.log.append(state.Entries...)
	r.memberships.take(state.Entries)
	r.stable = r.log.last()
	r.commit = r.log.snapshot.Index
	r.applied = r.commit
	r.deadline = now + r.between(retryMin, retryMax)
	r.heard, r.confirmed = now-time.Hour, now-time.Hour
	r.roundOpen = true
	r.life = r.random.Uint64()
	return r, nil
}

func (r *Replica) between(low, high time.Duration) time.Duration {
	return low + time.Duration(r.random.Int64N(int64(high-low)))
}

// ID is the replica's own id.
func (r *Replica) ID() MemberID { return r.id }

// Leader names the leader that this replica follows ("" when it knows none) and its term.
func (r *Replica) Leader() (MemberID, Term) { return r.leader, r.hard.Term }

// IsLeader says whether the replica leads its term at the time now.
func (r *Replica) IsLeader(now time.Duration) bool {
	r.checkContact(now)
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
func (r *Replica) StorageFailed() bool { return r.sick }

// Applied is the last entry handed out as committed, and confirmed by Advance.
func (r *Replica) Applied() Index { return r.applied }

// RejectedMessages counts the messages that were dropped as no proper ones.
func (r *Replica) RejectedMessages() uint64 { return r.refused }

// LastQuorumAck is the time at which, as far as is known here, a majority of the voters last confirmed
// the leader. It proves that all that was committed before it is held by this replica once its
// application has applied the index that comes with it. ok is false while there is no such index:
// no leader is known, or it has committed nothing of its own term yet.
func (r *Replica) LastQuorumAck() (at time.Duration, index Index, ok bool) {
	if r.role == leader {
		return r.confirmedByMajority(), r.commit, r.openedTerm()
	}
	return r.confirmed, r.leaderCommit, r.leader != ""
}

// openedTerm says that an entry of this leader's own term is committed: then so is all that earlier
// leaders committed, and only then does it know how far that reaches.
func (r *Replica) openedTerm() bool {
	term, ok := r.log.term(r.commit)
	return ok && term == r.hard.Term
}

// heardByMajority is the time up to which a majority has answered this leader.
func (r *Replica) heardByMajority() time.Duration {
	return reached(r.memberships.current().Membership, func(id MemberID) time.Duration {
		if id == r.id {
			return forever
		}
		return r.peers[id].heard
	})
}

// confirmedByMajority is up to when a majority has confirmed that nobody else leads. Once this leader
// has asked another to take over, its voters' word is none against that one: no later confirmation counts.
func (r *Replica) confirmedByMajority() time.Duration {
	at := r.heardByMajority()
	if r.handingOver {
		return min(at, r.handedOverAt)
	}
	return at
}

// checkContact makes a leader that a majority hasn't answered for ContactTimeout, or that asked in vain to
// be relieved, step down. It runs
// before anything a leader does, so that one that was frozen acts on nothing it believed before.
func (r *Replica) checkContact(now time.Duration) {
	if r.role != leader {
		return
	}
	if now-r.heardByMajority() > ContactTimeout || r.handingOver && now-r.handedOverAt > handOverTime {
		r.follow(r.hard.Term, "")
		r.deadline = now + r.between(MinElectionTimeout, MaxElectionTimeout)
	}
}

// follow ends whatever the replica was and makes it a follower in term.
func (r *Replica) follow(term Term, leads MemberID) {
	if term > r.hard.Term {
		r.hard.Term, r.hard.Vote = term, ""
		r.hardDirty = true
		r.verified = 0
	}
	if r.role == leader {
		r.abandon()
	}
	r.role, r.leader, r.votes = follower, leads, nil
}

// abandon tells the callers of a leader that is none any more that they don't know.
func (r *Replica) abandon() {
	for _, p := range r.proposals {
		r.aborted = append(r.aborted, Completion{Token: p.token, Index: p.index, Aborted: true})
	}
	for _, q := range r.reads {
		r.abortedReads = append(r.abortedReads, Completion{Token: q.token, Aborted: true})
	}
	r.proposals, r.reads, r.pendingBytes = nil, nil, 0
	r.peers, r.order, r.learners = nil, nil, nil
}

// leased says that the replica has heard a live leader within the shortest election time (or is
// one): then it refuses votes, so that a member that was cut off, frozen or retired disturbs
// nothing when it returns.
func (r *Replica) leased(now time.Duration) bool {
	return r.role == leader || r.leader != "" && now-r.heard < MinElectionTimeout
}

// Step takes in a message. Messages of another cluster and ones that make no sense are counted and dropped.
func (r *Replica) Step(now time.Duration, from MemberID, msg Message) {
	if from == r.id || !r.proper(&msg) {
		r.refused++
		return
	}
	r.checkContact(now)
	switch {
	case msg.Append != nil:
		r.stepAppend(now, from, msg.Term, msg.Append)
	case msg.SnapshotChunk != nil:
		r.stepSnapshot(now, from, msg.Term, msg.SnapshotChunk)
	case msg.AppendResponse != nil:
		r.stepAppendAnswer(now, from, msg.Term, msg.AppendResponse)
	case msg.SnapshotResponse != nil:
		r.stepSnapshotAnswer(now, from, msg.Term, msg.SnapshotResponse)
	case msg.VoteRequest != nil:
		r.stepVoteRequest(now, from, msg.Term, msg.VoteRequest)
	case msg.VoteResponse != nil:
		r.stepVoteAnswer(now, from, msg.Term, msg.VoteResponse)
	case msg.TimeoutNow != nil:
		r.stepTimeoutNow(now, from, msg.Term)
	}
}

// proper says whether a message can be taken in at all.
func (r *Replica) proper(msg *Message) bool {
	if msg.Cluster != r.cluster || msg.kinds() != 1 {
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
	return msg.SnapshotChunk == nil || msg.SnapshotChunk.Header.proper(msg.SnapshotChunk)
}

// Tick does what is due at the time now.
func (r *Replica) Tick(now time.Duration) {
	r.checkContact(now)
	if r.role != leader && !r.sick && r.IsVoter() && now >= r.deadline {
		r.startPreVote(now)
	}
	r.handOver(now)
}

// NextWake is when Tick is due next.
func (r *Replica) NextWake() time.Duration {
	switch {
	case r.sick:
		return r.retryAt
	case r.role == leader:
		wake := forever
		for _, id := range r.order {
			p := r.peers[id]
			wake = min(wake, p.sent+HeartbeatInterval)
			if p.resend > 0 {
				wake = min(wake, p.resend)
			}
		}
		return wake
	case !r.IsVoter():
		return forever
	}
	return r.deadline
}

// send queues a message; it goes with the next Ready. A sick replica says nothing.
func (r *Replica) send(to MemberID, msg Message) {
	if r.sick {
		return
	}
	msg.Cluster = r.cluster
	if msg.Term == 0 {
		msg.Term = r.hard.Term
	}
	r.out = append(r.out, Envelope{To: to, Message: msg})
}
