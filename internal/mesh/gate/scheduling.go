package gate

import "time"

const (
	// lowPriorityInterval prevents starvation of lower priorities: while one of their requests waits,
	// one part in so many of the slots' time goes to the one that has waited longest.
	lowPriorityInterval = 8
	// minQueueCapacity is how many may wait for an upstream with fewer slots than that; else as many
	// as it has slots. A longer queue would only make callers late.
	minQueueCapacity = 2
	// highPriorityQueueSlots is how many times that many of the highest priority may wait.
	highPriorityQueueSlots = 4
)

// advance rejects what can't start in time any more, assigns the slots that are free, and truncates
// the queue to its capacity.
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

// rejectLate rejects the queued requests that can't start in time, all of them where the upstream is
// sent nothing.
func (g *Gate) rejectLate(now time.Duration) {
	accepting := g.accepting(now)
	for priority := range g.queue.byPriority {
		for i := 0; i < len(g.queue.byPriority[priority]); {
			r := g.queue.byPriority[priority][i]
			if accepting && now < g.latestStart(r) {
				i++
				continue
			}
			g.rejectQueued(now, r) // which removes it from the queue
		}
	}
}

// nextToRun is the request whose turn it is: the first of the highest priority or, once in
// lowPriorityInterval, the one of a lower priority that has waited longest. The queue is not empty.
func (g *Gate) nextToRun() *request {
	first, lower := g.queue.first()
	if lower == nil {
		g.lowPriorityCredit = 0
		return first
	}
	price := (lowPriorityInterval - 1) * g.health.expectedServiceTime(lower.priority)
	if g.lowPriorityCredit >= price {
		g.lowPriorityCredit -= price
		return lower
	}
	g.lowPriorityCredit += g.health.expectedServiceTime(first.priority)
	return first
}

// queueCapacity is how many requests below the highest priority may wait.
func (g *Gate) queueCapacity() int { return max(minQueueCapacity, g.slots) }

// queueFull reports whether no more requests of a priority may wait. The highest one has a capacity of
// its own: its requests are short and wait for a bounded time, and would otherwise displace all others.
func (g *Gate) queueFull(priority int) bool {
	if priority == 0 {
		return g.queue.lengthOfHighest() >= highPriorityQueueSlots*g.queueCapacity()
	}
	return g.queue.lengthBelowHighest() >= g.queueCapacity()
}

// expectedWait is how long one more request of a priority is expected to wait for a slot.
func (g *Gate) expectedWait(now time.Duration, priority int) time.Duration {
	position := 1 + g.queue.lengthDownTo(priority)
	slots := float64(g.concurrencyLimit(now))
	return time.Duration(float64(g.health.meanService) * float64(position) / slots)
}

// latestStart is when a request has to have started: within its share of the latency target, and
// early enough to end in time.
func (g *Gate) latestStart(r *request) time.Duration {
	return min(r.startBy, r.deadline-g.health.expectedServiceTime(r.priority))
}

// displaceFor frees a position in a full queue for a request: the last one of the lowest priority is
// rejected, if that is lower than the request's. It returns false where it is not, and for the highest
// priority, whose queue is separate.
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

// rejectQueued ends a request that waits.
func (g *Gate) rejectQueued(now time.Duration, r *request) {
	g.removeQueued(r)
	g.reject(now, r)
}

// removeQueued removes a request that waits from the gate.
func (g *Gate) removeQueued(r *request) {
	g.queue.remove(r)
	delete(g.requests, r.id)
}
