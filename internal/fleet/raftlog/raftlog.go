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

	beatTicks     = 2           // the leader is heard of with every second tick, while its questions (confirm.go) don't tell as much
	electionBeats = 3           // without a word of the leader for so many beats a voter stands for election,
	electionRange = 3           // or up to so many later, at random: seldom two at once
	confirmsMost  = 16          // such questions under way
	pushTo        = 5           // others that are told of an entry by each that hears of it the first time; the rest ask
	entriesMost   = 1           // in a message: an entry and what is round it have to fit into a datagram
	proposeAgain  = time.Second // what was proposed and has not come back is proposed again, behind twice as long each time
	proposeMost   = 4           // so many times
	aheadMost     = 64

	// DataMost bounds an entry, in bytes.
	DataMost = 96
	// LogMost bounds the log of an epoch. It holds what operators decide: a new beginning is due before that.
	LogMost = 1 << 14
	// waitingMost bounds what one sidecar has proposed and not seen in the log.
	waitingMost = 16
)

// Seat is a process that may vote.
type Seat struct {
	Number int
	Life   uint64
}

// ID is the seat's name in raft. It is never 0.
func (s Seat) ID() uint64 {
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(s.Life>>(8*i)), byte(s.Number>>(8*i))
	}
	return xxhash.Sum64(b[:]) | 1
}

// Entry is one of the log.
type Entry struct {
	Index uint64
	Data  []byte // nil: it only concerns the voters
	conf  bool
	text  []byte // of a change of voters
}

// Message is one to another sidecar.
type Message struct {
	Epoch    uint64
	Raft     *raftpb.Message // between voters
	Have     uint64          // entries that the sender has
	Age      time.Duration   // since a leader was last known to lead, as far as the sender knows; 0: never
	Lead     int             // number of the leader, and one, as far as the sender knows; 0: it knows none
	LeadTerm uint64          // of that leader
	Ask      bool            // it wants what comes behind them
	News     bool            // the entries are told the first time: to be handed on
	Entries  []Entry
	Propose  []byte // for the leader, by way of a voter
	Token    uint64 // of what is proposed
}

// Host carries out what a Node decides. Its methods must not call back.
type Host interface {
	Send(to int, m *Message)
	// Applied is called for each entry with data, in order, once; Reset before those of another epoch.
	Applied(e Entry)
	Reset(epoch uint64)
}

// Disk keeps what a voter must not forget, where an operator gives it a place. It returns once that would outlive the process.
type Disk interface {
	// Begin forgets all of an earlier log.
	Begin(epoch uint64) error
	// Save keeps a vote and entries: what stood at their indices and behind them goes. Either may be missing.
	Save(vote *raftpb.HardState, entries []*raftpb.Entry) error
}

// Saved is what a Disk has kept.
type Saved struct {
	Epoch   uint64 // 0: nothing
	Vote    *raftpb.HardState
	Entries []*raftpb.Entry
}

