package maintenance

import "time"

// Report is what a sidecar tells the log's leader while a plan or a turn is there.
type Report struct {
	Clear  uint32  // of all turns up to this one's number that are not over: it sends nothing to their machines, and has nothing out there
	Rate   float64 // requests a second that it answered lately
	InTime float64 // share of them that it served in time
}

// Book is what the log's leader has been told in its term. The zero value knows nothing; Size and Deadline are to be set.
type Book struct {
	Size     int
	Deadline time.Duration // the longest that a request may be out

	all []told
}

// told is what one sidecar has told last.
type told struct {
	Report
	life  uint64
	turn  uint32 // of its report
	heard bool
}

// Heard takes a report, by its process's life and its number. What was overtaken on the way says nothing: a process that is clear of a turn stays so, and one that has come in its place
// has told of itself already.
func (b *Book) Heard(from int, life uint64, turn uint32, r Report) {
	if from < 0 || from >= b.Size {
		return
	}
	if b.all == nil {
		b.all = make([]told, b.Size)
	}
	if t := &b.all[from]; !t.heard || life > t.life || life == t.life && turn > t.turn {
		*t = told{r, life, turn, true}
	}
}

func (b *Book) of(i int) (t told) {
	if i < len(b.all) {
		t = b.all[i]
	}
	return t
}

// Waits are those who may still send to a turn's machine, or have something out there, as far as can be known. until is when no grant of a sidecar can count any more: up to then it has
// to tell that it is clear; behind it the longest deadline has to be over.
func (b *Book) Waits(now time.Duration, turn uint32, until func(i int) time.Duration) (all []int) {
	for i := range b.Size {
		switch t, end := b.of(i), until(i); {
		case now < end && t.heard && t.Clear >= turn:
		case now >= end+b.Deadline:
		default:
			all = append(all, i)
		}
	}
	return all
}

// Sum is what all sidecars have together.
type Sum struct {
	Traffic float64 // requests a second
	InTime  float64 // share of them
	Away    []int   // those who have no grant: what they send, and to whom, is not known
	Whole   bool    // each of the others has told
}

// Sum adds up. Who is away is taken to have as much traffic as the others have on average: it serves on, by its list.
func (b *Book) Sum(now time.Duration, until func(i int) time.Duration) Sum {
	s := Sum{InTime: 1, Whole: true}
	good, heard := 0.0, 0
	for i := range b.Size {
		switch t := b.of(i); {
		case now >= until(i):
			s.Away = append(s.Away, i)
		case !t.heard:
			s.Whole = false
		default:
			heard++
			s.Traffic += t.Rate
			good += t.Rate * t.InTime
		}
	}
	if s.Traffic > 0 {
		s.InTime = good / s.Traffic
		s.Traffic *= float64(heard+len(s.Away)) / float64(heard)
	}
	return s
}
