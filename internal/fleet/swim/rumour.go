package swim

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// queuedRumour is a rumour in the queue for gossip.
type queuedRumour struct {
	Rumour
	remaining int // number of further messages that are to carry the rumour
	priority  int // see priorityOf
}

// startRetransmits is the number of messages that carry the rumour of a member's start.
const startRetransmits = 2

// queueRumour queues a rumour for gossip in a number of messages. It replaces older rumours about
// the same member, except suspicions of other accusers that the rumour confirms.
func (n *Node) queueRumour(rumour Rumour, transmissions int) {
	n.rumours = slices.DeleteFunc(n.rumours, func(queued *queuedRumour) bool {
		confirms := rumour.State == Suspect && queued.State == Suspect &&
			queued.Session == rumour.Session && queued.Accuser != rumour.Accuser
		return queued.Member == rumour.Member && !confirms
	})
	queued := &queuedRumour{Rumour: rumour, remaining: transmissions}
	queued.priority = queued.priorityOf(transmissions <= startRetransmits)
	n.rumours = append(n.rumours, queued)
	if len(n.rumours) > maxQueuedRumours {
		n.sortRumours()
		// Members whose digests differ receive the rumours that are dropped here later; see addRumours.
		n.rumours = n.rumours[:maxQueuedRumours]
	}
}

// retransmits returns the number of messages that carry a rumour that all members have to receive.
func (n *Node) retransmits() int {
	return int(math.Ceil(retransmitMultiplier * math.Log2(float64(n.Size+1))))
}

// priorityOf returns the priority of a rumour; lower values are more urgent. A refutation precedes
// suspicions: otherwise, it would arrive too late when many members are accused.
func (q *queuedRumour) priorityOf(newcomer bool) int {
	switch {
	case q.State >= Dead:
		return 0
	case q.State == Alive && !newcomer:
		return 1
	case q.State == Suspect:
		return 2
	}
	return 3
}

// sortRumours sorts the queue by priority, and rumours of the same priority by the number of
// messages left.
func (n *Node) sortRumours() {
	slices.SortStableFunc(n.rumours, func(a, b *queuedRumour) int {
		return cmp.Or(a.priority-b.priority, b.remaining-a.remaining)
	})
}

// addRumours adds rumours from the queue to a message to a member, the most urgent and least sent
// first. If the member's digest of dead sessions differs from this node's digest, it also adds some
// of these sessions, chosen at random.
func (n *Node) addRumours(now time.Duration, receiver int, digest uint32) {
	if len(n.rumours) > 1 {
		n.sortRumours()
	}
	exhausted, limit := false, maxRumoursPerMessage
	switch {
	case !n.hasBudget(rumourReserve):
		return
	case !n.hasBudget(fullGossipReserve):
		limit = 1
	}
	for _, queued := range n.rumours {
		if len(n.outgoing.Rumours) >= limit {
			break
		}
		if queued.Member == receiver { // addAccusation has put the accusation first in the message
			continue
		}
		n.outgoing.Rumours = append(n.outgoing.Rumours, queued.Rumour)
		queued.remaining--
		exhausted = exhausted || queued.remaining <= 0
	}
	if exhausted {
		n.rumours = slices.DeleteFunc(n.rumours, func(queued *queuedRumour) bool { return queued.remaining <= 0 })
	}
	if digest == n.digest || n.digest == 0 || limit == 1 {
		return
	}
	// The digests differ: send the deaths that the member may have missed. The random start gives
	// each its turn.
	first := n.Rand.IntN(n.Size)
	for k := range n.members {
		i := (first + k) % n.Size
		m := &n.members[i]
		if len(n.outgoing.Rumours) >= maxRumoursPerMessage {
			return
		}
		if m.state >= Dead && i != receiver {
			n.outgoing.Rumours = append(
				n.outgoing.Rumours,
				Rumour{Member: i, Session: m.session, State: m.state, Accuser: m.accuser},
			)
		}
	}
}

