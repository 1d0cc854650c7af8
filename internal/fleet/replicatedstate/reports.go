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

var errMalformed = errors.New("accord: a message that can't be read")

const (
	largeFleet       = 100 // sidecars from which on the leader's word may not be told sooner in a change
	maxGrantsPerTick = 3   // relays that are told the leader's word at a time

	maxBatchReports   = 64 // reports in one: a bit each
	maxPendingBatches = 32 // that a relay has no word on yet
	maxQueuedReports  = 4 * maxBatchReports
	fullBatch         = 7 // reports that fill a datagram, about
)

// reports is what this sidecar tells of itself.
type reports struct {
	lastReported reportState   // what was last told
	lastReportAt time.Duration // by this clock: the report's stamp
	granted      bool          // that one was
	polled       bool          // the leader waits for one
	attempts     int           // since one was, or something changed
	relayShift   int           // among the relays

	lastDecision  policyrollout.Step // what this leader last wanted in the log
	decidedAt     time.Duration
	pendingGrants map[int][]*accordpb.Granted // of the leader, by relay
	grantQueue    []queuedRelay               // to which of them, the longest waiting first
	nextPoll      time.Duration

	TooLong int // messages that did not fit: none should
}

// queuedRelay is a relay that the leader owes its word, since when.
type queuedRelay struct {
	to    int
	since time.Duration
}

// reportState is what has others told at once when it changes.
type reportState struct {
	active     policyrollout.Active
	cannot     string
	ready      uint32
	begun      bool
	openAt     uint64
	voters     int
	clear      uint32 // of turns on which work is done
	lastWindow uint32 // the last of them that is known
}

// relay is what this sidecar hands on for others.
type relay struct {
	batch          []queuedReport
	nextFlush      time.Duration
	lastFlush      time.Duration
	lastBatch      uint32
	pendingBatches map[uint32]sentBatch // by the batch's number
}

// queuedReport is another's report, or this one's own, on its way to the leader.
type queuedReport struct {
	report *accordpb.Report
	from   int
	stamp  uint64
}

// sentBatch is a batch on which the leader's word is awaited.
type sentBatch struct {
	at      time.Duration
	reports []queuedReport
}

// sendReport tells the leader how this one stands: where something has changed, where the last report has had no grant, or as a lease goes by.
func (n *Node) sendReport(now time.Duration) {
	seats := n.log.Voters()
	if n.log.Epoch() == 0 || len(seats) == 0 {
		return
	}
	n.participant.AdvanceIndex(n.log.LastIndex())
	if leader := n.log.Leader(); n.polled && leader >= 0 && leader != n.Self.Number {
		// Beside the ordinary ones, which alone are granted: told so twice a second, one that reported straight instead was cut off (accord, seed 22).
		n.send(leader, &accordpb.Message{Epoch: n.log.Epoch(), Report: []*accordpb.Report{n.encodeReport(n.participant.NextReport(now))}})
	}
	n.polled = false
	r := n.participant.NextReport(now)
	s := n.participant.State()
	is := reportState{r.Active, r.Rejection, r.ReadyVersion, s.Started, s.OutcomeIndex, min(len(seats), 2), n.clearedWindow(), n.maintenance.state.LastWindow}
	switch due := n.lastReportAt + n.Lease*reportPercent/100; {
	case is != n.lastReported: // at once
		n.attempts = 0
	case !n.granted && now >= min(due, n.retryReportAt(now)):
		n.relayShift++ // that one may be gone
		// Ever later: before a log has begun, or while a text is on its way, nobody is granted, and three hundred that go on asking twice a second are more than voters bear.
		n.attempts++
	case now >= due:
	default:
		return
	}
	n.lastReported, n.lastReportAt, n.granted = is, now, false
	p, to := n.encodeReport(r), n.chooseRelay()
	if to == n.Self.Number {
		n.handleReport(now, queuedReport{p, to, p.Stamp})
		return
	}
	n.send(to, &accordpb.Message{Epoch: n.log.Epoch(), Report: []*accordpb.Report{p}})
}

// encodeReport is a report as it is sent.
func (n *Node) encodeReport(r policyrollout.Report) *accordpb.Report {
	seat := uint64(0)
	switch {
	case n.log.StorageError() != nil:
		seat = noVote
	case n.incarnation != n.Self.Incarnation:
		seat = n.Self.Incarnation
	}
	p := &accordpb.Report{
		Number: uint32(n.Self.Number), Life: n.incarnation, Seat: seat, Stamp: toStamp(r.SentAt), Mode: uint32(r.Active.Mode), Old: r.Active.Old.Version, New: r.Active.New.Version, Have: r.LastIndex, Turn: r.Sequence,
		Ready: r.ReadyVersion, Cannot: truncateText(r.Rejection, maxRejectionBytes),
	}
	n.addMaintenanceReport(p)
	return p
}

