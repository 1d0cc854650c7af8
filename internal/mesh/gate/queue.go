package gate

import (
	"cmp"
	"slices"
	"time"
)

// room is how many requests may wait below the highest rank.
func (g *Gate) room() int { return max(fewestWaiting, g.slots) }

// full says whether no more of a rank may wait. Those of the highest have places of their own: they
// are short, and bounded by their time, and none below would ever wait beside them.
func (g *Gate) full(rank int) bool {
	if rank == 0 {
		return len(g.queues[0]) >= urgentPlaces*g.room()
	}
	return g.waiting-len(g.queues[0]) >= g.room()
}

// wait is how long one more request of a rank is expected to wait for a slot.
func (g *Gate) wait(now time.Duration, rank int) time.Duration {
	position := 1
	for _, line := range g.queues[:rank+1] {
		position += len(line)
	}
	return time.Duration(float64(g.mean) * float64(position) / float64(g.capacity(now)))
}

// latest is when a request has to have started: within its share of the aim, and early enough to
// end in time.
func (g *Gate) latest(r *request) time.Duration { return min(r.startBy, r.deadline-g.expected(r.rank)) }

// advance turns back what has no chance any more, hands out what slots are free, and keeps the
// queue to its length.
func (g *Gate) advance(now time.Duration) {
	open := g.open(now)
	for rank := range g.queues {
		for i := 0; i < len(g.queues[rank]); {
			if r := g.queues[rank][i]; open && now < g.latest(r) {
				i++
			} else {
				g.turnBack(now, r)
			}
		}
	}
	for g.waiting > 0 && g.running < g.capacity(now) {
		r := g.next()
		g.unqueue(r)
		g.send(now, r)
	}
	for g.waiting-len(g.queues[0]) > g.room() {
		g.turnBack(now, g.last())
	}
}

// next is the request whose turn it is: the first of the highest rank or, once in turnEvery, the
// one of a lower rank that has waited longest. Something waits.
func (g *Gate) next() *request {
	var first, lower *request
	for _, line := range g.queues {
		switch {
		case len(line) == 0:
		case first == nil:
			first = line[0]
		case lower == nil || line[0].came < lower.came:
			lower = line[0]
		}
	}
	switch {
	case lower == nil:
		g.owed = 0
	case g.owed >= (turnEvery-1)*g.expected(lower.rank):
		g.owed -= (turnEvery - 1) * g.expected(lower.rank)
		return lower
	default:
		g.owed += g.expected(first.rank)
	}
	return first
}

// expected is how long a request of a rank holds a slot. Where nothing is known all are alike.
func (g *Gate) expected(rank int) time.Duration {
	return cmp.Or(g.means[rank], g.mean, time.Millisecond)
}

// last is the one that came last of the lowest rank that waits. Something waits.
func (g *Gate) last() *request {
	for rank := lowestRank; ; rank-- {
		if line := g.queues[rank]; len(line) > 0 {
			return line[len(line)-1]
		}
	}
}

// displace makes room for a rank: the last one of the lowest rank is turned back, if that is a
// lower one.
func (g *Gate) displace(now time.Duration, rank int) bool {
	r := g.last()
	if r.rank <= rank {
		return false
	}
	g.turnBack(now, r)
	return true
}

// turnBack ends a request that waits.
func (g *Gate) turnBack(now time.Duration, r *request) {
	g.leave(r)
	g.turnAway(now, r)
}

// leave takes a request that waits out of the gate.
func (g *Gate) leave(r *request) {
	g.unqueue(r)
	delete(g.requests, r.id)
}

// unqueue takes a request out of the queue.
func (g *Gate) unqueue(r *request) {
	line := g.queues[r.rank]
	i := slices.Index(line, r)
	g.queues[r.rank] = slices.Delete(line, i, i+1)
	g.waiting--
}
