package replicatedstate

import (
	"cmp"
	"errors"
	"math"
	"strings"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"

	"google.golang.org/protobuf/proto"
)

var errSpoilt = errors.New("accord: a message that can't be read")

const (
	many        = 100 // sidecars from which on the leader's word may not be told sooner in a change
	answersMost = 3   // relays that are told the leader's word at a time

	batchMost  = 64 // reports in one: a bit each
	batchesOut = 32 // that a relay has no word on yet
	waitMost   = 4 * batchMost
	full       = 7 // reports that fill a datagram, about
)

// reports is what this sidecar tells of itself.
type reports struct {
	told    reported      // what was last told
	toldAt  time.Duration // by this clock: the report's stamp
	granted bool          // that one was
	poked   bool          // the leader waits for one
	tries   int           // since one was, or something changed
	shift   int           // among the relays

	deciding  policyrollout.Step // what this leader last wanted in the log
	decidedAt time.Duration
	answers   map[int][]*accordpb.Granted // of the leader, by relay
	owed      []owed                      // to which of them, the longest waiting first
	pokeAt    time.Duration

	TooLong int // messages that did not fit: none should
}

// owed is a relay that the leader owes its word, since when.
type owed struct {
	to int
	at time.Duration
}

// reported is what has others told at once when it changes.
type reported struct {
	now    policyrollout.Active
	cannot string
	ready  uint32
	begun  bool
	openAt uint64
	seats  int
	clear  uint32 // of turns on which work is done
	turns  uint32 // the last of them that is known
}

// relay is what this sidecar hands on for others.
type relay struct {
	batch    []handed
	handAt   time.Duration
	handedAt time.Duration
	last     uint32
	waits    map[uint32]relayed // by the batch's number
}

// handed is another's report, or this one's own, on its way to the leader.
type handed struct {
	report *accordpb.Report
	from   int
	stamp  uint64
}

// relayed is a batch on which the leader's word is awaited.
type relayed struct {
	at  time.Duration
	all []handed
}

// report tells the leader how this one stands: where something has changed, where the last report has had no grant, or as a lease goes by.
func (n *Node) report(now time.Duration) {
	seats := n.log.Voters()
	if n.log.Epoch() == 0 || len(seats) == 0 {
		return
	}
	n.holder.AdvanceIndex(n.log.LastIndex())
	if leader := n.log.Leader(); n.poked && leader >= 0 && leader != n.Self.Number {
		// Beside the ordinary ones, which alone are granted: told so twice a second, one that reported straight instead was cut off (accord, seed 22).
		n.send(leader, &accordpb.Message{Epoch: n.log.Epoch(), Report: []*accordpb.Report{n.wire(n.holder.NextReport(now))}})
	}
	n.poked = false
	r := n.holder.NextReport(now)
	s := n.holder.State()
	is := reported{r.Active, r.Rejection, r.ReadyVersion, s.Started, s.OutcomeIndex, min(len(seats), 2), n.clear(), n.work.state.LastWindow}
	switch due := n.toldAt + n.Lease*reportPart/100; {
	case is != n.told: // at once
		n.tries = 0
	case !n.granted && now >= min(due, n.again(now)):
		n.shift++ // that one may be gone
		// Ever later: before a log has begun, or while a text is on its way, nobody is granted, and three hundred that go on asking twice a second are more than voters bear.
		n.tries++
	case now >= due:
	default:
		return
	}
	n.told, n.toldAt, n.granted = is, now, false
	p, to := n.wire(r), n.relayed()
	if to == n.Self.Number {
		n.hand(now, handed{p, to, p.Stamp})
		return
	}
	n.send(to, &accordpb.Message{Epoch: n.log.Epoch(), Report: []*accordpb.Report{p}})
}

// wire is a report as it is sent.
func (n *Node) wire(r policyrollout.Report) *accordpb.Report {
	seat := uint64(0)
	switch {
	case n.log.StorageError() != nil:
		seat = mute
	case n.life != n.Self.Incarnation:
		seat = n.Self.Incarnation
	}
	p := &accordpb.Report{
		Number: uint32(n.Self.Number), Life: n.life, Seat: seat, Stamp: stamp(r.SentAt), Mode: uint32(r.Active.Mode), Old: r.Active.Old.Version, New: r.Active.New.Version, Have: r.LastIndex, Turn: r.Sequence,
		Ready: r.ReadyVersion, Cannot: short(r.Rejection, cannotMost),
	}
	n.ownWork(p)
	return p
}

