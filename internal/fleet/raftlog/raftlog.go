// Package raftlog is the log on which the sidecars of a fleet agree. It is go.etcd.io/raft/v3 among a few voters, in memory, with what a fleet needs round it: voters that
// are processes, not addresses; others that follow; and a new beginning when a majority of the voters is lost at once. It is free of I/O and takes time and random
// source from outside, so that a seed plays one history.
//
// What is promised: in one epoch every sidecar that has an entry of some index has the same one, for good, whatever crashes, stalls or is cut off; an entry that a
// majority of the voters has stays while no majority of them is lost at once. Sidecars of an older epoch yield to a newer one and start over with its log.
//
// No disk lasts here: who restarts has forgotten its vote. So a vote belongs to a process, a Seat with its life; the next process of that number is nobody until the log says
// otherwise, and what is said to its forerunner it drops.
package raftlog

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// Period is how often Tick is due.
	Period = 125 * time.Millisecond

	heartbeatTicks     = 2           // the leader is heard of with every second tick, while its questions (confirm.go) don't tell as much
	electionHeartbeats = 3           // without a word of the leader for so many beats a voter stands for election,
	electionJitter     = 3           // or up to so many later, at random: seldom two at once
	maxPendingConfirms = 16          // such questions under way
	pushFanout         = 5           // others that are told of an entry by each that hears of it the first time; the rest ask
	entriesPerMessage  = 1           // in a message: an entry and what is round it have to fit into a datagram
	proposalRetryDelay = time.Second // what was proposed and has not come back is proposed again, behind twice as long each time
	maxRetryDoublings  = 4           // so many times
	maxBufferedEntries = 64

	// MaxEntryBytes bounds an entry, in bytes.
	MaxEntryBytes = 96
	// MaxEntries bounds the log of an epoch. It holds what operators decide: a new beginning is due before that.
	MaxEntries = 1 << 14
	// maxPendingProposals bounds what one sidecar has proposed and not seen in the log.
	maxPendingProposals = 16
)

// Voter is a process that may vote.
type Voter struct {
	Number      int
	Incarnation uint64
}

// ID is the seat's name in raft. It is never 0.
func (s Voter) ID() uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(s.Incarnation>>(8*i)), byte(s.Number>>(8*i))
	}
	return xxhash.Sum64(b[:]) | 1
}

// Entry is one of the log.
type Entry struct {
	Index         uint64
	Data          []byte // nil: it only concerns the voters
	isVoterChange bool
	voterChange   []byte // of a change of voters
}

// Message is one to another sidecar.
type Message struct {
	Epoch         uint64
	Raft          *raftpb.Message // between voters
	LastIndex     uint64          // entries that the sender has
	LeaderAge     time.Duration   // since a leader was last known to lead, as far as the sender knows; 0: never
	LeaderNumber  int             // number of the leader, and one, as far as the sender knows; 0: it knows none
	LeaderTerm    uint64          // of that leader
	WantEntries   bool            // it wants what comes behind them
	Gossip        bool            // the entries are told the first time: to be handed on
	Entries       []Entry
	Proposal      []byte // for the leader, by way of a voter
	ProposalToken uint64 // of what is proposed
}

// Host carries out what a Node decides. Its methods must not call back.
type Host interface {
	Send(to int, m *Message)
	// Applied is called for each entry with data, in order, once; Reset before those of another epoch.
	Applied(e Entry)
	Reset(epoch uint64)
}

// Storage keeps what a voter must not forget, where an operator gives it a place. It returns once that would outlive the process.
type Storage interface {
	// Begin forgets all of an earlier log.
	Begin(epoch uint64) error
	// Save keeps a vote and entries: what stood at their indices and behind them goes. Either may be missing.
	Save(vote *raftpb.HardState, entries []*raftpb.Entry) error
}

// SavedState is what a Disk has kept.
type SavedState struct {
	Epoch     uint64 // 0: nothing
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
}

