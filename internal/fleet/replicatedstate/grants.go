package replicatedstate

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// handleReports handles received reports: single reports as a relay or as the leader, batches of a relay as
// the leader.
func (n *Node) handleReports(now time.Duration, from int, m *accordpb.Message) {
	if m.Batch == 0 {
		for _, p := range m.Report {
			if int(p.Number) == from { // a single report must come from the sidecar that it describes
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

// sendGrants sends the leader's pending grants to the relays. A grant is valid from the time its report was
// sent, so grants can wait to be batched. Only maxGrantsPerTick relays are served at a time: in a fleet of
// five thousand sidecars, serving all relays at once exceeded the bandwidth budget, and the same relays were
// starved each time.
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

// pollLaggards requests reports from some of the sidecars that a change waits for, if this sidecar leads:
// most laggards that are in contact have sent a report that was lost.
func (n *Node) pollLaggards(now time.Duration) {
	s := n.participant.State()
	if n.leader == nil || now < n.nextPoll || s.InProgress() == 0 {
		return
	}
	n.nextPoll = now + pollInterval
	laggards := n.leader.Laggards(now, s)
	for k := range min(len(laggards), maxPolled) {
		i := k + n.Rand.IntN(len(laggards)-k)
		laggards[k], laggards[i] = laggards[i], laggards[k]
		n.send(laggards[k].Number, &accordpb.Message{Epoch: n.log.Epoch(), Index: n.log.LastIndex(), Ask: true})
	}
}

// acceptReport records a report as the leader, and reports whether it is granted. A leader grants nothing
// until a majority of the voters has confirmed it in its term and its log is complete up to that
// confirmation.
func (n *Node) acceptReport(now time.Duration, p *accordpb.Report) bool {
	at, index := n.log.LastQuorumAck()
	if n.leader == nil || n.term != n.log.Term() || n.epoch != n.log.Epoch() || at == 0 || n.log.LastIndex() < index {
		return false
	}
	n.recordMaintenanceReport(p)
	s := n.participant.State()
	ref := func(version uint32) policyrollout.Ref { // within an epoch a version number identifies one text
		switch version {
		case s.Current.Version:
			return s.Current
		case s.Pending.Version:
			return s.Pending
		}
		return policyrollout.Ref{Version: version}
	}
	r := policyrollout.Report{
		Incarnation: p.Life, VoterIncarnation: cmp.Or(p.Seat, p.Life), Sequence: p.Turn,
		ReadyVersion: p.Ready, LastIndex: p.Have, Rejection: p.Cannot,
		Active: policyrollout.Active{Mode: policyrollout.Mode(p.Mode), Old: ref(p.Old), New: ref(p.New)},
	}
	return n.leader.ReceiveReport(now, at, int(p.Number), r, s)
}

// handleGrants handles the leader's grants of a batch that this sidecar sent as a relay, the leader's request
// for a report, and a grant of this sidecar's own report.
func (n *Node) handleGrants(now time.Duration, from int, m *accordpb.Message) {
	for _, g := range m.Granted {
		batch, pending := n.pendingBatches[g.Batch]
		if pending && from == n.log.Leader() && now-batch.at < n.Lease {
			for i, queued := range batch.reports {
				if g.Which&(1<<i) != 0 {
					n.deliverGrant(now, queued, m.Index)
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

// deliverGrant passes the grant of a report on to the sidecar that sent the report.
func (n *Node) deliverGrant(now time.Duration, queued queuedReport, index uint64) {
	if queued.from == n.Self.Number {
		n.applyGrant(now, queued.stamp, index)
		return
	}
	n.send(
		queued.from,
		&accordpb.Message{
			Epoch: n.log.Epoch(), Index: index,
			Grant: &accordpb.Grant{Stamp: queued.stamp, Life: queued.report.Life},
		},
	)
}

// applyGrant records the grant of the report that this sidecar sent at the time stamp sent. The grant takes
// effect once the log is present up to index.
func (n *Node) applyGrant(now time.Duration, sent, index uint64) {
	if sent == toStamp(n.lastReportAt) {
		n.granted, n.attempts = true, 0
	}
	n.participant.RecordGrant(now, fromStamp(sent), index)
}