// Config is what a Node is made of.
type Config struct {
	Size   int // configured sidecars
	Self   Seat
	Life   uint64 // of the process, where its seat is an earlier one's that kept its vote; 0: the seat's
	Voters int    // wanted; 0: VotersFor(Size)
	Rand   *rand.Rand
	Host   Host
	Disk   Disk // nil: a vote is a process's
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

// BeatFor is how often, in a fleet of some size, a leader asks the voters whether it still is one, and each asks another what it has: at a hundred that is what there is room for.
func BeatFor(size int) time.Duration {
	if size >= 100 {
		return time.Second
	}
	return 500 * time.Millisecond
}

// What a call may be refused for.
var (
	ErrNoLog  = errors.New("there is no agreed log here: it was never begun, or this process has not heard of it yet")
	ErrFull   = errors.New("the agreed log is full: a new beginning is due")
	ErrBusy   = errors.New("too many proposals of this sidecar are under way")
	ErrExists = errors.New("an agreed log exists and answers: no new beginning is needed")
)

// Node is one sidecar's part. It is not safe for concurrent use.
type Node struct {
	Config
	id      uint64
	beat    time.Duration
	epoch   uint64 // 0: none
	log     []Entry
	seats   map[uint64]Seat // voters by the log, as far as it is here
	places  map[uint64]int  // numbers by raft's names, as heard
	raft    *raft.RawNode   // nil: not a voter
	mute    error           // its disk failed: it must not vote any more
	storage *raft.MemoryStorage

	electAt     time.Duration
	askAt       time.Duration
	tendAt      time.Duration // when the voters may be changed next
	now         time.Duration // of the event under way
	alive       time.Duration // when a leader was last known to lead; 0: never
	waiting     []*waits
	tokens      map[uint64]bool          // of what is in the log
	ahead       map[uint64]Entry         // entries that came before those that they stand behind
	most        uint64                   // entries that somebody has
	lead        int                      // number of the leader, and one, as told by others
	leadTerm    uint64                   // and its term
	confirms    map[uint64]time.Duration // when a majority was asked whether this one still leads
	confirmSeq  uint64
	confirmTerm uint64        // of which all this is
	confirmAt   time.Duration // when it is asked next
	confirmed   time.Duration // the newest that a majority has confirmed
	index       uint64        // and what was agreed on then
	token       uint64
}

// waits is a proposal that has not come back.
type waits struct {
	token uint64
	data  []byte
	at    time.Duration // when it is proposed next
	tries int
}

// New makes a node that knows of no log yet.
func New(cfg Config) (*Node, error) {
	if cfg.Size < 1 || cfg.Self.Number < 0 || cfg.Self.Number >= cfg.Size || cfg.Self.Life == 0 {
		return nil, fmt.Errorf("agree: seat %+v of %d", cfg.Self, cfg.Size)
	}
	if cfg.Voters == 0 {
		cfg.Voters = VotersFor(cfg.Size)
	}
	process := cfg.Self
	if cfg.Life != 0 {
		process.Life = cfg.Life
	}
	// Two processes' tokens must differ, whatever their lives.
	return &Node{Config: cfg, id: cfg.Self.ID(), beat: BeatFor(cfg.Size), token: process.ID() &^ 0xffff}, nil
}

// Epoch is the present one; 0: none is known.
func (n *Node) Epoch() uint64 { return n.epoch }

// Have is how many entries are here.
func (n *Node) Have() uint64 { return uint64(len(n.log)) }

// Voter says whether this process votes.
func (n *Node) Voter() bool { _, seated := n.seats[n.id]; return seated && n.raft != nil }

// Leads says whether this process leads, as far as it knows.
func (n *Node) Leads() bool {
	return n.raft != nil && n.raft.BasicStatus().RaftState == raft.StateLeader
}

// Seats are the voters by the log, in order of their numbers.
func (n *Node) Seats() []Seat {
	return slices.SortedFunc(maps.Values(n.seats), func(a, b Seat) int { return a.Number - b.Number })
}

// Found begins a log under a higher epoch, with this process as its first voter; Tend has others join it. It is an operator's own act: an old log ends with it. Where one
// answers it is refused.
func (n *Node) Found(now time.Duration, epoch uint64) error {
	switch {
	case n.alive > 0 && now-n.alive < 2*(electionBeats+electionRange)*n.beat:
		return ErrExists
	case epoch <= n.epoch:
		return fmt.Errorf("agree: epoch %d is not above %d", epoch, n.epoch)
	}
	n.begin(now, epoch)
	if err := n.vote(now); err != nil {
		return err
	}
	if err := n.raft.Bootstrap([]raft.Peer{{ID: n.id, Context: contextOf(n.Self)}}); err != nil {
		return err
	}
	if n.ready(now); n.mute != nil {
		return n.mute
	}
	if err := n.raft.Campaign(); err != nil {
		return err
	}
	n.ready(now)
	return n.mute
}

// Restore has a node that has just been made go on with what its seat's process before it had kept.
func (n *Node) Restore(now time.Duration, s *Saved) error {
	if s.Epoch == 0 {
		return nil
	}
	n.start(now, s.Epoch)
	if s.Vote == nil {
		return nil
	}
	n.storage = raft.NewMemoryStorage()
	if err := errors.Join(n.storage.Append(s.Entries), n.storage.SetHardState(s.Vote)); err != nil {
		return err
	}
	if err := n.vote(now); err != nil {
		return err
	}
	n.ready(now)
	return nil
}

// Mute is why this process, which had a seat, votes no more; nil: nothing is wrong.
func (n *Node) Mute() error { return n.mute }

// fail has this process vote no more: what it could not keep it must not have said.
func (n *Node) fail(err error) { n.mute, n.raft, n.storage = err, nil, nil }

// begin starts over with the log of an epoch.
func (n *Node) begin(now time.Duration, epoch uint64) {
	n.start(now, epoch)
	if n.Disk != nil && n.mute == nil {
		if err := n.Disk.Begin(epoch); err != nil {
			n.fail(err)
		}
	}
}

func (n *Node) start(now time.Duration, epoch uint64) {
	n.epoch, n.log, n.raft, n.storage = epoch, nil, nil, nil
	n.seats, n.places = make(map[uint64]Seat), make(map[uint64]int)
	n.waiting, n.alive, n.most, n.lead, n.leadTerm = nil, 0, 0, 0, 0
	n.confirms, n.confirmed, n.index = make(map[uint64]time.Duration), 0, 0
	n.tokens, n.ahead = make(map[uint64]bool), make(map[uint64]Entry)
	n.askAt = now
	n.Host.Reset(epoch)
}

// vote makes this process one that may vote.
func (n *Node) vote(now time.Duration) error {
	if n.mute != nil {
		return n.mute
	}
	if n.storage == nil {
		n.storage = raft.NewMemoryStorage()
	}
	var err error
	n.raft, err = raft.NewRawNode(&raft.Config{
		// A leader whose seat the log has taken stands down: it could add nothing any more, and as long as it is heard nobody stands for election (policyplans, seed 60).
		// Elections are this package's own, by a random source that is passed in: raft's comes from the system.
		ID: n.id, ElectionTick: 1 << 30, HeartbeatTick: beatTicks, Storage: n.storage, MaxSizePerMsg: 0, MaxCommittedSizePerReady: math.MaxUint64, MaxInflightMsgs: 8, PreVote: true, StepDownOnRemoval: true, Logger: silent{},
	})
	n.hears(now)
	return err
}

// hears takes that the leader was heard of.
func (n *Node) hears(now time.Duration) {
	n.electAt = now + electionBeats*n.beat + time.Duration(n.Rand.Int64N(int64(electionRange*n.beat)))
}

// Propose wants an entry in the log. That it is there shows when it is applied; where the leader is lost on the way it is proposed again, so it may stand there twice: what it
// says has to bear that.
func (n *Node) Propose(now time.Duration, data []byte) error {
	n.now = now
	switch {
	case n.epoch == 0:
		return ErrNoLog
	case len(n.log) >= LogMost:
		return ErrFull
	case len(n.waiting) >= waitingMost:
		return ErrBusy
	case len(data) == 0 || len(data) > DataMost:
		return fmt.Errorf("agree: an entry of %d bytes, 1 to %d are possible", len(data), DataMost)
	}
	n.token++
	w := &waits{token: n.token, data: slices.Clone(data), at: now + proposeAgain}
	n.waiting = append(n.waiting, w)
	n.propose(w)
	n.ready(now)
	return nil
}

// propose hands a proposal to raft, or to a voter.
func (n *Node) propose(w *waits) {
	if n.raft != nil && n.raft.BasicStatus().Lead != raft.None {
		_ = n.raft.Propose(encodeEntry(w.token, w.data)) // dropped where there is no leader just now: it is proposed again
		return
	}
	if all := n.Seats(); len(all) > 0 {
		n.send(all[n.Rand.IntN(len(all))].Number, &Message{Propose: w.data, Token: w.token})
	}
}

func (n *Node) send(to int, m *Message) {
	if to == n.Self.Number {
		return
	}
	lead, term := n.leader()
	m.Epoch, m.Have, m.Lead, m.LeadTerm = n.epoch, n.Have(), lead+1, term
	if n.alive > 0 {
		m.Age = max(1, n.now-n.alive)
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
		if !n.Leads() || now-n.confirmed >= 2*n.beat {
			n.raft.Tick()
		}
		if n.Leads() {
			n.hears(now)
			n.confirm(now)
		} else if now >= n.electAt && n.Voter() {
			n.hears(now)
			_ = n.raft.Campaign()
		}
	}
	for _, w := range n.waiting {
		// Not while this one is behind: it may stand in what is not here yet. Proposed again each second by one that was behind, entries came faster than it could
		// follow, and the log grew for ever (agreenet, seed 8599).
		if now >= w.at && n.most <= n.Have() {
			w.tries = min(w.tries+1, proposeMost)
			w.at = now + proposeAgain<<w.tries
			n.propose(w)
		}
	}
	if now >= n.askAt { // of anyone: all that it can have is agreed on
		n.askAt = now + n.beat
		n.send(n.Rand.IntN(n.Size), &Message{Ask: true})
	}
	n.ready(now)
}

// Reach takes that another has the log up to an index: what is missing here is asked of it at once.
func (n *Node) Reach(now time.Duration, of int, index uint64) {
	if n.now = now; index > n.Have() {
		n.most = max(n.most, index)
		n.send(of, &Message{Ask: true})
	}
}

// Tend has the leader replace voters that are gone for good and fill up their number. out says that a seat's process can't take part any more; there are the seats that can,
// the one it likes best first. Others do nothing.
func (n *Node) Tend(now time.Duration, out func(Seat) bool, there []Seat) {
	if !n.Leads() || now < n.tendAt {
		return
	}
	change := &raftpb.ConfChangeV2{}
	var added []Seat
	left := 0
	for _, s := range n.Seats() {
		if out(s) && s != n.Self {
			change.Changes = append(change.Changes, single(raftpb.ConfChangeType_ConfChangeRemoveNode, s))
		} else {
			left++
		}
	}
	for _, s := range there {
		if left+len(added) >= n.Voters || len(added) >= joinMost {
			break
		}
		if _, seated := n.seats[s.ID()]; !seated && !slices.ContainsFunc(n.Seats(), func(o Seat) bool { return o.Number == s.Number && !out(o) }) {
			change.Changes = append(change.Changes, single(raftpb.ConfChangeType_ConfChangeAddNode, s))
			added = append(added, s)
		}
	}
	if len(change.Changes) == 0 {
		return
	}
	// Removed alone only where nobody can take the place and a majority of those left votes anyway.
	change.Context = contextOf(added...)
	// One at a time. raft refuses a second one by putting an entry that says nothing into the log: asked with each event, one change that could not go through had the log
	// grow by a thousand entries a second (accordnet, seed 3).
	n.tendAt = now + tendEvery
	_ = n.raft.ProposeConfChange(change)
	n.ready(now)
}

// tendEvery is how often the voters may be changed.
const tendEvery = time.Second

// joinMost is how many voters are added at a time.
const joinMost = 2

func single(kind raftpb.ConfChangeType, s Seat) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: proto.Uint64(s.ID())}
}

