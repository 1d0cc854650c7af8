package maintenance

import (
	"time"
)

// Report is what a sidecar reports to the log's leader while a plan is active or a window is open.
type Report struct {
	// ClearUpTo is the number of a window: the sidecar is clear of this window and of all earlier ones, see
	// LocalClearance.
	ClearUpTo uint32
	Rate      float64 // requests per second that the sidecar answered recently
	InTime    float64 // share of these requests that was served in time
}

// Reports holds the latest report of each sidecar in the current leader's term. The zero value holds no report;
// Size and Deadline have to be set.
type Reports struct {
	Size     int           // number of sidecars
	Deadline time.Duration // the longest time that a request may be in flight

	received []receivedReport // by sidecar number
}

// receivedReport is the latest report of a sidecar.
type receivedReport struct {
	Report
	incarnation uint64 // of the process that sent the report
	sequence    uint32 // of the report, within the incarnation
	received    bool
}

// Receive records a report. A report that arrives after a later one (by incarnation, then by sequence number) is
// dropped. Dropping it is safe: a process that is clear of a window stays clear of it, and a process that has
// replaced the sender has already reported.
func (rs *Reports) Receive(from int, incarnation uint64, sequence uint32, report Report) {
	if from < 0 || from >= rs.Size {
		return
	}
	if rs.received == nil {
		rs.received = make([]receivedReport, rs.Size)
	}
	if last := &rs.received[from]; !last.received || incarnation > last.incarnation ||
		incarnation == last.incarnation && sequence > last.sequence {
		*last = receivedReport{report, incarnation, sequence, true}
	}
}

func (rs *Reports) latest(sidecar int) (report receivedReport) {
	if sidecar < len(rs.received) {
		report = rs.received[sidecar]
	}
	return report
}

// WaitingFor returns the sidecars that may still send requests to a window's machine or have requests in flight
// there. grantExpiry returns when the last grant that a sidecar may hold expires. Until then the sidecar has to
// report that it is clear of the window; after that the longest request deadline has to pass.
func (rs *Reports) WaitingFor(
	now time.Duration, window uint32, grantExpiry func(sidecar int) time.Duration,
) (waitingFor []int) {
	for sidecar := range rs.Size {
		switch last, expiry := rs.latest(sidecar), grantExpiry(sidecar); {
		case now < expiry && last.received && last.ClearUpTo >= window:
		case now >= expiry+rs.Deadline:
		default:
			waitingFor = append(waitingFor, sidecar)
		}
	}
	return waitingFor
}

// Summary combines the reports of all sidecars.
type Summary struct {
	Traffic     float64 // requests per second
	InTime      float64 // share of the requests that was served in time
	Unreachable []int   // sidecars without a valid grant: what they send, and to which machines, is unknown
	Complete    bool    // every sidecar with a valid grant has reported
}

// Summarize combines the reports. An unreachable sidecar is assumed to have the average traffic of the sidecars
// that report, because it continues to serve requests.
func (rs *Reports) Summarize(now time.Duration, grantExpiry func(sidecar int) time.Duration) Summary {
	summary := Summary{InTime: 1, Complete: true}
	inTimeRate, reporting := 0.0, 0
	for sidecar := range rs.Size {
		switch last := rs.latest(sidecar); {
		case now >= grantExpiry(sidecar):
			summary.Unreachable = append(summary.Unreachable, sidecar)
		case !last.received:
			summary.Complete = false
		default:
			reporting++
			summary.Traffic += last.Rate
			inTimeRate += last.Rate * last.InTime
		}
	}
	if summary.Traffic > 0 {
		summary.InTime = inTimeRate / summary.Traffic
		summary.Traffic *= float64(reporting+len(summary.Unreachable)) / float64(reporting)
	}
	return summary
}
