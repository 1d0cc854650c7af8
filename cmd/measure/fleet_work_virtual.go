package main

import (
	"fmt"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/replicatedstatesim"
)

// virtualWork holds the results of a maintenance round in virtual time.
type virtualWork struct {
	took, ideal, bytes float64  // seconds, seconds, and bytes sent per second and sidecar
	given, over        int      // opened and completed windows
	astray             int      // requests at free machines by sidecars that were out of contact
	broken             []string // violated rules
}

// virtualRound runs a round in which all machines are taken out of service. The work on a machine begins as soon as a
// sidecar reports that the machine is free.
func virtualRound(seed uint64, size, machines, gone int) (r virtualWork) {
	site := &replicatedstatesim.Site{Deadline: 5 * time.Second, Bound: atOnce, WarmupTime: workWarmUp,
		SendInterval: 5 * time.Second}
	for i := range machines {
		site.Machines = append(site.Machines,
			maintenance.Machine{ID: uint64(i + 1), Name: fmt.Sprintf("s-%d", i), Zone: "a", Cell: i / 2,
				Weight: 1, State: maintenance.MachineReady, Warmth: 1})
	}
	n := replicatedstatesim.New(replicatedstatesim.Config{Size: size, Seed: seed,
		Lease: swim.LeaseFor(size), Rate: 0.001, BytesPerSecond: 2048, Site: site})
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1<<56); err != nil {
		return virtualWork{broken: []string{err.Error()}}
	}
	if !n.RunUntil(3*time.Minute, n.Converged) {
		return virtualWork{broken: []string{"not all sidecars apply the log's policy within 3 min"}}
	}
	n.Run(time.Minute)
	for i := range gone {
		n.Crash(size/gone*i + 5)
	}
	n.Run(10 * time.Second)
	by := n.Nodes[1]
	if _, err := by.Plan(by.Time(), fmt.Appendf(nil,
		"all = true\nlongest = \"10m\"\n[out]\nfleet = \"%d\"\ncell = \"1\"\n", atOnce)); err != nil {
		return virtualWork{broken: []string{err.Error()}}
	}
	begun, bytes := n.Now, n.Bytes
	atWork := make(map[uint32]bool)
	over := func() bool {
		s := by.MaintenanceState()
		for _, t := range s.Windows {
			if t.Phase == maintenance.Free && !atWork[t.Number] {
				atWork[t.Number] = true
				var say func()
				say = func() {
					if s := by.MaintenanceState().Window(t.Number); s != nil && s.Phase == maintenance.Free {
						_ = by.Operate(by.Time(), maintenance.Done, t.Number)
						n.After(time.Second, say)
					}
				}
				n.After(workDuration, say)
			}
		}
		return n.Violations != nil || len(s.Ended) > 0
	}
	for end := n.Now + time.Hour; !over() && n.Now < end; {
		n.Run(100 * time.Millisecond)
	}
	if r.broken = n.Violations; len(by.MaintenanceState().Ended) == 0 {
		r.broken = append(r.broken, fmt.Sprintf("round not over within an hour: %+v", by.MaintenanceView(by.Time())))
	}
	r.took = (n.Now - begun).Seconds()
	r.ideal = float64((machines+atOnce-1)/atOnce) * (workDuration + workWarmUp).Seconds()
	r.bytes = float64(n.Bytes-bytes) / r.took / float64(size)
	r.given, r.over, r.astray = site.Opened, site.Closed, site.Misrouted
	return r
}