// again is when a report that was not granted is sent again.
func (n *Node) again(now time.Duration) time.Duration {
	s, left, wait := n.holder.State(), n.holder.GrantedUntil()-now, n.Lease*againPart/100
	switch {
	case left <= 0:
		wait = reportAgain << min(n.tries, 8)
	case left < n.Lease/2:
		wait = max(reportAgain, n.Lease*soonPart/100)
	case s.InProgress() != 0:
		wait = min(wait, changeAgain<<min(n.tries, 8))
	}
	return n.toldAt + wait
}

// relayed is by way of whom this one reports: it need not be a voter. After all relays the ones beside them are tried.
func (n *Node) relayed() int {
	if n.log.IsLeader() {
		return n.Self.Number
	}
	relays := int(math.Ceil(math.Sqrt(float64(n.Size))))
	slot := (n.Self.Number + n.shift) % relays
	to := (slot*n.Size/relays + n.shift/relays) % n.Size
	if to == n.log.Leader() && n.Size > relays {
		to = (to + 1) % n.Size // it has the most to send as it is
	}
	return to
}

// mute is the seat of a process that had one and votes no more.
const mute = 1

// cannotMost bounds what a report says of why something can't be applied: it has to fit with what stands round it.
const cannotMost = 96

// short is the beginning of a text, in whole characters: half of one could not be sent.
func short(text string, most int) string { return strings.ToValidUTF8(text[:min(len(text), most)], "") }

func stamp(now time.Duration) uint64     { return uint64(now / time.Microsecond) }
func unstamp(stamp uint64) time.Duration { return time.Duration(stamp) * time.Microsecond }

// takeReports takes what others report: for the leader, or as the leader.
func (n *Node) takeReports(now time.Duration, from int, m *accordpb.Message) {
	if m.Batch == 0 {
		for _, p := range m.Report {
			if int(p.Number) == from { // else somebody speaks for another
				n.hand(now, handed{p, from, p.Stamp})
			}
		}
		return
	}
	if len(m.Report) > batchMost {
		return
	}
	g := &accordpb.Granted{Batch: m.Batch}
	for i, p := range m.Report {
		if n.hears(now, p) {
			g.Which |= 1 << i
		}
	}
	if g.Which != 0 {
		if n.answers[from] = append(n.answers[from], g); len(n.answers[from]) == 1 {
			n.owed = append(n.owed, owed{from, now})
		}
	}
}

// answer has the leader's word on what was reported go to the relays. It counts from when the reports were sent, so it may wait for more. Few go at a time: all at once
// they were more than there was room for at five thousand, and the same relays had none each time.
func (n *Node) answer(now time.Duration) {
	wait := n.Lease * answerPart / 100
	if n.Size < many && n.holder.State().InProgress() != 0 {
		wait = min(wait, handSoon)
	}
	for range answersMost {
		if len(n.owed) == 0 || now < n.owed[0].at+wait {
			return
		}
		to := n.owed[0].to
		n.owed = n.owed[1:]
		m := &accordpb.Message{Epoch: n.log.Epoch(), Index: n.log.LastIndex()}
		for _, g := range n.answers[to] {
			if m.Granted = append(m.Granted, g); proto.Size(m) > Longest {
				m.Granted = m.Granted[:len(m.Granted)-1]
				n.send(to, m)
				m.Granted = []*accordpb.Granted{g}
			}
		}
		n.send(to, m)
		delete(n.answers, to)
	}
}

// poke has the leader ask some of those whom a change waits for to report: most who are heard of late have reported, and it was lost.
func (n *Node) poke(now time.Duration) {
	s := n.holder.State()
	if n.leader == nil || now < n.pokeAt || s.InProgress() == 0 {
		return
	}
	n.pokeAt = now + pokeEvery
	late := n.leader.Laggards(now, s)
	for k := range min(len(late), pokeMost) {
		i := k + n.Rand.IntN(len(late)-k)
		late[k], late[i] = late[i], late[k]
		n.send(late[k].Number, &accordpb.Message{Epoch: n.log.Epoch(), Index: n.log.LastIndex(), Ask: true})
	}
}

