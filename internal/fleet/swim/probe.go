package swim

import (
	"math"
	"slices"
	"time"
)

// probe is a probe in flight.
type probe struct {
	target     int
	sent       time.Duration // when the probe was started
	lastPing   time.Duration // when the target was last pinged
	indirect   bool          // other members were asked to probe the target
	nacks      int           // number of IndirectNack messages received from these members
	relayCount int           // number of members that were asked
	state      State         // state of the target when the probe was started
}

// relayedProbe is a probe in flight on behalf of another member.
type relayedProbe struct {
	from, target int    // member that asked for the probe, member that is probed
	cookie       uint64 // identifies the probe to the member that asked for it
	sent         time.Duration
}

// probeNext starts the next probe. Each member present is probed once per round, in an order that
// is shuffled for each round. At intervals, a member that is dead, has left or is unknown is probed
// instead.
func (n *Node) probeNext(now time.Duration) {
	if !n.hasBudget(probeReserve) {
		return
	}
	var to int
	ok := false
	if n.ticks%absentProbeInterval == 0 && !n.fastProbing {
		to, ok = n.nextTarget(
			now, &n.absentTargets,
			func(s State) bool { return s == Dead || s == Left || s == Unknown },
		)
	}
	if !ok {
		// While out of contact, this node cannot know which of the unknown members are absent: all
		// of them count as present.
		to, ok = n.nextTarget(now, &n.presentTargets, func(s State) bool {
			return s == Alive || s == Suspect || s == Unknown && !n.inContact
		})
	}
	if !ok {
		if to, ok = n.nextTarget(now, &n.absentTargets, func(s State) bool { return s != Alive && s != Suspect }); !ok {
			return
		}
	}
	// In a small fleet, a probe of the target may still be in flight: no second probe is started.
	for i := range n.probes {
		if n.probes[i].target == to {
			return
		}
	}
	n.startProbe(now, to)
}

// nextTarget removes the next eligible member from the targets of a round and returns it. If no
// eligible member is left, it starts the next round.
func (n *Node) nextTarget(now time.Duration, targets *[]int, eligible func(State) bool) (int, bool) {
	for range 2 {
		for len(*targets) > 0 {
			number := (*targets)[len(*targets)-1]
			*targets = (*targets)[:len(*targets)-1]
			if eligible(n.members[number].state) && !n.ackedRecently(now, number) {
				return number, true
			}
		}
		for i := range n.members {
			if i != n.Self && eligible(n.members[i].state) {
				*targets = append(*targets, i)
			}
		}
		n.Rand.Shuffle(len(*targets), func(i, j int) { (*targets)[i], (*targets)[j] = (*targets)[j], (*targets)[i] })
	}
	return 0, false
}

// ackedRecently reports whether a member has acked, with a lease, a message that was sent at most
// half a round ago. Such a member has probed this node, and the exchange carried the same
// information as a probe would now. Skipping it spreads the exchanges evenly over the members, at
// twice the rate of this node's own probes.
func (n *Node) ackedRecently(now time.Duration, number int) bool {
	const exchangesPerRound = 2 // per member and round: this node probes the member and is probed by it
	lastAck := n.members[number].lastLeaseAck
	return lastAck > 0 && now-lastAck < time.Duration(n.Size)*Period/exchangesPerRound/2
}

// addAccusation puts an accusation against a member first in a message to this member, so that the
// member can refute it.
func (n *Node) addAccusation(to int) {
	if m := &n.members[to]; m.state == Suspect || m.state == Dead {
		n.outgoing.Rumours = append(
			n.outgoing.Rumours,
			Rumour{Member: to, Session: m.session, State: m.state, Accuser: m.accuser},
		)
	}
}

// healthFactor returns the factor by which this node lengthens time-outs because of its local
// health.
func (n *Node) healthFactor() time.Duration { return time.Duration(1 + n.localHealth) }

// refutationFactor returns the factor by which the time-out of probes is lengthened because
// suspicions were refuted recently. Refutations show that the network loses many messages, and a
// false suspicion, which is gossiped to all members and refuted, costs more than a longer wait.
// Crashed members refute nothing, so crashes do not slow down failure detection for long.
func (n *Node) refutationFactor(now time.Duration) time.Duration {
	n.refutations *= math.Exp(-float64(now-n.refutationsAt) / float64(refutationDecay))
	n.refutationsAt = now
	return time.Duration(1 + min(maxRefutationSteps, n.refutations/refutationsPerStep))
}

// checkProbes handles the time-outs of the probes in flight: it reports failed relayed probes, asks
// other members to probe, pings again, and fails probes.
func (n *Node) checkProbes(now time.Duration) {
	n.relayedProbes = slices.DeleteFunc(n.relayedProbes, func(relayed relayedProbe) bool {
		if now-relayed.sent < probeTimeout/2 {
			return false
		}
		n.newMessage(IndirectNack)
		n.outgoing.Target, n.outgoing.Cookie = relayed.target, relayed.cookie
		n.send(relayed.from)
		return true
	})
	remaining := n.probes[:0]
	var expired []probe
	for _, p := range n.probes {
		age := now - p.sent
		if age >= probeTimeout*max(n.healthFactor(), n.refutationFactor(now)) {
			expired = append(expired, p)
			continue
		}
		if !p.indirect && age >= indirectTimeout*n.healthFactor() &&
			(p.state == Alive || p.state == Suspect) && n.hasBudget(extraReserve) {
			p.indirect = true
			p.relayCount = n.pingIndirectly(now, p.target, p.sent)
		}
		remaining = append(remaining, p)
	}
	n.probes = remaining
	n.retryProbe(now)
	for _, p := range expired {
		n.failProbe(now, p)
	}
}

