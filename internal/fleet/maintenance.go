package fleet

import (
	"fmt"
	"slices"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/replicatedstate"
	"caperarch/internal/proxy/metrics"
)

// Site is what this process knows and does about the machines that maintenance plans are about.
type Site interface {
	// Machines returns the listed machines, plans left aside; current: discovery has answered
	// recently.
	Machines() (all []maintenance.Machine, current bool)
	// Quiet calls told with those of some machines to which nothing is sent any more, and at which
	// nothing is in flight. It does not wait.
	Quiet(ids []uint64, told func(quiet []uint64))
	// Handled returns how many requests were answered since the start, and how many of them were
	// served.
	Handled() (all, passed uint64)
}

// maintenanceState is this process's part in maintenance. The policy's lock guards it.
type maintenanceState struct {
	site             Site
	attachedAt       time.Duration
	machines         maintenance.MachineList
	clearance        maintenance.LocalClearance
	load             maintenance.Load
	idleCheckPending bool // Site.Quiet has not called back yet
	logCount         int  // logs so far: an answer about an earlier log's windows is dropped
}

// Attach sets the machines. It is to be called before the fleet runs; without it this sidecar is
// never clear of a machine, and leads no plan.
func (p *Policy) Attach(site Site) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maintenance.site, p.maintenance.attachedAt = site, p.fleet.now()
	p.cfg.MachineSource, p.cfg.Deadline = machineSource{p}, p.fleet.cfg.MaxDeadline+deadlineOverrun
}

// deadlineOverrun is how long a request may take beyond its deadline until its end is known here.
const deadlineOverrun = 700 * time.Millisecond

// MachinesOut returns the machines to which nothing new may be sent, by maintenance windows. It
// never waits; a changed list is another slice, and none may be modified.
func (p *Policy) MachinesOut() *[]uint64 { return p.machinesOut.Load() }

// updateMaintenance updates what is known of machines and of this sidecar's load. The caller holds
// the lock.
func (p *Policy) updateMaintenance() {
	w := &p.maintenance
	if w.site == nil {
		return
	}
	if w.load.Due(p.now) {
		all, passed := w.site.Handled()
		w.load.Count(p.now, all, passed)
	}
	unconfirmed := w.clearance.Unconfirmed(p.node.MaintenanceState())
	if len(unconfirmed) == 0 || w.idleCheckPending {
		return
	}
	w.idleCheckPending = true
	var ids []uint64
	log := w.logCount
	for _, id := range unconfirmed {
		ids = append(ids, id)
	}
	w.site.Quiet(ids, func(quiet []uint64) {
		go func() { // the caller must not wait for the lock
			p.mu.Lock()
			defer p.mu.Unlock()
			w.idleCheckPending = false
			for window, id := range unconfirmed {
				if w.logCount == log && slices.Contains(quiet, id) {
					w.clearance.MarkClear(window, id)
				}
			}
		}()
	})
}

// publishMachinesOut has MachinesOut return what the log says now. The caller holds the lock.
func (p *Policy) publishMachinesOut() {
	if now := p.node.MachinesOut(); !slices.Equal(now, *p.machinesOut.Load()) {
		p.machinesOut.Store(&now)
	}
}

// machineSource is what the node unconfirmed (replicatedstate.Machines). Its methods are called with the
// lock held.
type machineSource struct{ p *Policy }

// Machines returns the machines, and whether the list is up to date.
func (w machineSource) Machines() (all []maintenance.Machine, current bool) {
	p := w.p
	listed, current := p.maintenance.site.Machines()
	p.maintenance.machines.Update(p.now, listed)
	return p.maintenance.machines.All(p.now), current
}

// LocalReport returns what this sidecar reports of itself.
func (w machineSource) LocalReport(s *maintenance.State) maintenance.Report {
	p := w.p
	rate, served := p.maintenance.load.Recent()
	return maintenance.Report{
		ClearUpTo: p.maintenance.clearance.ClearUpTo(
			p.now-p.maintenance.attachedAt,
			replicatedstate.LeaseExpiry(p.cfg.Deadline, p.cfg.MaxClockError), s,
		),
		Rate: rate, InTime: served,
	}
}

// machineName returns a machine's name for operators. The caller holds the lock.
func (p *Policy) machineName(id uint64) string {
	name, known := p.maintenance.machines.Name(p.now, id)
	if !known && p.maintenance.site != nil { // perhaps listed since the last update
		machineSource{p}.Machines()
		name, known = p.maintenance.machines.Name(p.now, id)
	}
	if !known {
		return fmt.Sprintf("%016x", id)
	}
	return name
}

// maintenanceMetrics returns the current state as metrics. The caller holds the lock.
func (p *Policy) maintenanceMetrics() metrics.Work {
	w := metrics.Work{
		Machines: map[string]int{
			maintenance.Draining.String(): 0, maintenance.Free.String(): 0,
			maintenance.Returning.String(): 0,
		},
	}
	if p.node == nil {
		return w
	}
	s := p.node.MaintenanceState()
	for _, t := range s.Windows {
		w.Machines[t.Phase.String()]++
	}
	for i := range s.Plans {
		if s.Plans[i].Paused != "" {
			w.Paused++
		}
	}
	w.Plans, w.Turn = len(s.Plans), s.LastWindow
	return w
}
