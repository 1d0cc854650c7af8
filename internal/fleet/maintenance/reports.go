package maintenance

import (
	"time"
)

// Report is what a sidecar tells the log's leader while there is a plan or a window.
type Report struct {
	// it sends nothing, and has nothing in flight, to the machines of all windows up to this one
	ClearUpTo uint32
	Rate      float64 // requests per second that it answered recently
	InTime    float64 // share of them that it served in time
}

// Reports is what the log's leader has been told in its term. The zero value knows nothing; Size
// and Deadline are to be set.
type Reports struct {
	Size     int
	Deadline time.Duration // the longest that a request may be in flight

	received []receivedReport
}

// receivedReport is the last report of a sidecar.
type receivedReport struct {
	Report
	incarnation uint64
	sequence    uint32 // of the report
	received    bool
}

// Receive records a report, by its process's incarnation and sequence number. One that arrives
// after a later one is dropped: a process that is clear of a window stays so, and a process that
// has come in its place has reported already.
func (rs *Reports) Receive(from int, life uint64, turn uint32, r Report) {
	if from < 0 || from >= rs.Size {
		return
	}
	if rs.received == nil {
		rs.received = make([]receivedReport, rs.Size)
	}
	if t := &rs.received[from]; !t.received || life > t.incarnation || life == t.incarnation && turn > t.sequence {
		*t = receivedReport{r, life, turn, true}
	}
}

func (rs *Reports) reportOf(i int) (t receivedReport) {
	if i < len(rs.received) {
		t = rs.received[i]
	}
	return t
}

// WaitingFor returns the sidecars that may still send to a window's machine, or have requests in
// flight there. until returns when no grant of a sidecar can count any more: up to then the sidecar
// has to report that it is clear; after that the longest deadline has to pass.
func (rs *Reports) WaitingFor(now time.Duration, turn uint32, until func(i int) time.Duration) (all []int) {
	for i := range rs.Size {
		switch t, end := rs.reportOf(i), until(i); {
		case now < end && t.received && t.ClearUpTo >= turn:
		case now >= end+rs.Deadline:
		default:
			all = append(all, i)
		}
	}
	return all
}

// Summary is the sum of all sidecars' reports.
type Summary struct {
	Traffic     float64 // requests per second
	InTime      float64 // share of them
	Unreachable []int   // sidecars without a grant: what they send, and to whom, is not known
	Complete    bool    // each of the others has reported
}

// Summarize adds up the reports. A sidecar that is out of contact is assumed to have the average
// traffic of the others: it goes on serving.
func (rs *Reports) Summarize(now time.Duration, until func(i int) time.Duration) Summary {
	s := Summary{InTime: 1, Complete: true}
	good, reporting := 0.0, 0
	for i := range rs.Size {
		switch t := rs.reportOf(i); {
		case now >= until(i):
			s.Unreachable = append(s.Unreachable, i)
		case !t.received:
			s.Complete = false
		default:
			reporting++
			s.Traffic += t.Rate
			good += t.Rate * t.InTime
		}
	}
	if s.Traffic > 0 {
		s.InTime = good / s.Traffic
		s.Traffic *= float64(reporting+len(s.Unreachable)) / float64(reporting)
	}
	return s
}