// retryProbe pings one target again that has not answered, as one datagram in twenty may be lost
// and each suspicion is gossiped to all members. It sends at most one ping per tick, whatever the
// number of unanswered probes: under heavy loss, more pings would prolong the overload. On every
// other tick, a member that this node accuses takes precedence, as an answer from it prevents a
// false report of its death.
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

// pingAccused pings the member that this node accuses and has not pinged for the longest time. It
// returns false if there is no such member.
func (n *Node) pingAccused(now time.Duration) bool {
	oldest := -1
	for i := range n.members {
		suspected := n.members[i].suspicion
		if suspected != nil && slices.Contains(suspected.accusers[:suspected.count], n.Self) &&
			now-suspected.lastPing >= Period &&
			(oldest < 0 || suspected.lastPing < n.members[oldest].suspicion.lastPing) {
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

// pingIndirectly asks some other members to probe a target, as only the path between this node and
// the target, or this node itself, may be at fault. It returns the number of members that were
// asked.
func (n *Node) pingIndirectly(now time.Duration, target int, sent time.Duration) int {
	asked := 0
	for range 4 * indirectProbes {
		relay := n.Rand.IntN(n.Size)
		if relay == n.Self || relay == target || n.members[relay].state != Alive {
			continue
		}
		n.newMessage(IndirectPing)
		n.outgoing.Target, n.outgoing.Cookie = target, toStamp(sent)
		n.send(relay)
		if asked++; asked == indirectProbes {
			break
		}
	}
	return asked
}

// handleIndirectPing probes a member on behalf of the sender of an IndirectPing.
func (n *Node) handleIndirectPing(now time.Duration, message *Message) {
	if message.Target < 0 || message.Target >= n.Size || message.Target == n.Self ||
		message.Target == message.From ||
		len(n.relayedProbes) >= 4*indirectProbes {
		return
	}
	n.relayedProbes = append(n.relayedProbes, relayedProbe{message.From, message.Target, message.Cookie, now})
	n.ping(now, message.Target)
}

// completeProbes completes the direct and relayed probes that are answered by a member's ack to a
// message sent at the given time.
func (n *Node) completeProbes(now time.Duration, from int, sent time.Duration) {
	n.relayedProbes = slices.DeleteFunc(n.relayedProbes, func(relayed relayedProbe) bool {
		if relayed.target != from || sent < relayed.sent-time.Millisecond {
			return false
		}
		n.newMessage(IndirectAck)
		n.outgoing.Target, n.outgoing.Cookie = relayed.target, relayed.cookie
		n.send(relayed.from)
		return true
	})
	n.completeProbe(now, from, sent)
}

// completeProbe removes the probe of a member that an ack answers and records its success.
func (n *Node) completeProbe(now time.Duration, to int, sent time.Duration) {
	for i := range n.probes {
		if p := n.probes[i]; p.target == to && p.sent <= sent+time.Millisecond {
			n.probes = slices.Delete(n.probes, i, i+1)
			n.localHealth = max(0, n.localHealth-1)
			if p.state == Alive || p.state == Suspect {
				n.recordResult(false)
			}
			return
		}
	}
}

// handleIndirectAck handles the result of a probe that another member made for this node.
func (n *Node) handleIndirectAck(now time.Duration, message *Message) {
	if message.Target < 0 || message.Target >= n.Size {
		return
	}
	if message.Kind == IndirectAck {
		n.completeProbe(now, message.Target, fromStamp(message.Cookie))
		return
	}
	for i := range n.probes {
		if p := &n.probes[i]; p.target == message.Target && toStamp(p.sent) == message.Cookie {
			p.nacks++
		}
	}
}

// recordResult records the result of a probe of a member that should be present.
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

// failProbe handles a probe that was answered neither directly nor through other members in time.
// It suspects the target unless this node's own view is unreliable.
func (n *Node) failProbe(now time.Duration, p probe) {
	if p.state != Alive && p.state != Suspect {
		return // no answer was expected from an absent member
	}
	n.Stats.Unanswered++
	n.recordResult(true)
	// Lifeguard: some of the members asked sent no IndirectNack either, so that this node may be at
	// fault.
	if p.nacks < p.relayCount {
		n.localHealth = min(maxLocalHealth, n.localHealth+1)
	}
	if n.hasUnreliableView(now) {
		return
	}
	m := &n.members[p.target]
	if m.lastReceived > p.sent { // a message from the target itself has been received since
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
	n.outgoing.Stamp = toStamp(now)
	if n.Stats.Probes%memberCountInterval == 1 {
		n.outgoing.MemberCount = n.FleetSize(now)
	}
	n.addAccusation(to)
	n.addRumours(now, to, n.members[to].digest)
	n.send(to)
}
