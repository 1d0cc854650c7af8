package gate

import (
	"math"
	"sync/atomic"
	"time"

	"caperarch/policy"
)

// publishedLoad is the load after the last event, for other goroutines.
type publishedLoad struct{ inFlight, queued, slots, meanService atomic.Int64 }

// Load is how many attempts are in flight, how many requests are queued and how many slots the
// upstream has. It may be called from any goroutine; each of the figures is the latest one.
func (g *Gate) Load() (inFlight, queued, slots int) {
	return int(g.load.inFlight.Load()), int(g.load.queued.Load()), int(g.load.slots.Load())
}

// MeanServiceTime is the recent mean time of an attempt; 0: none has ended yet. It may be called
// from any goroutine.
func (g *Gate) MeanServiceTime() time.Duration { return time.Duration(g.load.meanService.Load()) }

// endEvent is the last step of each event.
func (g *Gate) endEvent(now time.Duration) {
	g.updateTimers(now)
	g.publishLoad(now)
}

// updateTimers asks for the next Wake, only if something is queued: when the first request is late,
// or when a slot counts again.
func (g *Gate) updateTimers(now time.Duration) {
	if g.queue.length == 0 {
		return
	}
	due := time.Duration(math.MaxInt64)
	for _, same := range g.queue.byPriority {
		for _, r := range same {
			due = min(due, g.latestStart(r))
		}
	}
	if shed := g.health.shedUntil; len(shed) > 0 {
		due = min(due, shed[0])
	}
	if g.wakeAt == 0 || due < g.wakeAt {
		g.wakeAt = due
		g.host.Wake(due - now)
	}
}

// publishLoad shows the load to other goroutines.
func (g *Gate) publishLoad(now time.Duration) {
	g.counters.Avoided = 0
	if g.state == policy.Ready && now < g.health.unreachableUntil {
		g.counters.Avoided = 1
	}
	g.load.inFlight.Store(int64(g.inFlight))
	g.load.queued.Store(int64(g.queue.length))
	g.load.slots.Store(int64(g.slots))
	g.load.meanService.Store(int64(g.health.meanService))
}
