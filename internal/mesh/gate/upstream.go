package gate

import (
	"fmt"
	"math"
	"slices"
	"time"

	"caperarch/policy"
)

const (
	// maxSlots caps the number of slots. A larger number in an update is implausible.
	maxSlots = 1 << 16
	// maxRetired is the largest number of former upstreams whose late updates are recognised and ignored.
	maxRetired = 64
)

// List applies an update of the server list. An upstream that is draining or deregistered is sent no further request,
// whatever later updates state; its successor, another instance, is.
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
			g.setUpstream(e)
		}
	}
	g.advance(now)
	g.endEvent(now)
}

// setUpstream makes a ready server the upstream and applies its number of slots. If another server was the upstream,
// the other server is retired.
func (g *Gate) setUpstream(e policy.Server) {
	if g.state == policy.Ready && e.ID != g.upstream {
		g.retire(policy.Deregistered)
	}
	if g.state != policy.Ready {
		g.upstream, g.state, g.slots = e.ID, policy.Ready, 1
		g.health = health{}
		g.inFlight = g.countInFlight(e.ID)
	}
	if !(e.Weight >= 1) || math.IsInf(e.Weight, 0) { // the negated comparison covers NaN
		g.host.Log(fmt.Sprintf(
			"the server list gives the upstream %v slots, want at least 1 and finite: keeping %d", e.Weight, g.slots))
		return
	}
	g.slots = int(min(e.Weight, maxSlots))
}

// countInFlight returns the number of attempts in flight at an upstream.
func (g *Gate) countInFlight(id policy.ServerID) (n int) {
	for _, r := range g.requests {
		if r.sent && r.upstream == id {
			n++
		}
	}
	return n
}

// retire stops sending to the current upstream, and makes List ignore later updates of it.
func (g *Gate) retire(state policy.State) {
	g.state = state
	g.rememberRetired(g.upstream)
}

// rememberRetired makes List ignore later updates of an upstream. At most maxRetired upstreams are remembered.
func (g *Gate) rememberRetired(id policy.ServerID) {
	g.retired = append(g.retired, id)
	if len(g.retired) > maxRetired {
		g.retired = slices.Delete(g.retired, 0, 1)
	}
}

// accepting reports whether requests may be sent to the upstream.
func (g *Gate) accepting(now time.Duration) bool {
	return g.state == policy.Ready && now >= g.health.unreachableUntil
}

// concurrencyLimit returns how many attempts may be in flight now. The limit is at least 1, so that an upstream that
// has rejected requests in all its slots is tried again.
func (g *Gate) concurrencyLimit(now time.Duration) int {
	return max(1, g.slots-g.health.shedSlots(now))
}
