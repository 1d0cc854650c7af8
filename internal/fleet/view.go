package fleet

import (
	"time"

	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/proxy/metrics"
)

// View is this sidecar's view of the fleet, for operators and metrics.
type View struct {
	Now          time.Duration
	Self         int
	InContact    bool
	ContactUntil time.Duration // when contact ends if no further acknowledgement is received
	Lease        time.Duration
	Session      swim.Session
	Members      []swim.Member
	Stats        swim.Stats
	Link         peer.Counters
	Sidecars     int
	Unresponsive int // number of servers that don't answer this sidecar
	Doubted      int // number of servers that enough other sidecars report as unresponsive
}

// View returns the current view.
func (f *Fleet) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.hintsMu.Lock()
	unresponsive, doubted := len(f.hints.Unresponsive(now)), f.hints.DoubtedCount(now)
	f.hintsMu.Unlock()
	view := View{
		Unresponsive: unresponsive, Doubted: doubted, Now: now, Self: f.cfg.Policy.Index,
		Sidecars: f.Sidecars(), Lease: f.node.Lease,
	}
	if f.link == nil {
		return view
	}
	view.Members = f.node.Members(view.Now)
	view.ContactUntil, view.InContact = f.node.ContactUntil(view.Now)
	view.Session, view.Stats, view.Link = f.node.Session(), f.node.Stats, f.link.Counters()
	return view
}

// Metrics returns the current view as metrics.
func (f *Fleet) Metrics() metrics.Peers {
	view := f.View()
	link := view.Link
	peers := metrics.Peers{
		Contact:   view.InContact,
		Sidecars:  view.Sidecars,
		SentBytes: link.SentBytes,
		Dropped:   link.Length + link.Malformed + link.OtherFleet + link.NewerFormat + link.Address,
		Members:   make(map[string]int),
	}
	if f.policy != nil {
		peers.Policy = f.policy.metrics()
	}
	for state := swim.Unknown; state <= swim.Left; state++ {
		peers.Members[state.String()] = 0
	}
	for _, member := range view.Members {
		if member.Number != view.Self {
			peers.Members[member.State.String()]++
		}
	}
	return peers
}
