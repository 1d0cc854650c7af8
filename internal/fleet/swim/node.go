package swim

import (
	"fmt"
	"time"
)

// member is what this node knows of a member.
type member struct {
	session      Session
	state        State
	accuser      int           // number of the member that declared this member Suspect or Dead
	since        time.Duration // start of the state
	lastReceived time.Duration // when the last message from the member was received; 0: none in this incarnation

	// send time of the last message that the member acked with a lease; 0: none in this node's
	// session
	lastLeaseAck time.Duration
	digest       uint32        // digest in the last ack from the member
	digestAt     time.Duration // send time of the message that this ack answers; 0: no ack yet
	claimedSize  int           // MemberCount of the last message that had one
	claimedAt    time.Duration // when this message was received

	suspicion *suspicion // nil: the member is not Suspect
	// when a majority of the members had shown that it also counts the session as Dead; 0: not yet
	confirmedAt time.Duration
}

// Node is the view that one sidecar has of the fleet. It is not safe for concurrent use.
type Node struct {
	Config
	session   Session // this node's own session
	left      bool
	startedAt time.Duration
	started   bool
	members   []member
	majority  int // number of members that form a majority, this node included

	leaseEnd        time.Duration // lower bound of the end of the lease; see computeLeaseEnd
	inContact       bool          // as of the last refreshContact
	contactSince    time.Duration // when inContact changed last
	sessionStart    time.Duration // earlier stamps belong to an earlier session
	sequenceStart   time.Duration // when the current sequence number began
	digest          uint32        // of the sessions that this node counts as Dead or Left
	leaseAcks       int           // number of members that have acked with a lease in this session
	leaseStale      bool          // acks have been received since leaseEnd was computed
	probes          []probe       // probes in flight
	presentTargets  []int         // members present that are still to be probed in this round
	absentTargets   []int         // absent members that are still to be probed in their round
	ticks           int
	fastProbing     bool               // probes more often while out of contact
	localHealth     int                // Lifeguard's local health multiplier; 0: healthy
	results         [resultWindow]bool // results of the last probes, a ring; true: unanswered
	resultCount     int                // number of results recorded since the start or the last stall
	failed          int                // number of unanswered probes in results
	lastTick        time.Duration
	unreliableUntil time.Duration   // end of the recovery time after a stall
	refutations     float64         // recent suspicions that were refuted, decaying with refutationDecay
	refutationsAt   time.Duration   // when refutations was last decayed
	rumours         []*queuedRumour // queue of rumours to be gossiped
	budget          budget
	nextDeathGossip time.Duration  // earliest time of the next immediate gossip of a death
	relayedProbes   []relayedProbe // probes in flight on behalf of other members
	outgoing        Message        // the message being prepared; reused
	Stats           Stats
}

// New returns a node with the given configuration, or an error that names the invalid setting.
func New(config Config) (*Node, error) {
	switch {
	case config.Size < 1 || config.Size > MaxMembers:
		return nil, fmt.Errorf("peers: %d sidecars configured, want 1 to %d", config.Size, MaxMembers)
	case config.Self < 0 || config.Self >= config.Size:
		return nil, fmt.Errorf("peers: sidecar has number %d, want at least 0 and below %d", config.Self, config.Size)
	case config.Lease < 0 || config.Lease > 0 && config.Lease < time.Second:
		return nil, fmt.Errorf("lease: got %v, want at least 1s", config.Lease)
	case config.MaxClockError < 0 || config.MaxClockError > 0.1:
		return nil, fmt.Errorf("clock_error: got %v, want 0 to 0.1", config.MaxClockError)
	}
	if config.Lease == 0 {
		config.Lease = LeaseFor(config.Size)
	}
	if config.MaxClockError == 0 {
		config.MaxClockError = DefaultClockError
	}
	if config.BytesPerSecond == 0 {
		config.BytesPerSecond = DefaultBytesPerSecond
	}
	n := &Node{
		Config:   config,
		session:  Session{Incarnation: config.Incarnation},
		members:  make([]member, config.Size),
		majority: config.Size/2 + 1,
	}
	n.members[config.Self].state = Alive
	n.budget = budget{rate: config.BytesPerSecond, tokens: 2 * config.BytesPerSecond}
	return n, nil
}

// Start starts the node. It must be called before any other method.
func (n *Node) Start(now time.Duration) {
	n.started, n.leaseStale = true, true
	n.startedAt, n.contactSince, n.sessionStart = now, now, now
	n.sequenceStart, n.lastTick, n.budget.updatedAt = now, now, now
	n.members[n.Self].session, n.members[n.Self].since = n.session, now
	n.queueRumour(Rumour{Member: n.Self, Session: n.session, State: Alive, Accuser: n.Self}, n.retransmits())
	n.refreshContact(now)
}

