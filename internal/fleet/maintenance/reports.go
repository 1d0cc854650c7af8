package maintenance

import "time"

// Report is what a sidecar tells the log's leader while a plan or a turn is there.
type Report struct {
	ClearUpTo uint32  // of all turns up to this one's number that are not over: it sends nothing to their machines, and has nothing out there
	Rate      float64 // requests a second that it answered lately
	InTime    float64 // share of them that it served in time
}

// Reports is what the log's leader has been told in its term. The zero value knows nothing; Size and Deadline are to be set.
type Reports struct {
	Size     int
	Deadline time.Duration // the longest that a request may be out

	received []receivedReport
}

// receivedReport is what one sidecar has told last.
type receivedReport struct {
	Report
	incarnation uint64
	sequence    uint32 // of its report
	received    bool
}

// Receive takes a report, by its process's life and its number. What was overtaken on the way says nothing: a process that is clear of a turn stays so, and one that has come in its place
// has told of itself already.
func (b *Reports) Receive(from int, life uint64, turn uint32, r Report) {
	if from < 0 || from >= b.Size {
		return
	}
	if b.received == nil {
		b.received = make([]receivedReport, b.Size)
	}
	if t := &b.received[from]; !t.received || life > t.incarnation || life == t.incarnation && turn > t.sequence {
		*t = receivedReport{r, life, turn, true}
	}
}

func (b *Reports) reportOf(i int) (t receivedReport) {
	if i < len(b.received) {
		t = b.received[i]
	}
	return t
}

// WaitingFor are those who may still send to a turn's machine, or have something out there, as far as can be known. until is when no grant of a sidecar can count any more: up to then it has
// to tell that it is clear; behind it the longest deadline has to be over.
func (b *Reports) WaitingFor(now time.Duration, turn uint32, until func(i int) time.Duration) (all []int) {
	for i := range b.Size {
		switch t, end := b.reportOf(i), until(i); {
		case now < end && t.received && t.ClearUpTo >= turn:
		case now >= end+b.Deadline:
		default:
			all = append(all, i)
		}
	}
	return all
}

// Summary is what all sidecars have together.
type Summary struct {
	Traffic     float64 // requests a second
	InTime      float64 // share of them
	Unreachable []int   // those who have no grant: what they send, and to whom, is not known
	Complete    bool    // each of the others has told
}

// Summarize adds up. Who is away is taken to have as much traffic as the others have on average: it serves on, by its list.
func (b *Reports) Summarize(now time.Duration, until func(i int) time.Duration) Summary {
	s := Summary{InTime: 1, Complete: true}
	good, heard := 0.0, 0
	for i := range b.Size {
		switch t := b.reportOf(i); {
		case now >= until(i):
			s.Unreachable = append(s.Unreachable, i)
		case !t.received:
			s.Complete = false
		default:
			heard++
			s.Traffic += t.Rate
			good += t.Rate * t.InTime
		}
	}
	if s.Traffic > 0 {
		s.InTime = good / s.Traffic
		s.Traffic *= float64(heard+len(s.Unreachable)) / float64(heard)
	}
	return s
}
