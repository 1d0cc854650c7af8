package main

import (
	"fmt"
	"time"
)

// meshSized is what a mesh of one size used: of one sidecar, and of members by role.
type meshSized struct {
	bytes, askBytes, cpu, askCPU, memory, applied float64
	quiet, asked                                  meshUse
	change                                        float64 // seconds of the sequencer's processor for one change
	shared                                        bool
}

func (s meshSized) fitted(n int) map[string]float64 {
	all := map[string]float64{
		"sequencer: CPU": s.quiet.sequencerCPU, "other member: CPU": s.quiet.followerCPU,
		"sequencer: memory": s.quiet.sequencerMem, "other member: memory": s.quiet.followerMemory,
		"sequencer: bytes a second": s.quiet.sequencerBytes, "other member: bytes a second": s.quiet.followerBytes,
		"change: CPU at the sequencer": s.change, "change: in force at the last": s.applied,
	}
	// else they were turned away: the cost is not that of a mesh that serves them
	if s.asked.failed < 0.01*s.asked.asks {
		all["sequencer: CPU for asks for tokens"] = s.asked.sequencerCPU
		all["other member: CPU for asks for tokens"] = s.asked.followerCPU
	}
	if !s.shared {
		all["sidecar: memory"] = s.memory
	}
	return all
}

// meshBySize measures a mesh of one size.
func meshBySize(binary string, shape meshShape, windows int, each time.Duration) (s meshSized, err error) {
	c := newCleanups()
	defer c.end()
	r, err := startMeshRun(c, binary, shape, meshRoutes)
	if err != nil {
		return s, err
	}
	n := float64(shape.sidecars)
	all, err := r.quiet(windows, each)
	if err != nil {
		return s, err
	}
	var cpu, in, out, sequencer, follower spread
	for _, u := range all {
		cpu.add(u.sidecarCPU / n * 100)
		in.add(u.sidecarIn / n)
		out.add(u.sidecarOut / n)
		sequencer.add(u.sequencerCPU * 100)
		follower.add(u.followerCPU * 100)
	}
	s.quiet, s.shared = all[len(all)-1], shape.sidecars > meshShare
	s.bytes, s.cpu, s.memory = in.median()+out.median(), cpu.median()/100, s.quiet.sidecarMemory/n
	s.quiet.sequencerCPU, s.quiet.followerCPU = sequencer.median()/100, follower.median()/100
	kind := shape.String()
	fmt.Printf("%s, quiet: a sidecar: in %v B/s, out %v B/s, %v %% of a core, %.2f renewals/s, %.2f MiB%s\n", kind,
		in, out, cpu, s.quiet.renewals/n, s.memory/(1<<20),
		map[bool]string{true: " (charter shared, no catalogue)"}[s.shared])
	fmt.Printf("%s, quiet: sequencer %v %% of a core, %.1f MiB, %.0f B/s; another member %v %%, %.1f MiB, %.0f B/s\n",
		kind, sequencer, s.quiet.sequencerMem/(1<<20), s.quiet.sequencerBytes, follower,
		s.quiet.followerMemory/(1<<20), s.quiet.followerBytes)
	m, err := r.changes(meshChanges, s.quiet, func(i int) (time.Time, time.Time, int, error) {
		return r.core.update(i, 3)
	})
	if err != nil {
		return s, err
	}
	s.applied, s.change = m.applied.median()/1000, m.used.sequencerCPU*m.used.seconds/meshChanges
	m.print(kind+", change of one route", n, meshChanges)
	asked, p50, p99, err := r.asking(meshIdle, each)
	if err != nil {
		return s, err
	}
	s.asked = asked.less(s.quiet)
	s.askBytes, s.askCPU = (s.asked.sidecarIn+s.asked.sidecarOut)/n, s.asked.sidecarCPU/n
	fmt.Printf("%s, an ask for tokens every %v from each: %.0f/s answered, %.0f/s failed, p50 %.2f p99 "+
		"%.2f ms; a sidecar more: %.0f B/s, %.3f %% of a core; sequencer more: %.1f %%, another member "+
		"more: %.1f %%; members hold %.1f and %.1f MiB\n",
		kind, meshIdle, s.asked.asks, s.asked.failed, p50, p99, s.askBytes, s.askCPU*100,
		s.asked.sequencerCPU*100, s.asked.followerCPU*100, s.asked.sequencerMem/(1<<20), s.asked.followerMemory/(1<<20))
	return s, nil
}

func (m meshChange) print(kind string, sidecars float64, changes int) {
	of := func(v float64) float64 { return v * m.used.seconds / float64(changes) }
	fmt.Printf("%s: body %.0f B; answered after %v ms; come to the last sidecar after %v, in force "+
		"there after %v ms, which is %v ms behind the answer; CPU of one: sequencer %.1f, another "+
		"member %.1f, a sidecar %.3f ms; a sidecar's bytes in %.0f, out %.0f\n",
		kind, m.size, m.answered, m.arrived, m.applied, m.afterAnswer, of(m.used.sequencerCPU)*1000,
		of(m.used.followerCPU)*1000, of(m.used.sidecarCPU)*1000/sidecars, of(m.used.sidecarIn)/sidecars,
		of(m.used.sidecarOut)/sidecars)
}

// meshByRoutes measures changes of a configuration of so many routes, before a hundred sidecars.
func meshByRoutes(binary string, routes int) error {
	const sidecars = 100
	c := newCleanups()
	defer c.end()
	r, err := startMeshRun(c, binary, meshShape{members: 3, sidecars: sidecars}, routes)
	if err != nil {
		return err
	}
	quiet, err := r.quiet(1, 3*time.Second)
	if err != nil {
		return err
	}
	m, err := r.changes(meshChanges, quiet[0], func(i int) (time.Time, time.Time, int, error) {
		return r.core.update(i, 3)
	})
	if err != nil {
		return err
	}
	m.print(fmt.Sprintf("%d routes, change of one", routes), sidecars, meshChanges)
	m, err = r.changes(2, quiet[0], func(i int) (time.Time, time.Time, int, error) {
		again := meshResources(routes)
		again[len(again)-1] = meshRoute(routes-1, 4+i)
		return r.core.replace(again)
	})
	if err != nil {
		return err
	}
	m.print(fmt.Sprintf("%d routes, the whole put anew", routes), sidecars, 2)
	after, err := r.quiet(1, time.Second)
	if err != nil {
		return err
	}
	fmt.Printf("%d routes: a sidecar holds %.2f MiB, the sequencer %.1f, another member %.1f\n", routes,
		after[0].sidecarMemory/sidecars/(1<<20), after[0].sequencerMem/(1<<20), after[0].followerMemory/(1<<20))
	return nil
}
