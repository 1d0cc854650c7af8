package replication

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
)

// The times and bounds of the protocol.
const (
	// BeatEvery is how often a sequencer is heard at least. Four beats fit
	// into the shortest election time, so that lost ones cause no election.
	BeatEvery = 120 * time.Millisecond
	// ElectionMin and ElectionMax bound the random silence after which a
	// member asks for a ballot: above four beats, and low enough that a dead
	// sequencer is replaced within about a second. The spread keeps members from asking all at once.
	ElectionMin = 500 * time.Millisecond
	ElectionMax = 900 * time.Millisecond
	// retryMin and retryMax bound the random wait after a ballot that came to
	// nothing. A pre-ballot disturbs nobody, so it may come again soon; the
	// spread is wider than a round trip, so that split votes don't repeat.
	retryMin = 150 * time.Millisecond
	retryMax = 450 * time.Millisecond
	// ContactOut is how long a sequencer stays one without hearing from a
	// majority. It ends its waiting callers' uncertainty soon after others may have chosen anew.
	ContactOut = 700 * time.Millisecond
	// resendAfter and resendPerMiB are how long entries or a snapshot may be
	// on their way before they are sent again: a round trip and a sync on a
	// slow machine, and more for large ones so that they aren't sent twice over a narrow link.
	resendAfter  = 500 * time.Millisecond
	resendPerMiB = time.Second
	// recoverEvery is how often a member that has forgotten asks again.
	recoverEvery = 250 * time.Millisecond
	// retryDisk is how often a refused write is tried again.
	retryDisk = 300 * time.Millisecond

	// MaxCommand is the largest command, which bounds what one message can cost in memory.
	MaxCommand = 8 << 20
	// maxMessage bounds the entries of a message (one entry may be larger), so
	// that a member far behind doesn't cost its sequencer the memory of the whole log.
	maxMessage = 1 << 20
	// maxPending and maxPendingBytes bound what waits for a quorum, so that
	// proposals can't pile up in memory while there is none.
	maxPending      = 256
	maxPendingBytes = 32 << 20
	// maxReads bounds the reads that wait for their round.
	maxReads = 4096
	// trimEntries and trimBytes are how much log is kept before a snapshot
	// takes its place; they bound memory, disk and the time to start.
	trimEntries = 8
	trimBytes   = 1 << 20
)

// forever is later than any time.
const forever = time.Duration(math.MaxInt64)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	sequencer
)

// peer is what a sequencer knows of another member.
type peer struct {
	epoch uint64
	// forgotten members get the log but count in no majority.
	forgotten bool
	// match is the last entry known to be synced there; next is the first to send.
	match, next uint64
	// resend is when what is on its way is sent again; 0 when nothing is.
	resend time.Duration
	// heard is the time at which the newest answered message was sent.
	heard time.Duration
	// sent is when anything was sent last.
	sent             time.Duration
	round, roundSent uint64
	commitSent       uint64
}

type proposal struct {
	token, index uint64
	bytes        int
}

type read struct {
	token, round uint64
	// index is what must be applied first; 0 until the round is confirmed.
	index uint64
}

// Config is what a member starts from.
type Config struct {
	// ID is the member's own name, one of State.Members.
	ID string
	// State is what its disk holds.
	State State
	// Seed makes the election times differ between members.
	Seed uint64
	// Nonce names this life; no other life of the member may have the same.
	Nonce uint64
}

// Member is one member of the archive, as a state machine. It isn't safe for
// concurrent use. Between Ready and the Advance or Failed that follows it, no
// other method may be called.
type Member struct {
	id      string
	others  []string
	quorum  int
	random  *rand.Rand
	role    role
	seq     string
	heard   time.Duration
	elected time.Duration
	// deadline is when the next pre-ballot begins, unless a sequencer is heard.
	deadline time.Duration
	votes    map[string]uint64
	peers    map[string]*peer

	hard HardState
	log  entryLog
	// stable is the last entry that is synced here.
	stable          uint64
	commit, applied uint64
	// verified is how far the log is known to equal that of the sequencer of this view.
	verified uint64

	hardDirty, snapshotDirty bool
	truncateFrom             uint64
	restore                  *Snapshot

	out          []Envelope
	proposals    []proposal
	pendingBytes int
	reads        []read
	// round numbers the newest read round; roundOpen says that it has gone
	// out, so that the next read needs a new one.
	round         uint64
	roundOpen     bool
	token         uint64
	aborted       []Settlement
	abortedReads  []Settlement
	sick          bool
	retryAt       time.Duration
	nonce         uint64
	tryEpoch      uint64
	answers       map[string]Message
	recoverAt     time.Duration
	lastCommitted uint64
}

