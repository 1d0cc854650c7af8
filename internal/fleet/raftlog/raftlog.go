// Package raftlog is the replicated log of a fleet's sidecars: go.etcd.io/raft/v3 among a few
// voters, and what a fleet needs beside it: voters that are identified by process instead of
// address, followers that learn committed entries by gossip, and a new log under a higher epoch
// after a majority of the voters was lost at once.
//
// The package owns the log and its membership. It does no I/O, starts no goroutines and reads no
// clock: time and random source are passed in, so one seed gives one history. A Node must be used
// by one goroutine at a time.
//
// Promise: within an epoch, all sidecars that have an entry of some index have the same one, for
// good, whatever crashes, stalls or is partitioned; an entry that a majority of the voters has is
// kept as long as no majority of them is lost at once. Sidecars of an older epoch abandon its log
// for that of a newer one.
//
// Without a Storage a restarted process has forgotten its vote. A vote therefore belongs to a
// process (a Voter: a sidecar's number and the process's incarnation). The next process of the same
// number does not vote until a log entry adds it, and drops messages that were addressed to its
// predecessor.
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
	// Period is how often Tick is due.
	Period = 125 * time.Millisecond

	// heartbeatTicks is raft's heartbeat interval, in ticks. It applies while no majority answers
	// the leader's requests for confirmation (confirm.go), which serve as heartbeats otherwise.
	heartbeatTicks = 2
	// electionHeartbeats is how many heartbeat intervals without a leader start an election, and
	// electionJitter how many more are added at most, at random.
	electionHeartbeats = 3
	electionJitter     = 3
	// maxPendingConfirms bounds the requests for confirmation that are in flight.
	maxPendingConfirms = 16
	// pushFanout is how many sidecars a new entry is gossiped to by each that receives it.
	pushFanout = 5
	// entriesPerMessage: an entry and its envelope have to fit into a datagram.
	entriesPerMessage = 1
	// proposalRetryDelay is the first delay before a proposal is repeated; it doubles
	// maxRetryDoublings times.
	proposalRetryDelay = time.Second
	maxRetryDoublings  = 4
	// maxBufferedEntries bounds the entries that wait for earlier ones.
	maxBufferedEntries = 64

	// MaxEntryBytes bounds an entry, in bytes.
	MaxEntryBytes = 96
	// MaxEntries bounds the log of an epoch. It holds operators' decisions: a new epoch is due
	// earlier.
	MaxEntries = 1 << 14
	// maxPendingProposals bounds the proposals of one sidecar that are not in the log yet.
	maxPendingProposals = 16
)

// Entry is an entry of the log.
type Entry struct {
	Index         uint64
	Data          []byte // nil: a change of the voters
	isVoterChange bool
	voterChange   []byte // encoded raftpb.ConfChangeV2
}

// Message goes from one sidecar to another.
type Message struct {
	Epoch     uint64
	Raft      *raftpb.Message // between voters
	LastIndex uint64          // of the sender's log
	// since a majority last confirmed a leader, as far as the sender knows; 0: never
	LeaderAge     time.Duration
	LeaderNumber  int    // the leader's number plus one, as far as the sender knows; 0: none
	LeaderTerm    uint64 // of that leader
	WantEntries   bool   // the sender asks for entries after LastIndex
	Gossip        bool   // the entries are new: the receiver passes them on
	Entries       []Entry
	Proposal      []byte // for the leader; sent to any voter
	ProposalToken uint64 // of Proposal
}

// Host carries out what a Node decides. Its methods must not call back into the Node.
type Host interface {
	Send(to int, m *Message)
	// Applied is called once for each entry with data, in order. Reset is called before the entries
	// of another epoch.
	Applied(e Entry)
	Reset(epoch uint64)
}

// Storage persists what a voter must not forget. Its methods return once the data would survive the
// process.
type Storage interface {
	// Begin discards everything of earlier epochs.
	Begin(epoch uint64) error
	// Save persists a hard state and entries, which replace those at their indices and after them.
	// Either may be missing.
	Save(vote *raftpb.HardState, entries []*raftpb.Entry) error
}

// SavedState is what a Storage has kept.
type SavedState struct {
	Epoch     uint64 // 0: nothing
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
}

