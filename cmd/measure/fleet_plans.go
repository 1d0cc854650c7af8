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
	planLoad   = 100 // requests a second
)

// measurePlans has fleets of real processes live through plans drawn from seeds 1, 2 and so on.
func measurePlans(short bool) (string, []string, error) {
	seeds, at := 200, 6
	if short {
		seeds, at = 4, 4
	}
	binary, end, err := tempDaemon()
	if err != nil {
		return "", nil, err
	}
	defer end()
	var mu sync.Mutex
	var missed []string
	var healed samples
	var sum fleet.Tally
	var lost, delayed, doubled int64
	faults := make(map[string]int)
	seeds = eachSeed(seeds, at, func(seed uint64) {
		t := newCleanups()
		defer t.end()
		f := fleet.New(t, fleet.Config{
			Size: planSize, Nodes: 4, Command: func() *exec.Cmd { return exec.Command(binary) },
		})
		f.RequireAgreement(30 * time.Second)
		plan := fleet.Draw(seed, planSize, planLength)
		tally, took, broken := f.Play(plan, planLoad)
		mu.Lock()
		defer mu.Unlock()
		healed.add(took.Seconds())
		sum.Add(tally)
		lost += f.Peers.Lost.Load()
		delayed += f.Peers.Delayed.Load()
		doubled += f.Peers.Doubled.Load()
		for _, s := range plan.Steps {
			faults[s.What]++
		}
		missed = append(missed, reportBroken(f, plan, broken)...)
	})
	fmt.Printf("%d plans of %v with %d processes: faults %v; datagrams lost %d, delayed %d, doubled %d; "+
		"requests %+v; views equal again after %v s\n",
		seeds, planLength, planSize, faults, lost, delayed, doubled, sum, healed)
	return fmt.Sprintf("seeds=%d broken=%d healed_median=%.2f healed_most=%.2f served=%d lost=%d", seeds,
		len(missed), healed.median(), healed.at(1), sum.Served, lost), missed, nil
}

// measurePolicyPlans has fleets of five to nine real processes change their policy while they live
// through plans drawn from seeds 1, 2 and so on.
func measurePolicyPlans(short bool) (string, []string, error) {
	seeds, at := 300, 4
	if short {
		seeds, at = 4, 4
	}
	binary, end, err := tempDaemon()
	if err != nil {
		return "", nil, err
	}
	defer end()
	var mu sync.Mutex
	var missed []string
	var settled samples
	var sum fleet.PolicyTally
	anew, turned := 0, 0
	faults := make(map[string]int)
	seeds = eachSeed(seeds, at, func(seed uint64) {
		t := newCleanups()
		defer t.end()
		size := 5 + int(seed%5)
		f := fleet.New(t, fleet.Config{
			Size: size, Nodes: 4, CutOff: fleet.CutOffPolicy,
			Command: func() *exec.Cmd { return exec.Command(binary) },
		})
		plan := fleet.Draw(seed, size, planLength)
		tally, broken := f.PlayPolicies(plan, planLoad)
		mu.Lock()
		defer mu.Unlock()
		settled.add(tally.Settled.Seconds())
		sum.Add(tally.Tally)
		sum.Proposed += tally.Proposed
		sum.Refused += tally.Refused
		turned += tally.Turns
		if tally.Lost {
			anew++
		}
		for _, s := range plan.Steps {
			faults[s.What]++
		}
		missed = append(missed, reportBroken(f, plan, broken)...)
	})
	fmt.Printf("%d plans of %v with 5 to 9 processes: faults %v; %d policies proposed, %d told no, "+
		"requests turned %d times; the log lost and begun anew %d times; requests %+v; all by one "+
		"policy again after %v s\n",
		seeds, planLength, faults, sum.Proposed, sum.Refused, turned, anew, sum.Tally, settled)
	return fmt.Sprintf("seeds=%d broken=%d proposed=%d turned=%d lost=%d settled_median=%.2f served=%d",
		seeds, len(missed), sum.Proposed, turned, anew, settled.median(), sum.Served), missed, nil
}

// measureWorkPlans has fleets of five to nine real processes take machines out for work while they
// live through plans of faults drawn from seeds 1, 2 and so on.
func measureWorkPlans(short bool) (string, []string, error) {
	seeds, at := 300, 12
	if short {
		seeds, at = 4, 4
	}
	binary, end, err := tempDaemon()
	if err != nil {
		return "", nil, err
	}
	defer end()
	var mu sync.Mutex
	var missed []string
	var ended samples
	var sum fleet.WorkTally
	anew := 0
	faults := make(map[string]int)
	seeds = eachSeed(seeds, at, func(seed uint64) {
		t := newCleanups()
		defer t.end()
		size := 5 + int(seed%5)
		f := fleet.New(t, fleet.Config{
			Size: size, Nodes: 6, CutOff: "[limits]\nopen = 40\n",
			Command: func() *exec.Cmd { return exec.Command(binary) },
			Edit:    func(_, settings map[string]any) { settings["rules"].(map[string]any)["cold_ms"] = 1500.0 },
		})
		plan := fleet.Draw(seed, size, planLength)
		plan.Steps = slices.DeleteFunc(plan.Steps, func(s fleet.Step) bool {
			return s.What == fleet.Drain
		}) // for good: its machine would never come back
		tally, broken := f.PlayWork(plan, planLoad, 2, swim.LeaseFor(size), 60*time.Millisecond,
			300*time.Millisecond, 1500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		ended.add(tally.Ended.Seconds())
		sum.Add(tally.Tally)
		sum.Turns += tally.Turns
		sum.Astray += tally.Astray
		sum.Most = max(sum.Most, tally.Most)
		if tally.Lost {
			anew++
		}
		for _, s := range plan.Steps {
			faults[s.What]++
		}
		missed = append(missed, reportBroken(f, plan, broken)...)
	})
	fmt.Printf("%d plans of %v with 5 to 9 processes: faults %v; %d machines were worked on, at most %d "+
		"out or cold at once; %d requests there by processes that had just begun; the log lost %d "+
		"times; requests %+v; the round over %v s after all was well\n",
		seeds, planLength, faults, sum.Turns, sum.Most, sum.Astray, anew, sum.Tally, ended)
	return fmt.Sprintf("seeds=%d broken=%d turns=%d astray=%d lost=%d ended_median=%.2f served=%d", seeds,
		len(missed), sum.Turns, sum.Astray, anew, ended.median(), sum.Served), missed, nil
}
