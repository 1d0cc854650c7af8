package fleet

import (
	"time"

	"caperarch/internal/fleet/peer"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/proxy/metrics"
)

// View is what this sidecar knows of the fleet, for operators.
type View struct {
	Now          time.Duration
	Self         int
	InContact    bool
	ContactUntil time.Duration // when the lease expires if no further ack arrives
	Lease        time.Duration
	Session      swim.Session
	Members      []swim.Member
	Stats        swim.Stats
	Link         peer.Counters
	Sidecars     int
	Unresponsive int // servers that don't answer this sidecar
	Doubted      int // servers that enough others report
}

// View returns the current view.
func (f *Fleet) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.hintsMu.Lock()
	silent, doubted := len(f.hints.Unresponsive(now)), f.hints.DoubtedCount(now)
	f.hintsMu.Unlock()
	v := View{
		Unresponsive: silent, Doubted: doubted, Now: now, Self: f.cfg.Policy.Index,
		Sidecars: f.Sidecars(), Lease: f.node.Lease,
	}
	if f.link == nil {
		return v
	}
	v.Members = f.node.Members(v.Now)
	v.ContactUntil, v.InContact = f.node.ContactUntil(v.Now)
	v.Session, v.Stats, v.Link = f.node.Session(), f.node.Stats, f.link.Counters()
	return v
}

// Metrics returns the current view as metrics.
func (f *Fleet) Metrics() metrics.Peers {
	v := f.View()
	l := v.Link
	p := metrics.Peers{
		Contact:   v.InContact,
		Sidecars:  v.Sidecars,
		SentBytes: l.SentBytes,
		Dropped:   l.Length + l.Malformed + l.OtherFleet + l.NewerFormat + l.Address,
		Members:   make(map[string]int),
	}
	if f.policy != nil {
		p.Policy = f.policy.metrics()
	}
	for state := swim.Unknown; state <= swim.Left; state++ {
		p.Members[state.String()] = 0
	}
	for _, m := range v.Members {
		if m.Number != v.Self {
			p.Members[m.State.String()]++
		}
	}
	return p
}
