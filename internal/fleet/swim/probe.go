package swim

import (
	"math"
	"slices"
	"time"
)

// probe is a probe in flight.
type probe struct {
	target     int
	sent       time.Duration
	lastPing   time.Duration
	indirect   bool // others were asked to probe
	nacks      int  // of these
	relayCount int  // members that were asked
	state      State
}

// relayedProbe is a probe made for another member.
type relayedProbe struct {
	from, target int
	cookie       uint64
	sent         time.Duration
}

// probeNext sends the next probe: to each member that is present once a round, in an order drawn
// anew, and now and then to one that is dead or was never heard of.
func (n *Node) probeNext(now time.Duration) {
	if !n.hasBudget(probeReserve) {
		return
	}
	var to int
	ok := false
	if n.ticks%absentProbeInterval == 0 && !n.seeking {
		to, ok = n.drawTarget(
			now, &n.absentRound,
			func(s State) bool { return s == Dead || s == Left || s == Unknown },
		)
	}
	if !ok {
		// Out of contact nobody's state is known: all count as present.
		to, ok = n.drawTarget(now, &n.round, func(s State) bool {
			return s == Alive || s == Suspect || s == Unknown && !n.inContact
		})
	}
	if !ok {
		if to, ok = n.drawTarget(now, &n.absentRound, func(s State) bool { return s != Alive && s != Suspect }); !ok {
			return
		}
	}
	for i := range n.probes { // small fleets: no second probe of a target in flight
		if n.probes[i].target == to {
			return
		}
	}
	n.startProbe(now, to)
}

// drawTarget takes the next fitting member of a round, and begins the next round where none is
// left.
func (n *Node) drawTarget(now time.Duration, order *[]int, fits func(State) bool) (int, bool) {
	for range 2 {
		for len(*order) > 0 {
			to := (*order)[len(*order)-1]
			*order = (*order)[:len(*order)-1]
			if fits(n.members[to].state) && !n.ackedRecently(now, to) {
				return to, true
			}
		}
		for i := range n.members {
			if i != n.Self && fits(n.members[i].state) {
				*order = append(*order, i)
			}
		}
		n.Rand.Shuffle(len(*order), func(i, j int) { (*order)[i], (*order)[j] = (*order)[j], (*order)[i] })
	}
	return 0, false
}

// ackedRecently reports whether a member has acked something that is at most half a round old: it
// has probed this node, and told as much as it would now. So all are heard of evenly, twice as
// often as by one's own probes alone.
func (n *Node) ackedRecently(now time.Duration, i int) bool {
	const answers = 2 // for each probe sent, one is received
	v := n.members[i].lastLeaseAck
	return v > 0 && now-v < time.Duration(n.Size)*Period/answers/2
}

// addAccusation puts what a member is accused of first on a message to it, so that it can refute
// it.
func (n *Node) addAccusation(to int) {
	if m := &n.members[to]; m.state == Suspect || m.state == Dead {
		n.out.Rumours = append(
			n.out.Rumours,
			Rumour{Member: to, Session: m.session, State: m.state, Accuser: m.accuser},
		)
	}
}

// timeoutFactor returns how many times longer than usual this node waits, by its local health.
func (n *Node) timeoutFactor() time.Duration { return time.Duration(1 + n.health) }

// noiseFactor returns how many times longer a probe is waited for, as accusations proved wrong
// recently: the network loses much then, and an accusation that everybody receives and that is
// refuted costs more than the wait. Crashed members refute nothing, so they don't slow detection
// down for long.
func (n *Node) noiseFactor(now time.Duration) time.Duration {
	n.refutations *= math.Exp(-float64(now-n.refutationsAt) / float64(noiseDecay))
	n.refutationsAt = now
	return time.Duration(1 + min(maxNoise, n.refutations/noiseStep))
}

// checkProbes times out the probes in flight.
func (n *Node) checkProbes(now time.Duration) {
	n.relayed = slices.DeleteFunc(n.relayed, func(r relayedProbe) bool {
		if now-r.sent < probeTimeout/2 {
			return false
		}
		n.newMessage(IndirectNack)
		n.out.Target, n.out.Cookie = r.target, r.cookie
		n.send(r.from)
		return true
	})
	kept := n.probes[:0]
	var over []probe
	for _, p := range n.probes {
		age := now - p.sent
		if age >= probeTimeout*max(n.timeoutFactor(), n.noiseFactor(now)) {
			over = append(over, p)
			continue
		}
		if !p.indirect && age >= indirectTimeout*n.timeoutFactor() &&
			(p.state == Alive || p.state == Suspect) && n.hasBudget(extraReserve) {
			p.indirect = true
			p.relayCount = n.pingIndirectly(now, p.target, p.sent)
		}
		kept = append(kept, p)
	}
	n.probes = kept
	n.retryProbe(now)
	for _, p := range over {
		n.failProbe(now, p)
	}
}

