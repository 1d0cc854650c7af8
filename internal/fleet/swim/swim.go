// Package swim tells who of a fleet's sidecars is there, and whether this one is itself in contact. It is a state machine
// over messages and time: it has no I/O, no goroutine, no clock and no random source but the one passed in, so one seed
// plays one history.
//
// It is SWIM (probes, indirect probes, suspicion, refutation, rumours on the back of probes) with Lifeguard's doubt of
// oneself, and a lease on top. The promise that all else may stand on:
//
//   - InContact(now) holds only while answers of a majority of the configured sidecars, to messages of this very session
//     that were sent less than a lease ago, are here. A session that has lapsed once is over for good; the next has a
//     higher number.
//   - If Out(now, B) names a session of B, then B is not in contact under that session, nor will it ever be again.
//
// Why the second follows is in docs/design/peers.md; each line that it rests on says so. All times are of one clock that
// counts while the process stands still.
package swim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// State is what is held of a member, in the order in which one is stronger than another of the same session.
type State uint8

// The states.
const (
	Unknown State = iota // not heard of yet
	Alive
	Suspect // does not answer; it may yet refute that
	Dead    // counted as crashed or cut off
	Left    // said itself that it leaves
)

func (s State) String() string {
	if s > Left {
		return "invalid"
	}
	return [...]string{"unknown", "alive", "suspect", "gone", "left"}[s]
}

// Session is one stretch of a member's being there. It only grows: Life is new with each start of its process, Turn with
// each accusation that it refutes and each lapse of its lease.
type Session struct {
	Incarnation uint64
	Sequence    uint32
}

// String is the session as people see it, in logs and views alike.
func (s Session) String() string { return fmt.Sprintf("%x.%d", s.Incarnation, s.Sequence) }

// Before says whether s is older than t.
func (s Session) Before(t Session) bool {
	return s.Incarnation < t.Incarnation || s.Incarnation == t.Incarnation && s.Sequence < t.Sequence
}

// Rumour is what one member says of another.
type Rumour struct {
	Member  int
	Session Session
	State   State
	Accuser int // who accuses, of a Suspect or Gone
}

// newer says whether a rumour overrides what is held.
func (r *Rumour) newer(s Session, state State) bool {
	return s.Before(r.Session) || s == r.Session && r.State > state
}

// Kind is what a message is.
type Kind uint8

// The kinds. A Ping is owed an Answer, and an Answer that carries a stamp Thanks: so that one exchange tells both sides
// that the other hears them.
const (
	Ping Kind = iota + 1
	Ack
	AckReply
	IndirectPing // to probe About for the sender
	IndirectAck  // About answered one who was asked
	IndirectNack // About has not answered one who was asked: the asked one itself is there
	Gossip       // rumours alone
	kinds
)

// Message is one from a member to another.
type Message struct {
	From        int
	Session     Session // the sender's
	Kind        Kind
	Stamp       uint64 // when it was sent, by the sender's clock; it comes back as Echo. 0: none
	Echo        uint64 // the receiver's stamp that this answers; 0: none
	EchoTag     uint32 // tag of the life that stamp is of
	NoLease     bool   // the answer gives no lease
	Target      int    // Ask, Told, NotYet
	Cookie      uint64 // Ask: comes back with Told and NotYet
	Digest      uint32 // of the sessions that the sender counts as Gone or Left
	MemberCount int    // sidecars that the sender has seen; 0: not said
	Rumours     []Rumour
}

// Host carries out what a Node decides. Its methods must not call back into the Node, nor keep m.
type Host interface {
	Send(to int, m *Message)
	Changed(c Change)
}

// Change is a member's new state, or (Member is the node's own number) this one's contact.
type Change struct {
	At      time.Duration
	Member  int
	Session Session
	State   State
	Was     State
	Accuser int  // who accuses; -1: nobody else
	Contact bool // of this node itself: in contact from now on, or not
	Why     string
}

// Config is what a Node is made of.
type Config struct {
	Size           int // configured sidecars, this one included: numbers 0 to Size-1
	Self           int
	Incarnation    uint64        // above that of each earlier process of this number
	Lease          time.Duration // 0: LeaseFor(Size)
	MaxClockError  float64       // greatest error of a clock's rate, on either side; 0: DefaultRate
	BytesPerSecond float64       // a second that may be sent, about; 0: DefaultBytes
	Rand           *rand.Rand
	Host           Host
}