// New starts a member at the time now.
func New(cfg Config, now time.Duration) (*Member, error) {
	members := cfg.State.Members
	if !slices.Contains(members, cfg.ID) {
		return nil, errs.New(errs.Invalid, "archive: %q isn't among the members %q", cfg.ID, members)
	}
	if len(members)%2 == 0 || len(slices.Compact(slices.Sorted(slices.Values(members)))) != len(members) {
		return nil, errs.New(errs.Invalid, "archive: the members %q aren't an odd number of different names", members)
	}
	m := &Member{
		id:     cfg.ID,
		quorum: len(members)/2 + 1,
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Nonce)),
		hard:   cfg.State.Hard,
		nonce:  cfg.Nonce,
	}
	for _, id := range members {
		if id != cfg.ID {
			m.others = append(m.others, id)
		}
	}
	slices.Sort(m.others)
	m.log.reset(cfg.State.Snapshot)
	for i, e := range cfg.State.Entries {
		if e.Index != cfg.State.Snapshot.Index+uint64(i)+1 {
			return nil, errs.New(errs.DiskFailed, "archive: entry %d stands where %d belongs", e.Index, cfg.State.Snapshot.Index+uint64(i)+1)
		}
	}
	m.log.append(cfg.State.Entries...)
	m.stable = m.log.last()
	m.commit = m.log.snapshot.Index
	m.applied = m.commit
	m.deadline = now + m.between(retryMin, retryMax)
	m.heard = now - time.Hour
	m.roundOpen = true
	if !m.hard.Remembers {
		m.tryEpoch = m.hard.Known[m.id].Epoch + 1
		m.answers = map[string]Message{}
		m.recoverAt = now
	}
	return m, nil
}

func (m *Member) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

// Sequencer names the sequencer this member follows ("" when it knows none) and its view.
func (m *Member) Sequencer() (id string, view uint64) { return m.seq, m.hard.View }

// IsSequencer says whether the member holds its view at the time now.
func (m *Member) IsSequencer(now time.Duration) bool {
	m.checkContact(now)
	return m.role == sequencer
}

// Remembers is false from the loss of the disk until the member has recovered.
func (m *Member) Remembers() bool { return m.hard.Remembers }

// Sick says that the disk refused the last write; the member is silent till it takes one.
func (m *Member) Sick() bool { return m.sick }

// Applied is the last entry handed out as committed, and confirmed by Advance.
func (m *Member) Applied() uint64 { return m.applied }

// Heard is when the member last heard its sequencer; a sequencer gives the
// time up to which a majority answered it.
func (m *Member) Heard() time.Duration {
	if m.role != sequencer {
		return m.heard
	}
	if m.quorum == 1 {
		return forever
	}
	heard := make([]time.Duration, 0, len(m.others))
	for _, id := range m.others {
		if p := m.peers[id]; !p.forgotten {
			heard = append(heard, p.heard)
		}
	}
	if len(heard) < m.quorum-1 {
		return m.elected
	}
	slices.Sort(heard)
	return heard[len(heard)-(m.quorum-1)]
}

// checkContact makes a sequencer that a majority hasn't answered for
// ContactOut step down. It runs before anything a sequencer does, so that one
// that was frozen acts on nothing it believed before.
func (m *Member) checkContact(now time.Duration) {
	if m.role != sequencer {
		return
	}
	if now-m.Heard() > ContactOut {
		m.follow(m.hard.View, "")
		m.deadline = now + m.between(ElectionMin, ElectionMax)
	}
}

