package keyedqueue

import (
	"maps"
	"slices"
	"time"
)

// Queue holds the open requests of one key, in order of arrival. A request without a key has a nil Queue, whose methods
// treat the request as the first and never blocked.
type Queue[R comparable] struct {
	open         []R
	blockedUntil time.Duration // an attempt may still be running before this time
}

// IsFirst reports whether a request is the first of its key.
func (q *Queue[R]) IsFirst(r R) bool { return q == nil || q.open[0] == r }

// IsBlocked reports whether an attempt of an earlier request of the key may still be running.
func (q *Queue[R]) IsBlocked(now time.Duration) bool { return q != nil && now < q.blockedUntil }

// BlockUntil records that an attempt may be running until the given time.
func (q *Queue[R]) BlockUntil(until time.Duration) {
	if q != nil {
		q.blockedUntil = max(q.blockedUntil, until)
	}
}

// Remove removes a request that has ended.
func (q *Queue[R]) Remove(r R) {
	if q != nil {
		i := slices.Index(q.open, r)
		q.open = slices.Delete(q.open, i, i+1)
	}
}

// Queues holds the queue of each key.
type Queues[R comparable] map[uint64]*Queue[R]

// Add appends a request to its key's queue and returns the queue. openRequests is the number of open requests of all
// keys: if there are many more queues than that, Add first removes the queues that are empty and not blocked.
func (all Queues[R]) Add(now time.Duration, key uint64, r R, openRequests int) *Queue[R] {
	if len(all) > 64+2*openRequests {
		maps.DeleteFunc(all, func(_ uint64, q *Queue[R]) bool { return len(q.open) == 0 && now >= q.blockedUntil })
	}
	q := all[key]
	if q == nil {
		q = new(Queue[R])
		all[key] = q
	}
	q.open = append(q.open, r)
	return q
}
