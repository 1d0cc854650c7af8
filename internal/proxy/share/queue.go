package share

// Queue schedules the work items of several flows on a few permits by start-time fair queueing with a depth (Goyal,
// Vin, Cheng 1996; SFQ(D): Jin, Chase, Kaur 2004). Work items start in the order of their start tags, and each is
// charged its cost once the cost is known. A flow that rarely has work waits for the work items that hold the permits
// and for few others, however many work items of other flows are queued. A flow that asks for more than its share
// waits behind flows that ask for less. No permit is free while work items are queued.
//
// A Queue is not safe for concurrent use. Costs are in nanoseconds of CPU time, or an equivalent unit.
type Queue[T any] struct {
	free     int     // free permits, without the reserved ones
	reserved int     // free permits that only an underserved flow may take
	now      float64 // virtual time: the start tag of the work item that started last
	flows    []flow[T]
	waiting  int // queued work items of all flows
}

// flow holds the work items of one client, or of one kind.
type flow[T any] struct {
	weight     float64
	nextStart  float64 // the earliest start tag of the flow's next work item
	recentCost float64 // the flow's part of the last recentCostWindow of cost of all flows
	meanCost   float64 // smoothed cost of a work item; a running work item is charged it until its own cost is known
	queue      []T     // the queued work items are queue[head:]
	head       int
}

// meanCostGain is the weight of the newest cost in a flow's mean cost.
const meanCostGain = 1.0 / 8

// A flow is underserved while its recent cost divided by its weight is below underservedFraction of the same quotient
// of all flows together. Start tags do not show this, as the next start tag is always near the virtual time.
const (
	underservedFraction = 0.5
	recentCostWindow    = 50e6 // in units of cost
)

// NewQueue returns a queue for flows with the given weights, which must be above 0. The queue has at least one permit.
// In addition it has reserved permits for underserved flows, so that these flows do not wait for work items that hold a
// permit for a long time.
func NewQueue[T any](permits, reserved int, weights []float64) *Queue[T] {
	q := &Queue[T]{free: max(1, permits), reserved: reserved, flows: make([]flow[T], len(weights))}
	for i, w := range weights {
		q.flows[i] = flow[T]{weight: w, meanCost: 1}
	}
	return q
}

// Acquire takes a permit for a work item of flow f, or queues the work item; in the second case a later Release
// returns the work item when it may start. Each granted permit is given back with Release, which is also told whether
// the permit was a reserved one.
func (q *Queue[T]) Acquire(f int, work T) (granted, reserved bool) {
	w := &q.flows[f]
	if q.free > 0 { // which implies that no work item is queued
		q.free--
		q.start(w)
		return true, false
	}
	if q.reserved > 0 && q.IsUnderserved(f) && w.head == len(w.queue) {
		q.reserved--
		q.start(w)
		return true, true
	}
	w.queue = append(w.queue, work)
	q.waiting++
	return false, false
}

// start advances the virtual time and the flow's next start tag for a work item that starts now.
func (q *Queue[T]) start(w *flow[T]) {
	q.now = max(q.now, w.nextStart)
	// A flow that had no work items starts at the current virtual time: it does not accumulate unused permits.
	w.nextStart = max(w.nextStart, q.now) + w.meanCost/w.weight
}

// Release gives back the permit of a work item that has ended. requester is the flow that acquired the permit; owner is
// the flow that the work item turned out to belong to, which is charged the cost. If they differ, both are charged.
// Release returns the work item that may start now with the permit, if there is one. A reserved permit goes only to a
// work item of an underserved flow, and stays a reserved one.
func (q *Queue[T]) Release(requester, owner int, reserved bool, cost float64) (next T, ok bool) {
	requesterFlow, ownerFlow := &q.flows[requester], &q.flows[owner]
	requesterFlow.nextStart -= requesterFlow.meanCost / requesterFlow.weight
	q.charge(ownerFlow, cost)
	if requester != owner { // the work item was admitted as the requester's own
		q.charge(requesterFlow, cost)
	}
	best := q.earliest()
	if reserved && best != nil && !q.underserved(best) {
		best = nil
	}
	if best == nil {
		if reserved {
			q.reserved++
		} else {
			q.free++
		}
		return next, false
	}
	next = best.dequeue()
	q.waiting--
	q.start(best)
	return next, true
}

// charge charges a flow the cost of a work item.
func (q *Queue[T]) charge(w *flow[T], cost float64) {
	w.nextStart = max(w.nextStart, q.now) + cost/w.weight
	w.meanCost += (cost - w.meanCost) * meanCostGain
	decay := max(0, 1-cost/recentCostWindow)
	for i := range q.flows {
		q.flows[i].recentCost *= decay
	}
	w.recentCost += cost
}

// earliest returns the flow whose queued work item has the earliest start tag, or nil if none is queued.
func (q *Queue[T]) earliest() (best *flow[T]) {
	if q.waiting == 0 {
		return nil
	}
	for i := range q.flows {
		if w := &q.flows[i]; w.head < len(w.queue) && (best == nil || w.nextStart < best.nextStart) {
			best = w
		}
	}
	return best
}

// dequeue removes the flow's first queued work item and returns it.
func (w *flow[T]) dequeue() T {
	work := w.queue[w.head]
	var none T
	w.queue[w.head] = none
	if w.head++; w.head == len(w.queue) {
		w.queue, w.head = w.queue[:0], 0
	} else if w.head > 64 && w.head > len(w.queue)/2 { // bounds the slice of a flow that always has queued work items
		n := copy(w.queue, w.queue[w.head:])
		clear(w.queue[n:])
		w.queue, w.head = w.queue[:n], 0
	}
	return work
}

// IsUnderserved reports whether flow f recently had less than half of its share.
func (q *Queue[T]) IsUnderserved(f int) bool { return q.underserved(&q.flows[f]) }

// underserved is IsUnderserved by the flow instead of its number.
func (q *Queue[T]) underserved(w *flow[T]) bool {
	used, weights := 0.0, 0.0
	for i := range q.flows {
		used += q.flows[i].recentCost
		weights += q.flows[i].weight
	}
	return w.recentCost/w.weight < underservedFraction*used/weights
}

// Waiting returns the number of queued work items.
func (q *Queue[T]) Waiting() int { return q.waiting }
