package swim

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// suspicion is what is held against a member that may yet refute it.
type suspicion struct {
	start        time.Duration
	lastPing     time.Duration // when it was asked again
	accusers     [maxConfirmations + 1]int
	count        int
	maxConfirmed int // further accusers that make it as short as may be
}

// timeout is how long it is waited for: the shorter, the more say the same.
func (s *suspicion) timeout() time.Duration {
	if s.maxConfirmed < 1 {
		return minSuspicion
	}
	part := math.Log(float64(s.count)) / math.Log(float64(s.maxConfirmed+1))
	return max(minSuspicion, maxSuspicion-time.Duration(part*float64(maxSuspicion-minSuspicion)))
}

// confirm takes one more accuser; false: it is known already, or there are enough.
func (s *suspicion) confirm(by int) bool {
	if s.count > s.maxConfirmed || slices.Contains(s.accusers[:s.count], by) {
		return false
	}
	s.accusers[s.count] = by
	s.count++
	return true
}

// queuedRumour is a rumour that is being passed on.
type queuedRumour struct {
	Rumour
	remaining int
	priority  int
}

// startRetransmits is how often a start is passed on.
const startRetransmits = 2

// queueRumour has a rumour passed on; an older one of the same member goes.
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
		n.rumours = n.rumours[:maxQueuedRumours] // what is lost here is told by digests that differ, and by members themselves
	}
}

// retransmits is how many times a rumour is passed on that all have to hear.
func (n *Node) retransmits() int {
	return int(math.Ceil(retransmitMultiplier * math.Log2(float64(n.Size+1))))
}

// priorityOf is how much it matters that a rumour is heard soon; the least comes first. A refutation goes before accusations, or it comes too late where many are
// accused.
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

// sortRumours puts the rumours first that matter most, of these the ones that were passed on least.
func (n *Node) sortRumours() {
	slices.SortStableFunc(n.rumours, func(a, b *queuedRumour) int {
		return cmp.Or(a.priority-b.priority, b.remaining-a.remaining)
	})
}

// addRumours puts rumours on a message to a member: what it has to hear first, the least told ones, and, where it counts others
// as gone than this node does, some of those at random.
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
		if s.Member == to { // it knows best, and has been warned
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
	// The two differ: what was missed is told again. A start at random has all told in the end.
	first := n.Rand.IntN(n.Size)
	for k := range n.members {
		i := (first + k) % n.Size
		m := &n.members[i]
		if len(n.out.Rumours) >= maxRumoursPerMessage {
			return
		}
		if m.state >= Dead && i != to {
			n.out.Rumours = append(n.out.Rumours, Rumour{Member: i, Session: m.session, State: m.state, Accuser: m.accuser})
		}
	}
}

// applyRumour takes a rumour.
func (n *Node) applyRumour(now time.Duration, r Rumour) {
	if r.Member < 0 || r.Member >= n.Size || r.State == Unknown || r.State > Left || r.Accuser < 0 || r.Accuser >= n.Size {
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
		if r.State >= Dead && r.Session.Before(m.session) { // somebody has missed what came after
			n.queueRumour(Rumour{Member: r.Member, Session: m.session, State: m.state, Accuser: m.accuser}, startRetransmits)
		}
		return
	}
	was, before, session := m.state, digestOf(r.Member, m.session, m.state), m.session
	if m.session.Incarnation != r.Session.Incarnation {
		m.lastReceived, m.claimedSize, m.digestAt = 0, 0, 0 // its forerunner's
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
		n.queueRumour(r, startRetransmits) // it goes round itself: hundreds that start at once must not fill all messages
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

// handleOwnRumour takes what is said of this node.
func (n *Node) handleOwnRumour(now time.Duration, r Rumour) {
	if r.Session.Incarnation > n.session.Incarnation {
		// Another process of this number, or one of before whose clock was ahead. This one must be the later, or nobody
		// hears it: it takes the next number. Whether the other still lives shows by its doing the same.
		n.endContact(now, "another process of this number was heard of")
		n.session.Incarnation = r.Session.Incarnation + 1
		n.startSession(now, 0)
		return
	}
	if r.Session.Before(n.session) || r.State == Alive {
		return
	}
	n.health = min(maxHealth, n.health+1) // it was too slow for somebody
	if r.State >= Dead {
		// Some may give this session no more leases, and count on its end: it ends here too, before it is refuted.
		n.endContact(now, "it was counted as gone")
		n.startSession(now, r.Session.Sequence+1)
		return
	}
	n.Stats.Refuted++
	n.advanceSequence(now, r.Session.Sequence+1, n.retransmits()) // it has to overtake the accusation
}

// thirdPartyDelay is how much longer one waits who did not ask itself: its own view says nothing against the member.
const thirdPartyDelay = 4 * time.Second

// expireSuspicions counts as gone whom nobody has vouched for in time. Who doubts itself waits.
func (n *Node) expireSuspicions(now time.Duration) {
	doubts := n.doubtsItself(now)
	for i := range n.members {
		m := &n.members[i]
		s := m.suspicion
		if s == nil {
			continue
		}
		if doubts {
			s.start = max(s.start, now-s.timeout()+minSuspicion/2)
			continue
		}
		if s.start = max(s.start, m.lastReceived); now-s.start < s.timeout()*min(n.timeoutFactor(), 3) {
			continue // it was heard since: it lives, and will say so
		}
		if !slices.Contains(s.accusers[:s.count], n.Self) && now-s.start < s.timeout()+thirdPartyDelay {
			continue // those who know more say so soon, or it refutes it
		}
		n.Stats.Accused++
		n.applyRumour(now, Rumour{Member: i, Session: m.session, State: Dead, Accuser: n.Self})
	}
}

// gossipDeaths tells some members at once of a member's end; what comes close together goes together.
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
