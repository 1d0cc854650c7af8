package replicatedstatesim

import (
	"cmp"
	"fmt"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate"
)

// Site is the machines that the fleet's sidecars send to, seen from outside: what arrives there,
// and what the log says of them, each entry counted where it is applied first.
type Site struct {
	Machines []maintenance.Machine
	Deadline time.Duration // the longest that a request is out
	Bound    int           // machines that may be out at once
	Returns  time.Duration // from when a machine's work is done until it is warm
	Every    time.Duration // a sidecar sends so often, on average; 0: ten times a second
	Opened   int
	Released int
	Closed   int
	Sent     int
	Astray   int // to a machine that is free, by one that was out of contact

	last      map[maintenance.Step]bool // entries that were counted
	free      map[uint64]uint32         // machines that may be worked on, by window
	windows   map[uint32]uint64         // that are not over
	warmingUp map[uint64]time.Duration
	out       []sent
}

// sent is a request that is out.
type sent struct {
	life    uint64
	machine uint64
	until   time.Duration
	contact bool // its sidecar was in contact then
}

// Forget takes that the log is begun anew: it knows of no window.
func (s *Site) Forget() { clear(s.last); clear(s.free); clear(s.windows) }

// open has the sidecars send from now on.
func (n *Net) open() {
	s := n.Site
	s.last, s.free, s.windows, s.warmingUp = make(map[maintenance.Step]bool), make(map[uint64]uint32),
		make(map[uint32]uint64), make(map[uint64]time.Duration)
	every := cmp.Or(s.Every, 100*time.Millisecond)
	for i := range n.Nodes {
		var send func()
		send = func() {
			n.send(i)
			n.After(time.Duration((0.5+n.Rng.Float64())*float64(every)), send)
		}
		n.After(time.Duration(n.Rng.Int64N(int64(time.Second))), send)
	}
}

func (n *Net) send(i int) {
	m, s := n.Nodes[i], n.Site
	if !m.Running() {
		return
	}
	out := make(map[uint64]bool)
	for _, id := range m.MachinesOut() {
		out[id] = true
	}
	x := &s.Machines[n.Rng.IntN(len(s.Machines))]
	if out[x.ID] || x.State != maintenance.MachineReady {
		return
	}
	s.Sent++
	contact := m.Node.Active(m.Time()).Mode != policyrollout.CutOff
	if window, free := s.free[x.ID]; free {
		if contact {
			n.Broken = append(n.Broken,
				fmt.Sprintf("%.3fs: n%d is in contact and sends to %s, which window %d has free",
					(n.Now-time.Hour).Seconds(), i, x.Name, window))
		}
		s.Astray++
	}
	s.out = append(s.out, sent{m.Incarnation, x.ID, n.Now + time.Duration(n.Rng.Int64N(int64(s.Deadline))), contact})
}

// Machines is what a sidecar knows of them: as they are, but cold ones.
func (m *Node) Machines() (all []maintenance.Machine, current bool) {
	s := m.net.Site
	for _, x := range s.Machines {
		if warm := s.warmingUp[x.ID]; m.net.Now < warm {
			x.Warmth = 0.5
		}
		all = append(all, x)
	}
	return all, true
}

// LocalReport is what a sidecar says of itself.
func (m *Node) LocalReport(st *maintenance.State) maintenance.Report {
	s := m.net.Site
	asks := m.own.Unconfirmed(st)
	for window, machine := range asks {
		quiet := true
		for _, r := range s.out {
			quiet = quiet && !(r.life == m.Incarnation && r.machine == machine && m.net.Now < r.until)
		}
		if quiet {
			m.own.MarkClear(window, machine)
		}
	}
	return maintenance.Report{ClearUpTo: m.own.ClearUpTo(m.Time()-m.born,
		replicatedstate.LeaseExpiry(s.Deadline, m.net.Rate), st), Rate: 10, InTime: 1}
}

// MaintenanceApplied is called by a node, for what stands in the log: it is counted once.
func (m *Node) MaintenanceApplied(e maintenance.Step) {
	n, s := m.net, m.net.Site
	if s == nil || s.last[e] {
		return
	}
	s.last[e] = true
	if e.Kind.OfWindow() != (e.Machine != 0) {
		n.Broken = append(n.Broken, fmt.Sprintf("%s %d is told with machine %d", e.Kind, e.Number, e.Machine))
	}
	switch e.Kind {
	case maintenance.Opened:
		if _, again := s.windows[e.Number]; again {
			n.Broken = append(n.Broken, fmt.Sprintf("window %d is told twice", e.Number))
		}
		s.Opened++
		s.windows[e.Number] = e.Machine
		out := len(s.windows)
		for id, warm := range s.warmingUp {
			if n.Now < warm && !s.isOut(id) {
				out++
			}
		}
		if out > s.Bound {
			n.Broken = append(n.Broken, fmt.Sprintf("%.3fs: window %d, %d machines are out, %d may be",
				(n.Now-time.Hour).Seconds(), e.Number, out, s.Bound))
		}
	case maintenance.Released:
		s.Released++
		s.free[e.Machine] = e.Number
		for _, r := range s.out {
			if r.machine == e.Machine && n.Now < r.until && r.contact {
				n.Broken = append(n.Broken,
					fmt.Sprintf("%.3fs: window %d is free, and a request is out there that life %d sent "+
						"while in contact",
						(n.Now-time.Hour).Seconds(), e.Number, r.life))
			}
		}
	case maintenance.Done:
		delete(s.free, e.Machine)
		s.warmingUp[e.Machine] = n.Now + s.Returns
	case maintenance.Withdrawn, maintenance.Closed:
		delete(s.windows, e.Number)
		if e.Kind == maintenance.Closed {
			s.Closed++
		}
	}
	if len(s.out) > 10_000 { // what has ended goes
		kept := s.out[:0]
		for _, r := range s.out {
			if n.Now < r.until {
				kept = append(kept, r)
			}
		}
		s.out = kept
	}
}

func (s *Site) isOut(id uint64) bool {
	for _, m := range s.windows {
		if m == id {
			return true
		}
	}
	return false
}
