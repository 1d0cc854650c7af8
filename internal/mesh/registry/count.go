package registry

import (
	"time"
)

type peakSample struct {
	at    int64
	count int
}

// count enters a lease among the live ones or takes it out.
func (t *Table) setLive(now time.Duration, l *lease, live bool) {
	if l.live == live {
		return
	}
	l.live = live
	if live {
		t.liveLeases++
		t.liveByVersion[l.Applied]++
		t.recordPeak(now)
		return
	}
	t.liveLeases--
	if t.liveByVersion[l.Applied]--; t.liveByVersion[l.Applied] == 0 {
		delete(t.liveByVersion, l.Applied)
	}
}

func (t *Table) recordPeak(now time.Duration) {
	at := int64(now / time.Second)
	s := &t.recentPeaks[at%int64(len(t.recentPeaks))]
	if s.at != at {
		*s = peakSample{at: at}
	}
	s.count = max(s.count, t.liveLeases)
}

// Members is the number of live leases.
func (t *Table) Members() int { return t.liveLeases }

// PeakMembers is the largest number of live leases of the last LargestTime.
func (t *Table) PeakMembers(now time.Duration) int {
	most, at := t.liveLeases, int64(now/time.Second)
	for _, s := range t.recentPeaks {
		if s.at > at-int64(PeakWindow/time.Second) {
			most = max(most, s.count)
		}
	}
	return most
}

// MembersBehind is the number of live leases whose sidecar has not applied the given
// configuration version yet.
func (t *Table) MembersBehind(version int64) int {
	behind := 0
	for applied, n := range t.liveByVersion {
		if applied < version {
			behind += n
		}
	}
	return behind
}
