package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/fleet/fleetlog"
	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/replicatedstatesim"
	"caperarch/internal/lab/testbed"
	"caperarch/internal/lab/testbed/fleet"
)

// What the operators' issue asks for.
const (
	workRound  = 1.3   // a round over the ideal
	workServed = 0.005 // less of the requests served than in calm
)

// measureWork measures a whole round of machines taken out for work: with real processes beside a
// script that cordons by hand, and with three hundred sidecars in virtual time.
func measureWork(short bool) (string, []string, error) {
	var missed []string
	machines, size, seeds := 60, 300, 3
	if short {
		machines, size, seeds = 24, 100, 1
	}
	var calm, down spread
	for seed := range uint64(seeds) {
		for _, gone := range []int{0, size / 10} {
			r := virtualRound(seed+1, size, machines, gone)
			for _, b := range r.broken[:min(3, len(r.broken))] {
				missed = append(missed, fmt.Sprintf("seed %d, %d down: %s", seed+1, gone, b))
			}
			if gone == 0 {
				calm.add(r.took / r.ideal)
			} else {
				down.add(r.took / r.ideal)
			}
			fmt.Printf("virtual, %d sidecars, %d of them down, %d machines, %d at once: a round in %.0f "+
				"s, ideal %.0f; %d turns, %d withdrawn, %d requests at a free machine by sidecars out "+
				"of contact; %.0f bytes a second each\n",
				size, gone, machines, atOnce, r.took, r.ideal, r.given, r.given-r.over, r.astray, r.bytes)
		}
	}
	for name, s := range map[string]spread{"calm": calm, "a tenth down": down} {
		if s.at(1) > workRound {
			missed = append(missed, fmt.Sprintf("virtual, %s: a round takes %v times the ideal, at most %v",
				name, s, workRound))
		}
	}
	binary, end, err := tempDaemon()
	if err != nil {
		return "", nil, err
	}
	defer end()
	processes, nodes := 30, 12
	if short {
		processes, nodes = 9, 4
	}
	plan, err := realRound(binary, processes, nodes, false)
	if err != nil {
		return "", nil, err
	}
	script, err := realRound(binary, processes, nodes, true)
	if err != nil {
		return "", nil, err
	}
	for _, r := range []struct {
		name string
		realWork
	}{{"by a plan", plan}, {"by a script", script}} {
		fmt.Printf("real, %d processes, a tenth of them down from the second machine on, %d machines, "+
			"%d at once, %s: a round in %.1f s; served %.4f (calm %.4f), p99 %.1f ms (calm %.1f); at "+
			"most %d out at once, "+
			"%d requests at machines that somebody worked on\n", processes, nodes, realAtOnce, r.name,
			r.took, r.served, r.calm, 1000*r.p99, 1000*r.calmP99, r.most, r.wrong)
	}
	if plan.wrong > 0 || plan.most > realAtOnce {
		missed = append(missed, fmt.Sprintf("by a plan %d out at once, %d may be; %d requests at "+
			"machines that somebody worked on", plan.most, realAtOnce, plan.wrong))
	}
	if plan.served < plan.calm-workServed {
		missed = append(missed, fmt.Sprintf("by a plan %.4f served, calm %.4f", plan.served, plan.calm))
	}
	return fmt.Sprintf("virtual_round=%.2f virtual_down=%.2f plan_s=%.1f script_s=%.1f plan_served=%.4f "+
		"script_served=%.4f plan_wrong=%d script_wrong=%d", calm.at(1), down.at(1), plan.took, script.took,
		plan.served, script.served, plan.wrong, script.wrong), missed, nil
}

const (
	atOnce    = 6
	workTakes = 20 * time.Second // of virtual machines,
	workCold  = 20 * time.Second // and till they are warm

	realAtOnce = 2
	realTakes  = 2 * time.Second
	realCold   = 3 * time.Second
	realDelay  = 20 * time.Millisecond
)

type virtualWork struct {
	took, ideal, bytes float64
	given, over        int
	astray             int
	broken             []string
}

