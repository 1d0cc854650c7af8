package fleet

import (
	"fmt"
	"slices"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/replicatedstate"
	"caperarch/internal/proxy/metrics"
)

// MachinePool is this process's access to the machines that maintenance plans take out of service.
type MachinePool interface {
	// Machines returns the machines that discovery lists, without the effect of maintenance windows. current
	// reports whether the list is up to date.
	Machines() (machines []maintenance.Machine, current bool)
	// ReportIdle calls report with those of the given machines that get no more requests from this process and have
	// none of its requests in flight. It does not block.
	ReportIdle(ids []uint64, report func(idle []uint64))
	// Handled returns how many requests have been answered since the process started, and how many of them were
	// served successfully.
	Handled() (answered, served uint64)
}

// maintenanceState is the state of this process that maintenance windows need. Policy.mu guards it.
type maintenanceState struct {
	pool             MachinePool
	attachedAt       time.Duration
	machines         maintenance.MachineList
	clearance        maintenance.LocalClearance
	load             maintenance.Load
	idleCheckPending bool // MachinePool.ReportIdle has not called back yet
	logCount         int  // number of logs so far, by which a report on windows of an earlier log is recognised
}

// Attach sets the pool of machines. It has to be called before Fleet.Run. Without a pool this sidecar never reports
// that it is clear of a maintenance window, and carries out no plan as leader.
func (p *Policy) Attach(pool MachinePool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maintenance.pool, p.maintenance.attachedAt = pool, p.fleet.now()
	p.cfg.MachineSource, p.cfg.Deadline = machineSource{p}, p.fleet.cfg.MaxDeadline+deadlineOverrun
}

// deadlineOverrun is how long after its deadline a request may still be in flight before this process has noticed its
// end.
const deadlineOverrun = 700 * time.Millisecond

// MachinesOut returns the machines to which no new requests may be sent because of maintenance windows. It never
// blocks. The slice must not be modified; a changed list is another slice, so that callers can compare pointers.
func (p *Policy) MachinesOut() *[]uint64 { return p.machinesOut.Load() }

// updateMaintenance samples this sidecar's load, and checks of which windows it is clear. The caller holds the lock.
func (p *Policy) updateMaintenance() {
	m := &p.maintenance
	if m.pool == nil {
		return
	}
	if m.load.Due(p.now) {
		answered, served := m.pool.Handled()
		m.load.Record(p.now, answered, served)
	}
	unconfirmed := m.clearance.Unconfirmed(p.node.MaintenanceState())
	if len(unconfirmed) == 0 || m.idleCheckPending {
		return
	}
	m.idleCheckPending = true
	var ids []uint64
	currentLog := m.logCount
	for _, id := range unconfirmed {
		ids = append(ids, id)
	}
	m.pool.ReportIdle(ids, func(idle []uint64) {
		go func() { // the callback must not wait for the lock
			p.mu.Lock()
			defer p.mu.Unlock()
			m.idleCheckPending = false
			for window, id := range unconfirmed {
				if m.logCount == currentLog && slices.Contains(idle, id) {
					m.clearance.MarkClear(window, id)
				}
			}
		}()
	})
}

// publishMachinesOut makes MachinesOut return the current state of the log. The caller holds the lock.
func (p *Policy) publishMachinesOut() {
	if current := p.node.MachinesOut(); !slices.Equal(current, *p.machinesOut.Load()) {
		p.machinesOut.Store(&current)
	}
}

// machineSource implements replicatedstate.Machines. Its methods are called with the lock held.
type machineSource struct{ p *Policy }

// Machines returns the machines, including those that discovery has stopped listing recently, and whether the list is
// up to date.
func (source machineSource) Machines() (machines []maintenance.Machine, current bool) {
	p := source.p
	listed, current := p.maintenance.pool.Machines()
	p.maintenance.machines.Update(p.now, listed)
	return p.maintenance.machines.All(p.now), current
}

// LocalReport returns the report of this sidecar to the log's leader.
func (source machineSource) LocalReport(state *maintenance.State) maintenance.Report {
	p := source.p
	rate, served := p.maintenance.load.Recent()
	return maintenance.Report{
		ClearUpTo: p.maintenance.clearance.ClearUpTo(
			p.now-p.maintenance.attachedAt,
			replicatedstate.LeaseExpiry(p.cfg.Deadline, p.cfg.MaxClockError), state,
		),
		Rate: rate, InTime: served,
	}
}

// machineName returns a machine's name, or its id in hexadecimal if the machine is unknown. The caller holds the lock.
func (p *Policy) machineName(id uint64) string {
	name, known := p.maintenance.machines.Name(p.now, id)
	if !known && p.maintenance.pool != nil { // discovery may have listed the machine since the last update
		machineSource{p}.Machines()
		name, known = p.maintenance.machines.Name(p.now, id)
	}
	if !known {
		return fmt.Sprintf("%016x", id)
	}
	return name
}

// maintenanceMetrics returns the state of plans and windows as metrics. The caller holds the lock.
func (p *Policy) maintenanceMetrics() metrics.Work {
	work := metrics.Work{
		Machines: map[string]int{
			maintenance.Draining.String(): 0, maintenance.Free.String(): 0,
			maintenance.Returning.String(): 0,
		},
	}
	if p.node == nil {
		return work
	}
	state := p.node.MaintenanceState()
	for _, window := range state.Windows {
		work.Machines[window.Phase.String()]++
	}
	for i := range state.Plans {
		if state.Plans[i].Paused != "" {
			work.Paused++
		}
	}
	work.Plans, work.Turn = len(state.Plans), state.LastWindow
	return work
}
