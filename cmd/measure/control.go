package main

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// controlRounds is the number of rounds of each scenario, controlRoundsShort the same in the short form.
	controlRounds      = 30
	controlRoundsShort = 2
	// ackBound is the longest time in seconds from a fault of the leader to the next acknowledged change.
	// catchUpBound is catchUpS, the time in seconds within which a member has to catch up.
	ackBound     = 2.0
	catchUpBound = 4.0
)

// controlScenario is a fault or change that is repeated for several rounds on a separate core.
type controlScenario struct {
	name, key string
	// metric is the name of the metric that the bound applies to.
	metric string
	bound  float64 // seconds
	run    func() (metrics, error)

	measured metrics
	err      error
}

// controlScenarios returns all scenarios. Each core of processes has its own loopback network.
func controlScenarios(binary string, rounds, behind int) []*controlScenario {
	leader := func(name, key string, run func() (metrics, error)) *controlScenario {
		return &controlScenario{name: name, key: key, metric: "acknowledged", bound: ackBound, run: run}
	}
	process := func(network int, fault leaderFault) func() (metrics, error) {
		return func() (metrics, error) { return measureLeaderFault(binary, network, rounds, fault) }
	}
	link := func(fault linkFault) func() (metrics, error) {
		return func() (metrics, error) { return measureLinkFault(rounds, fault) }
	}
	join := func(name, key string, network int, replace replacement) *controlScenario {
		run := func() (metrics, error) { return measureTolerance(binary, network, rounds, replace) }
		return &controlScenario{name: name, key: key, metric: "tolerance", bound: catchUpBound, run: run}
	}
	return []*controlScenario{
		leader("leader killed", "kill", process(1, killLeader)),
		leader("leader frozen for 5 s", "freeze", process(2, freezeLeader)),
		leader("leader cut off", "cut", link(partitionReplica)),
		leader("leader's disk stalled", "stall", link(stallReplicaStorage)),
		join("follower lost", "follower", 3, replaceFollower),
		join("leader lost", "leader", 4, replaceLeader),
		join("planned", "planned", 5, replacePlanned),
		join("empty disk at the old address", "disk", 6, replaceDisk),
		{name: fmt.Sprintf("%d changes behind", behind), key: "behind", metric: "caught up", bound: catchUpBound,
			run: func() (metrics, error) { return measureCatchUpOnCores(binary, 7, rounds, behind) }},
	}
}

// measureControl measures how fast the core recovers from a fault: the time to the next acknowledged change, to full
// fault tolerance, and until a member that lacks many changes has caught up. All scenarios run at the same time, each
// on a separate core.
func measureControl(short bool) (string, []string, error) {
	rounds, behind := controlRounds, behindChanges
	if short {
		rounds, behind = controlRoundsShort, behindChangesShort
	}
	binary, end, err := tempMeshd()
	if err != nil {
		return "", nil, err
	}
	defer end()
	scenarios := slices.DeleteFunc(controlScenarios(binary, rounds, behind), func(p *controlScenario) bool {
		return !strings.Contains(p.key, nameFilter)
	})
	before := loadAverage()
	var running sync.WaitGroup
	for _, p := range scenarios {
		running.Go(func() {
			p.measured, p.err = p.run()
			fmt.Printf("%s: done, load average %s\n", p.row(), loadAverage())
		})
	}
	running.Wait()
	fmt.Printf("%s, %d cores, load average %s before and %s after, %d rounds each\n\n",
		time.Now().Format(time.DateOnly), runtime.NumCPU(), before, loadAverage(), rounds)
	result, missed := controlResult(scenarios, rounds)
	return result, missed, nil
}

// worst returns the largest value of the metric that the bound applies to.
func (p *controlScenario) worst() float64 { return p.measured[p.metric].max() }

// row returns the scenario's row of the table.
func (p *controlScenario) row() string {
	times, elected := p.measured[p.metric], "-"
	if e := p.measured["elected"]; len(e) > 0 {
		elected = fmt.Sprintf("%.3f, %.3f", e.median(), slices.Max(e))
	}
	return fmt.Sprintf("| %s | %d | %.3f | %.3f | %s | %g |", p.name, len(times), times.median(), p.worst(),
		elected, p.bound)
}

// missed returns lines for the scenario's error, missing rounds and missed bound, if any.
func (p *controlScenario) missed(rounds int) (missed []string) {
	if p.err != nil {
		missed = append(missed, fmt.Sprintf("%s: %v", p.name, p.err))
	}
	if done := len(p.measured[p.metric]); done < rounds {
		missed = append(missed, fmt.Sprintf("%s: only %d of %d rounds completed", p.name, done, rounds))
	}
	if p.worst() >= p.bound {
		missed = append(missed, fmt.Sprintf("%s: the worst round took %.3f s, want less than %g s",
			p.name, p.worst(), p.bound))
	}
	return missed
}

// controlResult prints the table and returns the result line and the missed bounds.
func controlResult(scenarios []*controlScenario, rounds int) (result string, missed []string) {
	fmt.Println("| what | rounds | median s | worst s | another leader known: median s, worst s | bound s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	var keys []string
	for _, p := range scenarios {
		fmt.Println(p.row())
		keys = append(keys, fmt.Sprintf("%s_median_s=%.3f %s_worst_s=%.3f", p.key,
			p.measured[p.metric].median(), p.key, p.worst()))
		missed = append(missed, p.missed(rounds)...)
	}
	fmt.Println()
	return strings.Join(keys, " "), missed
}

// loadAverage returns the machine's load average over the last minute, or "unknown".
func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(raw), " ")
	return first
}
