// Measure makes the project's measurements: subject and reference interleaved in one run, several rounds, the
// spread shown. Its last line is "NAME key=value ..."; it exits 1 if a stated bound is missed.
//
//	go run ./cmd/measure NAME [-short] [-plots DIR]
//
// A file's prefix says what it measures: proxy_ one proxy, virtual_ the decision module in virtual time, even
// how evenly requests are spread, fleet_ fleets of proxies, mesh_ the mesh, control_ its core machines after a
// fault, quota_ tenants' limits under faults, soak_ troubles in series that overlap, mutants whether the tests
// find planted faults, stress how often tests fail beside load. Subjects and callers are processes of their own
// (process.go, child.go), but for the upstreams and clients of quota_ and soak_, which record; what a measurement
// has started is ended by its cleanups (cleanup.go).
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
)

// measurement makes one; missed names the bounds that it missed.
type measurement func(short bool) (result string, missed []string, err error)

// plotDir is the folder that plots go to; "": none are made.
var plotDir string

// maxSeeds is how many seeds are played, by -seeds; 0: as many as are usual.
var maxSeeds int

// nameFilter is a part of the names of the packages that are looked at; "": all are.
var nameFilter string

// onlySeed is the only one that is played, of the measurements that draw from several; 0: all are.
var onlySeed uint64

// measurements are the verbs of the command line.
var measurements = map[string]measurement{
	// One proxy: its cost, its walls, its upgrades.
	"daemon":   measureDaemon,
	"plugin":   measurePlugin,
	"pools":    measurePools,
	"turnaway": measureTurnaway,
	"walls":    measureWalls,
	"rest":     measureRest,
	"service":  measureService,

	// The decision module in virtual time.
	"strain": measureStrain,
	"even":   measureEven,

	// Fleets of proxies that gossip and agree.
	"evenreal":    measureEvenReal,
	"evenevents":  measureEvenEvents,
	"peers":       measurePeers,
	"vast":        measureVast,
	"plans":       measurePlans,
	"policy":      measurePolicy,
	"policyplans": measurePolicyPlans,
	"work":        measureWork,
	"workplans":   measureWorkPlans,

	// The mesh and its core machines.
	"mesh":      measureMesh,
	"meshlarge": measureMeshLarge,
	"control":   measureControl,
	"quota":     measureQuota,
	"soak":      measureSoak,

	// Planted faults that the tests must find, and tests beside load.
	"mutants": measureMutants,
	"stress":  measureStress,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "child" {
		child(os.Args[2], os.Args[3:])
		return
	}
	var names []string
	for name := range measurements {
		names = append(names, name)
	}
	slices.Sort(names)
	usage := "usage: measure NAME [-short] [-plots DIR]; NAME is one of " + strings.Join(names, ", ")
	if len(os.Args) < 2 || measurements[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		os.Exit(2)
	}
	name := os.Args[1]
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	short := flags.Bool("short", false, "end within 45 s")
	flags.StringVar(&plotDir, "plots", "", "folder for plots (SVG), of the measurements that have some")
	flags.IntVar(&maxSeeds, "seeds", 0,
		"play seeds 1 to `N` instead of as many as are usual, of the measurements that draw from several")
	flags.Uint64Var(&onlySeed, "seed", 0, "play this seed alone, of the measurements that draw from several")
	flags.StringVar(&nameFilter, "in", "", "only what is about packages whose names have this in them, of "+
		"the measurements that go by packages; of control, only the parts whose keys have it")
	flags.StringVar(&earlierBinary, "before", "",
		"the daemon of an earlier release, to be measured beside the present one by those that can")
	flags.DurationVar(&soakLengthFlag, "length", 0, "of soak: how long each seed is played")
	flags.StringVar(&soakProcessesFlag, "processes", "",
		"of soak: how many processes there are, or max for as many as the machine bears")
	flags.StringVar(&soakKeepFlag, "keep", "",
		"of soak: `folder` for the reports of seeds with findings; of stress: for the output of failures")
	flags.Float64Var(&soakQuotaFlag, "quota", 0,
		"of soak: the `share` of a core that each sidecar has, as a quota for each tenth of a second")
	flags.IntVar(&soakClientsFlag, "clients", 1, "of soak: how many clients of each behavior a sidecar has")
	flags.BoolVar(&soakPausesFlag, "pauses", false, "of soak: stop processes for short times, again and again")
	flags.BoolVar(&soakDrainsFlag, "drains", false, "of soak: drain upstreams and replace them, again and again")
	flags.IntVar(&stressFlags.copies, "copies", stressCopies, "of stress: how many copies of the tests run at once")
	flags.IntVar(&stressFlags.plays, "plays", stressPlays, "of stress: how often each copy plays them")
	flags.IntVar(&stressFlags.busy, "busy", stressBusy, "of stress: how many busy processes are beside them")
	_ = flags.Parse(os.Args[2:]) // exits on an error
	stressArguments = flags.Args()
	cleanUpOnSignal()
	result, missed, err := measurements[name](*short)
	if err != nil {
		fmt.Fprintf(os.Stderr, "measure %s: %v\n", name, err)
		os.Exit(exitCodeOf(err))
	}
	for _, m := range missed {
		fmt.Println("missed:", m)
	}
	fmt.Println(name, result)
	if len(missed) > 0 {
		os.Exit(1)
	}
}
