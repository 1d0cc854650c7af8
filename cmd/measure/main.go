// Measure runs the project's measurements. A measurement alternates between the measured program and its reference for
// several rounds, and prints the variation between rounds. The last line of output is "NAME key=value ...". The exit
// status is 1 if a bound is missed.
//
//	go run ./cmd/measure NAME [-short] [-plots DIR]
//
// The prefix of a file names the subject of its measurements:
//
//   - proxy_: one proxy
//   - virtual_: the decision module in virtual time
//   - even: how evenly requests are distributed
//   - fleet_: fleets of proxies
//   - mesh_: the mesh
//   - control_: the mesh's core machines after a fault
//   - quota_: tenants' limits under faults
//   - soak_: overlapping series of faults
//   - mutants: whether the tests find planted faults
//   - stress: how often tests fail under load
//
// Measured programs and callers run in child processes (process.go, child.go), except for the upstreams and clients of
// quota_ and soak_, which record requests. Cleanups end all processes that a measurement has started (cleanup.go).
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
)

// measurement runs one measurement. It returns the result line and a line for each missed bound.
type measurement func(short bool) (result string, missed []string, err error)

// plotDir is the folder for plots; "": no plots are written.
var plotDir string

// maxSeeds is the number of seeds to run, from -seeds; 0: the measurement's default.
var maxSeeds int

// nameFilter selects packages (mutants) or scenarios (control, quota) by a substring of their names; "": all.
var nameFilter string

// onlySeed is the only seed to run in measurements with several seeds; 0: all seeds.
var onlySeed uint64

// measurements maps the names on the command line to the measurements.
var measurements = map[string]measurement{
	// One proxy: its cost, isolation of pools, and upgrades.
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

	// Fleets of proxies, with membership by gossip and a replicated log.
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

	// Planted faults that the tests must find, and tests under load.
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
	short := flags.Bool("short", false, "use a short form that ends within 45 s")
	flags.StringVar(&plotDir, "plots", "", "folder for plots (SVG), for measurements that have plots")
	flags.IntVar(&maxSeeds, "seeds", 0,
		"run seeds 1 to `N` instead of the default, for measurements with several seeds")
	flags.Uint64Var(&onlySeed, "seed", 0, "run only this seed, for measurements with several seeds")
	flags.StringVar(&nameFilter, "in", "", "for mutants: only packages whose names contain this text; "+
		"for control and quota: only scenarios whose keys contain this text")
	flags.StringVar(&earlierBinary, "before", "",
		"for evenreal: the daemon of an earlier release, to compare the current release with")
	flags.DurationVar(&soakLengthFlag, "length", 0, "for soak: length of the run of each seed")
	flags.StringVar(&soakProcessesFlag, "processes", "",
		"for soak: number of processes, or max for the limit for this machine")
	flags.StringVar(&soakKeepFlag, "keep", "",
		"for soak: `folder` for the reports of failed runs; for stress: for the output of failed runs")
	flags.Float64Var(&soakQuotaFlag, "quota", 0,
		"for soak: CPU quota of each sidecar, as a `share` of a core in each 100 ms")
	flags.IntVar(&soakClientsFlag, "clients", 1, "for soak: number of clients per sidecar and client behavior")
	flags.BoolVar(&soakPausesFlag, "pauses", false, "for soak: repeatedly stop processes for short times")
	flags.BoolVar(&soakDrainsFlag, "drains", false, "for soak: repeatedly drain and replace upstreams")
	flags.BoolVar(&soakEarlyFlag, "early", false,
		"for soak: upstreams begin and answer before the end of a body, and lose, spoil and refuse answers")
	flags.IntVar(&stressFlags.copies, "copies", stressCopies,
		"for stress: number of copies of the tests that run in parallel")
	flags.IntVar(&stressFlags.plays, "plays", stressPlays, "for stress: number of runs of each copy")
	flags.IntVar(&stressFlags.busy, "busy", stressBusy, "for stress: number of busy processes that add load")
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
