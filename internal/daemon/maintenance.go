package daemon

import (
	"caperarch/internal/daemon/config"
	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/proxy/clock"
	"caperarch/internal/proxy/metrics"
	"caperarch/internal/proxy/slowstart"
	"caperarch/policy"
)

// maintenanceSite gives maintenance plans access to the upstream machines of a pool. It implements fleet.MachinePool.
type maintenanceSite struct {
	pool    *pool
	cfg     *config.Config
	clock   clock.Clock
	metrics *metrics.Set
	zones   map[int]string // zone name by zone index
}

// attachMaintenance makes the machines of a pool available to the fleet's maintenance plans. It does nothing if this
// process has no replicated policy.
func (s *service) attachMaintenance(p *pool, cfg *config.Config, clk clock.Clock) {
	if s.fleet == nil || s.fleet.Policy() == nil {
		return
	}
	site := &maintenanceSite{pool: p, cfg: cfg, clock: clk, metrics: s.metrics, zones: make(map[int]string)}
	for name, number := range cfg.Zones {
		site.zones[number] = name
	}
	s.fleet.Policy().Attach(site)
}

// Machines returns the listed machines, without the effect of maintenance plans. current reports whether the latest
// response from discovery was valid.
func (site *maintenanceSite) Machines() (all []maintenance.Machine, current bool) {
	now := site.clock.Now()
	slowStart := &site.cfg.Policy
	for _, entry := range site.pool.list.Entries() {
		m := maintenance.Machine{
			ID: uint64(entry.ID), Name: entry.Name, Zone: site.zones[entry.Zone], Cell: entry.Cell,
			Weight: entry.Weight, State: maintenance.MachineDraining, Started: entry.Started, Warmth: 1,
		}
		if entry.State == policy.Ready {
			m.State = maintenance.MachineReady
		}
		if entry.Started > 0 {
			remaining := entry.Started + slowStart.SlowStartTime - now
			m.Warmth = slowstart.Warmth(remaining, slowStart.SlowStartTime, slowStart.SlowStartShare)
		}
		all = append(all, m)
	}
	return all, site.pool.discoveryCurrent.Load()
}

// ReportIdle calls report with those of the given machines that receive no new requests and have no requests in flight. It
// does not wait for the report.
func (site *maintenanceSite) ReportIdle(ids []uint64, report func(idle []uint64)) {
	servers := make([]policy.ServerID, len(ids))
	for i, id := range ids {
		servers[i] = policy.ServerID(id)
	}
	site.pool.engine.ReportIdle(servers, func(idle []policy.ServerID) {
		all := make([]uint64, len(idle))
		for i, id := range idle {
			all[i] = uint64(id)
		}
		report(all)
	})
}

// Handled returns the number of requests answered since the start of the process, and the number of those requests that
// were answered by an upstream.
func (site *maintenanceSite) Handled() (all, passed uint64) {
	for _, byOutcome := range site.metrics.Handled() {
		for outcome, n := range byOutcome {
			all += n
			if metrics.Outcome(outcome) == metrics.Passed {
				passed += n
			}
		}
	}
	return all, passed
}
