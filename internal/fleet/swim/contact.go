package swim

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// InContact says whether this node is in contact now. It is to be asked where something depends on it, at that moment: a
// process that stood still finds its lease over at its first question.
func (n *Node) InContact(now time.Duration) bool {
	n.look(now)
	return n.in
}

// ContactUntil is when the lease is over if no further answer comes; false: it is over.
func (n *Node) ContactUntil(now time.Duration) (time.Duration, bool) {
	n.look(now)
	return n.held(), n.in
}

// look brings in and the session up to date. It comes before anything else that a message or a tick brings: an answer that
// arrives behind the end of the lease must not be counted as if it had come before it.
func (n *Node) look(now time.Duration) {
	if n.left || !n.started {
		return
	}
	if now >= n.leaseEnd && n.fresher {
		n.leaseEnd, n.fresher = n.held(), false // answers only push it on, so it is reckoned anew when it would matter
	}
	switch in := now < n.leaseEnd; {
	case in == n.in:
		// A session that never was in contact must not outlive a lease either: by then others may have counted it out,
		// crashed, and forgotten that (seed 12160).
		if !in && now >= n.turnAt+n.Lease {
			n.turn(now, n.session.Turn+1, newcomer)
		}
	case in:
		n.in, n.since = true, now
		n.changed(Change{At: now, Member: n.Self, Session: n.session, State: Alive, Was: Alive, By: -1, Contact: true, Why: "a majority answers"})
	default:
		n.Stats.Lapses++
		n.lose(now, "no majority answered within the lease")
		n.renew(now, n.session.Turn+1) // what others count out stays so: this session never comes back
	}
}

// lose ends the contact.
func (n *Node) lose(now time.Duration, why string) {
	if was := n.in; was {
		n.in, n.since = false, now
		n.changed(Change{At: now, Member: n.Self, Session: n.session, State: Alive, Was: Alive, By: -1, Why: why})
	}
	n.leaseEnd, n.vouchers = 0, 0
}

// turn has this one go on under the next number. Answers to the last one count on: it was not in contact, or nobody counted it as gone.
func (n *Node) turn(now time.Duration, turn uint32, times int) {
	n.session.Turn, n.turnAt = turn, now
	own := &n.members[n.Self]
	own.session, own.since = n.session, now
	n.tell(Rumour{Member: n.Self, Session: n.session, State: Alive, By: n.Self}, times)
}

// renew begins a new session behind one that was in contact, or that others count as gone.
func (n *Node) renew(now time.Duration, turn uint32) {
	// Nothing that was answered to the session before counts for this one.
	n.leaseEnd, n.vouchers = 0, 0
	for i := range n.members {
		n.members[i].vouched = 0
	}
	n.sessionAt = now + time.Millisecond // stamps are of whole milliseconds: those of this one may be of before
	n.turn(now, turn, n.often())
}

// held is when the lease ends: when the oldest of the newest answers that make a majority, with this one itself, is a
// lease old. 0: there are too few.
func (n *Node) held() time.Duration {
	need := n.majority - 1
	if need == 0 {
		return 1<<62 - 1
	}
	if n.vouchers < need {
		return 0
	}
	times := make([]time.Duration, 0, n.vouchers)
	for i := range n.members {
		if v := n.members[i].vouched; v > 0 {
			times = append(times, v)
		}
	}
	slices.Sort(times)
	return times[len(times)-need] + n.Lease
}

// Patience is how long after the last answer of a member its lease from here is over, whatever its clock: a lease, and the
// greatest error of both clocks.
func (n *Node) Patience() time.Duration {
	return n.Lease + time.Duration(2.5*n.Rate*float64(n.Lease)) + 2*time.Millisecond
}

// mute says that this node gives no leases yet. A process that comes back has forgotten whom it counted as gone: for so
// long it must not vouch for anyone, as what it showed before it crashed may have been counted on by others.
func (n *Node) mute(now time.Duration) bool {
	return now < n.born+n.Patience()+n.fresh()+time.Duration(4*n.Rate*float64(n.Lease))
}

// gives says whether a session of a member gets a lease from here. One that is counted as gone gets none any more: Out
// rests on it.
func (n *Node) gives(now time.Duration, to int, s Session) bool {
	m := &n.members[to]
	return !n.mute(now) && m.state < Gone && m.session == s
}

// fresh is how old a sight of another's digest may be to count.
func (n *Node) fresh() time.Duration { return n.Lease / freshPart }

// answer answers a ping, with a lease where one may be given.
func (n *Node) answer(now time.Duration, m *Message) {
	n.begin(Answer)
	n.out.Stamp = stamp(now)
	n.echo(now, m)
}

// echo sends back a message's stamp, and what is said of its sender.
func (n *Node) echo(now time.Duration, m *Message) {
	n.out.Echo, n.out.EchoOf, n.out.Mute = m.Stamp, Tag(m.Session.Life), !n.gives(now, m.From, m.Session)
	n.warn(m.From)
	n.load(now, m.From, m.Digest)
	n.send(m.From)
}

// answered takes an answer, and gives thanks for one that asks for it.
func (n *Node) answered(now time.Duration, m *Message) {
	from := &n.members[m.From]
	if m.Echo != 0 && m.EchoOf == Tag(n.session.Life) && at(m.Echo) <= now { // else it answers the process before this one
		sent := at(m.Echo)
		// What it shows, it showed behind that moment, however late it comes.
		if sent > from.shown {
			from.digest, from.shown = m.Digest, sent
		}
		if !m.Mute && sent >= n.sessionAt && sent > from.vouched {
			if from.vouched == 0 {
				n.vouchers++
			}
			from.vouched, n.fresher = sent, true
		}
		n.probeEnded(now, m.From, sent)
	}
	if m.Kind == Answer && m.Stamp != 0 {
		n.begin(Thanks)
		n.echo(now, m)
	}
	n.look(now)
}

// mark is what a member's end adds to the digest: of an exact session, and whether it said so itself.
func mark(i int, s Session, state State) uint32 {
	if state < Gone {
		return 0
	}
	var b [17]byte
	for k := range 4 {
		b[k], b[4+k] = byte(i>>(8*k)), byte(s.Turn>>(8*k))
	}
	for k := range 8 {
		b[8+k] = byte(s.Life >> (8 * k))
	}
	b[16] = byte(state)
	return uint32(xxhash.Sum64(b[:]))
}

// settle notes for those who are gone that a majority holds the same, each by a sight that is fresh.
func (n *Node) settle(now time.Duration) {
	open := false
	for i := range n.members {
		m := &n.members[i]
		open = open || m.state == Gone && m.agreed == 0
	}
	if !open {
		return
	}
	same := 1
	for i := range n.members {
		m := &n.members[i]
		// An old sight may be of one that has restarted and forgotten since; mute reckons with its age.
		if i != n.Self && m.shown > 0 && now-m.shown <= n.fresh() && m.digest == n.digest {
			same++
		}
	}
	if same < n.majority {
		return
	}
	for i := range n.members {
		if m := &n.members[i]; m.state == Gone && m.agreed == 0 {
			m.agreed = now
		}
	}
}

// Out says whether a member's session, as held here, is over for good: the member has known so itself before. A majority
// has shown that it gives it no more leases, and the longest that it may have is over. One that left said so itself.
func (n *Node) Out(now time.Duration, i int) (Session, bool) {
	m := &n.members[i]
	switch m.state {
	case Left:
		return m.session, true
	case Gone:
		return m.session, m.agreed > 0 && now >= m.agreed+n.Patience()
	}
	return m.session, false
}