const (
	// MaxMembers is how many sidecars a fleet may have: a bound on memory, some 200 bytes a member.
	MaxMembers = 1 << 14

	// Period is how often a member is probed, and how often Tick is due. Eight a second, three small messages each, stay
	// under 1 KiB/s.
	Period = 125 * time.Millisecond

	// DefaultClockError is the greatest error of a clock's rate. Quartz is off by 0.0001 at the worst; a clock that is being
	// slewed by 0.0005 more.
	DefaultClockError = 0.001

	minLease       = 3 * time.Second
	leasePerMember = 50 * time.Millisecond // 16 answers a second refresh a majority of 300 in 9.4 s; the lease is half as long again

	directTimeout       = 100 * time.Millisecond // for an answer, before it is asked again
	indirectTimeout     = 300 * time.Millisecond // before others are asked to try: each costs as much as five probes
	probeTimeout        = 700 * time.Millisecond // for an answer by any way
	indirectProbes      = 3                      // how many are asked to try
	seekFactor          = 2                      // so many times as many probes while not in contact,
	seekLeases          = 3                      // for so many leases
	absentProbeInterval = 8                      // one probe in so many goes to one that is gone or was never heard of

	noiseDecay = 10 * time.Second
	noiseStep  = 4.0
	maxNoise   = 3.0

	maxHealth      = 8 // Lifeguard: times are up to so many times longer, and one more, while this one doubts itself
	resultWindow   = 16
	stallThreshold = 4 * Period      // no Tick for so long: this process was stopped or starved
	selfDoubtTime  = 2 * time.Second // and accuses nobody for so long behind it

	minSuspicion     = 1200 * time.Millisecond // a suspicion that others confirm lasts so long
	maxSuspicion     = 3500 * time.Millisecond // and one that nobody does
	maxConfirmations = 3

	maxRumoursPerMessage = 5   // in one message
	retransmitMultiplier = 1.5 // a rumour is passed on so many times the logarithm of the fleet's size
	burstFanout          = 3   // members that hear of a member's end at once
	burstInterval        = Period
	countInterval        = 16 // a probe in so many says how many sidecars its sender has seen

	maxQueuedRumours = 64 // rumours that wait to be passed on
	digestFreshness  = 2  // a sight of another's digest counts for so many parts of a lease; see settle
)

// LeaseFor is the lease of a fleet of so many: what it takes to hear a majority of them, and half as long again.
func LeaseFor(size int) time.Duration {
	return max(minLease, time.Duration(size)*leasePerMember)
}

// member is what is held of one.
type member struct {
	session      Session
	state        State
	accuser      int
	since        time.Duration // of this state
	lastReceived time.Duration // last message of its own; 0: none in this process's life

	lastLeaseAck time.Duration // when a message of ours was sent that it has answered with a lease; 0: none in this session
	digest       uint32        // that it last showed
	digestAt     time.Duration // behind this moment, when a message was sent that it answered; 0: never
	claimedSize  int           // that it last said
	claimedAt    time.Duration

	suspicion  *suspicion
	majorityAt time.Duration // Gone or Left: a majority has shown that it holds the same; 0: not yet
}

// Node is one sidecar's view. It is not safe for concurrent use.
type Node struct {
	Config
	session   Session
	left      bool
	startedAt time.Duration
	started   bool
	members   []member
	majority  int

	leaseEnd      time.Duration // a lower bound of it; see held
	inContact     bool          // was in contact at the last look
	contactSince  time.Duration // of that
	sessionStart  time.Duration // stamps before it are of an earlier session
	sequenceStart time.Duration // of its present number
	digest        uint32
	leaseAcks     int  // members with a lease-giving answer in this session
	leaseStale    bool // there are answers that leaseEnd does not reckon with
	probes        []probe
	round         []int // members still to be probed in this round
	absentRound   []int
	ticks         int
	seeking       bool
	health        int
	results       [resultWindow]bool // of the last probes: true: unanswered
	resultCount   int                // how many there were
	failed        int
	lastTick      time.Duration
	doubtUntil    time.Duration
	refutations   float64 // accusations of others that were refuted in the last noiseTime or so
	refutationsAt time.Duration
	rumours       []*queuedRumour
	budget        budget
	nextBurst     time.Duration
	relayed       []relayedProbe
	out           Message // reused
	Stats         Stats
}

// Stats counts what happened since the start.
type Stats struct {
	Probes, Unanswered, Suspicions, Refuted, Accused, Lapses, Stalls uint64
}

