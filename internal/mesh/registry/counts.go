package registry

import "time"

// peakSample is the largest number of live leases during one second of the table's clock.
type peakSample struct {
	second int64
	count  int
}

// markLive counts a lease that is not counted yet.
func (t *Table) markLive(now time.Duration, l *lease) {
	l.live = true
	t.liveLeases++
	t.liveByVersion[l.Applied]++
	t.recordPeak(now)
}

// markEnded removes a lease from the counts, if it is counted.
func (t *Table) markEnded(l *lease) {
	if !l.live {
		return
	}
	l.live = false
	t.liveLeases--
	if t.liveByVersion[l.Applied]--; t.liveByVersion[l.Applied] == 0 {
		delete(t.liveByVersion, l.Applied)
	}
}

func (t *Table) recordPeak(now time.Duration) { t.RecordPeak(now, t.liveLeases) }

// RecordPeak counts so many live leases as seen now. At the start of a process this is what an earlier one
// has seen, as the leases themselves arrive one by one.
func (t *Table) RecordPeak(now time.Duration, leases int) {
	second := int64(now / time.Second)
	sample := &t.recentPeaks[second%int64(len(t.recentPeaks))]
	if sample.second != second {
		*sample = peakSample{second: second}
	}
	sample.count = max(sample.count, leases)
}

// Members is the number of live leases.
func (t *Table) Members() int { return t.liveLeases }

// PeakMembers is the largest number of live leases within the last PeakWindow.
func (t *Table) PeakMembers(now time.Duration) int {
	peak, second := t.liveLeases, int64(now/time.Second)
	for _, sample := range t.recentPeaks {
		if sample.second > second-int64(PeakWindow/time.Second) {
			peak = max(peak, sample.count)
		}
	}
	return peak
}

// MembersBehind is the number of live leases whose sidecar has not applied the given configuration
// version yet.
func (t *Table) MembersBehind(version int64) int {
	behind := 0
	for applied, n := range t.liveByVersion {
		if applied < version {
			behind += n
		}
	}
	return behind
}
