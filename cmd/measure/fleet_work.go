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
	"caperarch/internal/fleet/swim"
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
	calm, down, missed := virtualRounds(short)
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
	missed = append(missed, compareRounds(processes, nodes, plan, script)...)
	return fmt.Sprintf("virtual_round=%.2f virtual_down=%.2f plan_s=%.1f script_s=%.1f plan_served=%.4f "+
		"script_served=%.4f plan_wrong=%d script_wrong=%d", calm.at(1), down.at(1), plan.took, script.took,
		plan.served, script.served, plan.wrong, script.wrong), missed, nil
}

// virtualRounds plays rounds in virtual time, in calm and with a tenth of the sidecars down; it returns
// their times over the ideal.
func virtualRounds(short bool) (calm, down samples, missed []string) {
	machines, size, seeds := 60, 300, 3
	if short {
		machines, size, seeds = 24, 100, 1
	}
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
	for name, s := range map[string]samples{"calm": calm, "a tenth down": down} {
		if s.at(1) > workRound {
			missed = append(missed, fmt.Sprintf("virtual, %s: a round takes %v times the ideal, at most %v",
				name, s, workRound))
		}
	}
	return calm, down, missed
}

// compareRounds prints the rounds of real processes, by a plan and by a script, and names the bounds
// that the plan missed.
func compareRounds(processes, nodes int, plan, script realWork) (missed []string) {
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
	return missed
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

// realWork is what a round of real processes took: seconds, shares of requests served, machines out at once.
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
		Size: size, Nodes: nodes, Direct: true, CutOff: "[limits]\nopen = 40\n",
		Command: func() *exec.Cmd { return exec.Command(binary) },
		Edit: func(_, settings map[string]any) {
			settings["rules"].(map[string]any)["cold_ms"] = float64(realCold.Milliseconds())
		},
	})
	for _, n := range f.Nodes {
		n.Delay.Store(int64(realDelay))
		n.Do(testbed.Always(testbed.Slow))
	}
	if err := f.Sidecars[0].Bootstrap(); err != nil {
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
	var round *fleet.MaintenanceRun
	if byScript {
		round = f.StartScript(realAtOnce, realTakes, realCold)
	} else {
		round = f.StartOperators(1, realTakes, realCold)
		if err := f.Sidecars[1].ProposeMaintenance(fmt.Sprintf("all = true\nin_time = 0.5\n[out]\nfleet = \"%d\"\n",
			realAtOnce)); err != nil {
			return r, err
		}
	}
	if err := awaitRound(f, round, size, nodes); err != nil {
		return r, err
	}
	r.took = time.Since(from).Seconds()
	round.End()
	r.served, r.p99 = f.Served(from)
	found := round.Check(realAtOnce, realDelay, swim.LeaseFor(size))
	r.wrong, r.most = len(found.Arrived), found.MaxOut
	if byScript {
		return r, nil
	}
	return r, drawRound(f)
}

// awaitRound waits until a round is over. A tenth of the processes are down from its second machine on
// until two thirds of the machines have had their time.
func awaitRound(f *fleet.Fleet, round *fleet.MaintenanceRun, size, nodes int) error {
	var down []*fleet.Sidecar
	for begun := time.Now(); !round.Ended(); time.Sleep(50 * time.Millisecond) {
		if down == nil && len(round.Windows()) >= 2 {
			for i := range max(1, size/10) {
				down = append(down, f.Sidecars[2+i])
				f.Sidecars[2+i].Crash()
			}
		}
		if down != nil && len(round.Windows()) >= nodes*2/3 {
			for _, s := range down {
				s.Start()
			}
			down = down[:0]
		}
		if time.Since(begun) > 10*time.Minute {
			return fmt.Errorf("the round does not end: %s", round.Status)
		}
	}
	return nil
}

// drawRound draws a round as its processes logged it, if there is a folder for plots.
func drawRound(f *fleet.Fleet) error {
	if plotDir == "" {
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
	return os.WriteFile(filepath.Join(plotDir, "work-round.svg"), svg.Bytes(), 0o644)
}
