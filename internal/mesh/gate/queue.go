package gate

import (
	"cmp"
	"slices"
	"time"
)

// room is how many requests may wait below the highest rank.
func (g *Gate) queueCapacity() int { return max(minQueueCapacity, g.slots) }

// full says whether no more of a rank may wait. Those of the highest have places of their own: they
// are short, and bounded by their time, and none below would ever wait beside them.
func (g *Gate) queueFull(priority int) bool {
	if priority == 0 {
		return len(g.queues[0]) >= highPriorityQueueSlots*g.queueCapacity()
	}
	return g.waiting-len(g.queues[0]) >= g.queueCapacity()
}

// wait is how long one more request of a rank is expected to wait for a slot.
func (g *Gate) expectedWait(now time.Duration, priority int) time.Duration {
	position := 1
	for _, line := range g.queues[:priority+1] {
		position += len(line)
	}
	return time.Duration(float64(g.meanService) * float64(position) / float64(g.concurrencyLimit(now)))
}

// latest is when a request has to have started: within its share of the aim, and early enough to
// end in time.
func (g *Gate) latestStart(r *request) time.Duration {
	return min(r.startBy, r.deadline-g.expectedService(r.priority))
}

// advance turns back what has no chance any more, hands out what slots are free, and keeps the
// queue to its length.
func (g *Gate) advance(now time.Duration) {
	open := g.accepting(now)
	for priority := range g.queues {
		for i := 0; i < len(g.queues[priority]); {
			if r := g.queues[priority][i]; open && now < g.latestStart(r) {
				i++
			} else {
				g.rejectQueued(now, r)
			}
		}
	}
	for g.waiting > 0 && g.running < g.concurrencyLimit(now) {
		r := g.nextToRun()
		g.dequeue(r)
		g.send(now, r)
	}
	for g.waiting-len(g.queues[0]) > g.queueCapacity() {
		g.rejectQueued(now, g.lastOfLowest())
	}
}

// next is the request whose turn it is: the first of the highest rank or, once in turnEvery, the
// one of a lower rank that has waited longest. Something waits.
func (g *Gate) nextToRun() *request {
	var first, lower *request
	for _, line := range g.queues {
		switch {
		case len(line) == 0:
		case first == nil:
			first = line[0]
		case lower == nil || line[0].arrivedAt < lower.arrivedAt:
			lower = line[0]
		}
	}
	switch {
	case lower == nil:
		g.lowPriorityCredit = 0
	case g.lowPriorityCredit >= (lowPriorityInterval-1)*g.expectedService(lower.priority):
		g.lowPriorityCredit -= (lowPriorityInterval - 1) * g.expectedService(lower.priority)
		return lower
	default:
		g.lowPriorityCredit += g.expectedService(first.priority)
	}
	return first
}

// expected is how long a request of a rank holds a slot. Where nothing is known all are alike.
func (g *Gate) expectedService(priority int) time.Duration {
	return cmp.Or(g.meanByPriority[priority], g.meanService, time.Millisecond)
}

// last is the one that came last of the lowest rank that waits. Something waits.
func (g *Gate) lastOfLowest() *request {
	for priority := lowestPriority; ; priority-- {
		if line := g.queues[priority]; len(line) > 0 {
			return line[len(line)-1]
		}
	}
}

// displace makes room for a rank: the last one of the lowest rank is turned back, if that is a
// lower one.
func (g *Gate) displace(now time.Duration, priority int) bool {
	r := g.lastOfLowest()
	if r.priority <= priority {
		return false
	}
	g.rejectQueued(now, r)
	return true
}

// turnBack ends a request that waits.
func (g *Gate) rejectQueued(now time.Duration, r *request) {
	g.removeQueued(r)
	g.reject(now, r)
}

// leave takes a request that waits out of the gate.
func (g *Gate) removeQueued(r *request) {
	g.dequeue(r)
	delete(g.requests, r.id)
}

// unqueue takes a request out of the queue.
func (g *Gate) dequeue(r *request) {
	line := g.queues[r.priority]
	i := slices.Index(line, r)
	g.queues[r.priority] = slices.Delete(line, i, i+1)
	g.waiting--
}