// Tick performs the periodic work. It must be called every Period. If a call comes late, this
// process was stopped or starved, and the node treats its own view as unreliable for a while.
func (n *Node) Tick(now time.Duration) {
	if n.left {
		return
	}
	n.refreshContact(now)
	n.budget.fill(now)
	if gap := now - n.lastTick; gap >= stallThreshold {
		n.handleStall(now, gap)
	} else if gap > 2*Period {
		n.localHealth = min(maxLocalHealth, n.localHealth+1)
	}
	n.lastTick = now
	n.ticks++
	n.checkProbes(now)
	n.expireSuspicions(now)
	n.confirmDeaths(now)
	n.probeNext(now)
	// Out of contact, the node probes more often, but only for a limited time: a long partition
	// must not double the traffic of the fleet.
	if n.fastProbing = !n.inContact && now-n.contactSince < fastProbeLeases*n.Lease &&
		n.hasBudget(extraReserve); n.fastProbing {
		for range fastProbeFactor - 1 {
			n.probeNext(now)
		}
	}
}

// handleStall discards the probes in flight and extends the suspicions after this process was
// stopped: an answer that was not received during the stall is no evidence against other members.
func (n *Node) handleStall(now, gap time.Duration) {
	n.Stats.Stalls++
	n.localHealth = maxLocalHealth
	n.unreliableUntil = now + stallRecoveryTime
	n.probes, n.relayedProbes = n.probes[:0], n.relayedProbes[:0]
	n.failed, n.resultCount = 0, 0
	for i := range n.members {
		if s := n.members[i].suspicion; s != nil {
			s.start = max(s.start+gap, now-s.timeout()+minSuspicion)
		}
	}
}

// hasUnreliableView reports whether a missing answer is more likely to be caused by this node than
// by the member that was probed: this process was stopped recently, is out of contact, or most of
// its recent probes were not answered.
func (n *Node) hasUnreliableView(now time.Duration) bool {
	considered := min(n.resultCount, resultWindow, max(1, n.Size-1))
	return now < n.unreliableUntil || !n.inContact || considered >= min(4, n.Size-1) && 2*n.failed > considered
}

// Receive handles a message. A message that is invalid or not from another member is dropped.
func (n *Node) Receive(now time.Duration, message *Message) {
	if n.left || message.From < 0 || message.From >= n.Size || message.From == n.Self ||
		message.Kind == 0 || message.Kind >= kinds {
		return
	}
	n.refreshContact(now)
	n.budget.fill(now)
	from := &n.members[message.From]
	if message.Session.Before(from.session) {
		n.answerStale(now, message)
		return
	}
	own := Rumour{Member: message.From, Session: message.Session, State: Alive, Accuser: message.From}
	if own.newer(from.session, from.state) {
		n.applyRumour(now, own)
	}
	for _, r := range message.Rumours {
		n.applyRumour(now, r)
	}
	if message.Session.Before(from.session) { // a rumour in the message announced a later session of its sender
		return
	}
	from.lastReceived = now
	if message.MemberCount > 0 {
		from.claimedSize, from.claimedAt = min(message.MemberCount, MaxMembers), now
	}
	switch message.Kind {
	case Ping:
		n.handlePing(now, message)
	case Ack, AckReply:
		n.handleAck(now, message)
	case IndirectPing:
		n.handleIndirectPing(now, message)
	case IndirectAck, IndirectNack:
		n.handleIndirectAck(now, message)
	}
}

// answerStale answers a ping from a session of the sender that is older than the session known
// here. The ack grants no lease and tells the sender of the newer session.
func (n *Node) answerStale(now time.Duration, message *Message) {
	from := &n.members[message.From]
	if message.Kind != Ping {
		return
	}
	n.newMessage(Ack)
	n.outgoing.Echo, n.outgoing.EchoTag, n.outgoing.NoLease =
		message.Stamp, IncarnationTag(message.Session.Incarnation), true
	n.outgoing.Rumours = append(
		n.outgoing.Rumours,
		Rumour{Member: message.From, Session: from.session, State: from.state, Accuser: from.accuser},
	)
	n.send(message.From)
}

// newMessage prepares a message without rumours in n.outgoing.
func (n *Node) newMessage(kind Kind) {
	n.outgoing = Message{
		From: n.Self, Session: n.session, Kind: kind, Digest: n.digest, Rumours: n.outgoing.Rumours[:0],
	}
}

// Leave ends this node's session permanently and announces this to some members. The node is not in
// contact from then on.
func (n *Node) Leave(now time.Duration) {
	if n.left || !n.started {
		return
	}
	n.refreshContact(now)
	n.endContact(now, "this sidecar leaves the fleet")
	n.left = true // set before the announcement, as its receivers may consider the session over at once
	rumour := Rumour{Member: n.Self, Session: n.session, State: Left, Accuser: n.Self}
	order := n.Rand.Perm(n.Size)
	sent := 0
	for _, i := range order {
		if s := n.members[i].state; i == n.Self || s != Alive && s != Suspect {
			continue
		}
		n.newMessage(Gossip)
		n.outgoing.Rumours = append(n.outgoing.Rumours, rumour)
		n.send(i)
		if sent++; sent == 2*deathGossipFanout {
			return
		}
	}
}

// Session returns this node's own session.
func (n *Node) Session() Session { return n.session }