// applyRumour applies a rumour to this node's view and queues it for gossip if it is new. Invalid
// rumours are ignored.
func (n *Node) applyRumour(now time.Duration, rumour Rumour) {
	if rumour.Member < 0 || rumour.Member >= n.Size || rumour.State == Unknown || rumour.State > Left ||
		rumour.Accuser < 0 || rumour.Accuser >= n.Size {
		return
	}
	if rumour.Member == n.Self {
		n.handleOwnRumour(now, rumour)
		return
	}
	m := &n.members[rumour.Member]
	if rumour.State == Suspect && rumour.Session == m.session && m.state == Suspect {
		if m.suspicion != nil && m.suspicion.confirm(rumour.Accuser) {
			n.queueRumour(rumour, n.retransmits())
		}
		return
	}
	if !rumour.newer(m.session, m.state) {
		// The sender of the rumour does not know the later session: gossip it.
		if rumour.State >= Dead && rumour.Session.Before(m.session) {
			n.queueRumour(
				Rumour{Member: rumour.Member, Session: m.session, State: m.state, Accuser: m.accuser},
				startRetransmits,
			)
		}
		return
	}
	oldState, oldDigest, session := m.state, digestOf(rumour.Member, m.session, m.state), m.session
	if m.session.Incarnation != rumour.Session.Incarnation {
		m.lastReceived, m.claimedSize, m.digestAt = 0, 0, 0 // they refer to the process with the earlier incarnation
	}
	if oldState == Suspect && rumour.State == Alive && m.session.Incarnation == rumour.Session.Incarnation {
		n.refutationFactor(now)
		n.refutations++
	}
	m.session, m.state, m.accuser, m.since, m.confirmedAt, m.suspicion =
		rumour.Session, rumour.State, rumour.Accuser, now, 0, nil
	if rumour.State == Suspect {
		n.Stats.Suspicions++
		m.suspicion = &suspicion{start: now, maxConfirmed: min(maxConfirmations, n.Size-3)}
		m.suspicion.confirm(rumour.Accuser)
	}
	n.digest ^= oldDigest ^ digestOf(rumour.Member, m.session, m.state)
	if rumour.State == Alive && session.Incarnation != rumour.Session.Incarnation {
		// A member that started probes other members itself: the rumours of hundreds of starts must
		// not fill all messages.
		n.queueRumour(rumour, startRetransmits)
	} else {
		n.queueRumour(rumour, n.retransmits())
	}
	reportedAccuser := rumour.Accuser
	if reportedAccuser == rumour.Member {
		reportedAccuser = -1
	}
	if oldState != rumour.State {
		n.changed(Change{
			At: now, Member: rumour.Member, Session: rumour.Session, State: rumour.State, Was: oldState,
			Accuser: reportedAccuser,
		})
	}
	if rumour.State >= Dead {
		n.gossipDeath(now)
	}
}

// handleOwnRumour handles a rumour about this node.
func (n *Node) handleOwnRumour(now time.Duration, rumour Rumour) {
	if rumour.Session.Incarnation > n.session.Incarnation {
		// The rumour is about another process with this member number: an earlier one whose clock
		// was ahead, or one that runs concurrently. This process needs the higher incarnation, as
		// no member accepts its messages otherwise. A concurrent process will do the same.
		n.endContact(now, "another process with this member number was reported")
		n.session.Incarnation = rumour.Session.Incarnation + 1
		n.startSession(now, 0)
		return
	}
	if rumour.Session.Before(n.session) || rumour.State == Alive {
		return
	}
	n.localHealth = min(maxLocalHealth, n.localHealth+1) // the accuser did not receive this node's answer in time
	if rumour.State >= Dead {
		// Other members may grant this session no more leases and rely on its end, so the session
		// ends before the rumour is refuted.
		n.endContact(now, "other members count this sidecar's session as gone")
		n.startSession(now, rumour.Session.Sequence+1)
		return
	}
	n.Stats.Refuted++
	// The refutation has to overtake the accusation.
	n.advanceSequence(now, rumour.Session.Sequence+1, n.retransmits())
}

// gossipDeath immediately sends the rumour of a member's death to some members. Deaths within a
// short interval share these messages.
func (n *Node) gossipDeath(now time.Duration) {
	if now < n.nextDeathGossip {
		return
	}
	n.nextDeathGossip = now + deathGossipInterval
	for range deathGossipFanout {
		receiver := n.Rand.IntN(n.Size)
		if receiver == n.Self || n.members[receiver].state != Alive {
			continue
		}
		n.newMessage(Gossip)
		n.addRumours(now, receiver, n.digest)
		if len(n.outgoing.Rumours) > 0 {
			n.send(receiver)
		}
	}
}

func (n *Node) changed(c Change) { n.Host.Changed(c) }
