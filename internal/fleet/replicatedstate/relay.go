package replicatedstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// relay is what this sidecar passes on for others.
type relay struct {
	batch          []queuedReport
	nextFlush      time.Duration
	lastFlush      time.Duration
	lastBatch      uint32
	pendingBatches map[uint32]sentBatch // by batch number
}

// queuedReport is another's report, or this one's own, on its way to the leader.
type queuedReport struct {
	report *accordpb.Report
	from   int
	stamp  uint64
}

// sentBatch is a batch whose grants have not come yet.
type sentBatch struct {
	at      time.Duration
	reports []queuedReport
}

// handleReport handles one report: the leader answers it, others queue it for the next batch.
func (n *Node) handleReport(now time.Duration, h queuedReport) {
	if n.log.IsLeader() {
		// During a change, polled sidecars report directly. They are granted by way of their
		// relays: a grant to each is more than the budget has room for.
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

// flushBatch passes the queued reports on to the leader.
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
			n.batch = nil // no leader: the sidecars will report again
			return
		}
		m := &accordpb.Message{Epoch: n.log.Epoch(), Batch: n.lastBatch + 1}
		for _, h := range n.batch {
			p := proto.CloneOf(h.report)
			p.Stamp = 0 // only the relay needs it
			if m.Report = append(m.Report, p); len(m.Report) > 1 &&
				(proto.Size(m) > MaxMessageBytes || len(m.Report) > maxBatchReports) {
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
