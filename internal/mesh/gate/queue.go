package gate

import "slices"

// queue holds requests that wait for a slot, ordered by priority and then by arrival.
type queue struct {
	byPriority [lowestPriority + 1][]*request
	length     int // total over all priorities
}

func (q *queue) add(r *request) {
	q.byPriority[r.priority] = append(q.byPriority[r.priority], r)
	q.length++
}

func (q *queue) remove(r *request) {
	requests := q.byPriority[r.priority]
	i := slices.Index(requests, r)
	q.byPriority[r.priority] = slices.Delete(requests, i, i+1)
	q.length--
}

// lengthOfHighest returns the number of queued requests of priority 0.
func (q *queue) lengthOfHighest() int { return len(q.byPriority[0]) }

// lengthBelowHighest returns the number of queued requests of all priorities below priority 0.
func (q *queue) lengthBelowHighest() int { return q.length - len(q.byPriority[0]) }

// lengthDownTo returns the number of queued requests of the given priority and of higher priorities.
func (q *queue) lengthDownTo(priority int) (n int) {
	for _, requests := range q.byPriority[:priority+1] {
		n += len(requests)
	}
	return n
}

// first returns the oldest request of the highest priority in the queue and, among the requests of lower priorities,
// the request that arrived first. Either is nil if there is no such request.
func (q *queue) first() (first, oldestLower *request) {
	for _, requests := range q.byPriority {
		switch {
		case len(requests) == 0:
		case first == nil:
			first = requests[0]
		case oldestLower == nil || requests[0].arrivedAt < oldestLower.arrivedAt:
			oldestLower = requests[0]
		}
	}
	return first, oldestLower
}

// last returns the newest request of the lowest priority in the queue, nil if the queue is empty.
func (q *queue) last() *request {
	for priority := lowestPriority; priority >= 0; priority-- {
		if requests := q.byPriority[priority]; len(requests) > 0 {
			return requests[len(requests)-1]
		}
	}
	return nil
}