// Config is what a Node is made of.
type Config struct {
	Size               int // configured sidecars
	Self               Voter
	ProcessIncarnation uint64 // of the process, where its seat is an earlier one's that kept its vote; 0: the seat's
	VoterCount         int    // wanted; 0: VotersFor(Size)
	Rand               *rand.Rand
	Host               Host
	Storage            Storage // nil: a vote is a process's
}

// VotersFor is how many voters a fleet of some size has: seven from a thousand on. At three hundred a leader of seven spent half of what it may send on them.
func VotersFor(size int) int {
	switch {
	case size >= 1000:
		return 7
	case size >= 5:
		return 5
	}
	return max(1, size-(1-size%2))
}

// HeartbeatInterval is how often, in a fleet of some size, a leader asks the voters whether it still is one, and each asks another what it has: at a hundred that is what there is room for.
func HeartbeatInterval(size int) time.Duration {
	if size >= 100 {
		return time.Second
	}
	return 500 * time.Millisecond
}

// What a call may be refused for.
var (
	ErrNoLog            = errors.New("there is no agreed log here: it was never begun, or this process has not heard of it yet")
	ErrLogFull          = errors.New("the agreed log is full: a new beginning is due")
	ErrTooManyProposals = errors.New("too many proposals of this sidecar are under way")
	ErrLogExists        = errors.New("an agreed log exists and answers: no new beginning is needed")
)

// Node is one sidecar's part. It is not safe for concurrent use.
type Node struct {
	Config
	id           uint64
	heartbeat    time.Duration
	epoch        uint64 // 0: none
	log          []Entry
	voters       map[uint64]Voter // voters by the log, as far as it is here
	senders      map[uint64]int   // numbers by raft's names, as heard
	raft         *raft.RawNode    // nil: not a voter
	storageError error            // its disk failed: it must not vote any more
	raftStorage  *raft.MemoryStorage

	electionDeadline time.Duration
	nextPoll         time.Duration
	nextVoterChange  time.Duration // when the voters may be changed next
	now              time.Duration // of the event under way
	lastLeaderAck    time.Duration // when a leader was last known to lead; 0: never
	pending          []*pendingProposal
	loggedTokens     map[uint64]bool          // of what is in the log
	buffered         map[uint64]Entry         // entries that came before those that they stand behind
	highestIndex     uint64                   // entries that somebody has
	reportedLeader   int                      // number of the leader, and one, as told by others
	reportedTerm     uint64                   // and its term
	pendingConfirms  map[uint64]time.Duration // when a majority was asked whether this one still leads
	confirmSeq       uint64
	confirmTerm      uint64        // of which all this is
	nextConfirm      time.Duration // when it is asked next
	lastQuorumAck    time.Duration // the newest that a majority has confirmed
	quorumAckIndex   uint64        // and what was agreed on then
	lastToken        uint64
}

// pendingProposal is a proposal that has not come back.
type pendingProposal struct {
	token    uint64
	data     []byte
	retryAt  time.Duration // when it is proposed next
	attempts int
}

// New makes a node that knows of no log yet.
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
	// Two processes' tokens must differ, whatever their lives.
	return &Node{Config: cfg, id: cfg.Self.ID(), heartbeat: HeartbeatInterval(cfg.Size), lastToken: process.ID() &^ 0xffff}, nil
}

// Epoch is the present one; 0: none is known.
func (n *Node) Epoch() uint64 { return n.epoch }

// LastIndex is how many entries are here.
func (n *Node) LastIndex() uint64 { return uint64(len(n.log)) }

// IsVoter says whether this process votes.
func (n *Node) IsVoter() bool { _, seated := n.voters[n.id]; return seated && n.raft != nil }

// IsLeader says whether this process leads, as far as it knows.
func (n *Node) IsLeader() bool {
	return n.raft != nil && n.raft.BasicStatus().RaftState == raft.StateLeader
}

// Voters are the voters by the log, in order of their numbers.
func (n *Node) Voters() []Voter {
	return slices.SortedFunc(maps.Values(n.voters), func(a, b Voter) int { return a.Number - b.Number })
}

// Bootstrap begins a log under a higher epoch, with this process as its first voter; Tend has others join it. It is an operator's own act: an old log ends with it. Where one
// answers it is refused.
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

