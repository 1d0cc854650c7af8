package maintenance

import (
	"time"
)

const (
	sampleInterval = time.Second
	// sampleCount is one more than the number of intervals over which the load is measured.
	sampleCount = 6
)

// Load measures the recent request rate of a sidecar from samples of monotonic counters. The zero value is
// ready to use.
type Load struct {
	at               [sampleCount]time.Duration
	answered, served [sampleCount]uint64
	next, filled     int
}

// Due reports whether the next sample is to be taken.
func (l *Load) Due(now time.Duration) bool {
	return l.filled == 0 || now >= l.at[(l.next+sampleCount-1)%sampleCount]+sampleInterval
}

// Record adds a sample: how many requests have been answered since the process started, and how many of them
// were served successfully.
func (l *Load) Record(now time.Duration, answered, served uint64) {
	l.at[l.next], l.answered[l.next], l.served[l.next] = now, answered, served
	l.next, l.filled = (l.next+1)%sampleCount, min(l.filled+1, sampleCount)
}

// Recent returns how many requests were answered per second, and which share of them was served. The share is 1
// if no request was answered.
func (l *Load) Recent() (rate, servedShare float64) {
	last := (l.next + sampleCount - 1) % sampleCount
	first := (l.next + sampleCount - l.filled) % sampleCount
	seconds := (l.at[last] - l.at[first]).Seconds()
	answered, served := l.answered[last]-l.answered[first], l.served[last]-l.served[first]
	if seconds <= 0 || answered == 0 {
		return 0, 1
	}
	return float64(answered) / seconds, float64(served) / float64(answered)
}
