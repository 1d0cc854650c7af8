package share

// Queue gives out a few permits for work among flows by start-time fair queueing with a depth (Goyal, Vin, Cheng 1996;
// SFQ(D): Jin, Chase, Kaur 2004). Work that waits is served in the order of its start tags, and what it cost is charged once it
// is known. So a flow that asks seldom waits for what holds the permits and for little else, however many others wait;
// one that wants more than its part waits behind all who want less; and no permit is left while somebody waits.
//
// It is free of I/O and not safe for concurrent use. Costs are in nanoseconds of a core, or what counts as such.
type Queue[T any] struct {
	free     int
	reserved int     // permits that only a flow that is behind may take
	now      float64 // virtual time: the start tag of the work begun last
	flows    []flow[T]
	waiting  int
}

type flow[T any] struct {
	weight     float64
	nextStart  float64 // where the flow's next work starts at the earliest
	recentCost float64 // cost of its work lately, see lately
	meanCost   float64 // cost of its work, smoothed: what work under way is taken for until its own cost is known
	queue      []T
	head       int // of the queue
}

// meanCostGain is the weight of the newest cost in a flow's usual one.
const meanCostGain = 1.0 / 8

// A flow is behind while what it used lately, by weight, is less than behindPart of what all did. Tags can't tell that: what
// starts next is always near the present, whose time its flow carries on. Lately is the last so many units of cost of all.
const (
	underservedBelow = 0.5
	recentWindow     = 50e6
)

// NewQueue makes a queue with so many permits, at least one, among flows by weight; weights must be above 0. Beside
// them there are so many spare ones, for flows that are behind: they don't wait for work that holds a permit for long.
func NewQueue[T any](permits, spare int, weights []float64) *Queue[T] {
	q := &Queue[T]{free: max(1, permits), reserved: spare, flows: make([]flow[T], len(weights))}
	for i, w := range weights {
		q.flows[i] = flow[T]{weight: w, meanCost: 1}
	}
	return q
}

// Acquire takes a permit for a flow's work, or has it wait: then Done or Forget returns it when it may begin. Whoever got a
// permit has to give it back with Done, and to say whether it was a spare one.
func (q *Queue[T]) Acquire(f int, work T) (granted, spare bool) {
	w := &q.flows[f]
	if q.free > 0 { // then nobody waits
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

// begin books the work that starts now.
func (q *Queue[T]) begin(w *flow[T]) {
	q.now = max(q.now, w.nextStart)
	// One that asked for nothing starts at the present: it saved nothing up.
	w.nextStart = max(w.nextStart, q.now) + w.meanCost/w.weight
}

// Release gives a permit back. asked is the flow that it was asked for; cost is charged to the flow that the work turned out
// to be of. It returns the work that may begin now in its place, if any: for a spare one that of a flow that is behind,
// which has a spare one then.
func (q *Queue[T]) Release(asked, of int, spare bool, cost float64) (next T, ok bool) {
	a, w := &q.flows[asked], &q.flows[of]
	a.nextStart -= a.meanCost / a.weight
	q.charge(w, cost)
	if asked != of { // it was let in as its own
		q.charge(a, cost)
	}
	best := q.earliest()
	if spare && best != nil && !q.underserved(best) {
		best = nil
	}
	if best == nil {
		if spare {
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

func (q *Queue[T]) charge(w *flow[T], cost float64) {
	w.nextStart = max(w.nextStart, q.now) + cost/w.weight
	w.meanCost += (cost - w.meanCost) * meanCostGain
	kept := max(0, 1-cost/recentWindow)
	for i := range q.flows {
		q.flows[i].recentCost *= kept
	}
	w.recentCost += cost
}

// earliest is the flow whose work waits and starts first, or nil.
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
	} else if w.head > 64 && w.head > len(w.queue)/2 { // a queue that is never empty must not grow for ever
		n := copy(w.queue, w.queue[w.head:])
		clear(w.queue[n:])
		w.queue, w.head = w.queue[:n], 0
	}
	return work
}

// IsUnderserved says whether a flow had less than half of its part lately.
func (q *Queue[T]) IsUnderserved(f int) bool { return q.underserved(&q.flows[f]) }

func (q *Queue[T]) underserved(w *flow[T]) bool {
	used, weights := 0.0, 0.0
	for i := range q.flows {
		used += q.flows[i].recentCost
		weights += q.flows[i].weight
	}
	return w.recentCost/w.weight < underservedBelow*used/weights
}

// Waiting is how much work waits.
func (q *Queue[T]) Waiting() int { return q.waiting }
