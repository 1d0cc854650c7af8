package share

// Queue gives out a few permits for work among flows by start-time fair queueing with a depth (Goyal, Vin, Cheng
// 1996; SFQ(D): Jin, Chase, Kaur 2004). Waiting work is served in the order of its start tags, and charged its
// cost once that is known. So a flow that rarely has work waits for what holds the permits and for little else,
// however much work of others waits; a flow that wants more than its share waits behind those that want less;
// and no permit is free while work waits.
//
// It does no I/O and is not safe for concurrent use. Costs are in nanoseconds of a core, or an equivalent.
type Queue[T any] struct {
	free     int     // permits
	reserved int     // free permits that only an underserved flow may take
	now      float64 // virtual time: the start tag of the work begun last
	flows    []flow[T]
	waiting  int // over all flows
}

// flow is the work of one client, or of one kind.
type flow[T any] struct {
	weight     float64
	nextStart  float64 // the earliest start tag of the flow's next work
	recentCost float64 // over the last recentWindow of all flows' cost
	meanCost   float64 // smoothed; work in progress counts with it until its own cost is known
	queue      []T     // from head on, the work that waits
	head       int
}

// meanCostGain is the weight of the newest cost in a flow's mean cost.
const meanCostGain = 1.0 / 8

// A flow is underserved while its recent cost, by weight, is below underservedBelow of that of all flows. Start
// tags can't tell that: what starts next is always near the virtual time. recentWindow is in units of cost.
const (
	underservedBelow = 0.5
	recentWindow     = 50e6
)

// NewQueue makes a queue with permits, at least one, among flows by weight; weights must be above 0. Beside the
// permits there are reserved ones for underserved flows, which so don't wait for work that holds a permit for
// long.
func NewQueue[T any](permits, reserved int, weights []float64) *Queue[T] {
	q := &Queue[T]{free: max(1, permits), reserved: reserved, flows: make([]flow[T], len(weights))}
	for i, w := range weights {
		q.flows[i] = flow[T]{weight: w, meanCost: 1}
	}
	return q
}

// Acquire takes a permit for a flow's work, or queues the work: then Release returns it when it may begin.
// Whoever got a permit has to give it back with Release, and to say whether it was a reserved one.
func (q *Queue[T]) Acquire(f int, work T) (granted, reserved bool) {
	w := &q.flows[f]
	if q.free > 0 { // then no work waits
		q.free--
		q.begin(w)
		return true, false
	}
	if q.reserved > 0 && q.IsUnderserved(f) && w.head == len(w.queue) {
		q.reserved--
		q.begin(w)
		return true, true
	}
	w.queue = append(w.queue, work)
	q.waiting++
	return false, false
}

// begin counts the flow's work that starts now.
func (q *Queue[T]) begin(w *flow[T]) {
	q.now = max(q.now, w.nextStart)
	// A flow that had no work starts at the current time: it saved nothing up.
	w.nextStart = max(w.nextStart, q.now) + w.meanCost/w.weight
}

// Release gives a permit back. asked is the flow that it was acquired for; cost is charged to the flow of, which
// the work turned out to belong to. Release returns the work that may begin now with the permit, if any. A
// reserved permit only goes to the work of an underserved flow, and stays a reserved one.
func (q *Queue[T]) Release(asked, of int, reserved bool, cost float64) (next T, ok bool) {
	a, w := &q.flows[asked], &q.flows[of]
	a.nextStart -= a.meanCost / a.weight
	q.charge(w, cost)
	if asked != of { // it was admitted as its own
		q.charge(a, cost)
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
	q.begin(best)
	return next, true
}

// charge charges a flow the cost of its work.
func (q *Queue[T]) charge(w *flow[T], cost float64) {
	w.nextStart = max(w.nextStart, q.now) + cost/w.weight
	w.meanCost += (cost - w.meanCost) * meanCostGain
	kept := max(0, 1-cost/recentWindow)
	for i := range q.flows {
		q.flows[i].recentCost *= kept
	}
	w.recentCost += cost
}

// earliest returns the flow whose waiting work starts first, or nil.
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

// dequeue takes the flow's next work out of its queue.
func (w *flow[T]) dequeue() T {
	work := w.queue[w.head]
	var none T
	w.queue[w.head] = none
	if w.head++; w.head == len(w.queue) {
		w.queue, w.head = w.queue[:0], 0
	} else if w.head > 64 && w.head > len(w.queue)/2 { // a queue that is never empty must not grow without bound
		n := copy(w.queue, w.queue[w.head:])
		clear(w.queue[n:])
		w.queue, w.head = w.queue[:n], 0
	}
	return work
}

// IsUnderserved says whether a flow recently had less than half of its share.
func (q *Queue[T]) IsUnderserved(f int) bool { return q.underserved(&q.flows[f]) }

// underserved is IsUnderserved for a flow itself.
func (q *Queue[T]) underserved(w *flow[T]) bool {
	used, weights := 0.0, 0.0
	for i := range q.flows {
		used += q.flows[i].recentCost
		weights += q.flows[i].weight
	}
	return w.recentCost/w.weight < underservedBelow*used/weights
}

// Waiting returns how much work waits.
func (q *Queue[T]) Waiting() int { return q.waiting }