// Take takes a message of a sidecar.
func (n *Node) Take(now time.Duration, from int, m *Message) {
	switch {
	case from < 0 || from >= n.Size || from == n.Self.Number || m.Epoch == 0:
		return
	case m.Epoch < n.epoch:
		n.send(from, &Message{}) // it shall hear that there is a newer one
		return
	case m.Epoch > n.epoch:
		n.begin(now, m.Epoch)
	}
	n.now = now
	if m.Age > 0 { // how long ago, not whether: else sidecars would go on telling each other so
		n.alive = max(n.alive, now-m.Age)
	}
	// The later one's: without its term whom sidecars took for the leader went from one to the other for ever, and reports to one that was none (100 processes).
	if m.Lead > 0 && m.Lead <= n.Size && m.LeadTerm > n.leadTerm {
		n.lead, n.leadTerm = m.Lead, m.LeadTerm
	}
	if m.Raft != nil {
		n.step(now, from, m.Raft)
	}
	had := n.Have()
	n.follow(m.Entries)
	if m.News && n.Have() > had {
		n.push(had)
	}
	if n.most = max(n.most, m.Have); n.most > n.Have() {
		n.askAt = min(n.askAt, now+n.beat/4)
		if n.Have() > had { // it comes on
			n.askAt = now
		}
	}
	if m.Ask {
		n.tell(from, m.Have)
	}
	if len(m.Propose) > 0 && len(m.Propose) <= DataMost && n.raft != nil && len(n.log) < LogMost && !n.tokens[m.Token] {
		_ = n.raft.Propose(encodeEntry(m.Token, m.Propose))
	}
	n.ready(now)
}

