package swim

import (
	"math"
	"slices"
	"time"
)

// probe is one that is under way.
type probe struct {
	to    int
	sent  time.Duration
	last  time.Duration // when it was asked again
	asked bool          // others were asked to try
	heard int           // of these, said that it has not answered them
	relay int           // how many were asked
	state State
}

// relayed is a probe made for another.
type relayed struct {
	from, about int
	mark        uint64
	sent        time.Duration
}

// next sends the next probe: to each that is there once in a round, in an order drawn anew, and now and then to one that
// is gone or was never heard of.
func (n *Node) next(now time.Duration) {
	if !n.room(forProbe) {
		return
	}
	var to int
	ok := false
	if n.ticks%rareEvery == 0 && !n.extra {
		to, ok = n.draw(now, &n.rare, func(s State) bool { return s == Gone || s == Left || s == Unknown })
	}
	if !ok {
		// Until it is in contact nobody is known, so all are as good as there.
		to, ok = n.draw(now, &n.order, func(s State) bool {
			return s == Alive || s == Suspect || s == Unknown && !n.in
		})
	}
	if !ok {
		if to, ok = n.draw(now, &n.rare, func(s State) bool { return s != Alive && s != Suspect }); !ok {
			return
		}
	}
	for i := range n.probes { // small fleets: the same one is not probed twice at a time
		if n.probes[i].to == to {
			return
		}
	}
	n.probe(now, to)
}

