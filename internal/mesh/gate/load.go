package gate

import (
	"math"
	"sync/atomic"
	"time"

	"caperarch/policy"
)

// publishedLoad is the load after the last event, readable from other goroutines.
type publishedLoad struct{ inFlight, queued, slots, meanService atomic.Int64 }

// Load returns the number of attempts in flight, the number of queued requests and the number of the upstream's slots.
// It may be called from any goroutine. Each value is the latest; the three are not a consistent snapshot.
func (g *Gate) Load() (inFlight, queued, slots int) {
	return int(g.load.inFlight.Load()), int(g.load.queued.Load()), int(g.load.slots.Load())
}

// MeanServiceTime returns the moving mean of the service time of attempts, 0 before the first attempt has ended. It may
// be called from any goroutine.
func (g *Gate) MeanServiceTime() time.Duration { return time.Duration(g.load.meanService.Load()) }

// endEvent is the last step of the handling of each event.
func (g *Gate) endEvent(now time.Duration) {
	g.updateTimers(now)
	g.publishLoad(now)
}

// updateTimers requests the next Wake while requests are queued: at the first latest start of a queued request, or when
// the next shed slot becomes available again.
func (g *Gate) updateTimers(now time.Duration) {
	if g.queue.length == 0 {
		return
	}
	due := time.Duration(math.MaxInt64)
	for _, requests := range g.queue.byPriority {
		for _, r := range requests {
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

// publishLoad makes the current load visible to other goroutines, and updates the counter of unreachable upstreams.
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