// Config configures a Node.
type Config struct {
	Size int // configured sidecars
	Self Voter
	// where Self is the voter of an earlier process that saved its vote; 0: Self.Incarnation
	ProcessIncarnation uint64
	VoterCount         int // wanted number of voters; 0: VotersFor(Size)
	Rand               *rand.Rand
	Host               Host
	Storage            Storage // nil: a vote ends with its process
}

// VotersFor returns how many voters a fleet of size sidecars has: seven from a thousand on. More would
// cost the leader of a smaller fleet much of its traffic.
func VotersFor(size int) int {
	switch {
	case size >= 1000:
		return 7
	case size >= 5:
		return 5
	}
	return max(1, size-(1-size%2))
}

// HeartbeatInterval returns how often, in a fleet of size sidecars, the leader asks the voters to
// confirm it, and each sidecar polls another for entries. Large fleets have no bandwidth for more.
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
	id           uint64
	heartbeat    time.Duration
	epoch        uint64 // 0: none
	log          []Entry
	voters       map[uint64]Voter         // by raft id, as far as the log is known here
	senders      map[uint64]int           // sidecars' numbers by raft id, from received messages
	heardAt      map[uint64]time.Duration // when a raft id's last message of the voters' protocol came
	raft         *raft.RawNode            // nil: not a voter
	storageError error                    // why this process must not vote any more
	raftStorage  *raft.MemoryStorage

	electionDeadline time.Duration
	nextPoll         time.Duration
	nextVoterChange  time.Duration // when the voters may be changed again
	now              time.Duration // time of the current event
	lastLeaderAck    time.Duration // when a majority last confirmed a leader; 0: never
	pending          []*pendingProposal
	loggedTokens     map[uint64]bool  // of the proposals in the log
	buffered         map[uint64]Entry // entries that wait for earlier ones, by index
	highestIndex     uint64           // of any sidecar's log
	reportedLeader   int              // the leader's number plus one, as reported by others
	reportedTerm     uint64           // that leader's term
	// when a majority was asked to confirm this leader, by sequence number
	pendingConfirms map[uint64]time.Duration
	confirmSeq      uint64
	confirmTerm     uint64        // to which the confirmations belong
	nextConfirm     time.Duration // when a majority is asked next
	lastQuorumAck   time.Duration // send time of the newest confirmed request
	quorumAckIndex  uint64        // commit index at that time
	lastToken       uint64
}

// New returns a node that knows of no log yet.
func New(cfg Config) (*Node, error) {
	if cfg.Size < 1 || cfg.Self.Number < 0 || cfg.Self.Number >= cfg.Size || cfg.Self.Incarnation == 0 {
		return nil, fmt.Errorf("agree: seat %+v of %d", cfg.Self, cfg.Size)
	}
	if cfg.VoterCount == 0 {
		cfg.VoterCount = VotersFor(cfg.Size)
	}
	process := cfg.Self
	if cfg.ProcessIncarnation != 0 {
		process.Incarnation = cfg.ProcessIncarnation
	}
	// Tokens of two processes must differ, whatever their incarnations.
	return &Node{
		Config: cfg, id: cfg.Self.ID(), heartbeat: HeartbeatInterval(cfg.Size),
		lastToken: process.ID() &^ 0xffff,
	}, nil
}

// Epoch returns the current epoch; 0: no log is known.
func (n *Node) Epoch() uint64 { return n.epoch }

// LastIndex returns the index of the last entry that is stored here.
func (n *Node) LastIndex() uint64 { return uint64(len(n.log)) }

// Tick advances time. It is due every Period.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.epoch == 0 {
		return
	}
	if n.raft != nil {
		n.tickRaft(now)
	}
	n.retryProposals(now)
	if now >= n.nextPoll { // any sidecar will do: it has committed entries only
		n.nextPoll = now + n.heartbeat
		n.send(n.Rand.IntN(n.Size), &Message{WantEntries: true})
	}
	n.processReady(now)
}

// tickRaft sends a leader's heartbeats and requests for confirmation, or starts an overdue
// election.
func (n *Node) tickRaft(now time.Duration) {
	// Requests for confirmation serve as heartbeats while they are answered.
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

// CatchUp asks the sidecar from for missing entries right away when it is known to have the log up
// to index.
func (n *Node) CatchUp(now time.Duration, from int, index uint64) {
	if n.now = now; index > n.LastIndex() {
		n.highestIndex = max(n.highestIndex, index)
		n.send(from, &Message{WantEntries: true})
	}
}