// follow ends whatever the member was and makes it a follower in view.
func (m *Member) follow(view uint64, seq string) {
	if view > m.hard.View {
		m.hard.View, m.hard.Vote = view, ""
		m.hardDirty = true
		m.verified = 0
	}
	if m.role == sequencer {
		for _, p := range m.proposals {
			m.aborted = append(m.aborted, Settlement{Token: p.token, Index: p.index, Aborted: true})
		}
		for _, r := range m.reads {
			m.abortedReads = append(m.abortedReads, Settlement{Token: r.token, Aborted: true})
		}
		m.proposals, m.reads, m.pendingBytes = nil, nil, 0
		m.peers = nil
	}
	m.role, m.seq, m.votes = follower, seq, nil
}

// leased says that the member has heard a live sequencer within the shortest
// election time (or is one): then it refuses ballots, so that a member that
// was cut off or frozen disturbs nothing when it returns.
func (m *Member) leased(now time.Duration) bool {
	return m.role == sequencer || m.seq != "" && now-m.heard < ElectionMin
}

// Step takes in a message. Messages from strangers, from an older memory of a
// member, and ones that make no sense are dropped.
func (m *Member) Step(now time.Duration, from string, msg Message) {
	if !slices.Contains(m.others, from) {
		return
	}
	m.checkContact(now)
	if msg.Kind != KindRecover && msg.Epoch < m.hard.Known[from].Epoch {
		return
	}
	for id, memory := range msg.Epochs {
		if id != m.id && slices.Contains(m.others, id) {
			m.learn(id, memory)
		}
	}
	switch msg.Kind {
	case KindAppend, KindSnapshot:
		m.stepSequencer(now, from, &msg)
	case KindAppendAnswer:
		m.stepAppendAnswer(from, &msg)
	case KindPreBallot:
		m.stepPreBallot(now, from, &msg)
	case KindBallot:
		m.stepBallot(now, from, &msg)
	case KindPreBallotAnswer, KindBallotAnswer:
		m.stepBallotAnswer(now, from, &msg)
	case KindRecover:
		m.stepRecover(from, &msg)
	case KindRecoverAnswer:
		m.stepRecoverAnswer(from, &msg)
	}
}

// Tick does what is due at the time now.
func (m *Member) Tick(now time.Duration) {
	m.checkContact(now)
	switch {
	case m.role == sequencer || m.sick:
	case !m.hard.Remembers:
		if now >= m.recoverAt {
			m.askToRecover(now)
		}
	case now >= m.deadline:
		m.startPreBallot(now)
	}
}

// NextWake is when Tick is due next.
func (m *Member) NextWake() time.Duration {
	switch {
	case m.sick:
		return m.retryAt
	case m.role == sequencer:
		wake := forever
		for _, id := range m.others {
			p := m.peers[id]
			wake = min(wake, p.sent+BeatEvery)
			if p.resend > 0 {
				wake = min(wake, p.resend)
			}
		}
		return wake
	case !m.hard.Remembers:
		return m.recoverAt
	}
	return m.deadline
}

// send queues a message; it goes with the next Ready. A sick member says nothing.
func (m *Member) send(to string, msg Message) {
	if m.sick {
		return
	}
	msg.Epoch = m.epoch()
	msg.Epochs = m.hard.Known
	msg.Forgotten = !m.hard.Remembers
	m.out = append(m.out, Envelope{To: to, Message: msg})
}