// hand takes a report of one: answered here where this one leads, else kept for the next batch.
func (n *Node) hand(now time.Duration, h handed) {
	if n.log.IsLeader() {
		// In a change those report straight whom it has asked: what they are owed they get by way of a relay, as a word to each would be more than there is room for.
		s := n.holder.State()
		if n.hears(now, h.report) && (h.from == n.Self.Number || s.InProgress() == 0) {
			n.grant(now, h, n.log.LastIndex())
		}
		return
	}
	if len(n.batch) >= waitMost {
		n.batch = n.batch[1:]
	}
	n.batch = append(n.batch, h)
}

// hears is the leader's part: it says whether a report is granted.
func (n *Node) hears(now time.Duration, p *accordpb.Report) bool {
	at, index := n.log.LastQuorumAck()
	if n.leader == nil || n.term != n.log.Term() || n.epoch != n.log.Epoch() || at == 0 || n.log.LastIndex() < index {
		return false
	}
	n.heardWork(p)
	s := n.holder.State()
	ref := func(version uint32) policyrollout.Ref { // in one epoch a version is one text
		switch version {
		case s.Current.Version:
			return s.Current
		case s.Pending.Version:
			return s.Pending
		}
		return policyrollout.Ref{Version: version}
	}
	r := policyrollout.Report{Incarnation: p.Life, VoterIncarnation: cmp.Or(p.Seat, p.Life), Sequence: p.Turn, ReadyVersion: p.Ready, LastIndex: p.Have, Rejection: p.Cannot, Active: policyrollout.Active{Mode: policyrollout.Mode(p.Mode), Old: ref(p.Old), New: ref(p.New)}}
	return n.leader.ReceiveReport(now, at, int(p.Number), r, s)
}

// flush hands on what has gathered.
func (n *Node) flush(now time.Duration) {
	s := n.holder.State()
	wait := n.Lease * handPart / 100
	if s.InProgress() != 0 || n.leaves() {
		wait = handSoon
	}
	if now < min(n.handAt, n.handedAt+wait) && len(n.batch) < full {
		return
	}
	for n.handAt, n.handedAt = now+wait, now; len(n.batch) > 0; {
		to := n.log.Leader()
		if to < 0 || to == n.Self.Number || n.log.Epoch() == 0 {
			n.batch = nil // nobody to hand it to: they will report again
			return
		}
		m := &accordpb.Message{Epoch: n.log.Epoch(), Batch: n.last + 1}
		for _, h := range n.batch {
			p := proto.CloneOf(h.report)
			p.Stamp = 0 // the leader has no use for it
			if m.Report = append(m.Report, p); len(m.Report) > 1 && (proto.Size(m) > Longest || len(m.Report) > batchMost) {
				m.Report = m.Report[:len(m.Report)-1]
				break
			}
		}
		n.last++
		n.waits[n.last] = relayed{now, n.batch[:len(m.Report)]}
		n.batch = n.batch[len(m.Report):]
		delete(n.waits, n.last-batchesOut)
		n.post(to, m, true)
	}
}

// takeGrants takes the leader's word on a batch, and a relay's on this one's own report.
func (n *Node) takeGrants(now time.Duration, from int, m *accordpb.Message) {
	for _, g := range m.Granted {
		batch, waits := n.waits[g.Batch]
		if waits && from == n.log.Leader() && now-batch.at < n.Lease {
			for i, h := range batch.all {
				if g.Which&(1<<i) != 0 {
					n.grant(now, h, m.Index)
				}
			}
			delete(n.waits, g.Batch)
		}
	}
	if m.Ask && from == n.log.Leader() {
		n.poked = true
		n.log.CatchUp(now, from, m.Index)
	}
	if g := m.Grant; g != nil && g.Life == n.life {
		n.take(now, g.Stamp, m.Index)
	}
}

// grant tells one that it is granted.
func (n *Node) grant(now time.Duration, h handed, index uint64) {
	if h.from == n.Self.Number {
		n.take(now, h.stamp, index)
		return
	}
	n.send(h.from, &accordpb.Message{Epoch: n.log.Epoch(), Index: index, Grant: &accordpb.Grant{Stamp: h.stamp, Life: h.report.Life}})
}

func (n *Node) take(now time.Duration, sent, index uint64) {
	if sent == stamp(n.toldAt) {
		n.granted, n.tries = true, 0
	}
	n.holder.RecordGrant(now, unstamp(sent), index)
}
