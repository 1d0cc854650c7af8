package swim

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// queuedRumour is a rumour that is still to be gossiped.
type queuedRumour struct {
	Rumour
	remaining int
	priority  int
}

// startRetransmits is how often a member's start is gossiped.
const startRetransmits = 2

// queueRumour queues a rumour for gossip, in place of older ones of the same member.
func (n *Node) queueRumour(r Rumour, times int) {
	n.rumours = slices.DeleteFunc(n.rumours, func(s *queuedRumour) bool {
		confirms := r.State == Suspect && s.State == Suspect && s.Session == r.Session && s.Accuser != r.Accuser
		return s.Member == r.Member && !confirms
	})
	s := &queuedRumour{Rumour: r, remaining: times}
	s.priority = s.priorityOf(times <= startRetransmits)
	n.rumours = append(n.rumours, s)
	if len(n.rumours) > maxQueuedRumours {
		n.sortRumours()
		n.rumours = n.rumours[:maxQueuedRumours] // digests that differ bring back what is dropped here
	}
}

// retransmits returns how often a rumour is gossiped that all have to receive.
func (n *Node) retransmits() int {
	return int(math.Ceil(retransmitMultiplier * math.Log2(float64(n.Size+1))))
}

// priorityOf returns how urgent a rumour is; the lowest is the most urgent. A refutation goes
// before accusations, or it comes too late where many are accused.
func (s *queuedRumour) priorityOf(newcomer bool) int {
	switch {
	case s.State >= Dead:
		return 0
	case s.State == Alive && !newcomer:
		return 1
	case s.State == Suspect:
		return 2
	}
	return 3
}

// sortRumours sorts by priority, then by how seldom a rumour was sent.
func (n *Node) sortRumours() {
	slices.SortStableFunc(n.rumours, func(a, b *queuedRumour) int {
		return cmp.Or(a.priority-b.priority, b.remaining-a.remaining)
	})
}

// addRumours puts rumours on a message to a member: the most urgent and least sent first, and, if
// the member's digest of dead sessions differs from this node's, some of those at random.
func (n *Node) addRumours(now time.Duration, to int, digest uint32) {
	if len(n.rumours) > 1 {
		n.sortRumours()
	}
	used, most := false, maxRumoursPerMessage
	switch {
	case !n.hasBudget(rumourReserve):
		return
	case !n.hasBudget(fullGossipReserve):
		most = 1
	}
	for _, s := range n.rumours {
		if len(n.out.Rumours) >= most {
			break
		}
		if s.Member == to { // it has got its accusation first
			continue
		}
		n.out.Rumours = append(n.out.Rumours, s.Rumour)
		s.remaining--
		used = used || s.remaining <= 0
	}
	if used {
		n.rumours = slices.DeleteFunc(n.rumours, func(s *queuedRumour) bool { return s.remaining <= 0 })
	}
	if digest == n.digest || n.digest == 0 || most == 1 {
		return
	}
	// The digests differ: send what may have been missed, from a random start so that all get their
	// turn.
	first := n.Rand.IntN(n.Size)
	for k := range n.members {
		i := (first + k) % n.Size
		m := &n.members[i]
		if len(n.out.Rumours) >= maxRumoursPerMessage {
			return
		}
		if m.state >= Dead && i != to {
			n.out.Rumours = append(
				n.out.Rumours,
				Rumour{Member: i, Session: m.session, State: m.state, Accuser: m.accuser},
			)
		}
	}
}

// applyRumour applies a rumour.
func (n *Node) applyRumour(now time.Duration, r Rumour) {
	if r.Member < 0 || r.Member >= n.Size || r.State == Unknown || r.State > Left ||
		r.Accuser < 0 || r.Accuser >= n.Size {
		return
	}
	if r.Member == n.Self {
		n.handleOwnRumour(now, r)
		return
	}
	m := &n.members[r.Member]
	if r.State == Suspect && r.Session == m.session && m.state == Suspect {
		if m.suspicion != nil && m.suspicion.confirm(r.Accuser) {
			n.queueRumour(r, n.retransmits())
		}
		return
	}
	if !r.newer(m.session, m.state) {
		if r.State >= Dead && r.Session.Before(m.session) { // the sender has missed a later session
			n.queueRumour(
				Rumour{Member: r.Member, Session: m.session, State: m.state, Accuser: m.accuser},
				startRetransmits,
			)
		}
		return
	}
	was, before, session := m.state, digestOf(r.Member, m.session, m.state), m.session
	if m.session.Incarnation != r.Session.Incarnation {
		m.lastReceived, m.claimedSize, m.digestAt = 0, 0, 0 // of the process before
	}
	if was == Suspect && r.State == Alive && m.session.Incarnation == r.Session.Incarnation {
		n.noiseFactor(now)
		n.refutations++
	}
	m.session, m.state, m.accuser, m.since, m.majorityAt, m.suspicion = r.Session, r.State, r.Accuser, now, 0, nil
	if r.State == Suspect {
		n.Stats.Suspicions++
		m.suspicion = &suspicion{start: now, maxConfirmed: min(maxConfirmations, n.Size-3)}
		m.suspicion.confirm(r.Accuser)
	}
	n.digest ^= before ^ digestOf(r.Member, m.session, m.state)
	if r.State == Alive && session.Incarnation != r.Session.Incarnation {
		// it probes others itself: hundreds of starts must not fill all messages
		n.queueRumour(r, startRetransmits)
	} else {
		n.queueRumour(r, n.retransmits())
	}
	by := r.Accuser
	if by == r.Member {
		by = -1
	}
	if was != r.State {
		n.changed(Change{At: now, Member: r.Member, Session: r.Session, State: r.State, Was: was, Accuser: by})
	}
	if r.State >= Dead {
		n.gossipDeaths(now)
	}
}

// handleOwnRumour applies a rumour about this node.
func (n *Node) handleOwnRumour(now time.Duration, r Rumour) {
	if r.Session.Incarnation > n.session.Incarnation {
		// Another process of this number, or an earlier one whose clock was ahead. This process has
		// to have the higher incarnation, or nobody accepts its messages. A concurrent one will do
		// the same.
		n.endContact(now, "another process of this number was heard of")
		n.session.Incarnation = r.Session.Incarnation + 1
		n.startSession(now, 0)
		return
	}
	if r.Session.Before(n.session) || r.State == Alive {
		return
	}
	n.health = min(maxHealth, n.health+1) // this node was too slow for another
	if r.State >= Dead {
		// Others may give this session no more leases and rely on its end: it ends before it is
		// refuted.
		n.endContact(now, "it was counted as gone")
		n.startSession(now, r.Session.Sequence+1)
		return
	}
	n.Stats.Refuted++
	// the refutation has to overtake the accusation
	n.advanceSequence(now, r.Session.Sequence+1, n.retransmits())
}

// gossipDeaths tells some members at once of a member's end; ends close to each other go together.
func (n *Node) gossipDeaths(now time.Duration) {
	if now < n.nextBurst {
		return
	}
	n.nextBurst = now + burstInterval
	for range burstFanout {
		i := n.Rand.IntN(n.Size)
		if i == n.Self || n.members[i].state != Alive {
			continue
		}
		n.newMessage(Gossip)
		n.addRumours(now, i, n.digest)
		if len(n.out.Rumours) > 0 {
			n.send(i)
		}
	}
}

func (n *Node) changed(c Change) { n.Host.Changed(c) }