// step hands raft what a voter says.
func (n *Node) step(now time.Duration, from int, m *raftpb.Message) {
	if m.GetTo() != n.id {
		return // for the process before this one
	}
	n.places[m.GetFrom()] = from
	if n.raft == nil {
		if n.vote(now) != nil {
			return
		}
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgApp:
		if m.GetTerm() >= n.raft.BasicStatus().GetTerm() {
			// Not a sign that the log answers: a leader of a lost majority goes on sending these, and a new beginning was refused for as long as one follower heard it
			// (accord, seed 15). How long ago a majority confirmed it its messages say themselves.
			n.hears(now)
		}
	case raftpb.MessageType_MsgProp: // of another voter: what stands here already is not added again
		m.Entries = slices.DeleteFunc(m.Entries, func(e *raftpb.Entry) bool {
			token, _, ok := decodeEntry(e.GetData())
			return ok && e.GetType() == raftpb.EntryType_EntryNormal && n.tokens[token]
		})
		if len(m.Entries) == 0 {
			return
		}
	}
	_ = n.raft.Step(m) // what it does not take, it drops
}

// ready carries out what raft has decided.
func (n *Node) ready(now time.Duration) {
	for n.raft != nil && n.raft.HasReady() {
		r := n.raft.Ready()
		if n.Disk != nil && (len(r.Entries) > 0 || r.HardState != nil && !raft.IsEmptyHardState(r.HardState)) {
			if err := n.Disk.Save(r.HardState, r.Entries); err != nil {
				n.fail(err)
				return
			}
		}
		_ = n.storage.Append(r.Entries)
		if r.HardState != nil && !raft.IsEmptyHardState(r.HardState) {
			_ = n.storage.SetHardState(r.HardState)
		}
		for _, m := range r.Messages {
			if to, known := n.place(m.GetTo()); known {
				n.send(to, &Message{Raft: m})
			}
		}
		had := n.Have()
		for _, e := range r.CommittedEntries {
			n.commit(e)
		}
		if n.Have() > had {
			n.push(had)
		}
		for _, s := range r.ReadStates {
			n.confirmedBy(s)
		}
		n.raft.Advance(r)
	}
}

// place is the number of a voter.
func (n *Node) place(id uint64) (int, bool) {
	if s, seated := n.seats[id]; seated {
		return s.Number, true
	}
	i, heard := n.places[id]
	return i, heard
}
