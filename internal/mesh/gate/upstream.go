package gate

import (
	"fmt"
	"math"
	"slices"
	"time"

	"caperarch/policy"
)

// List takes what is said of the upstream. One that drains or is gone is sent nothing more,
// whatever is said of it later; another one in its place is.
func (g *Gate) List(now time.Duration, kind policy.ListKind, entries []policy.Server) {
	if kind == policy.ListFailed {
		return
	}
	known := func(e policy.Server) bool { return e.ID == g.upstream }
	if kind != policy.ListDelta && g.state == policy.Ready && !slices.ContainsFunc(entries, known) {
		g.retire(policy.Gone)
	}
	for _, e := range entries {
		switch {
		case e.State != policy.Ready && known(e) && g.state == policy.Ready:
			g.retire(e.State)
		case slices.Contains(g.retired, e.ID):
		case e.State != policy.Ready:
			g.rememberRetired(e.ID)
		default:
			g.adopt(e)
		}
	}
	g.advance(now)
	g.updateTimers(now)
}

// take has the upstream be the one of the entry, with its slots. The one before is sent nothing more.
func (g *Gate) adopt(e policy.Server) {
	if g.state == policy.Ready && e.ID != g.upstream {
		g.retire(policy.Gone)
	}
	if g.state != policy.Ready {
		g.upstream, g.state = e.ID, policy.Ready
		g.slots, g.meanService, g.shedUntil = 1, 0, nil
		g.meanByPriority = [lowestPriority + 1]time.Duration{}
		g.connectFailures, g.unreachableFor, g.unreachableUntil = 0, 0, 0
		g.running = 0 // what is out at the one before is no load of this one
		for _, r := range g.requests {
			if r.sent && r.upstream == e.ID {
				g.running++
			}
		}
	}
	if !(e.Weight >= 1) || math.IsInf(e.Weight, 0) {
		g.host.Log(fmt.Sprintf("the upstream has no usable number of slots (%v): it stays at %d", e.Weight, g.slots))
		return
	}
	g.slots = int(min(e.Weight, maxSlots))
}

// retire has nothing sent to the upstream any more.
func (g *Gate) retire(state policy.State) {
	g.state = state
	g.rememberRetired(g.upstream)
}

// remember has no later word revive an upstream.
func (g *Gate) rememberRetired(id policy.ServerID) {
	if g.retired = append(g.retired, id); len(g.retired) > maxRetired {
		g.retired = slices.Delete(g.retired, 0, 1)
	}
}

// learn takes what the end of an attempt says of the upstream.
func (g *Gate) recordOutcome(now time.Duration, r *request, o policy.Outcome) {
	switch o.Ending {
	case policy.Served, policy.Errored, policy.Rejected, policy.TurnedAway: // it answered, so it lives
		g.connectFailures, g.unreachableFor, g.unreachableUntil = 0, 0, 0
	}
	switch o.Ending {
	case policy.NotSent, policy.Gated:
	case policy.TurnedAway:
		if g.shedUntil = append(g.shedUntil, now+shedDuration); len(g.shedUntil) > g.slots {
			g.shedUntil = slices.Delete(g.shedUntil, 0, 1)
		}
	case policy.NoConnection:
		g.recordConnectFailure(now, r)
	default: // it held a slot that long
		for _, mean := range []*time.Duration{&g.meanService, &g.meanByPriority[r.priority]} {
			if took := now - r.sentAt; *mean == 0 {
				*mean = took
			} else {
				*mean += (took - *mean) / meanWeight
			}
		}
	}
}

// miss takes that a connection failed. After some in a row the upstream is taken for dead for a
// while. Requests then pass again, and the first of them that fails alike has it taken for dead for
// longer.
func (g *Gate) recordConnectFailure(now time.Duration, r *request) {
	if r.sentAt < g.unreachableUntil {
		return // sent before it was taken for dead: nothing new
	}
	if g.connectFailures++; g.connectFailures >= maxConnectFailures {
		g.unreachableFor = min(max(2*g.unreachableFor, minUnreachable), maxUnreachable)
		g.unreachableUntil = now + g.unreachableFor
	}
}

// open says whether the upstream may be sent anything.
func (g *Gate) accepting(now time.Duration) bool {
	return g.state == policy.Ready && now >= g.unreachableUntil
}

// capacity is how many attempts may be out now. One at least, so that the upstream has its chance.
func (g *Gate) concurrencyLimit(now time.Duration) int {
	g.shedUntil = slices.DeleteFunc(g.shedUntil, func(until time.Duration) bool { return now >= until })
	return max(1, g.slots-len(g.shedUntil))
}
