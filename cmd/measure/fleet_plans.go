package main

import (
	"fmt"
	"os/exec"
	"slices"
	"sync"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/testbed/fleet"
)

const (
	planLength = 20 * time.Second
	planSize   = 5
	planLoad   = 100 // requests per second
)

// planResults holds the results of all plans of a measurement.
type planResults struct {
	mu     sync.Mutex     // guards the fields below, and the sums of the measurement
	plans  int            // number of plans that were run
	faults map[string]int // number of faults by kind
	missed []string
}

// planRun is the result of one plan. record adds the result to the measurement's sums.
type planRun struct {
	fleet  *fleet.Fleet
	plan   *fleet.Plan
	broken []string
	record func()
}

// runPlans runs plans drawn from the seeds from 1 on, several at once, each with its own fleet of daemons, which
// command starts.
func runPlans(
	seeds, atOnce int, play func(c cleanups, seed uint64, command func() *exec.Cmd) planRun,
) (*planResults, error) {
	binary, end, err := tempDaemon()
	if err != nil {
		return nil, err
	}
	defer end()
	results := &planResults{faults: make(map[string]int)}
	results.plans = eachSeed(seeds, atOnce, func(seed uint64) {
		c := newCleanups()
		defer c.end()
		played := play(c, seed, func() *exec.Cmd { return exec.Command(binary) })
		results.mu.Lock()
		defer results.mu.Unlock()
		played.record()
		for _, s := range played.plan.Steps {
			results.faults[s.Kind]++
		}
		results.missed = append(results.missed, reportBroken(played.fleet, played.plan, played.broken)...)
	})
	return results, nil
}

// measurePlans runs fleets of real processes through random plans of faults, and checks the rules of membership.
func measurePlans(short bool) (string, []string, error) {
	seeds, atOnce := 200, 6
	if short {
		seeds, atOnce = 4, 4
	}
	var healed samples
	var sum fleet.Tally
	var lost, delayed, doubled int64
	results, err := runPlans(seeds, atOnce, func(c cleanups, seed uint64, command func() *exec.Cmd) planRun {
		f := fleet.New(c, fleet.Config{Size: planSize, Nodes: 4, Command: command})
		f.RequireAgreement(30 * time.Second)
		plan := fleet.Draw(seed, planSize, planLength)
		tally, took, broken := f.Play(plan, planLoad)
		return planRun{f, plan, broken, func() {
			healed.add(took.Seconds())
			sum.Add(tally)
			lost += f.Peers.Lost.Load()
			delayed += f.Peers.Delayed.Load()
			doubled += f.Peers.Duplicated.Load()
		}}
	})
	if err != nil {
		return "", nil, err
	}
	fmt.Printf("%d plans of %v with %d processes: faults %v; datagrams lost %d, delayed %d, doubled %d; "+
		"requests %+v; views equal again after %v s\n",
		results.plans, planLength, planSize, results.faults, lost, delayed, doubled, sum, healed)
	return fmt.Sprintf("seeds=%d broken=%d healed_median=%.2f healed_most=%.2f served=%d lost=%d", results.plans,
		len(results.missed), healed.median(), healed.at(1), sum.Served, lost), results.missed, nil
}

// measurePolicyPlans runs fleets of five to nine real processes through plans of faults while their policy changes.
func measurePolicyPlans(short bool) (string, []string, error) {
	seeds, atOnce := 300, 4
	if short {
		seeds, atOnce = 4, 4
	}
	var settled samples
	var sum fleet.PolicyTally
	anew, turned := 0, 0
	results, err := runPlans(seeds, atOnce, func(c cleanups, seed uint64, command func() *exec.Cmd) planRun {
		size := 5 + int(seed%5)
		f := fleet.New(c, fleet.Config{Size: size, Nodes: 4, CutOff: fleet.CutOffPolicy, Command: command})
		plan := fleet.Draw(seed, size, planLength)
		tally, broken := f.PlayPolicies(plan, planLoad)
		return planRun{f, plan, broken, func() {
			settled.add(tally.Settled.Seconds())
			sum.Add(tally.Tally)
			sum.Proposed += tally.Proposed
			sum.Refused += tally.Refused
			turned += tally.Turns
			if tally.Lost {
				anew++
			}
		}}
	})
	if err != nil {
		return "", nil, err
	}
	fmt.Printf("%d plans of %v with 5 to 9 processes: faults %v; %d policies proposed, %d rejected, "+
		"requests turned %d times; the log lost and started again %d times; requests %+v; all on one "+
		"policy again after %v s\n",
		results.plans, planLength, results.faults, sum.Proposed, sum.Refused, turned, anew, sum.Tally, settled)
	return fmt.Sprintf("seeds=%d broken=%d proposed=%d turned=%d lost=%d settled_median=%.2f served=%d",
		results.plans, len(results.missed), sum.Proposed, turned, anew, settled.median(), sum.Served), results.missed, nil
}

// measureWorkPlans runs fleets of five to nine real processes through plans of faults while they take machines out of
// service for maintenance.
func measureWorkPlans(short bool) (string, []string, error) {
	seeds, atOnce := 300, 12
	if short {
		seeds, atOnce = 4, 4
	}
	var ended samples
	var sum fleet.WorkTally
	anew := 0
	results, err := runPlans(seeds, atOnce, func(c cleanups, seed uint64, command func() *exec.Cmd) planRun {
		size := 5 + int(seed%5)
		f := fleet.New(c, fleet.Config{
			Size: size, Nodes: 6, CutOff: "[limits]\nopen = 40\n", Command: command,
			Edit: func(_, settings map[string]any) { settings["rules"].(map[string]any)["cold_ms"] = 1500.0 },
		})
		plan := fleet.Draw(seed, size, planLength)
		plan.Steps = slices.DeleteFunc(plan.Steps, func(s fleet.Step) bool {
			return s.Kind == fleet.Drain
		}) // a drained machine would never return
		tally, broken := f.PlayWork(plan, planLoad, 2, swim.LeaseFor(size), 60*time.Millisecond,
			300*time.Millisecond, 1500*time.Millisecond)
		return planRun{f, plan, broken, func() {
			ended.add(tally.Ended.Seconds())
			sum.Add(tally.Tally)
			sum.Turns += tally.Turns
			sum.Misrouted += tally.Misrouted
			sum.MaxOut = max(sum.MaxOut, tally.MaxOut)
			if tally.Lost {
				anew++
			}
		}}
	})
	if err != nil {
		return "", nil, err
	}
	fmt.Printf("%d plans of %v with 5 to 9 processes: faults %v; work on %d machines, at most %d "+
		"out or cold at once; %d requests there by newly started processes; the log lost %d "+
		"times; requests %+v; the round over %v s after the last fault\n",
		results.plans, planLength, results.faults, sum.Turns, sum.MaxOut, sum.Misrouted, anew, sum.Tally, ended)
	return fmt.Sprintf("seeds=%d broken=%d turns=%d astray=%d lost=%d ended_median=%.2f served=%d", results.plans,
		len(results.missed), sum.Turns, sum.Misrouted, anew, ended.median(), sum.Served), results.missed, nil
}
