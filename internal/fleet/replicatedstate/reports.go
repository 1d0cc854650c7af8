package replicatedstate

import (
	"errors"
	"math"
	"strings"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

var errMalformed = errors.New("replicatedstate: malformed message of a sidecar")

const (
	largeFleet       = 100 // sidecars; from this size on, grants are not sent earlier during a change
	maxGrantsPerTick = 3   // relays that the leader sends grants to per tick

	maxBatchReports   = 64                  // per batch: accordpb.Granted has one bit per report
	maxPendingBatches = 32                  // batches of a relay that the leader has not answered
	maxQueuedReports  = 4 * maxBatchReports // in a relay's queue
	fullBatch         = 7                   // approximate number of reports that fill a datagram
)

// reports is the state of this sidecar's own reports and, if it leads, of the grants that it owes to relays.
type reports struct {
	lastReported reportState   // state in the last report
	lastReportAt time.Duration // send time of the last report
	granted      bool          // the leader has granted the last report
	polled       bool          // the leader has requested a report
	attempts     int           // retries since the last grant or change of state
	relayShift   int           // offset by which chooseRelay skips relays that did not answer

	lastDecision  policyrollout.Step          // last decision that was proposed as the leader
	decidedAt     time.Duration               // time of lastDecision
	pendingGrants map[int][]*accordpb.Granted // grants that the leader has not sent yet, by relay
	grantQueue    []queuedRelay               // relays with pending grants, in the order of their waiting time
	nextPoll      time.Duration               // earliest time of the next poll of laggards

	OversizedMessages int // messages that were dropped because they exceed MaxMessageBytes; always 0 without a bug
}

// queuedRelay is a relay that the leader has to send grants to.
type queuedRelay struct {
	to    int
	since time.Duration // time of the relay's first pending grant
}

// reportState is the part of a report whose changes are reported immediately.
type reportState struct {
	active       policyrollout.Active
	rejection    string // why this sidecar can't apply the change in progress
	readyVersion uint32 // offered version whose text is present; 0: none
	started      bool   // the log has started
	outcomeIndex uint64 // log index of the last outcome
	voters       int    // number of voters; 2 stands for two or more
	clearUpTo    uint32 // highest window up to which this sidecar has no requests in flight to machines that are out
	lastWindow   uint32 // number of the last maintenance window in the log
}

// sendReport sends a report to the leader by way of a relay if the reported state has changed, if the last
// report was not granted in time, or if reportPercent of a lease has passed. It answers a poll of the leader
// directly.
func (n *Node) sendReport(now time.Duration) {
	voters := n.log.Voters()
	if n.log.Epoch() == 0 || len(voters) == 0 {
		return
	}
	n.participant.AdvanceIndex(n.log.LastIndex())
	if leader := n.log.Leader(); n.polled && leader >= 0 && leader != n.Self.Number {
		// Sent in addition to the reports by way of relays: during a change the leader grants only those.
		n.send(
			leader,
			&accordpb.Message{
				Epoch:  n.log.Epoch(),
				Report: []*accordpb.Report{n.encodeReport(n.participant.NextReport(now))},
			},
		)
	}
	n.polled = false
	r := n.participant.NextReport(now)
	s := n.participant.State()
	state := reportState{
		r.Active, r.Rejection, r.ReadyVersion, s.Started, s.OutcomeIndex, min(len(voters), 2),
		n.clearedWindow(), n.maintenance.state.LastWindow,
	}
	switch due := n.lastReportAt + n.Lease*reportPercent/100; {
	case state != n.lastReported: // report a change of state immediately
		n.attempts = 0
	case !n.granted && now >= min(due, n.retryReportAt(now)):
		n.relayShift++ // the relay may be down
		// The delays grow with each attempt: before a log has started, or while a text is distributed, no
		// report is granted, and three hundred sidecars that report twice a second would overload the voters.
		n.attempts++
	case now >= due:
	default:
		return
	}
	n.lastReported, n.lastReportAt, n.granted = state, now, false
	p, to := n.encodeReport(r), n.chooseRelay()
	if to == n.Self.Number {
		n.handleReport(now, queuedReport{p, to, p.Stamp})
		return
	}
	n.send(to, &accordpb.Message{Epoch: n.log.Epoch(), Report: []*accordpb.Report{p}})
}

// encodeReport returns a report of this sidecar in its wire format.
func (n *Node) encodeReport(r policyrollout.Report) *accordpb.Report {
	voter := uint64(0) // 0: same as the incarnation of the process
	switch {
	case n.log.StorageError() != nil:
		voter = noVote
	case n.incarnation != n.Self.Incarnation:
		voter = n.Self.Incarnation
	}
	p := &accordpb.Report{
		Number: uint32(n.Self.Number),
		Life:   n.incarnation,
		Seat:   voter,
		Stamp:  toStamp(r.SentAt),
		Mode:   uint32(r.Active.Mode),
		Old:    r.Active.Old.Version,
		New:    r.Active.New.Version,
		Have:   r.LastIndex,
		Turn:   r.Sequence,
		Ready:  r.ReadyVersion,
		Cannot: truncateText(r.Rejection, maxRejectionBytes),
	}
	n.addMaintenanceReport(p)
	return p
}

// retryReportAt returns the time at which a report that was not granted is repeated.
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

// chooseRelay returns the sidecar that forwards this sidecar's reports; it need not be a voter. Once all
// relays were tried without success, the sidecars with the next numbers are tried.
func (n *Node) chooseRelay() int {
	if n.log.IsLeader() {
		return n.Self.Number
	}
	relays := int(math.Ceil(math.Sqrt(float64(n.Size))))
	slot := (n.Self.Number + n.relayShift) % relays
	to := (slot*n.Size/relays + n.relayShift/relays) % n.Size
	if to == n.log.Leader() && n.Size > relays {
		to = (to + 1) % n.Size // the leader sends more than any other sidecar already
	}
	return to
}

// noVote is the voter incarnation that a process reports after a storage failure has permanently stopped it
// from voting.
const noVote = 1

// maxRejectionBytes bounds the rejection in a report, so that the report fits into a datagram.
const maxRejectionBytes = 96

// truncateText returns the first bytes of a text, at most the given number, without invalid UTF-8 at the end.
func truncateText(text string, maxBytes int) string {
	return strings.ToValidUTF8(text[:min(len(text), maxBytes)], "")
}

// toStamp converts a time of this sidecar's clock to the wire format, in µs.
func toStamp(now time.Duration) uint64 { return uint64(now / time.Microsecond) }

// fromStamp is the inverse of toStamp.
func fromStamp(stamp uint64) time.Duration { return time.Duration(stamp) * time.Microsecond }
