package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/testbed/fleet"
)

// cleanups is a rig.TB for a program that gives back what one part of it took.
type cleanups struct {
	panics
	all *[]func()
}

func newCleanups() cleanups {
	if ending.Load() {
		select {} // the program is about to end
	}
	c := cleanups{all: new([]func())}
	open.Store(c, true)
	return c
}

// open are those whose end has not come. A measurement that is called off must leave no process
// behind: a hundred of one went on beside the next.
var open sync.Map

// ending says that the program was told to end: nothing new is begun.
var ending atomic.Bool

// endOnSignal gives everything back when the program is told to end.
func endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-told
		ending.Store(true)
		open.Range(func(c, _ any) bool {
			c.(cleanups).end()
			return true
		})
		os.Exit(1)
	}()
}

// Cleanup has something done at the end.
func (c cleanups) Cleanup(f func()) { *c.all = append(*c.all, f) }

func (c cleanups) end() {
	if _, still := open.LoadAndDelete(c); !still {
		return
	}
	for i := len(*c.all) - 1; i >= 0; i-- {
		(*c.all)[i]()
	}
}

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
	var healed spread
	var sum fleet.Tally
	var lost, delayed, doubled int64
	faults := make(map[string]int)
	seeds = eachSeed(seeds, at, func(seed uint64) {
		t := newCleanups()
		defer t.end()
		f := fleet.New(t, fleet.Config{
			Size: planSize, Nodes: 4, Command: func() *exec.Cmd { return exec.Command(binary) },
		})
		f.AwaitAgree(30 * time.Second)
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
		missed = append(missed, told(f, plan, broken)...)
	})
	fmt.Printf("%d plans of %v with %d processes: faults %v; datagrams lost %d, delayed %d, doubled %d; "+
		"requests %+v; views equal again after %v s\n",
		seeds, planLength, planSize, faults, lost, delayed, doubled, sum, healed)
	return fmt.Sprintf("seeds=%d broken=%d healed_median=%.2f healed_most=%.2f served=%d lost=%d", seeds,
		len(missed), healed.median(), healed.at(1), sum.Served, lost), missed, nil
}

// eachSeed has something done for seeds 1, 2 and so on, some at a time, or for the one that was
// asked for; it returns for how many.
func eachSeed(seeds, at int, do func(seed uint64)) int {
	if seedsMost > 0 {
		seeds = seedsMost
	}
	first, last := uint64(1), uint64(seeds)
	if seed != 0 {
		first, last = seed, seed
	}
	places, done := make(chan struct{}, at), new(sync.WaitGroup)
	for s := first; s <= last; s++ {
		places <- struct{}{}
		done.Go(func() {
			defer func() { <-places }()
			do(s)
		})
	}
	done.Wait()
	return int(last - first + 1)
}

// told prints what was broken in a plan's run, as one line of what was missed; nothing was: none.
func told(f *fleet.Fleet, p *fleet.Plan, broken []string) (missed []string) {
	if broken == nil {
		return nil
	}
	line := fmt.Sprintf("%v: %s", p, strings.Join(broken, "; "))
	fmt.Println("broken:", line)
	keepLogs(f, p.Seed)
	return []string{line}
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
	var settled spread
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
		missed = append(missed, told(f, plan, broken)...)
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
	var ended spread
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
		missed = append(missed, told(f, plan, broken)...)
	})
	fmt.Printf("%d plans of %v with 5 to 9 processes: faults %v; %d machines were worked on, at most %d "+
		"out or cold at once; %d requests there by processes that had just begun; the log lost %d "+
		"times; requests %+v; the round over %v s after all was well\n",
		seeds, planLength, faults, sum.Turns, sum.Most, sum.Astray, anew, sum.Tally, ended)
	return fmt.Sprintf("seeds=%d broken=%d turns=%d astray=%d lost=%d ended_median=%.2f served=%d", seeds,
		len(missed), sum.Turns, sum.Astray, anew, ended.median(), sum.Served), missed, nil
}

// keepLogs writes what processes logged where KEEP_LOGS says, for a run that was broken.
func keepLogs(f *fleet.Fleet, seed uint64) {
	keep := os.Getenv("KEEP_LOGS")
	if keep == "" {
		return
	}
	if out, err := os.Create(fmt.Sprintf("%s/seed-%d.log", keep, seed)); err == nil {
		f.Dump(out)
		out.Close()
	}
}