// Restore has a node that has just been made go on with what its seat's process before it had kept.
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

// StorageError is why this process, which had a seat, votes no more; nil: nothing is wrong.
func (n *Node) StorageError() error { return n.storageError }

// disableVoting has this process vote no more: what it could not keep it must not have said.
func (n *Node) disableVoting(err error) { n.storageError, n.raft, n.raftStorage = err, nil, nil }

// startEpoch starts over with the log of an epoch.
func (n *Node) startEpoch(now time.Duration, epoch uint64) {
	n.resetLog(now, epoch)
	if n.Storage != nil && n.storageError == nil {
		if err := n.Storage.Begin(epoch); err != nil {
			n.disableVoting(err)
		}
	}
}

func (n *Node) resetLog(now time.Duration, epoch uint64) {
	n.epoch, n.log, n.raft, n.raftStorage = epoch, nil, nil, nil
	n.voters, n.senders = make(map[uint64]Voter), make(map[uint64]int)
	n.pending, n.lastLeaderAck, n.highestIndex, n.reportedLeader, n.reportedTerm = nil, 0, 0, 0, 0
	n.pendingConfirms, n.lastQuorumAck, n.quorumAckIndex = make(map[uint64]time.Duration), 0, 0
	n.loggedTokens, n.buffered = make(map[uint64]bool), make(map[uint64]Entry)
	n.nextPoll = now
	n.Host.Reset(epoch)
}

// startVoting makes this process one that may vote.
func (n *Node) startVoting(now time.Duration) error {
	if n.storageError != nil {
		return n.storageError
	}
	if n.raftStorage == nil {
		n.raftStorage = raft.NewMemoryStorage()
	}
	var err error
	n.raft, err = raft.NewRawNode(&raft.Config{
		// A leader whose seat the log has taken stands down: it could add nothing any more, and as long as it is heard nobody stands for election (policyplans, seed 60).
		// Elections are this package's own, by a random source that is passed in: raft's comes from the system.
		ID: n.id, ElectionTick: 1 << 30, HeartbeatTick: heartbeatTicks, Storage: n.raftStorage, MaxSizePerMsg: 0, MaxCommittedSizePerReady: math.MaxUint64, MaxInflightMsgs: 8, PreVote: true, StepDownOnRemoval: true, Logger: discardLogger{},
	})
	n.resetElectionTimeout(now)
	return err
}

// resetElectionTimeout takes that the leader was heard of.
func (n *Node) resetElectionTimeout(now time.Duration) {
	n.electionDeadline = now + electionHeartbeats*n.heartbeat + time.Duration(n.Rand.Int64N(int64(electionJitter*n.heartbeat)))
}

// Propose wants an entry in the log. That it is there shows when it is applied; where the leader is lost on the way it is proposed again, so it may stand there twice: what it
// says has to bear that.
func (n *Node) Propose(now time.Duration, data []byte) error {
	n.now = now
	switch {
	case n.epoch == 0:
		return ErrNoLog
	case len(n.log) >= MaxEntries:
		return ErrLogFull
	case len(n.pending) >= maxPendingProposals:
		return ErrTooManyProposals
	case len(data) == 0 || len(data) > MaxEntryBytes:
		return fmt.Errorf("agree: an entry of %d bytes, 1 to %d are possible", len(data), MaxEntryBytes)
	}
	n.lastToken++
	w := &pendingProposal{token: n.lastToken, data: slices.Clone(data), retryAt: now + proposalRetryDelay}
	n.pending = append(n.pending, w)
	n.propose(w)
	n.processReady(now)
	return nil
}

// propose hands a proposal to raft, or to a voter.
func (n *Node) propose(w *pendingProposal) {
	if n.raft != nil && n.raft.BasicStatus().Lead != raft.None {
		_ = n.raft.Propose(encodeEntry(w.token, w.data)) // dropped where there is no leader just now: it is proposed again
		return
	}
	if all := n.Voters(); len(all) > 0 {
		n.send(all[n.Rand.IntN(len(all))].Number, &Message{Proposal: w.data, ProposalToken: w.token})
	}
}

