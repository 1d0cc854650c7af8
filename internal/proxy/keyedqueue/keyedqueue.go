// Package keyedqueue lets requests of one key go one at a time: in the order in which they came, each until it has ended and none of its attempts may still be running. It is
// free of I/O; time is passed in.
package keyedqueue

import (
	"maps"
	"slices"
	"time"
)

// Line is the requests of one key. A nil Line is no line: everybody is first in it.
type Line[R comparable] struct {
	waiting []R
	restEnd time.Duration // an attempt may still be running until then
}

// First says whether a request is the first of its key.
func (l *Line[R]) First(r R) bool { return l == nil || l.waiting[0] == r }

// Rests says whether an attempt of an earlier one may still be running.
func (l *Line[R]) Rests(now time.Duration) bool { return l != nil && now < l.restEnd }

// Rest takes that an attempt may be running until then.
func (l *Line[R]) Rest(until time.Duration) {
	if l != nil {
		l.restEnd = max(l.restEnd, until)
	}
}

// Leave takes a request out, which is over.
func (l *Line[R]) Leave(r R) {
	if l != nil {
		i := slices.Index(l.waiting, r)
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// Lines are those of all keys.
type Lines[R comparable] map[uint64]*Line[R]

// Join puts a request at the end of its key's line. Lines that nobody waits in go now and then; held is how many requests there are.
func (all Lines[R]) Join(now time.Duration, key uint64, r R, held int) *Line[R] {
	if len(all) > 64+2*held {
		maps.DeleteFunc(all, func(_ uint64, l *Line[R]) bool { return len(l.waiting) == 0 && now >= l.restEnd })
	}
	l := all[key]
	if l == nil {
		l = new(Line[R])
		all[key] = l
	}
	l.waiting = append(l.waiting, r)
	return l
}