// New makes a node, or returns an error that names the unusable field.
func New(cfg Config) (*Node, error) {
	switch {
	case cfg.Size < 1 || cfg.Size > MaxMembers:
		return nil, fmt.Errorf("peers: %d sidecars, 1 to %d are possible", cfg.Size, MaxMembers)
	case cfg.Self < 0 || cfg.Self >= cfg.Size:
		return nil, fmt.Errorf("peers: number %d is not among %d", cfg.Self, cfg.Size)
	case cfg.Lease < 0 || cfg.Lease > 0 && cfg.Lease < time.Second:
		return nil, fmt.Errorf("lease: %v, at least 1s is needed", cfg.Lease)
	case cfg.MaxClockError < 0 || cfg.MaxClockError > 0.1:
		return nil, fmt.Errorf("clock_error: %v is not within 0 and 0.1", cfg.MaxClockError)
	}
	if cfg.Lease == 0 {
		cfg.Lease = LeaseFor(cfg.Size)
	}
	if cfg.MaxClockError == 0 {
		cfg.MaxClockError = DefaultClockError
	}
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	n := &Node{
		Config: cfg, session: Session{Incarnation: cfg.Incarnation}, members: make([]member, cfg.Size), majority: cfg.Size/2 + 1,
	}
	n.members[cfg.Self].state = Alive
	n.budget = budget{rate: cfg.BytesPerSecond, level: 2 * cfg.BytesPerSecond}
	return n, nil
}

// Start begins the node's life. It must be called first.
func (n *Node) Start(now time.Duration) {
	n.started, n.leaseStale = true, true
	n.startedAt, n.contactSince, n.sessionStart, n.sequenceStart, n.lastTick, n.budget.at = now, now, now, now, now, now
	n.members[n.Self].session, n.members[n.Self].since = n.session, now
	n.queueRumour(Rumour{Member: n.Self, Session: n.session, State: Alive, Accuser: n.Self}, n.retransmits())
	n.refreshContact(now)
}

// Tick is due every Period. It may come late: then this process was stopped, and doubts itself.
func (n *Node) Tick(now time.Duration) {
	if n.left {
		return
	}
	n.refreshContact(now)
	n.budget.fill(now)
	if gap := now - n.lastTick; gap >= stallThreshold {
		n.handleStall(now, gap)
	} else if gap > 2*Period {
		n.health = min(maxHealth, n.health+1)
	}
	n.lastTick = now
	n.ticks++
	n.checkProbes(now)
	n.expireSuspicions(now)
	n.confirmDeaths(now)
	n.probeNext(now)
	// While it is out of contact, it looks for it in twice as many places, for a time: a fleet that is cut in two for long
	// must not double what it costs.
	if n.seeking = !n.inContact && now-n.contactSince < seekLeases*n.Lease && n.hasBudget(extraReserve); n.seeking {
		for range seekFactor - 1 {
			n.probeNext(now)
		}
	}
}

// handleStall takes that this process stood still: what it waited for meanwhile proves nothing of others.
func (n *Node) handleStall(now, gap time.Duration) {
	n.Stats.Stalls++
	n.health = maxHealth
	n.doubtUntil = now + selfDoubtTime
	n.probes, n.relayed = n.probes[:0], n.relayed[:0]
	n.failed, n.resultCount = 0, 0
	for i := range n.members {
		if s := n.members[i].suspicion; s != nil {
			s.start = max(s.start+gap, now-s.timeout()+minSuspicion)
		}
	}
}

// doubtsItself says whether this node has more reason to blame itself than others: it was stopped, is out of contact, or most
// of those whom it asked did not answer.
func (n *Node) doubtsItself(now time.Duration) bool {
	asked := min(n.resultCount, resultWindow, max(1, n.Size-1))
	return now < n.doubtUntil || !n.inContact || asked >= min(4, n.Size-1) && 2*n.failed > asked
}

// Receive takes a message that has come. What is not of a member or makes no sense is passed over.
func (n *Node) Receive(now time.Duration, m *Message) {
	if n.left || m.From < 0 || m.From >= n.Size || m.From == n.Self || m.Kind == 0 || m.Kind >= kinds {
		return
	}
	n.refreshContact(now)
	n.budget.fill(now)
	from := &n.members[m.From]
	if m.Session.Before(from.session) {
		n.answerStale(now, m)
		return
	}
	if own := (Rumour{Member: m.From, Session: m.Session, State: Alive, Accuser: m.From}); own.newer(from.session, from.state) {
		n.applyRumour(now, own)
	}
	for _, r := range m.Rumours {
		n.applyRumour(now, r)
	}
	if m.Session.Before(from.session) { // its own message told of a later session: not one that counts
		return
	}
	from.lastReceived = now
	if m.MemberCount > 0 {
		from.claimedSize, from.claimedAt = min(m.MemberCount, MaxMembers), now
	}
	switch m.Kind {
	case Ping:
		n.handlePing(now, m)
	case Ack, AckReply:
		n.handleAck(now, m)
	case IndirectPing:
		n.handleIndirectPing(now, m)
	case IndirectAck, IndirectNack:
		n.handleIndirectAck(now, m)
	}
}