// retryReportAt is when a report that was not granted is sent again.
func (n *Node) retryReportAt(now time.Duration) time.Duration {
	s, left, wait := n.participant.State(), n.participant.GrantedUntil()-now, n.Lease*retryPercent/100
	switch {
	case left <= 0:
		wait = cutOffRetry << min(n.attempts, 8)
	case left < n.Lease/2:
		wait = max(cutOffRetry, n.Lease*urgentRetryPercent/100)
	case s.InProgress() != 0:
		wait = min(wait, changeRetry<<min(n.attempts, 8))
	}
	return n.lastReportAt + wait
}

// chooseRelay is by way of whom this one reports: it need not be a voter. After all relays the ones beside them are tried.
func (n *Node) chooseRelay() int {
	if n.log.IsLeader() {
		return n.Self.Number
	}
	relays := int(math.Ceil(math.Sqrt(float64(n.Size))))
	slot := (n.Self.Number + n.relayShift) % relays
	to := (slot*n.Size/relays + n.relayShift/relays) % n.Size
	if to == n.log.Leader() && n.Size > relays {
		to = (to + 1) % n.Size // it has the most to send as it is
	}
	return to
}

// noVote is the seat of a process that had one and votes no more.
const noVote = 1

// maxRejectionBytes bounds what a report says of why something can't be applied: it has to fit with what stands round it.
const maxRejectionBytes = 96

// truncateText is the beginning of a text, in whole characters: half of one could not be sent.
func truncateText(text string, most int) string {
	return strings.ToValidUTF8(text[:min(len(text), most)], "")
}

func toStamp(now time.Duration) uint64     { return uint64(now / time.Microsecond) }
func fromStamp(stamp uint64) time.Duration { return time.Duration(stamp) * time.Microsecond }

// handleReports takes what others report: for the leader, or as the leader.
func (n *Node) handleReports(now time.Duration, from int, m *accordpb.Message) {
	if m.Batch == 0 {
		for _, p := range m.Report {
			if int(p.Number) == from { // else somebody speaks for another
				n.handleReport(now, queuedReport{p, from, p.Stamp})
			}
		}
		return
	}
	if len(m.Report) > maxBatchReports {
		return
	}
	g := &accordpb.Granted{Batch: m.Batch}
	for i, p := range m.Report {
		if n.acceptReport(now, p) {
			g.Which |= 1 << i
		}
	}
	if g.Which != 0 {
		if n.pendingGrants[from] = append(n.pendingGrants[from], g); len(n.pendingGrants[from]) == 1 {
			n.grantQueue = append(n.grantQueue, queuedRelay{from, now})
		}
	}
}

// sendGrants has the leader's word on what was reported go to the relays. It counts from when the reports were sent, so it may wait for more. Few go at a time: all at once
// they were more than there was room for at five thousand, and the same relays had none each time.
func (n *Node) sendGrants(now time.Duration) {
	wait := n.Lease * grantPercent / 100
	if n.Size < largeFleet && n.participant.State().InProgress() != 0 {
		wait = min(wait, changeBatchDelay)
	}
	for range maxGrantsPerTick {
		if len(n.grantQueue) == 0 || now < n.grantQueue[0].since+wait {
			return
		}
		to := n.grantQueue[0].to
		n.grantQueue = n.grantQueue[1:]
		m := &accordpb.Message{Epoch: n.log.Epoch(), Index: n.log.LastIndex()}
		for _, g := range n.pendingGrants[to] {
			if m.Granted = append(m.Granted, g); proto.Size(m) > MaxMessageBytes {
				m.Granted = m.Granted[:len(m.Granted)-1]
				n.send(to, m)
				m.Granted = []*accordpb.Granted{g}
			}
		}
		n.send(to, m)
		delete(n.pendingGrants, to)
	}
}

