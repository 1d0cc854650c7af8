package replicatedstatesim

import (
	"cmp"
	"fmt"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate"
)

// Site is the set of upstream machines that the sidecars send requests to. It records which requests reach a machine
// and which maintenance steps the log applies. Each step is counted when the first sidecar applies it.
type Site struct {
	Machines     []maintenance.Machine
	Deadline     time.Duration // longest duration of a request
	Bound        int           // machines that may be out of service at once
	WarmupTime   time.Duration // from the end of the work on a machine until the machine is warm
	SendInterval time.Duration // mean interval between the requests of a sidecar; 0 for 100 ms
	Opened       int
	Released     int
	Closed       int
	Sent         int
	Misrouted    int // requests to a released machine, from a sidecar that was out of contact

	counted   map[maintenance.Step]bool // steps that were counted
	released  map[uint64]uint32         // machine ID to window: machines that were released for work
	windows   map[uint32]uint64         // window to machine ID: windows that are still open
	warmingUp map[uint64]time.Duration  // machine ID to the end of its warm-up
	out       []sent
}

// sent is a request in progress.
type sent struct {
	incarnation uint64
	machine     uint64
	until       time.Duration
	contact     bool // whether the sidecar was in contact when it sent the request
}

// ResetLog discards what is known of the log, after a new log was begun without maintenance windows.
func (s *Site) ResetLog() { clear(s.counted); clear(s.released); clear(s.windows) }

// startSending makes all sidecars send requests from now on.
func (n *Net) startSending() {
	s := n.Site
	s.counted, s.released, s.windows, s.warmingUp = make(map[maintenance.Step]bool), make(map[uint64]uint32),
		make(map[uint32]uint64), make(map[uint64]time.Duration)
	interval := cmp.Or(s.SendInterval, 100*time.Millisecond)
	for i := range n.Nodes {
		var send func()
		send = func() {
			n.send(i)
			n.After(time.Duration((0.5+n.Rng.Float64())*float64(interval)), send)
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
	machine := &s.Machines[n.Rng.IntN(len(s.Machines))]
	if out[machine.ID] || machine.State != maintenance.MachineReady {
		return
	}
	s.Sent++
	contact := m.Node.Active(m.Time()).Mode != policyrollout.CutOff
	if window, released := s.released[machine.ID]; released {
		if contact {
			n.Violations = append(n.Violations,
				fmt.Sprintf("%.3fs: n%d is in contact and sends to %s, which window %d has released",
					(n.Now-time.Hour).Seconds(), i, machine.Name, window))
		}
		s.Misrouted++
	}
	s.out = append(s.out, sent{m.Incarnation, machine.ID,
		n.Now + time.Duration(n.Rng.Int64N(int64(s.Deadline))), contact})
}

// Machines implements the machine source of replicatedstate. It returns the machines with a lower warmth for those that
// are warming up.
func (m *Node) Machines() (all []maintenance.Machine, current bool) {
	s := m.net.Site
	for _, machine := range s.Machines {
		if warm := s.warmingUp[machine.ID]; m.net.Now < warm {
			machine.Warmth = 0.5
		}
		all = append(all, machine)
	}
	return all, true
}

// LocalReport implements the machine source of replicatedstate. A window's machine is clear when this process has no
// request to it in progress.
func (m *Node) LocalReport(st *maintenance.State) maintenance.Report {
	s := m.net.Site
	unconfirmed := m.clearance.Unconfirmed(st)
	for window, machine := range unconfirmed {
		idle := true
		for _, r := range s.out {
			idle = idle && !(r.incarnation == m.Incarnation && r.machine == machine && m.net.Now < r.until)
		}
		if idle {
			m.clearance.MarkClear(window, machine)
		}
	}
	return maintenance.Report{ClearUpTo: m.clearance.ClearUpTo(m.Time()-m.startedAt,
		replicatedstate.LeaseExpiry(s.Deadline, m.net.Rate), st), Rate: 10, InTime: 1}
}

// MaintenanceApplied implements the host interface of replicatedstate. It checks and counts each maintenance step once.
func (m *Node) MaintenanceApplied(e maintenance.Step) {
	n, s := m.net, m.net.Site
	if s == nil || s.counted[e] {
		return
	}
	s.counted[e] = true
	if e.Kind.OfWindow() != (e.Machine != 0) {
		n.Violations = append(n.Violations,
			fmt.Sprintf("step %s of window %d names machine %d, unexpected for this kind of step",
				e.Kind, e.Number, e.Machine))
	}
	switch e.Kind {
	case maintenance.Opened:
		if _, again := s.windows[e.Number]; again {
			n.Violations = append(n.Violations, fmt.Sprintf("window %d was opened twice", e.Number))
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
			n.Violations = append(n.Violations,
				fmt.Sprintf("%.3fs: after window %d opened, %d machines are out of service, at most %d may be",
					(n.Now-time.Hour).Seconds(), e.Number, out, s.Bound))
		}
	case maintenance.Released:
		s.Released++
		s.released[e.Machine] = e.Number
		for _, r := range s.out {
			if r.machine == e.Machine && n.Now < r.until && r.contact {
				n.Violations = append(n.Violations,
					fmt.Sprintf("%.3fs: window %d was released during a request that incarnation %d "+
						"sent to its machine while in contact",
						(n.Now-time.Hour).Seconds(), e.Number, r.incarnation))
			}
		}
	case maintenance.Done:
		delete(s.released, e.Machine)
		s.warmingUp[e.Machine] = n.Now + s.WarmupTime
	case maintenance.Withdrawn, maintenance.Closed:
		delete(s.windows, e.Number)
		if e.Kind == maintenance.Closed {
			s.Closed++
		}
	}
	if len(s.out) > 10_000 { // remove the requests that have ended
		inProgress := s.out[:0]
		for _, r := range s.out {
			if n.Now < r.until {
				inProgress = append(inProgress, r)
			}
		}
		s.out = inProgress
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