// Ready returns what is to be done at the time now, or false when there is
// nothing. It must be followed by Advance, or by Failed if Persist couldn't be synced.
func (m *Member) Ready(now time.Duration) (Ready, bool) {
	m.checkContact(now)
	if m.role == sequencer {
		m.feed(now)
	}
	var r Ready
	durable := m.stable
	if m.dirty() && (!m.sick || now >= m.retryAt) {
		p := &Persist{TruncateFrom: m.truncateFrom, Entries: m.log.between(max(m.stable, m.log.snapshot.Index), m.log.last())}
		if m.hardDirty {
			hard := m.hard
			p.Hard = &hard
		}
		if m.snapshotDirty {
			s := m.log.snapshot
			p.Snapshot = &s
		}
		r.Persist = p
		durable = m.log.last()
	}
	r.Messages, m.out = m.out, nil
	if !m.snapshotDirty || r.Persist != nil {
		r.Restore = m.restore
		m.lastCommitted = max(m.applied, min(m.commit, durable))
		from := m.applied
		if r.Restore != nil {
			from = r.Restore.Index
		}
		r.Committed = m.log.between(from, m.lastCommitted)
	} else {
		m.lastCommitted = m.applied
	}
	r.Proposals, m.aborted = m.aborted, nil
	r.Reads, m.abortedReads = m.abortedReads, nil
	m.settle(&r)
	some := r.Persist != nil || len(r.Messages) > 0 || r.Restore != nil || len(r.Committed) > 0 || len(r.Proposals) > 0 || len(r.Reads) > 0
	return r, some
}

// settle adds the proposals and reads that are done once this Ready is.
func (m *Member) settle(r *Ready) {
	for len(m.proposals) > 0 && m.proposals[0].index <= m.lastCommitted {
		p := m.proposals[0]
		r.Proposals = append(r.Proposals, Settlement{Token: p.token, Index: p.index})
		m.proposals = m.proposals[1:]
		m.pendingBytes -= p.bytes
	}
	for len(m.reads) > 0 && m.reads[0].index > 0 && m.reads[0].index <= m.lastCommitted {
		r.Reads = append(r.Reads, Settlement{Token: m.reads[0].token, Index: m.reads[0].index})
		m.reads = m.reads[1:]
	}
}

func (m *Member) dirty() bool {
	return m.hardDirty || m.snapshotDirty || m.truncateFrom > 0 || m.stable < m.log.last()
}

// Advance confirms that all of the last Ready has been done.
func (m *Member) Advance(now time.Duration, r *Ready) {
	if r.Persist != nil {
		m.hardDirty, m.snapshotDirty, m.truncateFrom = false, false, 0
		m.stable = m.log.last()
		m.sick = false
	}
	if r.Restore != nil {
		m.restore = nil
	}
	m.applied = m.lastCommitted
	m.checkContact(now)
	m.countBallots(now)
	m.advanceCommit()
}

// Failed says that the disk refused the last Ready's Persist. None of that
// Ready has been done: its messages are lost, which the protocol bears, and
// its callers are told that they don't know. The member is sick until a write
// is taken: it neither votes nor leads nor says anything.
func (m *Member) Failed(now time.Duration, r *Ready) {
	m.follow(m.hard.View, "")
	for _, s := range r.Proposals {
		m.aborted = append(m.aborted, Settlement{Token: s.Token, Index: s.Index, Aborted: true})
	}
	for _, s := range r.Reads {
		m.abortedReads = append(m.abortedReads, Settlement{Token: s.Token, Aborted: true})
	}
	m.out = nil
	m.sick, m.hardDirty = true, true
	m.retryAt = now + retryDisk
	m.deadline = now + m.between(ElectionMin, ElectionMax)
}

// epoch is the member's own epoch of memory: while it has forgotten, the one it tries for.
func (m *Member) epoch() uint64 {
	if m.hard.Remembers {
		return m.hard.Known[m.id].Epoch
	}
	return m.tryEpoch
}

// learn notes that a member has lost its disk and is at a newer memory. What
// the older one said is from then on neither heard nor counted.
func (m *Member) learn(id string, memory Memory) {
	if memory.Epoch <= m.hard.Known[id].Epoch {
		return
	}
	known := maps.Clone(m.hard.Known)
	if known == nil {
		known = map[string]Memory{}
	}
	known[id] = memory
	m.hard.Known = known
	m.hardDirty = true
	// Also what a shorter life said at this epoch, before it was wiped in turn, is void.
	if p := m.peers[id]; p != nil && p.epoch <= memory.Epoch {
		m.peers[id] = &peer{epoch: memory.Epoch, forgotten: true, next: m.log.last() + 1, sent: p.sent}
	}
}
