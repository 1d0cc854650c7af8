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
			g.remember(e.ID)
		default:
			g.take(e)
		}
	}
	g.advance(now)
	g.settle(now)
}

// take has the upstream be the one of the entry, with its slots. The one before is sent nothing more.
func (g *Gate) take(e policy.Server) {
	if g.state == policy.Ready && e.ID != g.upstream {
		g.retire(policy.Gone)
	}
	if g.state != policy.Ready {
		g.upstream, g.state = e.ID, policy.Ready
		g.slots, g.mean, g.shed = 1, 0, nil
		g.means = [lowestRank + 1]time.Duration{}
		g.missed, g.deadFor, g.deadUntil = 0, 0, 0
		g.running = 0 // what is out at the one before is no load of this one
		for _, r := range g.requests {
			if r.sent && r.to == e.ID {
				g.running++
			}
		}
	}
	if !(e.Weight >= 1) || math.IsInf(e.Weight, 0) {
		g.host.Log(fmt.Sprintf("the upstream has no usable number of slots (%v): it stays at %d", e.Weight, g.slots))
		return
	}
	g.slots = int(min(e.Weight, mostSlots))
}

// retire has nothing sent to the upstream any more.
func (g *Gate) retire(state policy.State) {
	g.state = state
	g.remember(g.upstream)
}

// remember has no later word revive an upstream.
func (g *Gate) remember(id policy.ServerID) {
	if g.retired = append(g.retired, id); len(g.retired) > mostRetired {
		g.retired = slices.Delete(g.retired, 0, 1)
	}
}

// learn takes what the end of an attempt says of the upstream.
func (g *Gate) learn(now time.Duration, r *request, o policy.Outcome) {
	switch o.Ending {
	case policy.Served, policy.Errored, policy.Rejected, policy.TurnedAway: // it answered, so it lives
		g.missed, g.deadFor, g.deadUntil = 0, 0, 0
	}
	switch o.Ending {
	case policy.NotSent, policy.Gated:
	case policy.TurnedAway:
		if g.shed = append(g.shed, now+shedTime); len(g.shed) > g.slots {
			g.shed = slices.Delete(g.shed, 0, 1)
		}
	case policy.NoConnection:
		g.miss(now, r)
	default: // it held a slot that long
		for _, mean := range []*time.Duration{&g.mean, &g.means[r.rank]} {
			if took := now - r.sentAt; *mean == 0 {
				*mean = took
			} else {
				*mean += (took - *mean) / meanShare
			}
		}
	}
}

// miss takes that a connection failed. After some in a row the upstream is taken for dead for a
// while. Requests then pass again, and the first of them that fails alike has it taken for dead for
// longer.
func (g *Gate) miss(now time.Duration, r *request) {
	if r.sentAt < g.deadUntil {
		return // sent before it was taken for dead: nothing new
	}
	if g.missed++; g.missed >= missesToDead {
		g.deadFor = min(max(2*g.deadFor, firstDead), longestDead)
		g.deadUntil = now + g.deadFor
	}
}

// open says whether the upstream may be sent anything.
func (g *Gate) open(now time.Duration) bool { return g.state == policy.Ready && now >= g.deadUntil }

// capacity is how many attempts may be out now. One at least, so that the upstream has its chance.
func (g *Gate) capacity(now time.Duration) int {
	g.shed = slices.DeleteFunc(g.shed, func(until time.Duration) bool { return now >= until })
	return max(1, g.slots-len(g.shed))
}
