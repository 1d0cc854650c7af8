package maintenance

import (
	"time"
)

const (
	sampleInterval = time.Second
	sampleCount    = 6 // one more than the seconds over which the load is measured
)

// Load is the recent rate of requests that a sidecar answers, from counters that only grow. The
// zero value is ready.
type Load struct {
	at           [sampleCount]time.Duration
	all, passed  [sampleCount]uint64
	next, filled int
}

// Due reports whether the counters are to be read.
func (l *Load) Due(now time.Duration) bool {
	return l.filled == 0 || now >= l.at[(l.next+sampleCount-1)%sampleCount]+sampleInterval
}

// Count records how many requests were answered since the start, and how many of them were served.
func (l *Load) Count(now time.Duration, all, passed uint64) {
	l.at[l.next], l.all[l.next], l.passed[l.next] = now, all, passed
	l.next, l.filled = (l.next+1)%sampleCount, min(l.filled+1, sampleCount)
}

// Recent returns how many requests were answered per second, and which share of them was served; 1
// if there were none.
func (l *Load) Recent() (rate, served float64) {
	last := (l.next + sampleCount - 1) % sampleCount
	first := (l.next + sampleCount - l.filled) % sampleCount
	span := (l.at[last] - l.at[first]).Seconds()
	all, passed := l.all[last]-l.all[first], l.passed[last]-l.passed[first]
	if span <= 0 || all == 0 {
		return 0, 1
	}
	return float64(all) / span, float64(passed) / float64(all)
}
