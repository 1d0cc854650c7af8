package gate

import (
	"fmt"
	"math"
	"slices"
	"time"

	"caperarch/policy"
)

const (
	// maxSlots guards against a weight that no upstream can mean.
	maxSlots = 1 << 16
	// maxRetired bounds the former upstreams that are remembered.
	maxRetired = 64
)

// List applies an update of the upstream. One that drains or is deregistered is sent nothing more,
// whatever later updates say; another one in its place is.
func (g *Gate) List(now time.Duration, kind policy.ListKind, entries []policy.Server) {
	if kind == policy.ListFailed {
		return
	}
	isCurrent := func(e policy.Server) bool { return e.ID == g.upstream }
	if kind != policy.ListDelta && g.state == policy.Ready && !slices.ContainsFunc(entries, isCurrent) {
		g.retire(policy.Deregistered)
	}
	for _, e := range entries {
		switch {
		case e.State != policy.Ready && isCurrent(e) && g.state == policy.Ready:
			g.retire(e.State)
		case slices.Contains(g.retired, e.ID):
		case e.State != policy.Ready:
			g.rememberRetired(e.ID)
		default:
			g.adopt(e)
		}
	}
	g.advance(now)
	g.endEvent(now)
}

// adopt makes the entry the upstream, with its slots. The former one is sent nothing more.
func (g *Gate) adopt(e policy.Server) {
	if g.state == policy.Ready && e.ID != g.upstream {
		g.retire(policy.Deregistered)
	}
	if g.state != policy.Ready {
		g.upstream, g.state, g.slots = e.ID, policy.Ready, 1
		g.health = health{}
		g.inFlight = g.countInFlight(e.ID)
	}
	if !(e.Weight >= 1) || math.IsInf(e.Weight, 0) { // so NaN is none either
		g.host.Log(fmt.Sprintf(
			"the upstream has no usable number of slots (%v): it stays at %d", e.Weight, g.slots))
		return
	}
	g.slots = int(min(e.Weight, maxSlots))
}

// countInFlight is how many attempts are in flight at an upstream.
func (g *Gate) countInFlight(id policy.ServerID) (n int) {
	for _, r := range g.requests {
		if r.sent && r.upstream == id {
			n++
		}
	}
	return n
}

// retire ends all sending to the upstream: its late updates are ignored from now on.
func (g *Gate) retire(state policy.State) {
	g.state = state
	g.rememberRetired(g.upstream)
}

// rememberRetired keeps later updates from reviving an upstream.
func (g *Gate) rememberRetired(id policy.ServerID) {
	g.retired = append(g.retired, id)
	if len(g.retired) > maxRetired {
		g.retired = slices.Delete(g.retired, 0, 1)
	}
}

// accepting reports whether the upstream may be sent anything.
func (g *Gate) accepting(now time.Duration) bool {
	return g.state == policy.Ready && now >= g.health.unreachableUntil
}

// concurrencyLimit is how many attempts may be in flight now: one at least, so that an upstream that
// sheds all is tried again.
func (g *Gate) concurrencyLimit(now time.Duration) int {
	return max(1, g.slots-g.health.shedSlots(now))
}
