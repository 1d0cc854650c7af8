package main

import (
	"fmt"
	"time"
)

// meshSizeResult holds the results for a mesh of one size. Values without a role are per sidecar.
type meshSizeResult struct {
	bytes, tokenBytes, cpu, tokenCPU, memory, applied float64
	idle, requesting                                  meshUse
	change                                            float64 // CPU time in seconds of the leader for one change
	shared                                            bool    // the sidecars shared one configuration
}

// fitted returns the values that are fitted by the number of sidecars.
func (s meshSizeResult) fitted() map[string]float64 {
	all := map[string]float64{
		"leader: CPU": s.idle.leaderCPU, "other member: CPU": s.idle.followerCPU,
		"leader: memory": s.idle.leaderMemory, "other member: memory": s.idle.followerMemory,
		"leader: bytes per second": s.idle.leaderBytes, "other member: bytes per second": s.idle.followerBytes,
		"change: CPU at the leader": s.change, "change: in force at the last": s.applied,
	}
	// If requests failed, the cost is not representative of a mesh that serves all of them.
	if s.requesting.failed < 0.01*s.requesting.tokenRequests {
		all["leader: CPU for token requests"] = s.requesting.leaderCPU
		all["other member: CPU for token requests"] = s.requesting.followerCPU
	}
	if !s.shared {
		all["sidecar: memory"] = s.memory
	}
	return all
}

// measureMeshSize measures a mesh of one size: while idle, during configuration changes and with token requests.
func measureMeshSize(
	binary string, shape meshShape, windows int, windowLength time.Duration,
) (s meshSizeResult, err error) {
	c := newCleanups()
	defer c.end()
	r, err := startMeshRun(c, binary, shape, meshRoutes)
	if err != nil {
		return s, err
	}
	n := float64(shape.sidecars)
	all, err := r.idleUse(windows, windowLength)
	if err != nil {
		return s, err
	}
	var cpu, in, out, leader, follower samples
	for _, u := range all {
		cpu.add(u.sidecarCPU / n * 100)
		in.add(u.sidecarIn / n)
		out.add(u.sidecarOut / n)
		leader.add(u.leaderCPU * 100)
		follower.add(u.followerCPU * 100)
	}
	s.idle, s.shared = all[len(all)-1], shape.sidecars > meshShareConfigAbove
	s.bytes, s.cpu, s.memory = in.median()+out.median(), cpu.median()/100, s.idle.sidecarMemory/n
	s.idle.leaderCPU, s.idle.followerCPU = leader.median()/100, follower.median()/100
	kind := shape.String()
	fmt.Printf("%s, idle: a sidecar: in %v B/s, out %v B/s, %v %% of a core, %.2f renewals/s, %.2f MiB%s\n", kind,
		in, out, cpu, s.idle.renewals/n, s.memory/(1<<20),
		map[bool]string{true: " (configuration shared, no registry)"}[s.shared])
	fmt.Printf("%s, idle: leader %v %% of a core, %.1f MiB, %.0f B/s; another member %v %%, %.1f MiB, %.0f B/s\n",
		kind, leader, s.idle.leaderMemory/(1<<20), s.idle.leaderBytes, follower,
		s.idle.followerMemory/(1<<20), s.idle.followerBytes)
	m, err := r.changes(meshChanges, s.idle, func(i int) (time.Time, time.Time, int, error) {
		return r.core.update(i, 3)
	})
	if err != nil {
		return s, err
	}
	s.applied, s.change = m.applied.median()/1000, m.used.leaderCPU*m.used.seconds/meshChanges
	m.print(kind+", change of one route", n, meshChanges)
	requesting, p50, p99, err := r.requestTokens(meshRequestInterval, windowLength)
	if err != nil {
		return s, err
	}
	s.requesting = requesting.minus(s.idle)
	s.tokenBytes, s.tokenCPU = (s.requesting.sidecarIn+s.requesting.sidecarOut)/n, s.requesting.sidecarCPU/n
	fmt.Printf("%s, a token request every %v from each sidecar: %.0f/s answered, %.0f/s failed, p50 %.2f p99 "+
		"%.2f ms; in addition, a sidecar: %.0f B/s, %.3f %% of a core; leader: %.1f %%, another member: "+
		"%.1f %%; leader and another member use %.1f and %.1f MiB\n",
		kind, meshRequestInterval, s.requesting.tokenRequests, s.requesting.failed, p50, p99, s.tokenBytes,
		s.tokenCPU*100,
		s.requesting.leaderCPU*100, s.requesting.followerCPU*100, s.requesting.leaderMemory/(1<<20),
		s.requesting.followerMemory/(1<<20))
	return s, nil
}

func (m meshChange) print(kind string, sidecars float64, changes int) {
	of := func(v float64) float64 { return v * m.used.seconds / float64(changes) }
	fmt.Printf("%s: body %.0f B; answered after %v ms; arrived at the last sidecar after %v, in force "+
		"there after %v ms, which is %v ms after the response; CPU of one change: leader %.1f, another "+
		"member %.1f, a sidecar %.3f ms; a sidecar's bytes in %.0f, out %.0f\n",
		kind, m.size, m.answered, m.arrived, m.applied, m.afterAnswer, of(m.used.leaderCPU)*1000,
		of(m.used.followerCPU)*1000, of(m.used.sidecarCPU)*1000/sidecars, of(m.used.sidecarIn)/sidecars,
		of(m.used.sidecarOut)/sidecars)
}

// measureMeshRoutes measures changes of a configuration with a number of routes, in a mesh with 100 sidecars.
func measureMeshRoutes(binary string, routes int) error {
	const sidecars = 100
	c := newCleanups()
	defer c.end()
	r, err := startMeshRun(c, binary, meshShape{members: 3, sidecars: sidecars}, routes)
	if err != nil {
		return err
	}
	idle, err := r.idleUse(1, 3*time.Second)
	if err != nil {
		return err
	}
	m, err := r.changes(meshChanges, idle[0], func(i int) (time.Time, time.Time, int, error) {
		return r.core.update(i, 3)
	})
	if err != nil {
		return err
	}
	m.print(fmt.Sprintf("%d routes, change of one", routes), sidecars, meshChanges)
	m, err = r.changes(2, idle[0], func(i int) (time.Time, time.Time, int, error) {
		again := meshResources(routes)
		again[len(again)-1] = meshRoute(routes-1, 4+i)
		return r.core.replace(again)
	})
	if err != nil {
		return err
	}
	m.print(fmt.Sprintf("%d routes, replacement of the whole configuration", routes), sidecars, 2)
	after, err := r.idleUse(1, time.Second)
	if err != nil {
		return err
	}
	fmt.Printf("%d routes: a sidecar uses %.2f MiB, the leader %.1f, another member %.1f\n", routes,
		after[0].sidecarMemory/sidecars/(1<<20), after[0].leaderMemory/(1<<20), after[0].followerMemory/(1<<20))
	return nil
}