// draw takes the next member of a round that fits, and begins the next round where none is left.
func (n *Node) draw(now time.Duration, order *[]int, fits func(State) bool) (int, bool) {
	for range 2 {
		for len(*order) > 0 {
			to := (*order)[len(*order)-1]
			*order = (*order)[:len(*order)-1]
			if fits(n.members[to].state) && !n.lately(now, to) {
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

// lately says that a member has answered something that is at most half a round old: it has probed this node, and told as much as it
// would now. So all are heard of evenly, twice as often as by one's own probes alone.
func (n *Node) lately(now time.Duration, i int) bool {
	const answers = 2 // to each probe of one's own comes one of another
	v := n.members[i].vouched
	return v > 0 && now-v < time.Duration(n.Size)*Period/answers/2
}

func (n *Node) probe(now time.Duration, to int) {
	n.Stats.Probes++
	n.probes = append(n.probes, probe{to: to, sent: now, last: now, state: n.members[to].state})
	n.ping(now, to)
}

func (n *Node) ping(now time.Duration, to int) {
	n.begin(Ping)
	n.out.Stamp = stamp(now)
	if n.Stats.Probes%countEvery == 1 {
		n.out.Count = n.Fleet(now)
	}
	n.warn(to)
	n.load(now, to, n.members[to].digest)
	n.send(to)
}

// warn puts what is held against a member first on a message to it: it may refute that.
func (n *Node) warn(to int) {
	if m := &n.members[to]; m.state == Suspect || m.state == Gone {
		n.out.Rumours = append(n.out.Rumours, Rumour{Member: to, Session: m.session, State: m.state, By: m.by})
	}
}

// slack is how many times longer than usual this node waits, as it doubts itself.
func (n *Node) slack() time.Duration { return time.Duration(1 + n.health) }

// noisy is how many times longer a probe is waited for, as accusations proved wrong of late: it is the way that loses much, and each that is heard by all and
// refuted costs more than the wait. Those that crash refute nothing, so it does not hold them up for long.
func (n *Node) noisy(now time.Duration) time.Duration {
	n.refuted *= math.Exp(-float64(now-n.refutedAt) / float64(noiseTime))
	n.refutedAt = now
	return time.Duration(1 + min(noiseMost, n.refuted/noiseStep))
}

// judge looks at the probes under way.
func (n *Node) judge(now time.Duration) {
	n.asked = slices.DeleteFunc(n.asked, func(r relayed) bool {
		if now-r.sent < probeTime/2 {
			return false
		}
		n.begin(NotYet)
		n.out.About, n.out.Mark = r.about, r.mark
		n.send(r.from)
		return true
	})
	kept := n.probes[:0]
	var over []probe
	for _, p := range n.probes {
		age := now - p.sent
		if age >= probeTime*max(n.slack(), n.noisy(now)) {
			over = append(over, p)
			continue
		}
		if !p.asked && age >= relayTime*n.slack() && (p.state == Alive || p.state == Suspect) && n.room(forMore) {
			p.asked = true
			p.relay = n.askOthers(now, p.to, p.sent)
		}
		kept = append(kept, p)
	}
	n.probes = kept
	n.again(now)
	for _, p := range over {
		n.unanswered(now, p)
	}
}

// again asks one of those that have not answered once more: one datagram in twenty may be lost, and each suspicion is heard by all. One with each tick, however
// many there are: where nothing gets through, asking more often is what keeps it so. In turn it is one that this node accuses: better it answers.
func (n *Node) again(now time.Duration) {
	if !n.room(forProbe) || n.ticks%2 == 0 && n.askAccused(now) {
		return
	}
	var oldest *probe
	for i := range n.probes {
		p := &n.probes[i]
		if now-p.last >= directTime && (p.state == Alive || p.state == Suspect) && (oldest == nil || p.last < oldest.last) {
			oldest = p
		}
	}
	if oldest == nil {
		n.askAccused(now)
		return
	}
	oldest.last = now
	n.ping(now, oldest.to)
}

// askAccused asks the one of those accused that was not asked for longest; false: there is none.
func (n *Node) askAccused(now time.Duration) bool {
	oldest := -1
	for i := range n.members {
		s := n.members[i].suspicion
		if s != nil && slices.Contains(s.by[:s.n], n.Self) && now-s.last >= Period && (oldest < 0 || s.last < n.members[oldest].suspicion.last) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	n.members[oldest].suspicion.last = now
	n.ping(now, oldest)
	return true
}

// askOthers has some others try: it may be the way between the two that is broken, or this node.
func (n *Node) askOthers(now time.Duration, about int, sent time.Duration) int {
	asked := 0
	for range 4 * relays {
		i := n.Rand.IntN(n.Size)
		if i == n.Self || i == about || n.members[i].state != Alive {
			continue
		}
		n.begin(Ask)
		n.out.About, n.out.Mark = about, stamp(sent)
		n.send(i)
		if asked++; asked == relays {
			break
		}
	}
	return asked
}

// ask probes a member for another.
func (n *Node) ask(now time.Duration, m *Message) {
	if m.About < 0 || m.About >= n.Size || m.About == n.Self || m.About == m.From || len(n.asked) >= 4*relays {
		return
	}
	n.asked = append(n.asked, relayed{m.From, m.About, m.Mark, now})
	n.ping(now, m.About)
}

// probeEnded takes an answer of a member to what was sent to it at a moment.
func (n *Node) probeEnded(now time.Duration, from int, sent time.Duration) {
	n.asked = slices.DeleteFunc(n.asked, func(r relayed) bool {
		if r.about != from || sent < r.sent-time.Millisecond {
			return false
		}
		n.begin(Told)
		n.out.About, n.out.Mark = r.about, r.mark
		n.send(r.from)
		return true
	})
	n.good(now, from, sent)
}

// good ends a probe well.
func (n *Node) good(now time.Duration, to int, sent time.Duration) {
	for i := range n.probes {
		if p := n.probes[i]; p.to == to && p.sent <= sent+time.Millisecond {
			n.probes = slices.Delete(n.probes, i, i+1)
			n.health = max(0, n.health-1)
			if p.state == Alive || p.state == Suspect {
				n.note(false)
			}
			return
		}
	}
}

// relayed takes what one who was asked found.
func (n *Node) relayed(now time.Duration, m *Message) {
	if m.About < 0 || m.About >= n.Size {
		return
	}
	if m.Kind == Told {
		n.good(now, m.About, at(m.Mark))
		return
	}
	for i := range n.probes {
		if p := &n.probes[i]; p.to == m.About && stamp(p.sent) == m.Mark {
			p.heard++
		}
	}
}

// note keeps how the last probes of those who should be there ended.
func (n *Node) note(failed bool) {
	slot := n.result % min(window, max(1, n.Size-1))
	if n.result >= min(window, max(1, n.Size-1)) && n.results[slot] {
		n.failed--
	}
	n.results[slot] = failed
	n.result++
	if failed {
		n.failed++
	}
}

// unanswered takes that a probe has failed by all ways.
func (n *Node) unanswered(now time.Duration, p probe) {
	if p.state != Alive && p.state != Suspect {
		return // nobody expected it to answer
	}
	n.Stats.Unanswered++
	n.note(true)
	if p.heard < p.relay { // Lifeguard: who was asked did not answer either, so it may be this node
		n.health = min(healthMost, n.health+1)
	}
	if n.doubts(now) {
		return
	}
	m := &n.members[p.to]
	if m.heard > p.sent { // a message of its own has come since
		return
	}
	n.hear(now, Rumour{Member: p.to, Session: m.session, State: Suspect, By: n.Self})
}
