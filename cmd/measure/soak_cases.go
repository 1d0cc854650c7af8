package main

import "caperarch/internal/lab/soak"

// hardCase is the name, in the report, of a situation whose occurrences are counted.
type hardCase string

// The hard cases, the configuration changes, and the delays of the measuring process.
const (
	hupInDrain            hardCase = "SIGHUP within a drain"
	changeInDrain         hardCase = "change within a drain"
	secondTerm            hardCase = "second SIGTERM"
	seriesOnOneSidecar    hardCase = "two series on one sidecar"
	termBeforeLastDrained hardCase = "SIGTERM before the last has drained"
	termWhileStarting     hardCase = "SIGTERM within the start"
	hupWhileStarting      hardCase = "SIGHUP within the start, which ended the process"
	drainUnacknowledged   hardCase = "drains that nobody acknowledged"
	deregisteredAtCore    hardCase = "deregistrations at a core member"
	lateHeartbeat         hardCase = "late heartbeats of deregistered upstreams"
	paused                hardCase = "pauses of a process"
	rigLagged             hardCase = "measuring process without a processor"
	configChange          hardCase = "configuration changes"
	configFailure         hardCase = "changes without a clear answer"
)

// hardCases lists all values of hardCase.
var hardCases = []hardCase{
	hupInDrain, changeInDrain, secondTerm, seriesOnOneSidecar, termBeforeLastDrained, termWhileStarting,
	hupWhileStarting, configChange, configFailure, drainUnacknowledged, deregisteredAtCore,
	lateHeartbeat, paused, rigLagged,
}

// soakCounts counts the occurrences of hard cases and events.
type soakCounts struct {
	Cases  map[hardCase]int
	Events map[soak.Kind]int
}

func newSoakCounts() soakCounts {
	return soakCounts{Cases: make(map[hardCase]int), Events: make(map[soak.Kind]int)}
}

// add adds the counts of another run.
func (c soakCounts) add(one soakCounts) {
	for name, n := range one.Cases {
		c.Cases[name] += n
	}
	for kind, n := range one.Events {
		c.Events[kind] += n
	}
}