func (n *Node) send(to int, m *Message) {
	if to == n.Self.Number {
		return
	}
	lead, term := n.leader()
	m.Epoch, m.LastIndex, m.LeaderNumber, m.LeaderTerm = n.epoch, n.LastIndex(), lead+1, term
	if n.lastLeaderAck > 0 {
		m.LeaderAge = max(1, n.now-n.lastLeaderAck)
	}
	n.Host.Send(to, m)
}

// Tick is due every Period.
func (n *Node) Tick(now time.Duration) {
	n.now = now
	if n.epoch == 0 {
		return
	}
	if n.raft != nil {
		// A leader's questions are heartbeats too: as long as they are answered it sends no others. Both were half of what a leader of 300 may send.
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
	for _, w := range n.pending {
		// Not while this one is behind: it may stand in what is not here yet. Proposed again each second by one that was behind, entries came faster than it could
		// follow, and the log grew for ever (agreenet, seed 8599).
		if now >= w.retryAt && n.highestIndex <= n.LastIndex() {
			w.attempts = min(w.attempts+1, maxRetryDoublings)
			w.retryAt = now + proposalRetryDelay<<w.attempts
			n.propose(w)
		}
	}
	if now >= n.nextPoll { // of anyone: all that it can have is agreed on
		n.nextPoll = now + n.heartbeat
		n.send(n.Rand.IntN(n.Size), &Message{WantEntries: true})
	}
	n.processReady(now)
}

// CatchUp takes that another has the log up to an index: what is missing here is asked of it at once.
func (n *Node) CatchUp(now time.Duration, of int, index uint64) {
	if n.now = now; index > n.LastIndex() {
		n.highestIndex = max(n.highestIndex, index)
		n.send(of, &Message{WantEntries: true})
	}
}

// UpdateVoters has the leader replace voters that are gone for good and fill up their number. out says that a seat's process can't take part any more; there are the seats that can,
// the one it likes best first. Others do nothing.
func (n *Node) UpdateVoters(now time.Duration, out func(Voter) bool, there []Voter) {
	if !n.IsLeader() || now < n.nextVoterChange {
		return
	}
	change := &raftpb.ConfChangeV2{}
	var added []Voter
	left := 0
	for _, s := range n.Voters() {
		if out(s) && s != n.Self {
			change.Changes = append(change.Changes, newVoterChange(raftpb.ConfChangeType_ConfChangeRemoveNode, s))
		} else {
			left++
		}
	}
	for _, s := range there {
		if left+len(added) >= n.VoterCount || len(added) >= maxVotersAdded {
			break
		}
		if _, seated := n.voters[s.ID()]; !seated && !slices.ContainsFunc(n.Voters(), func(o Voter) bool { return o.Number == s.Number && !out(o) }) {
			change.Changes = append(change.Changes, newVoterChange(raftpb.ConfChangeType_ConfChangeAddNode, s))
			added = append(added, s)
		}
	}
	if len(change.Changes) == 0 {
		return
	}
	// Removed alone only where nobody can take the place and a majority of those left votes anyway.
	change.Context = encodeVoters(added...)
	// One at a time. raft refuses a second one by putting an entry that says nothing into the log: asked with each event, one change that could not go through had the log
	// grow by a thousand entries a second (accordnet, seed 3).
	n.nextVoterChange = now + voterChangeInterval
	_ = n.raft.ProposeConfChange(change)
	n.processReady(now)
}

// voterChangeInterval is how often the voters may be changed.
const voterChangeInterval = time.Second

// maxVotersAdded is how many voters are added at a time.
const maxVotersAdded = 2

func newVoterChange(kind raftpb.ConfChangeType, s Voter) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: proto.Uint64(s.ID())}
}

