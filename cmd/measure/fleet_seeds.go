package main

import (
	"fmt"
	"os"
	"strings"
	"sync"

	"caperarch/internal/lab/testbed/fleet"
)

// eachSeed has something done for seeds 1, 2 and so on, some at a time, or for the one that was
// asked for; it returns for how many.
func eachSeed(seeds, at int, do func(seed uint64)) int {
	if maxSeeds > 0 {
		seeds = maxSeeds
	}
	first, last := uint64(1), uint64(seeds)
	if onlySeed != 0 {
		first, last = onlySeed, onlySeed
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

// reportBroken prints what was broken in a plan's run, as one line of what was missed; nothing was: none.
func reportBroken(f *fleet.Fleet, p *fleet.Plan, broken []string) (missed []string) {
	if broken == nil {
		return nil
	}
	line := fmt.Sprintf("%v: %s", p, strings.Join(broken, "; "))
	fmt.Println("broken:", line)
	keepLogs(f, p.Seed)
	return []string{line}
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
