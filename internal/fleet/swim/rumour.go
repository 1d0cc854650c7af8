package swim

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// suspicion is what is held against a member that may yet refute it.
type suspicion struct {
	from time.Duration
	last time.Duration // when it was asked again
	by   [confirmers + 1]int
	n    int
	need int // further accusers that make it as short as may be
}

// lasts is how long it is waited for: the shorter, the more say the same.
func (s *suspicion) lasts() time.Duration {
	if s.need < 1 {
		return suspectLeast
	}
	part := math.Log(float64(s.n)) / math.Log(float64(s.need+1))
	return max(suspectLeast, suspectMost-time.Duration(part*float64(suspectMost-suspectLeast)))
}

// confirm takes one more accuser; false: it is known already, or there are enough.
func (s *suspicion) confirm(by int) bool {
	if s.n > s.need || slices.Contains(s.by[:s.n], by) {
		return false
	}
	s.by[s.n] = by
	s.n++
	return true
}

// spread is a rumour that is being passed on.
type spread struct {
	Rumour
	left  int
	order int
}

// newcomer is how often a start is passed on.
const newcomer = 2

// tell has a rumour passed on; an older one of the same member goes.
func (n *Node) tell(r Rumour, times int) {
	n.rumours = slices.DeleteFunc(n.rumours, func(s *spread) bool {
		confirms := r.State == Suspect && s.State == Suspect && s.Session == r.Session && s.By != r.By
		return s.Member == r.Member && !confirms
	})
	s := &spread{Rumour: r, left: times}
	s.order = s.weight(times <= newcomer)
	n.rumours = append(n.rumours, s)
	if len(n.rumours) > queueMost {
		n.rank()
		n.rumours = n.rumours[:queueMost] // what is lost here is told by digests that differ, and by members themselves
	}
}

// often is how many times a rumour is passed on that all have to hear.
func (n *Node) often() int { return int(math.Ceil(spreadTimes * math.Log2(float64(n.Size+1)))) }

// weight is how much it matters that a rumour is heard soon; the least comes first. A refutation goes before accusations, or it comes too late where many are
// accused.
func (s *spread) weight(newcomer bool) int {
	switch {
	case s.State >= Gone:
		return 0
	case s.State == Alive && !newcomer:
		return 1
	case s.State == Suspect:
		return 2
	}
	return 3
}

// rank puts the rumours first that matter most, of these the ones that were passed on least.
func (n *Node) rank() {
	slices.SortStableFunc(n.rumours, func(a, b *spread) int {
		return cmp.Or(a.order-b.order, b.left-a.left)
	})
}

// load puts rumours on a message to a member: what it has to hear first, the least told ones, and, where it counts others
// as gone than this node does, some of those at random.
func (n *Node) load(now time.Duration, to int, digest uint32) {
	if len(n.rumours) > 1 {
		n.rank()
	}
	used, most := false, rumoursMost
	switch {
	case !n.room(forRumour):
		return
	case !n.room(forRumours):
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
		s.left--
		used = used || s.left <= 0
	}
	if used {
		n.rumours = slices.DeleteFunc(n.rumours, func(s *spread) bool { return s.left <= 0 })
	}
	if digest == n.digest || n.digest == 0 || most == 1 {
		return
	}
	// The two differ: what was missed is told again. A start at random has all told in the end.
	first := n.Rand.IntN(n.Size)
	for k := range n.members {
		i := (first + k) % n.Size
		m := &n.members[i]
		if len(n.out.Rumours) >= rumoursMost {
			return
		}
		if m.state >= Gone && i != to {
			n.out.Rumours = append(n.out.Rumours, Rumour{Member: i, Session: m.session, State: m.state, By: m.by})
		}
	}
}

