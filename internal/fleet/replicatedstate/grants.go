package replicatedstate

import (
	"cmp"
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// handleReports handles others' reports: as a relay, or as the leader.
func (n *Node) handleReports(now time.Duration, from int, m *accordpb.Message) {
	if m.Batch == 0 {
		for _, p := range m.Report {
			if int(p.Number) == from { // nobody reports for another
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

// sendGrants sends the leader's grants to the relays. A grant counts from when its report was sent,
// so it may wait for more. Few relays are served at a time: all at once were more than the budget
// had room for at five thousand sidecars, and the same relays got nothing each time.
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

// pollLaggards has the leader ask some of the sidecars that a change waits for to report: most that
// were heard of recently have reported, and the report was lost.
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

// acceptReport is the leader's part: it records a report and says whether it is granted.
func (n *Node) acceptReport(now time.Duration, p *accordpb.Report) bool {
	at, index := n.log.LastQuorumAck()
	if n.leader == nil || n.term != n.log.Term() || n.epoch != n.log.Epoch() || at == 0 || n.log.LastIndex() < index {
		return false
	}
	n.recordMaintenanceReport(p)
	s := n.participant.State()
	ref := func(version uint32) policyrollout.Ref { // within an epoch a version is one text
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

// handleGrants handles the leader's grants of a batch, and a relay's grant of this sidecar's
// report.
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

// deliverGrant tells a sidecar that its report is granted.
func (n *Node) deliverGrant(now time.Duration, h queuedReport, index uint64) {
	if h.from == n.Self.Number {
		n.applyGrant(now, h.stamp, index)
		return
	}
	n.send(
		h.from,
		&accordpb.Message{
			Epoch: n.log.Epoch(), Index: index,
			Grant: &accordpb.Grant{Stamp: h.stamp, Life: h.report.Life},
		},
	)
}

// applyGrant records a grant of this sidecar's own report.
func (n *Node) applyGrant(now time.Duration, sent, index uint64) {
	if sent == toStamp(n.lastReportAt) {
		n.granted, n.attempts = true, 0
	}
	n.participant.RecordGrant(now, fromStamp(sent), index)
}
