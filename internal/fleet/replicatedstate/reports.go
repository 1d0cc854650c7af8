package replicatedstate

import (
	"errors"
	"math"
	"strings"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate/accordpb"
)

var errMalformed = errors.New("accord: a message that can't be read")

const (
	largeFleet       = 100 // sidecars from which on grants are not sent sooner during a change
	maxGrantsPerTick = 3   // relays that are sent grants at a time

	maxBatchReports   = 64 // reports in a batch: Granted has a bit for each
	maxPendingBatches = 32 // batches of a relay that wait for grants
	maxQueuedReports  = 4 * maxBatchReports
	fullBatch         = 7 // reports that fill a datagram, roughly
)

// reports is what this sidecar reports of itself, and, as the leader, answers.
type reports struct {
	lastReported reportState   // of the last report
	lastReportAt time.Duration // its stamp, by this sidecar's clock
	granted      bool          // the last report was
	polled       bool          // the leader has asked for a report
	attempts     int           // since the last grant or change
	relayShift   int           // offset among the relays

	lastDecision  policyrollout.Step // of this leader
	decidedAt     time.Duration
	pendingGrants map[int][]*accordpb.Granted // by relay, as the leader
	grantQueue    []queuedRelay               // relays with pending grants, the longest waiting first
	nextPoll      time.Duration

	TooLong int // messages that did not fit into a datagram: there should be none
}

// queuedRelay is a relay that the leader owes grants, since when.
type queuedRelay struct {
	to    int
	since time.Duration
}

// reportState is the part of a report whose change is reported at once.
type reportState struct {
	active     policyrollout.Active
	cannot     string
	ready      uint32
	begun      bool
	openAt     uint64
	voters     int
	clear      uint32 // window up to which this sidecar is clear
	lastWindow uint32 // the last window that is known
}

// sendReport reports to the leader by way of a relay: when something has changed, when the last
// report was not granted, or as a lease passes.
func (n *Node) sendReport(now time.Duration) {
	voters := n.log.Voters()
	if n.log.Epoch() == 0 || len(voters) == 0 {
		return
	}
	n.participant.AdvanceIndex(n.log.LastIndex())
	if leader := n.log.Leader(); n.polled && leader >= 0 && leader != n.Self.Number {
		// In addition to the reports by way of relays, as only those are granted.
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
	case state != n.lastReported: // at once
		n.attempts = 0
	case !n.granted && now >= min(due, n.retryReportAt(now)):
		n.relayShift++ // the relay may be down
		// With growing delays: before a log has started, or while a text is distributed, nobody is
		// granted, and three hundred sidecars that report twice a second overload the voters.
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

// encodeReport returns a report in its wire format.
func (n *Node) encodeReport(r policyrollout.Report) *accordpb.Report {
	voter := uint64(0) // 0: the process's own incarnation
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

// retryReportAt returns when a report that was not granted is sent again.
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

// chooseRelay returns the sidecar by way of which this one reports: it need not be a voter. After
// all relays, the sidecars beside them are tried.
func (n *Node) chooseRelay() int {
	if n.log.IsLeader() {
		return n.Self.Number
	}
	relays := int(math.Ceil(math.Sqrt(float64(n.Size))))
	slot := (n.Self.Number + n.relayShift) % relays
	to := (slot*n.Size/relays + n.relayShift/relays) % n.Size
	if to == n.log.Leader() && n.Size > relays {
		to = (to + 1) % n.Size // the leader has the most to send anyway
	}
	return to
}

// noVote is the voter incarnation that a process reports which had a vote and votes no more.
const noVote = 1

// maxRejectionBytes bounds a report's rejection: it has to fit into a datagram with the rest.
const maxRejectionBytes = 96

// truncateText returns the beginning of a text, in whole characters.
func truncateText(text string, most int) string {
	return strings.ToValidUTF8(text[:min(len(text), most)], "")
}

func toStamp(now time.Duration) uint64 { return uint64(now / time.Microsecond) }

func fromStamp(stamp uint64) time.Duration { return time.Duration(stamp) * time.Microsecond }
