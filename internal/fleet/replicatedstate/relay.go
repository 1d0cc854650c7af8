package replicatedstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/replicatedstate/accordpb"
)

// relay is the state of this sidecar as a relay of other sidecars' reports.
type relay struct {
	batch          []queuedReport       // reports that wait to be sent to the leader
	nextFlush      time.Duration        // latest time of the next flush
	lastFlush      time.Duration        // time of the last flush
	lastBatch      uint32               // number of the last batch
	pendingBatches map[uint32]sentBatch // batches without an answer, by batch number
}

// queuedReport is a report of this or another sidecar that is forwarded to the leader.
type queuedReport struct {
	report *accordpb.Report
	from   int    // sidecar that sent the report
	stamp  uint64 // send time of the report in µs, on the clock of its sender
}

// sentBatch is a batch of reports that the leader has not answered yet.
type sentBatch struct {
	at      time.Duration // send time
	reports []queuedReport
}

// handleReport answers a report if this sidecar leads, and otherwise queues it for the next batch.
func (n *Node) handleReport(now time.Duration, queued queuedReport) {
	if n.log.IsLeader() {
		// During a change, polled sidecars report directly. They receive their grants by way of relays: one
		// grant message per sidecar would exceed the bandwidth budget.
		s := n.participant.State()
		if n.acceptReport(now, queued.report) && (queued.from == n.Self.Number || s.InProgress() == 0) {
			n.deliverGrant(now, queued, n.log.LastIndex())
		}
		return
	}
	if len(n.batch) >= maxQueuedReports {
		n.batch = n.batch[1:]
	}
	n.batch = append(n.batch, queued)
}

// flushBatch sends the queued reports to the leader when the batching delay has passed or a datagram is full.
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
			n.batch = nil // no leader is known: the sidecars repeat their reports
			return
		}
		m := &accordpb.Message{Epoch: n.log.Epoch(), Batch: n.lastBatch + 1}
		for _, queued := range n.batch {
			p := proto.CloneOf(queued.report)
			p.Stamp = 0 // only the relay needs the stamp
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
