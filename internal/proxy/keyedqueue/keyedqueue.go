// Package keyedqueue lets requests of one key go one at a time: in the order in which they came, each until it has ended and none of its attempts may still be running. It is
// free of I/O; time is passed in.
package keyedqueue

import (
	"maps"
	"slices"
	"time"
)

// Queue is the requests of one key. A nil Line is no line: everybody is first in it.
type Queue[R comparable] struct {
	waiting   []R
	settledAt time.Duration // an attempt may still be running until then
}

// IsFirst says whether a request is the first of its key.
func (l *Queue[R]) IsFirst(r R) bool { return l == nil || l.waiting[0] == r }

// IsSettling says whether an attempt of an earlier one may still be running.
func (l *Queue[R]) IsSettling(now time.Duration) bool { return l != nil && now < l.settledAt }

// SettleUntil takes that an attempt may be running until then.
func (l *Queue[R]) SettleUntil(until time.Duration) {
	if l != nil {
		l.settledAt = max(l.settledAt, until)
	}
}

// Remove takes a request out, which is over.
func (l *Queue[R]) Remove(r R) {
	if l != nil {
		i := slices.Index(l.waiting, r)
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// Queues are those of all keys.
type Queues[R comparable] map[uint64]*Queue[R]

// Add puts a request at the end of its key's line. Lines that nobody waits in go now and then; held is how many requests there are.
func (all Queues[R]) Add(now time.Duration, key uint64, r R, held int) *Queue[R] {
	if len(all) > 64+2*held {
		maps.DeleteFunc(all, func(_ uint64, l *Queue[R]) bool { return len(l.waiting) == 0 && now >= l.settledAt })
	}
	l := all[key]
	if l == nil {
		l = new(Queue[R])
		all[key] = l
	}
	l.waiting = append(l.waiting, r)
	return l
}