// virtualRound has so many sidecars take all machines out. Somebody is at each as soon as any
// sidecar says that it is free.
func virtualRound(seed uint64, size, machines, gone int) (r virtualWork) {
	site := &replicatedstatesim.Site{Deadline: 5 * time.Second, Bound: atOnce, Returns: workCold,
		Every: 5 * time.Second}
	for i := range machines {
		site.Machines = append(site.Machines,
			maintenance.Machine{ID: uint64(i + 1), Name: fmt.Sprintf("s-%d", i), Zone: "a", Cell: i / 2,
				Weight: 1, State: maintenance.MachineReady, Warmth: 1})
	}
	n := replicatedstatesim.New(replicatedstatesim.Config{Size: size, Seed: seed,
		Lease: swim.LeaseFor(size), Rate: 0.001, Spend: 2048, Site: site})
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1<<56); err != nil {
		return virtualWork{broken: []string{err.Error()}}
	}
	if !n.Until(3*time.Minute, n.Quiet) {
		return virtualWork{broken: []string{"not all go by the log"}}
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
				n.After(workTakes, say)
			}
		}
		return n.Broken != nil || len(s.Ended) > 0
	}
	for end := n.Now + time.Hour; !over() && n.Now < end; {
		n.Run(100 * time.Millisecond)
	}
	if r.broken = n.Broken; len(by.MaintenanceState().Ended) == 0 {
		r.broken = append(r.broken, fmt.Sprintf("not over within an hour: %+v", by.MaintenanceView(by.Time())))
	}
	r.took = (n.Now - begun).Seconds()
	r.ideal = float64((machines+atOnce-1)/atOnce) * (workTakes + workCold).Seconds()
	r.bytes = float64(n.Bytes-bytes) / r.took / float64(size)
	r.given, r.over, r.astray = site.Given, site.Over, site.Astray
	return r
}

type realWork struct {
	took, served, calm, p99, calmP99 float64
	most, wrong                      int
}

// realRound has processes take machines out under load, a tenth of them down from the third machine
// on: by a plan, or by a script that cordons each machine by hand at each sidecar in fixed order.
func realRound(binary string, size, nodes int, byScript bool) (r realWork, err error) {
	t := newCleanups()
	defer t.end()
	f := fleet.New(t, fleet.Config{
		Size: size, Nodes: nodes, Direct: true, CutOff: "[limits]\nopen = 40\n", Command: func() *exec.Cmd {
			return exec.Command(binary)
		},
		Edit: func(_, settings map[string]any) {
			settings["rules"].(map[string]any)["cold_ms"] = float64(realCold.Milliseconds())
		},
	})
	for _, n := range f.Nodes {
		n.Delay.Store(int64(realDelay))
		n.Do(testbed.Always(testbed.Slow))
	}
	if err := f.Sidecars[0].Found(); err != nil {
		return r, err
	}
	if _, _, why := f.AwaitPolicy(0, time.Minute); why != "" {
		return r, fmt.Errorf("no log: %s", why)
	}
	stop := f.Load(200)
	defer func() { stop() }()
	time.Sleep(10 * time.Second)
	from := time.Now()
	r.calm, r.calmP99 = f.Served(from.Add(-8 * time.Second))
	var round *fleet.Round
	if byScript {
		round = f.Script(realAtOnce, realTakes, realCold)
	} else {
		round = f.Operators(1, realTakes, realCold)
		if err := f.Sidecars[1].Work(fmt.Sprintf("all = true\nin_time = 0.5\n[out]\nfleet = \"%d\"\n",
			realAtOnce)); err != nil {
			return r, err
		}
	}
	var down []*fleet.Sidecar
	for begun := time.Now(); !round.Ended(); time.Sleep(50 * time.Millisecond) {
		if down == nil && len(round.Stays()) >= 2 {
			for i := range max(1, size/10) {
				down = append(down, f.Sidecars[2+i])
				f.Sidecars[2+i].Crash()
			}
		}
		if down != nil && len(round.Stays()) >= nodes*2/3 {
			for _, s := range down {
				s.Start()
			}
			down = down[:0]
		}
		if time.Since(begun) > 10*time.Minute {
			return r, fmt.Errorf("the round does not end: %s", round.Shown)
		}
	}
	r.took = time.Since(from).Seconds()
	round.End()
	r.served, r.p99 = f.Served(from)
	found := round.Check(realAtOnce, realDelay, swim.LeaseFor(size))
	r.wrong, r.most = len(found.Arrived), found.Most
	if byScript {
		return r, nil
	}
	return r, drawRound(f)
}

// drawRound draws a round as its processes logged it, if there is a folder for plots.
func drawRound(f *fleet.Fleet) error {
	if plots == "" {
		return nil
	}
	all := fleetlog.New()
	for _, s := range f.Sidecars {
		if err := all.Read(strconv.Itoa(s.Number), strings.NewReader(s.Log())); err != nil {
			return err
		}
	}
	var svg bytes.Buffer
	if err := all.DrawWork(&svg); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(plots, "work-round.svg"), svg.Bytes(), 0o644)
}
