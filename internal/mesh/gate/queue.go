package gate

import "slices"

// queue holds requests that wait for a slot, by priority and then in the order of arrival.
type queue struct {
	byPriority [lowestPriority + 1][]*request
	length     int
}

func (q *queue) add(r *request) {
	q.byPriority[r.priority] = append(q.byPriority[r.priority], r)
	q.length++
}

func (q *queue) remove(r *request) {
	same := q.byPriority[r.priority]
	i := slices.Index(same, r)
	q.byPriority[r.priority] = slices.Delete(same, i, i+1)
	q.length--
}

// lengthOfHighest is how many requests of the highest priority wait.
func (q *queue) lengthOfHighest() int { return len(q.byPriority[0]) }

// lengthBelowHighest is how many others wait.
func (q *queue) lengthBelowHighest() int { return q.length - len(q.byPriority[0]) }

// lengthDownTo is how many requests of a priority and higher ones wait.
func (q *queue) lengthDownTo(priority int) (n int) {
	for _, same := range q.byPriority[:priority+1] {
		n += len(same)
	}
	return n
}

// first is the first request of the highest priority that waits, and longest the one among the
// first ones of lower priorities that arrived first. Either is nil where there is none.
func (q *queue) first() (first, longest *request) {
	for _, same := range q.byPriority {
		switch {
		case len(same) == 0:
		case first == nil:
			first = same[0]
		case longest == nil || same[0].arrivedAt < longest.arrivedAt:
			longest = same[0]
		}
	}
	return first, longest
}

// last is the newest request of the lowest priority that waits; nil: the queue is empty.
func (q *queue) last() *request {
	for priority := lowestPriority; priority >= 0; priority-- {
		if same := q.byPriority[priority]; len(same) > 0 {
			return same[len(same)-1]
		}
	}
	return nil
}