// pollLaggards has the leader ask some of those whom a change waits for to report: most who are heard of late have reported, and it was lost.
func (n *Node) pollLaggards(now time.Duration) {
	s := n.participant.State()
	if n.leader == nil || now < n.nextPoll || s.InProgress() == 0 {
		return
	}
	n.nextPoll = now + pollInterval
	late := n.leader.Laggards(now, s)
	for k := range min(len(late), maxPolled) {
		i := k + n.Rand.IntN(len(late)-k)
		late[k], late[i] = late[i], late[k]
		n.send(late[k].Number, &accordpb.Message{Epoch: n.log.Epoch(), Index: n.log.LastIndex(), Ask: true})
	}
}

// handleReport takes a report of one: answered here where this one leads, else kept for the next batch.
func (n *Node) handleReport(now time.Duration, h queuedReport) {
	if n.log.IsLeader() {
		// In a change those report straight whom it has asked: what they are owed they get by way of a relay, as a word to each would be more than there is room for.
		s := n.participant.State()
		if n.acceptReport(now, h.report) && (h.from == n.Self.Number || s.InProgress() == 0) {
			n.deliverGrant(now, h, n.log.LastIndex())
		}
		return
	}
	if len(n.batch) >= maxQueuedReports {
		n.batch = n.batch[1:]
	}
	n.batch = append(n.batch, h)
}

// acceptReport is the leader's part: it says whether a report is granted.
func (n *Node) acceptReport(now time.Duration, p *accordpb.Report) bool {
	at, index := n.log.LastQuorumAck()
	if n.leader == nil || n.term != n.log.Term() || n.epoch != n.log.Epoch() || at == 0 || n.log.LastIndex() < index {
		return false
	}
	n.recordMaintenanceReport(p)
	s := n.participant.State()
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

// flushBatch hands on what has gathered.
func (n *Node) flushBatch(now time.Duration) {
	s := n.participant.State()
	wait := n.Lease * batchPercent / 100
	if s.InProgress() != 0 || n.windowDraining() {
		wait = changeBatchDelay
	}
	if now < min(n.nextFlush, n.lastFlush+wait) && len(n.batch) < fullBatch {
		return
	}
	for n.nextFlush, n.lastFlush = now+wait, now; len(n.batch) > 0; {
		to := n.log.Leader()
		if to < 0 || to == n.Self.Number || n.log.Epoch() == 0 {
			n.batch = nil // nobody to hand it to: they will report again
			return
		}
		m := &accordpb.Message{Epoch: n.log.Epoch(), Batch: n.lastBatch + 1}
		for _, h := range n.batch {
			p := proto.CloneOf(h.report)
			p.Stamp = 0 // the leader has no use for it
			if m.Report = append(m.Report, p); len(m.Report) > 1 && (proto.Size(m) > MaxMessageBytes || len(m.Report) > maxBatchReports) {
				m.Report = m.Report[:len(m.Report)-1]
				break
			}
		}
		n.lastBatch++
		n.pendingBatches[n.lastBatch] = sentBatch{now, n.batch[:len(m.Report)]}
		n.batch = n.batch[len(m.Report):]
		delete(n.pendingBatches, n.lastBatch-maxPendingBatches)
		n.sendUrgent(to, m, true)
	}
}

// handleGrants takes the leader's word on a batch, and a relay's on this one's own report.
func (n *Node) handleGrants(now time.Duration, from int, m *accordpb.Message) {
	for _, g := range m.Granted {
		batch, waits := n.pendingBatches[g.Batch]
		if waits && from == n.log.Leader() && now-batch.at < n.Lease {
			for i, h := range batch.reports {
				if g.Which&(1<<i) != 0 {
					n.deliverGrant(now, h, m.Index)
				}
			}
			delete(n.pendingBatches, g.Batch)
		}
	}
	if m.Ask && from == n.log.Leader() {
		n.polled = true
		n.log.CatchUp(now, from, m.Index)
	}
	if g := m.Grant; g != nil && g.Life == n.incarnation {
		n.applyGrant(now, g.Stamp, m.Index)
	}
}

// deliverGrant tells one that it is granted.
func (n *Node) deliverGrant(now time.Duration, h queuedReport, index uint64) {
	if h.from == n.Self.Number {
		n.applyGrant(now, h.stamp, index)
		return
	}
	n.send(h.from, &accordpb.Message{Epoch: n.log.Epoch(), Index: index, Grant: &accordpb.Grant{Stamp: h.stamp, Life: h.report.Life}})
}

func (n *Node) applyGrant(now time.Duration, sent, index uint64) {
	if sent == toStamp(n.lastReportAt) {
		n.granted, n.attempts = true, 0
	}
	n.participant.RecordGrant(now, fromStamp(sent), index)
}
