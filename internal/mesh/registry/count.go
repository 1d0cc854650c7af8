package registry

import (
	"time"
)

type second struct {
	at    int64
	count int
}

// count enters a lease among the live ones or takes it out.
func (t *Table) count(now time.Duration, l *lease, live bool) {
	if l.live == live {
		return
	}
	l.live = live
	if live {
		t.live++
		t.applied[l.Applied]++
		t.note(now)
		return
	}
	t.live--
	if t.applied[l.Applied]--; t.applied[l.Applied] == 0 {
		delete(t.applied, l.Applied)
	}
}

func (t *Table) note(now time.Duration) {
	at := int64(now / time.Second)
	s := &t.recent[at%int64(len(t.recent))]
	if s.at != at {
		*s = second{at: at}
	}
	s.count = max(s.count, t.live)
}

// Members is the number of live leases.
func (t *Table) Members() int { return t.live }

// PeakMembers is the largest number of live leases of the last LargestTime.
func (t *Table) PeakMembers(now time.Duration) int {
	most, at := t.live, int64(now/time.Second)
	for _, s := range t.recent {
		if s.at > at-int64(PeakWindow/time.Second) {
			most = max(most, s.count)
		}
	}
	return most
}

// Behind is the number of live leases whose sidecar has not applied the given
// configuration version yet.
func (t *Table) Behind(version int64) int {
	behind := 0
	for applied, n := range t.applied {
		if applied < version {
			behind += n
		}
	}
	return behind
}
