package swim

import (
	"fmt"
	"time"
)

// member is what this node knows of another.
type member struct {
	session      Session
	state        State
	accuser      int
	since        time.Duration // of this state
	lastReceived time.Duration // last message of its own; 0: none in this incarnation

	// send time of the last message that it acked with a lease; 0: none in this session
	lastLeaseAck time.Duration
	digest       uint32        // of its last ack
	digestAt     time.Duration // send time of the message that it answered with digest; 0: never
	claimedSize  int           // its last MemberCount
	claimedAt    time.Duration

	suspicion *suspicion
	// when a majority had shown that it counts the session as Dead or Left too; 0: not yet
	majorityAt time.Duration
}

// Node is one sidecar's view of the fleet. It is not safe for concurrent use.
type Node struct {
	Config
	session   Session
	left      bool
	startedAt time.Duration
	started   bool
	members   []member
	majority  int

	leaseEnd      time.Duration // a lower bound; see computeLeaseEnd
	inContact     bool          // at the last refreshContact
	contactSince  time.Duration // of that
	sessionStart  time.Duration // earlier stamps are of an earlier session
	sequenceStart time.Duration // when the present sequence number began
	digest        uint32
	leaseAcks     int  // members that have acked with a lease in this session
	leaseStale    bool // acks have arrived that leaseEnd does not include
	probes        []probe
	round         []int // members still to be probed in this round
	absentRound   []int // the same of absent members
	ticks         int
	seeking       bool               // probes more often, being out of contact
	health        int                // Lifeguard's local health; 0: good
	results       [resultWindow]bool // of the last probes; true: unanswered
	resultCount   int                // probes so far
	failed        int
	lastTick      time.Duration
	doubtUntil    time.Duration
	refutations   float64 // of accusations, decaying with noiseDecay
	refutationsAt time.Duration
	rumours       []*queuedRumour
	budget        budget
	nextBurst     time.Duration
	relayed       []relayedProbe
	out           Message // reused
	Stats         Stats
}

// New returns a node, or an error that names the invalid setting.
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
		Config:   cfg,
		session:  Session{Incarnation: cfg.Incarnation},
		members:  make([]member, cfg.Size),
		majority: cfg.Size/2 + 1,
	}
	n.members[cfg.Self].state = Alive
	n.budget = budget{rate: cfg.BytesPerSecond, level: 2 * cfg.BytesPerSecond}
	return n, nil
}

// Start starts the node. It must be called first.
func (n *Node) Start(now time.Duration) {
	n.started, n.leaseStale = true, true
	n.startedAt, n.contactSince, n.sessionStart = now, now, now
	n.sequenceStart, n.lastTick, n.budget.at = now, now, now
	n.members[n.Self].session, n.members[n.Self].since = n.session, now
	n.queueRumour(Rumour{Member: n.Self, Session: n.session, State: Alive, Accuser: n.Self}, n.retransmits())
	n.refreshContact(now)
}

// Tick advances time. It is due every Period; if it is late, this process was stopped, and the node
// distrusts its own view for a while.
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
	// Out of contact it probes more often, for a limited time: a long partition must not double the
	// fleet's traffic.
	if n.seeking = !n.inContact && now-n.contactSince < seekLeases*n.Lease && n.hasBudget(extraReserve); n.seeking {
		for range seekFactor - 1 {
			n.probeNext(now)
		}
	}
}

// handleStall discards what this node waited for while its process was stopped: that proves nothing
// of others.
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

// doubtsItself reports whether this node has more reason to blame itself than others: it was
// stopped, is out of contact, or most of its probes were not answered.
func (n *Node) doubtsItself(now time.Duration) bool {
	asked := min(n.resultCount, resultWindow, max(1, n.Size-1))
	return now < n.doubtUntil || !n.inContact || asked >= min(4, n.Size-1) && 2*n.failed > asked
}

// Receive handles a message. One that is not from a member, or invalid, is dropped.
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
	own := Rumour{Member: m.From, Session: m.Session, State: Alive, Accuser: m.From}
	if own.newer(from.session, from.state) {
		n.applyRumour(now, own)
	}
	for _, r := range m.Rumours {
		n.applyRumour(now, r)
	}
	if m.Session.Before(from.session) { // its own rumours told of a later session
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

// answerStale answers a member that speaks under a session that is over here: it is told so, and
// gets no lease.
func (n *Node) answerStale(now time.Duration, m *Message) {
	from := &n.members[m.From]
	if m.Kind != Ping {
		return
	}
	n.newMessage(Ack)
	n.out.Echo, n.out.EchoTag, n.out.NoLease = m.Stamp, IncarnationTag(m.Session.Incarnation), true
	n.out.Rumours = append(
		n.out.Rumours,
		Rumour{Member: m.From, Session: from.session, State: from.state, Accuser: from.accuser},
	)
	n.send(m.From)
}

// newMessage prepares a message in n.out.
func (n *Node) newMessage(kind Kind) {
	n.out = Message{From: n.Self, Session: n.session, Kind: kind, Digest: n.digest, Rumours: n.out.Rumours[:0]}
}

// Leave ends this node's session for good and tells some members of it. The node is not in contact
// from then on.
func (n *Node) Leave(now time.Duration) {
	if n.left || !n.started {
		return
	}
	n.refreshContact(now)
	n.endContact(now, "it leaves")
	n.left = true // before anyone is told, as receivers may consider the session over at once
	r := Rumour{Member: n.Self, Session: n.session, State: Left, Accuser: n.Self}
	targets := n.Rand.Perm(n.Size)
	sent := 0
	for _, i := range targets {
		if s := n.members[i].state; i == n.Self || s != Alive && s != Suspect {
			continue
		}
		n.newMessage(Gossip)
		n.out.Rumours = append(n.out.Rumours, r)
		n.send(i)
		if sent++; sent == 2*burstFanout {
			return
		}
	}
}

// Session returns this node's own session.
func (n *Node) Session() Session { return n.session }