// retryProbe pings one unanswered target again: one datagram in twenty may be lost, and each
// suspicion is gossiped to all. It pings one with each tick, however many there are: under heavy
// loss, more pings would keep it up. Every other time it is a member that this node accuses: better
// that it answers.
func (n *Node) retryProbe(now time.Duration) {
	if !n.hasBudget(probeReserve) || n.ticks%2 == 0 && n.pingAccused(now) {
		return
	}
	var oldest *probe
	for i := range n.probes {
		p := &n.probes[i]
		if now-p.lastPing >= directTimeout && (p.state == Alive || p.state == Suspect) &&
			(oldest == nil || p.lastPing < oldest.lastPing) {
			oldest = p
		}
	}
	if oldest == nil {
		n.pingAccused(now)
		return
	}
	oldest.lastPing = now
	n.ping(now, oldest.target)
}

// pingAccused pings the member accused by this node whose last ping is the oldest; false: there is
// none.
func (n *Node) pingAccused(now time.Duration) bool {
	oldest := -1
	for i := range n.members {
		s := n.members[i].suspicion
		if s != nil && slices.Contains(s.accusers[:s.count], n.Self) && now-s.lastPing >= Period &&
			(oldest < 0 || s.lastPing < n.members[oldest].suspicion.lastPing) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	n.members[oldest].suspicion.lastPing = now
	n.ping(now, oldest)
	return true
}

// pingIndirectly asks some others to probe: the path between the two may be broken, or this node.
func (n *Node) pingIndirectly(now time.Duration, about int, sent time.Duration) int {
	asked := 0
	for range 4 * indirectProbes {
		i := n.Rand.IntN(n.Size)
		if i == n.Self || i == about || n.members[i].state != Alive {
			continue
		}
		n.newMessage(IndirectPing)
		n.out.Target, n.out.Cookie = about, toStamp(sent)
		n.send(i)
		if asked++; asked == indirectProbes {
			break
		}
	}
	return asked
}

// handleIndirectPing probes a member for another.
func (n *Node) handleIndirectPing(now time.Duration, m *Message) {
	if m.Target < 0 || m.Target >= n.Size || m.Target == n.Self || m.Target == m.From ||
		len(n.relayed) >= 4*indirectProbes {
		return
	}
	n.relayed = append(n.relayed, relayedProbe{m.From, m.Target, m.Cookie, now})
	n.ping(now, m.Target)
}

// completeProbes handles a member's ack to a message that was sent at a moment.
func (n *Node) completeProbes(now time.Duration, from int, sent time.Duration) {
	n.relayed = slices.DeleteFunc(n.relayed, func(r relayedProbe) bool {
		if r.target != from || sent < r.sent-time.Millisecond {
			return false
		}
		n.newMessage(IndirectAck)
		n.out.Target, n.out.Cookie = r.target, r.cookie
		n.send(r.from)
		return true
	})
	n.completeProbe(now, from, sent)
}

// completeProbe ends a probe as answered.
func (n *Node) completeProbe(now time.Duration, to int, sent time.Duration) {
	for i := range n.probes {
		if p := n.probes[i]; p.target == to && p.sent <= sent+time.Millisecond {
			n.probes = slices.Delete(n.probes, i, i+1)
			n.health = max(0, n.health-1)
			if p.state == Alive || p.state == Suspect {
				n.recordResult(false)
			}
			return
		}
	}
}

// handleIndirectAck handles the result of an indirect probe.
func (n *Node) handleIndirectAck(now time.Duration, m *Message) {
	if m.Target < 0 || m.Target >= n.Size {
		return
	}
	if m.Kind == IndirectAck {
		n.completeProbe(now, m.Target, fromStamp(m.Cookie))
		return
	}
	for i := range n.probes {
		if p := &n.probes[i]; p.target == m.Target && toStamp(p.sent) == m.Cookie {
			p.nacks++
		}
	}
}

// recordResult records how a probe of a member that should be present ended.
func (n *Node) recordResult(failed bool) {
	slot := n.resultCount % min(resultWindow, max(1, n.Size-1))
	if n.resultCount >= min(resultWindow, max(1, n.Size-1)) && n.results[slot] {
		n.failed--
	}
	n.results[slot] = failed
	n.resultCount++
	if failed {
		n.failed++
	}
}

// failProbe handles a probe that no path answered in time.
func (n *Node) failProbe(now time.Duration, p probe) {
	if p.state != Alive && p.state != Suspect {
		return // an answer was not expected
	}
	n.Stats.Unanswered++
	n.recordResult(true)
	if p.nacks < p.relayCount { // Lifeguard: those asked did not answer either, so it may be this node
		n.health = min(maxHealth, n.health+1)
	}
	if n.doubtsItself(now) {
		return
	}
	m := &n.members[p.target]
	if m.lastReceived > p.sent { // a message of its own has arrived since
		return
	}
	n.applyRumour(now, Rumour{Member: p.target, Session: m.session, State: Suspect, Accuser: n.Self})
}

func (n *Node) startProbe(now time.Duration, to int) {
	n.Stats.Probes++
	n.probes = append(n.probes, probe{target: to, sent: now, lastPing: now, state: n.members[to].state})
	n.ping(now, to)
}

func (n *Node) ping(now time.Duration, to int) {
	n.newMessage(Ping)
	n.out.Stamp = toStamp(now)
	if n.Stats.Probes%countInterval == 1 {
		n.out.MemberCount = n.FleetSize(now)
	}
	n.addAccusation(to)
	n.addRumours(now, to, n.members[to].digest)
	n.send(to)
}