// Receive takes a message of a sidecar.
func (n *Node) Receive(now time.Duration, from int, m *Message) {
	switch {
	case from < 0 || from >= n.Size || from == n.Self.Number || m.Epoch == 0:
		return
	case m.Epoch < n.epoch:
		n.send(from, &Message{}) // it shall hear that there is a newer one
		return
	case m.Epoch > n.epoch:
		n.startEpoch(now, m.Epoch)
	}
	n.now = now
	if m.LeaderAge > 0 { // how long ago, not whether: else sidecars would go on telling each other so
		n.lastLeaderAck = max(n.lastLeaderAck, now-m.LeaderAge)
	}
	// The later one's: without its term whom sidecars took for the leader went from one to the other for ever, and reports to one that was none (100 processes).
	if m.LeaderNumber > 0 && m.LeaderNumber <= n.Size && m.LeaderTerm > n.reportedTerm {
		n.reportedLeader, n.reportedTerm = m.LeaderNumber, m.LeaderTerm
	}
	if m.Raft != nil {
		n.stepRaft(now, from, m.Raft)
	}
	had := n.LastIndex()
	n.appendEntries(m.Entries)
	if m.Gossip && n.LastIndex() > had {
		n.gossipEntries(had)
	}
	if n.highestIndex = max(n.highestIndex, m.LastIndex); n.highestIndex > n.LastIndex() {
		n.nextPoll = min(n.nextPoll, now+n.heartbeat/4)
		if n.LastIndex() > had { // it comes on
			n.nextPoll = now
		}
	}
	if m.WantEntries {
		n.sendEntries(from, m.LastIndex)
	}
	if len(m.Proposal) > 0 && len(m.Proposal) <= MaxEntryBytes && n.raft != nil && len(n.log) < MaxEntries && !n.loggedTokens[m.ProposalToken] {
		_ = n.raft.Propose(encodeEntry(m.ProposalToken, m.Proposal))
	}
	n.processReady(now)
}

// stepRaft hands raft what a voter says.
func (n *Node) stepRaft(now time.Duration, from int, m *raftpb.Message) {
	if m.GetTo() != n.id {
		return // for the process before this one
	}
	n.senders[m.GetFrom()] = from
	if n.raft == nil {
		if n.startVoting(now) != nil {
			return
		}
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgApp:
		if m.GetTerm() >= n.raft.BasicStatus().GetTerm() {
			// Not a sign that the log answers: a leader of a lost majority goes on sending these, and a new beginning was refused for as long as one follower heard it
			// (accord, seed 15). How long ago a majority confirmed it its messages say themselves.
			n.resetElectionTimeout(now)
		}
	case raftpb.MessageType_MsgProp: // of another voter: what stands here already is not added again
		m.Entries = slices.DeleteFunc(m.Entries, func(e *raftpb.Entry) bool {
			token, _, ok := decodeEntry(e.GetData())
			return ok && e.GetType() == raftpb.EntryType_EntryNormal && n.loggedTokens[token]
		})
		if len(m.Entries) == 0 {
			return
		}
	}
	_ = n.raft.Step(m) // what it does not take, it drops
}

// processReady carries out what raft has decided.
func (n *Node) processReady(now time.Duration) {
	for n.raft != nil && n.raft.HasReady() {
		r := n.raft.Ready()
		if n.Storage != nil && (len(r.Entries) > 0 || r.HardState != nil && !raft.IsEmptyHardState(r.HardState)) {
			if err := n.Storage.Save(r.HardState, r.Entries); err != nil {
				n.disableVoting(err)
				return
			}
		}
		_ = n.raftStorage.Append(r.Entries)
		if r.HardState != nil && !raft.IsEmptyHardState(r.HardState) {
			_ = n.raftStorage.SetHardState(r.HardState)
		}
		for _, m := range r.Messages {
			if to, known := n.voterNumber(m.GetTo()); known {
				n.send(to, &Message{Raft: m})
			}
		}
		had := n.LastIndex()
		for _, e := range r.CommittedEntries {
			n.commitEntry(e)
		}
		if n.LastIndex() > had {
			n.gossipEntries(had)
		}
		for _, s := range r.ReadStates {
			n.recordQuorumAck(s)
		}
		n.raft.Advance(r)
	}
}

// voterNumber is the number of a voter.
func (n *Node) voterNumber(id uint64) (int, bool) {
	if s, seated := n.voters[id]; seated {
		return s.Number, true
	}
	i, heard := n.senders[id]
	return i, heard
}