// hear takes a rumour.
func (n *Node) hear(now time.Duration, r Rumour) {
	if r.Member < 0 || r.Member >= n.Size || r.State == Unknown || r.State > Left || r.By < 0 || r.By >= n.Size {
		return
	}
	if r.Member == n.Self {
		n.hearOfSelf(now, r)
		return
	}
	m := &n.members[r.Member]
	if r.State == Suspect && r.Session == m.session && m.state == Suspect {
		if m.suspicion != nil && m.suspicion.confirm(r.By) {
			n.tell(r, n.often())
		}
		return
	}
	if !r.newer(m.session, m.state) {
		if r.State >= Gone && r.Session.Before(m.session) { // somebody has missed what came after
			n.tell(Rumour{Member: r.Member, Session: m.session, State: m.state, By: m.by}, newcomer)
		}
		return
	}
	was, before, session := m.state, mark(r.Member, m.session, m.state), m.session
	if m.session.Life != r.Session.Life {
		m.heard, m.count, m.shown = 0, 0, 0 // its forerunner's
	}
	if was == Suspect && r.State == Alive && m.session.Life == r.Session.Life {
		n.noisy(now)
		n.refuted++
	}
	m.session, m.state, m.by, m.since, m.agreed, m.suspicion = r.Session, r.State, r.By, now, 0, nil
	if r.State == Suspect {
		n.Stats.Suspicions++
		m.suspicion = &suspicion{from: now, need: min(confirmers, n.Size-3)}
		m.suspicion.confirm(r.By)
	}
	n.digest ^= before ^ mark(r.Member, m.session, m.state)
	if r.State == Alive && session.Life != r.Session.Life {
		n.tell(r, newcomer) // it goes round itself: hundreds that start at once must not fill all messages
	} else {
		n.tell(r, n.often())
	}
	by := r.By
	if by == r.Member {
		by = -1
	}
	if was != r.State {
		n.changed(Change{At: now, Member: r.Member, Session: r.Session, State: r.State, Was: was, By: by})
	}
	if r.State >= Gone {
		n.burst(now)
	}
}

// hearOfSelf takes what is said of this node.
func (n *Node) hearOfSelf(now time.Duration, r Rumour) {
	if r.Session.Life > n.session.Life {
		// Another process of this number, or one of before whose clock was ahead. This one must be the later, or nobody
		// hears it: it takes the next number. Whether the other still lives shows by its doing the same.
		n.lose(now, "another process of this number was heard of")
		n.session.Life = r.Session.Life + 1
		n.renew(now, 0)
		return
	}
	if r.Session.Before(n.session) || r.State == Alive {
		return
	}
	n.health = min(healthMost, n.health+1) // it was too slow for somebody
	if r.State >= Gone {
		// Some may give this session no more leases, and count on its end: it ends here too, before it is refuted.
		n.lose(now, "it was counted as gone")
		n.renew(now, r.Session.Turn+1)
		return
	}
	n.Stats.Refuted++
	n.turn(now, r.Session.Turn+1, n.often()) // it has to overtake the accusation
}

// accusersFirst is how much longer one waits who did not ask itself: its own view says nothing against the member.
const accusersFirst = 4 * time.Second

// expire counts as gone whom nobody has vouched for in time. Who doubts itself waits.
func (n *Node) expire(now time.Duration) {
	doubts := n.doubts(now)
	for i := range n.members {
		m := &n.members[i]
		s := m.suspicion
		if s == nil {
			continue
		}
		if doubts {
			s.from = max(s.from, now-s.lasts()+suspectLeast/2)
			continue
		}
		if s.from = max(s.from, m.heard); now-s.from < s.lasts()*min(n.slack(), 3) {
			continue // it was heard since: it lives, and will say so
		}
		if !slices.Contains(s.by[:s.n], n.Self) && now-s.from < s.lasts()+accusersFirst {
			continue // those who know more say so soon, or it refutes it
		}
		n.Stats.Accused++
		n.hear(now, Rumour{Member: i, Session: m.session, State: Gone, By: n.Self})
	}
}

// burst tells some members at once of a member's end; what comes close together goes together.
func (n *Node) burst(now time.Duration) {
	if now < n.burstAt {
		return
	}
	n.burstAt = now + burstEvery
	for range burst {
		i := n.Rand.IntN(n.Size)
		if i == n.Self || n.members[i].state != Alive {
			continue
		}
		n.begin(News)
		n.load(now, i, n.digest)
		if len(n.out.Rumours) > 0 {
			n.send(i)
		}
	}
}

func (n *Node) changed(c Change) { n.Host.Changed(c) }
