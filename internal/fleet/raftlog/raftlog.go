// Package raftlog implements the replicated log of a fleet's sidecars. It runs go.etcd.io/raft/v3 among a few
// voters and adds what a fleet needs beyond raft: voters that are identified by process instead of address,
// followers that receive committed entries by gossip, and a new log under a higher epoch after a majority of
// the voters was lost at once.
//
// The package owns the log and its membership. It does no I/O, starts no goroutines and reads no clock: time
// and random source are passed in, so one seed gives one history. A Node must be used by one goroutine at a
// time.
//
// Guarantees: within an epoch, all sidecars that have an entry with some index have the same entry,
// permanently and despite crashes, pauses and partitions. An entry that a majority of the voters has is kept
// unless a majority of the voters is lost at once. A sidecar that learns of a newer epoch abandons the log of
// the older epoch.
//
// Without a Storage, a restarted process does not know its earlier vote. A vote therefore belongs to a
// process (a Voter: the sidecar's number and the incarnation of the process). The next process of the same
// sidecar does not vote until a log entry adds it to the voters, and it drops messages that were addressed to
// its predecessor.
package raftlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// Period is the interval at which Tick must be called.
	Period = 125 * time.Millisecond

	// heartbeatTicks is raft's heartbeat interval in ticks. raft's heartbeats are sent only while no majority
	// answers the leader's requests for confirmation (confirm.go), which serve as heartbeats otherwise.
	heartbeatTicks = 2
	// electionHeartbeats is the minimum election timeout and electionJitter the maximum random addition to
	// it, both in heartbeat intervals.
	electionHeartbeats = 3
	electionJitter     = 3
	// maxPendingConfirms bounds the leader's requests for confirmation that are in flight.
	maxPendingConfirms = 16
	// pushFanout is the number of sidecars to which each receiver of a new entry gossips the entry.
	pushFanout = 5
	// entriesPerMessage is the number of entries in a message: a datagram has room for one entry and its
	// envelope.
	entriesPerMessage = 1
	// proposalRetryDelay is the delay before a proposal is repeated for the first time. The delay doubles
	// with each repetition, at most maxRetryDoublings times.
	proposalRetryDelay = time.Second
	maxRetryDoublings  = 4
	// maxBufferedEntries bounds the received entries that are buffered because earlier entries are missing.
	maxBufferedEntries = 64

	// MaxEntryBytes bounds the data of an entry, in bytes.
	MaxEntryBytes = 96
	// MaxEntries bounds the log of an epoch. The log holds operators' decisions, which are so few that a new
	// epoch starts earlier for other reasons.
	MaxEntries = 1 << 14
	// maxPendingProposals bounds the proposals of a sidecar that are not in its log yet.
	maxPendingProposals = 16
)

// Entry is a committed entry of the log.
type Entry struct {
	Index         uint64
	Data          []byte // as proposed; nil in a change of the voters
	isVoterChange bool
	voterChange   []byte // encoded raftpb.ConfChangeV2
}

// Message is a message of the log from one sidecar to another.
type Message struct {
	Epoch     uint64
	Raft      *raftpb.Message // raft's own message between two voters; nil: none
	LastIndex uint64          // last index of the sender's log
	// LeaderAge is the time since a majority of the voters last confirmed a leader, as far as the sender
	// knows; 0: never.
	LeaderAge     time.Duration
	LeaderNumber  int    // number of the leader known to the sender, plus one; 0: none
	LeaderTerm    uint64 // term of the leader with LeaderNumber
	WantEntries   bool   // the sender requests the entries after LastIndex
	Gossip        bool   // the entries are new: the receiver gossips them further
	Entries       []Entry
	Proposal      []byte // data that the receiving voter proposes; nil: none
	ProposalToken uint64 // token of Proposal
}

// Host sends a Node's messages and applies its entries. Its methods must not call back into the Node.
type Host interface {
	// Send sends a message to a sidecar.
	Send(to int, m *Message)
	// Applied is called once for each committed entry with data, in the order of the log.
	Applied(e Entry)
	// Reset is called when the log is replaced by that of another epoch, before any entry of that epoch is
	// applied.
	Reset(epoch uint64)
}

// Storage persists the state that a voter must not lose. Its methods return once the data survives a crash of
// the process.
type Storage interface {
	// Begin discards the state of earlier epochs.
	Begin(epoch uint64) error
	// Save persists a hard state and entries. The entries replace saved entries at the same and later
	// indices. Either argument may be nil.
	Save(vote *raftpb.HardState, entries []*raftpb.Entry) error
}

// SavedState is the state that a Storage has persisted.
type SavedState struct {
	Epoch     uint64 // 0: no state was saved
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
}

// Config configures a Node.
type Config struct {
	Size int // number of configured sidecars
	Self Voter
	// ProcessIncarnation is the incarnation of this process if Self is the voter of an earlier process that
	// saved its vote; 0: Self.Incarnation.
	ProcessIncarnation uint64
	VoterCount         int // target number of voters; 0: VotersFor(Size)
	Rand               *rand.Rand
	Host               Host
	Storage            Storage // nil: state is not persisted, and a vote ends with its process
}

// VotersFor returns the target number of voters in a fleet of size sidecars. Seven voters are used only from
// a thousand sidecars on, because more voters would cost the leader of a smaller fleet a large part of its
// bandwidth.
func VotersFor(size int) int {
	switch {
	case size >= 1000:
		return 7
	case size >= 5:
		return 5
	}
	return max(1, size-(1-size%2))
}

