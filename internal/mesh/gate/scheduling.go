package gate

import "time"

const (
	// lowPriorityInterval prevents starvation of lower priorities: while requests of lower priorities are queued,
	// 1/lowPriorityInterval of the slot time goes to them, in the order of their arrival.
	lowPriorityInterval = 8
	// minQueueCapacity is the queue capacity for an upstream with fewer slots than this. For all others, the queue
	// capacity is the number of slots. A longer queue would only delay callers.
	minQueueCapacity = 2
	// highPriorityQueueFactor is the factor by which the queue capacity for priority 0 exceeds the queue capacity for
	// all other priorities.
	highPriorityQueueFactor = 4
)

// advance rejects queued requests that can no longer start in time, assigns free slots, and truncates the queue to its
// capacity.
func (g *Gate) advance(now time.Duration) {
	g.rejectLate(now)
	for g.queue.length > 0 && g.inFlight < g.concurrencyLimit(now) {
		r := g.nextToRun()
		g.queue.remove(r)
		g.send(now, r)
	}
	for g.queue.lengthBelowHighest() > g.queueCapacity() {
		g.rejectQueued(now, g.queue.last())
	}
}

// rejectLate rejects the queued requests that can no longer start in time. It rejects all queued requests if the gate
// accepts no requests at present.
func (g *Gate) rejectLate(now time.Duration) {
	accepting := g.accepting(now)
	for priority := range g.queue.byPriority {
		for i := 0; i < len(g.queue.byPriority[priority]); {
			r := g.queue.byPriority[priority][i]
			if accepting && now < g.latestStart(r) {
				i++
				continue
			}
			g.rejectQueued(now, r) // removes r from the queue, so that i is the index of the next request
		}
	}
}

// nextToRun returns the queued request that gets the next slot: the first request of the highest priority in the queue
// or, for 1/lowPriorityInterval of the slot time, the request of a lower priority that arrived first. The queue must
// not be empty.
func (g *Gate) nextToRun() *request {
	first, lower := g.queue.first()
	if lower == nil {
		g.lowPriorityCredit = 0
		return first
	}
	cost := (lowPriorityInterval - 1) * g.health.expectedServiceTime(lower.priority)
	if g.lowPriorityCredit >= cost {
		g.lowPriorityCredit -= cost
		return lower
	}
	g.lowPriorityCredit += g.health.expectedServiceTime(first.priority)
	return first
}

// queueCapacity returns how many requests of priorities below priority 0 may be queued.
func (g *Gate) queueCapacity() int { return max(minQueueCapacity, g.slots) }

// queueFull reports whether the queue has no capacity for another request of a priority. Priority 0 has a capacity of
// its own: its requests are short and wait for a bounded time, and would otherwise displace all other requests.
func (g *Gate) queueFull(priority int) bool {
	if priority == 0 {
		return g.queue.lengthOfHighest() >= highPriorityQueueFactor*g.queueCapacity()
	}
	return g.queue.lengthBelowHighest() >= g.queueCapacity()
}

// expectedWait returns how long another request of a priority is expected to wait for a slot.
func (g *Gate) expectedWait(now time.Duration, priority int) time.Duration {
	position := 1 + g.queue.lengthDownTo(priority)
	slots := float64(g.concurrencyLimit(now))
	return time.Duration(float64(g.health.meanService) * float64(position) / slots)
}

// latestStart returns the time at which a request must have started: within its allowed wait, and early enough that the
// request is expected to end before its deadline.
func (g *Gate) latestStart(r *request) time.Duration {
	return min(r.startBy, r.deadline-g.health.expectedServiceTime(r.priority))
}

// displaceFor makes room for a request in a full queue: it rejects the newest queued request of the lowest priority if
// that priority is lower than the priority of r. It returns false if no request was rejected, as always for priority 0,
// whose capacity is separate.
func (g *Gate) displaceFor(now time.Duration, r *request) bool {
	if r.priority == 0 {
		return false
	}
	last := g.queue.last()
	if last.priority <= r.priority {
		return false
	}
	g.rejectQueued(now, last)
	return true
}

// rejectQueued removes a queued request and answers that the request has not run.
func (g *Gate) rejectQueued(now time.Duration, r *request) {
	g.removeQueued(r)
	g.reject(now, r)
}

// removeQueued removes a queued request from the gate without an answer.
func (g *Gate) removeQueued(r *request) {
	g.queue.remove(r)
	delete(g.requests, r.id)
}
