package main

import (
	"fmt"
	"os"
	"strings"
	"sync"

	"caperarch/internal/lab/testbed/fleet"
)

// eachSeed calls do for the seeds from 1 on, several at a time, or only for the seed from the command line. It returns
// the number of seeds.
func eachSeed(seeds, at int, do func(seed uint64)) int {
	if maxSeeds > 0 {
		seeds = maxSeeds
	}
	first, last := uint64(1), uint64(seeds)
	if onlySeed != 0 {
		first, last = onlySeed, onlySeed
	}
	slots, done := make(chan struct{}, at), new(sync.WaitGroup)
	for s := first; s <= last; s++ {
		slots <- struct{}{}
		done.Go(func() {
			defer func() { <-slots }()
			do(s)
		})
	}
	done.Wait()
	return int(last - first + 1)
}

// reportBroken prints the rules that a plan's run violated, if any, and returns them as one line.
func reportBroken(f *fleet.Fleet, p *fleet.Plan, broken []string) (missed []string) {
	if broken == nil {
		return nil
	}
	line := fmt.Sprintf("%v: %s", p, strings.Join(broken, "; "))
	fmt.Println("broken:", line)
	writeLogs(f, p.Seed)
	return []string{line}
}

// writeLogs writes the processes' logs to a file in the folder named by the environment variable KEEP_LOGS, if set.
func writeLogs(f *fleet.Fleet, seed uint64) {
	keep := os.Getenv("KEEP_LOGS")
	if keep == "" {
		return
	}
	if out, err := os.Create(fmt.Sprintf("%s/seed-%d.log", keep, seed)); err == nil {
		f.Dump(out)
		out.Close()
	}
}
