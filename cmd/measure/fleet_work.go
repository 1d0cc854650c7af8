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

// Bounds that operators require of maintenance rounds.
const (
	workRound  = 1.3   // ratio of a round's duration to the ideal duration
	workServed = 0.005 // decrease of the share of served requests during a round
)

// measureWork measures a maintenance round, in which each machine is taken out of service once: with real processes,
// compared to a script that cordons each machine at each sidecar, and with 300 sidecars in virtual time.
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

// virtualRounds runs maintenance rounds in virtual time, without faults and with a tenth of the sidecars down. It
// returns the ratios of their durations to the ideal duration.
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
				"s, ideal %.0f; %d windows, %d withdrawn, %d requests at a free machine by sidecars out "+
				"of contact; %.0f bytes/s per sidecar\n",
				size, gone, machines, atOnce, r.took, r.ideal, r.given, r.given-r.over, r.astray, r.bytes)
		}
	}
	for name, s := range map[string]samples{"calm": calm, "a tenth down": down} {
		if s.at(1) > workRound {
			missed = append(missed, fmt.Sprintf("virtual, %s: a round takes %v times the ideal, want at most %v",
				name, s, workRound))
		}
	}
	return calm, down, missed
}

// compareRounds prints the results of rounds of real processes by a plan and by a script, and returns the bounds
// that the plan missed.
func compareRounds(processes, nodes int, plan, script realWork) (missed []string) {
	for _, r := range []struct {
		name string
		realWork
	}{{"by a plan", plan}, {"by a script", script}} {
		fmt.Printf("real, %d processes, a tenth of them down from the second machine on, %d machines, "+
			"%d at once, %s: a round in %.1f s; served %.4f (calm %.4f), p99 %.1f ms (calm %.1f); at "+
			"most %d out at once, "+
			"%d requests at machines that were being worked on\n", processes, nodes, realAtOnce, r.name,
			r.took, r.served, r.calm, 1000*r.p99, 1000*r.calmP99, r.most, r.wrong)
	}
	if plan.wrong > 0 || plan.most > realAtOnce {
		missed = append(missed, fmt.Sprintf("by a plan %d machines out at once, want at most %d; %d requests at "+
			"machines that were being worked on, want none", plan.most, realAtOnce, plan.wrong))
	}
	if plan.served < plan.calm-workServed {
		missed = append(missed, fmt.Sprintf("by a plan %.4f of the requests served, %.4f before the round",
			plan.served, plan.calm))
	}
	return missed
}

const (
	atOnce       = 6
	workDuration = 20 * time.Second // work on a virtual machine
	workWarmUp   = 20 * time.Second // from the work's end until the virtual machine is warm

	realAtOnce   = 2
	realDuration = 2 * time.Second
	realWarmUp   = 3 * time.Second
	realDelay    = 20 * time.Millisecond
)

// realWork holds the results of a round of real processes: times in seconds, shares of served requests, the largest
// number of machines out of service at once, and the number of requests at machines that were being worked on.
type realWork struct {
	took, served, calm, p99, calmP99 float64
	most, wrong                      int
}

// realRound runs a maintenance round of real processes under load, with a tenth of the processes down from the second
// machine on: by a plan, or by a script that cordons each machine at each sidecar in a fixed order.
func realRound(binary string, size, nodes int, byScript bool) (r realWork, err error) {
	t := newCleanups()
	defer t.end()
	f := fleet.New(t, fleet.Config{
		Size: size, Nodes: nodes, Direct: true, CutOff: "[limits]\nopen = 40\n",
		Command: func() *exec.Cmd { return exec.Command(binary) },
		Edit: func(_, settings map[string]any) {
			settings["rules"].(map[string]any)["cold_ms"] = float64(realWarmUp.Milliseconds())
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
		return r, fmt.Errorf("the processes do not apply the log's policy: %s", why)
	}
	stop := f.Load(200)
	defer func() { stop() }()
	time.Sleep(10 * time.Second)
	from := time.Now()
	r.calm, r.calmP99 = f.Served(from.Add(-8 * time.Second))
	var round *fleet.MaintenanceRun
	if byScript {
		round = f.StartScript(realAtOnce, realDuration, realWarmUp)
	} else {
		round = f.StartOperators(1, realDuration, realWarmUp)
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

// awaitRound waits until a round is over. It keeps a tenth of the processes down from the start of the second machine's
// window until two thirds of the machines have had a window.
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
			return fmt.Errorf("the round has not ended within 10 min: %s", round.Status)
		}
	}
	return nil
}

// drawRound draws a round from the processes' logs as an SVG file into plotDir. It does nothing if plotDir is empty.
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
	if err := all.DrawMaintenance(&svg); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(plotDir, "work-round.svg"), svg.Bytes(), 0o644)
}