// answerStale answers one that speaks under a session that is over here: it is told so, and gets no lease.
func (n *Node) answerStale(now time.Duration, m *Message) {
	from := &n.members[m.From]
	if m.Kind != Ping {
		return
	}
	n.newMessage(Ack)
	n.out.Echo, n.out.EchoTag, n.out.NoLease = m.Stamp, IncarnationTag(m.Session.Incarnation), true
	n.out.Rumours = append(n.out.Rumours, Rumour{Member: m.From, Session: from.session, State: from.state, Accuser: from.accuser})
	n.send(m.From)
}

// newMessage prepares a message of this node's in n.out.
func (n *Node) newMessage(kind Kind) {
	n.out = Message{From: n.Self, Session: n.session, Kind: kind, Digest: n.digest, Rumours: n.out.Rumours[:0]}
}

// toStamp is a moment as others return it; it is never 0, and never later than the moment itself.
func toStamp(now time.Duration) uint64 { return uint64(now/time.Millisecond) + 1 }

// fromStamp is the moment of a stamp, or of a little before it.
func fromStamp(stamp uint64) time.Duration {
	return time.Duration(min(stamp-1, uint64(1<<62/time.Millisecond))) * time.Millisecond
}

// IncarnationTag is a short form of a life, to tell a process's stamps from those of the one before it.
func IncarnationTag(life uint64) uint32 {
	life *= 0x9e3779b97f4a7c15 // Fibonacci hashing: the high half depends on all bits
	return uint32(life>>32) | 1
}

// Leave ends this node's part: from now on it is not in contact, and says so to some members.
func (n *Node) Leave(now time.Duration) {
	if n.left || !n.started {
		return
	}
	n.refreshContact(now)
	n.endContact(now, "it leaves")
	n.left = true // before anyone is told: who hears of it may count this one out at once
	r := Rumour{Member: n.Self, Session: n.session, State: Left, Accuser: n.Self}
	targets := n.Rand.Perm(n.Size)
	told := 0
	for _, i := range targets {
		if s := n.members[i].state; i == n.Self || s != Alive && s != Suspect {
			continue
		}
		n.newMessage(Gossip)
		n.out.Rumours = append(n.out.Rumours, r)
		n.send(i)
		if told++; told == 2*burstFanout {
			return
		}
	}
}

// Session is this node's own.
func (n *Node) Session() Session { return n.session }

// Member is what is known of one, for people.
type Member struct {
	Number       int
	Session      Session
	State        State
	Accuser      int
	Since        time.Duration // of the state
	LastReceived time.Duration // last message; 0: none
	LastLeaseAck time.Duration // send time of the last message that it answered with a lease; 0: none
	SessionOver  bool          // its session is over for good
}

// Members is the view now, by number.
func (n *Node) Members(now time.Duration) []Member {
	n.refreshContact(now)
	all := make([]Member, n.Size)
	for i := range n.members {
		m := &n.members[i]
		_, out := n.SessionOver(now, i)
		all[i] = Member{i, m.session, m.state, m.accuser, m.since, m.lastReceived, m.lastLeaseAck, out}
	}
	return all
}

// State is what is held of one member.
func (n *Node) State(i int) (State, Session) { return n.members[i].state, n.members[i].session }

// FleetSize is how many sidecars there are at least: the most that were seen at once, less those that left on purpose since.
// One that crashed or can't be reached counts on, for it may serve where nobody sees it: a cut must raise no budget.
func (n *Node) FleetSize(now time.Duration) int {
	present := 0
	for i := range n.members {
		if s := n.members[i].state; s != Unknown && s != Left {
			present++
		}
	}
	return max(present, min(n.claimedFleetSize(now), maxClaimFactor*n.Size))
}

const (
	minClaimers    = 3 // so many have to say at least as much
	maxClaimFactor = 4 // and no more is believed than so many times what is configured
	claimLifetime  = time.Minute
)

// claimedFleetSize is how many sidecars at least claimers others say to have seen: one or two that lie change nothing.
func (n *Node) claimedFleetSize(now time.Duration) int {
	var top [minClaimers]int // ascending
	for i := range n.members {
		if m := &n.members[i]; m.claimedSize > top[0] && now-m.claimedAt < claimLifetime && (m.state == Alive || m.state == Suspect) {
			top[0] = m.claimedSize
			slices.Sort(top[:])
		}
	}
	return top[0]
}
