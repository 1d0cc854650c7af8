// Package keyedqueue has the requests of one key run one at a time, in order of arrival: each begins when the previous
// one has ended and none of its attempts may still be running.
package keyedqueue

import (
	"maps"
	"slices"
	"time"
)

// Queue holds the requests of one key. A nil Queue is that of a request without a key, which is always first.
type Queue[R comparable] struct {
	waiting      []R
	blockedUntil time.Duration // until then an attempt may still be running
}

// IsFirst says whether a request is the first of its key.
func (q *Queue[R]) IsFirst(r R) bool { return q == nil || q.waiting[0] == r }

// IsBlocked says whether an attempt of an earlier request may still be running.
func (q *Queue[R]) IsBlocked(now time.Duration) bool { return q != nil && now < q.blockedUntil }

// BlockUntil notes that an attempt may be running until then.
func (q *Queue[R]) BlockUntil(until time.Duration) {
	if q != nil {
		q.blockedUntil = max(q.blockedUntil, until)
	}
}

// Remove removes a request that has ended.
func (q *Queue[R]) Remove(r R) {
	if q != nil {
		i := slices.Index(q.waiting, r)
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Queues are the queues by key.
type Queues[R comparable] map[uint64]*Queue[R]

// Add appends a request to its key's queue. Now and then it drops empty queues; open is the number of open requests.
func (all Queues[R]) Add(now time.Duration, key uint64, r R, open int) *Queue[R] {
	if len(all) > 64+2*open {
		maps.DeleteFunc(all, func(_ uint64, q *Queue[R]) bool { return len(q.waiting) == 0 && now >= q.blockedUntil })
	}
	q := all[key]
	if q == nil {
		q = new(Queue[R])
		all[key] = q
	}
	q.waiting = append(q.waiting, r)
	return q
}