// HeartbeatInterval returns the interval, in a fleet of size sidecars, at which the leader asks the voters to
// confirm it and at which each sidecar polls another for entries. Large fleets have no bandwidth for a
// shorter interval.
func HeartbeatInterval(size int) time.Duration {
	if size >= 100 {
		return time.Second
	}
	return 500 * time.Millisecond
}

// Errors of Propose and Bootstrap. Their texts are shown to operators.
var (
	ErrNoLog = errors.New(
		"there is no agreed log here: it was never begun, or this process has not heard of it yet",
	)
	ErrLogFull          = errors.New("the agreed log is full: a new beginning is due")
	ErrTooManyProposals = errors.New("too many proposals of this sidecar are under way")
	ErrLogExists        = errors.New("an agreed log exists and answers: no new beginning is needed")
)

// Node is one sidecar's replica of the log. It is not safe for concurrent use.
type Node struct {
	Config
	id           uint64        // raft id of Self
	heartbeat    time.Duration // HeartbeatInterval of the fleet
	epoch        uint64        // 0: no log is known
	log          []Entry
	voters       map[uint64]Voter         // by raft id, according to the local log
	senders      map[uint64]int           // numbers of sidecars by raft id, from received messages
	heardAt      map[uint64]time.Duration // receive time of the last raft message, by raft id
	raft         *raft.RawNode            // nil: this process is not a voter
	storageError error                    // storage failure after which this process must not vote
	raftStorage  *raft.MemoryStorage

	electionDeadline time.Duration      // when this voter starts an election if no leader is heard
	nextPoll         time.Duration      // when another sidecar is polled for entries
	nextVoterChange  time.Duration      // earliest time of the next change of the voters
	now              time.Duration      // time of the current event
	lastLeaderAck    time.Duration      // when a majority of the voters last confirmed a leader; 0: never
	pending          []*pendingProposal // in the order in which they were proposed
	loggedTokens     map[uint64]bool    // tokens of the proposals in the log
	buffered         map[uint64]Entry   // entries that were received before earlier entries, by index
	highestIndex     uint64             // highest index known in any sidecar's log
	reportedLeader   int                // number of the leader reported by other sidecars, plus one; 0: none
	reportedTerm     uint64             // term of the leader with reportedLeader
	// send times of unanswered requests to confirm this leader, by sequence number
	pendingConfirms map[uint64]time.Duration
	confirmSeq      uint64        // sequence number of the last request for confirmation
	confirmTerm     uint64        // term of the requests for confirmation
	nextConfirm     time.Duration // when the next request for confirmation is sent
	lastQuorumAck   time.Duration // send time of the last request that a majority confirmed
	quorumAckIndex  uint64        // commit index at the time lastQuorumAck
	lastToken       uint64        // token of this process's last proposal
}

// New returns a node that knows of no log yet.
func New(cfg Config) (*Node, error) {
	if cfg.Size < 1 || cfg.Self.Number < 0 || cfg.Self.Number >= cfg.Size || cfg.Self.Incarnation == 0 {
		return nil, fmt.Errorf("raftlog: voter %+v is not valid in a fleet of %d sidecars", cfg.Self, cfg.Size)
	}
	if cfg.VoterCount == 0 {
		cfg.VoterCount = VotersFor(cfg.Size)
	}
	process := cfg.Self
	if cfg.ProcessIncarnation != 0 {
		process.Incarnation = cfg.ProcessIncarnation
	}
	// The tokens of two processes must differ, so they are derived from the hash of number and incarnation.
	return &Node{
		Config: cfg, id: cfg.Self.ID(), heartbeat: HeartbeatInterval(cfg.Size),
		lastToken: process.ID() &^ 0xffff,
	}, nil
}

// Epoch returns the epoch of the current log, and 0 if no log is known.
func (n *Node) Epoch() uint64 { return n.epoch }

// LastIndex returns the index of the last entry of the local log.
func (n *Node) LastIndex() uint64 { return uint64(len(n.log)) }

// Tick runs the time-driven work of the node. It must be called every Period.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.epoch == 0 {
		return
	}
	if n.raft != nil {
		n.tickRaft(now)
	}
	n.retryProposals(now)
	if now >= n.nextPoll { // any sidecar can be polled, because it sends committed entries only
		n.nextPoll = now + n.heartbeat
		n.send(n.Rand.IntN(n.Size), &Message{WantEntries: true})
	}
	n.processReady(now)
}

// tickRaft sends the leader's heartbeats and requests for confirmation, or starts an election when the
// election timeout has expired.
func (n *Node) tickRaft(now time.Duration) {
	// While a majority answers requests for confirmation, these serve as heartbeats.
	if !n.IsLeader() || now-n.lastQuorumAck >= 2*n.heartbeat {
		n.raft.Tick()
	}
	if n.IsLeader() {
		n.resetElectionTimeout(now)
		n.requestQuorumAck(now)
	} else if now >= n.electionDeadline && n.IsVoter() {
		n.resetElectionTimeout(now)
		_ = n.raft.Campaign()
	}
}

// CatchUp requests missing entries immediately from the sidecar with the number from, whose log is known to
// reach up to index.
func (n *Node) CatchUp(now time.Duration, from int, index uint64) {
	if n.now = now; index > n.LastIndex() {
		n.highestIndex = max(n.highestIndex, index)
		n.send(from, &Message{WantEntries: true})
	}
}
