package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/lab/soak"
)

const (
	// soakSeeds is the default number of seeds, and soakLength the default length of the run of each seed.
	// soakShortSeeds and soakShortLength are the defaults of the short form, which CI runs.
	soakSeeds, soakLength           = 10, 20 * time.Second
	soakShortSeeds, soakShortLength = 2, 12 * time.Second
	// soakSidecars is the default number of sidecars. The clients of each sidecar run in the measuring process.
	soakSidecars = 9
	// soakMaxProcesses keeps a run well within a few hundred processes, on machines of any size.
	soakMaxProcesses = 150
	// soakProcessMemory is the memory in bytes that a run reserves for each process. A run may use 1/soakMemoryShare
	// of the machine's memory.
	soakProcessMemory, soakMemoryShare = 64 << 20, 4
	// soakProcessesPerCore limits the processes on machines with few cores: with more processes, the run would
	// measure the operating system's scheduler.
	soakProcessesPerCore = 8
	// soakMaxFiles is the number of file descriptors that a sidecar may hold open after its clients have disconnected.
	soakMaxFiles = 400
)

// Command-line flags of the soak test.
var (
	// soakLengthFlag is the length of the run of each seed, soakProcessesFlag the number of processes ("max": as many
	// as the limits for this machine allow), and soakKeepFlag the folder for reports of failed runs.
	soakLengthFlag    time.Duration
	soakProcessesFlag string
	soakKeepFlag      string
	// soakQuotaFlag is the CPU quota of each sidecar as a share of a core: a sidecar that has used up its quota is
	// stopped for the rest of the 100 ms period. 0 means no quota.
	soakQuotaFlag float64
	// soakClientsFlag is the number of clients per sidecar and client behavior.
	soakClientsFlag int
	// soakPausesFlag adds short pauses of sidecar processes to the schedule, soakDrainsFlag drains of upstreams.
	soakPausesFlag bool
	soakDrainsFlag bool
	// soakEarlyFlag adds upstreams that process requests as upstreamBehavior says, and clients with long bodies.
	soakEarlyFlag bool
)

// soakReport is the result of the run of one seed. The report of a failed run is written to a file as JSON.
type soakReport struct {
	Seed        uint64
	Sidecars    int
	Length      time.Duration
	Schedule    []soak.Event
	Verdict     soak.Verdict
	Faults      []string // unexpected exits, late exits and leaks of sidecar processes
	Requests    int
	Left        int // requests whose client disconnected before the response
	Runs        int // requests that upstreams executed
	Counts      soakCounts
	PeakFiles   int
	PeakMemory  int64 // bytes
	PlayItAgain string
}

// failed reports whether the run violated a guarantee or a process failed.
func (r *soakReport) failed() bool { return len(r.Verdict.Findings)+len(r.Faults) > 0 }

// measureSoak runs the seeds one after the other. For each seed it starts a deployment of processes and injects
// overlapping series of faults, restarts and configuration changes, while clients send requests on each connection
// until the sidecar closes it. The verdict rests only on what clients and upstreams observe.
func measureSoak(short bool) (string, []string, error) {
	processes, err := soakProcesses()
	if err != nil {
		return "", nil, err
	}
	if err := createReportFolder(); err != nil {
		return "", nil, err
	}
	seeds, length := soakSeedList(short)
	binary, end, err := tempMeshd()
	if err != nil {
		return "", nil, err
	}
	defer end()
	var missed []string
	total := soakReport{Verdict: soak.Verdict{Judged: make(map[soak.Promise]int)}, Counts: newSoakCounts()}
	for _, seed := range seeds {
		report, err := runSoakSeed(binary, seed, processes-soakCore, length)
		if err != nil {
			return "", missed, fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Println(report.line())
		for _, problem := range report.problems() { // printed at once, as a run of many seeds may be interrupted
			fmt.Println(problem)
			missed = append(missed, problem)
		}
		if err := report.writeIfFailed(); err != nil {
			return "", missed, err
		}
		total.add(report)
	}
	fmt.Println(total.cases())
	result := fmt.Sprintf("seeds=%d seconds=%d processes=%d requests=%d runs=%d left=%d events=%d findings=%d",
		len(seeds), int(length.Seconds())*len(seeds), processes, total.Requests, total.Runs, total.Left,
		total.events(), len(missed))
	return result, missed, nil
}

// soakSeedList returns the seeds to run and the length of the run of each seed.
func soakSeedList(short bool) (seeds []uint64, length time.Duration) {
	count, length := soakSeeds, soakLength
	if short {
		count, length = soakShortSeeds, soakShortLength
	}
	if maxSeeds > 0 {
		count = maxSeeds
	}
	if soakLengthFlag > 0 {
		length = soakLengthFlag
	}
	first := max(onlySeed, 1)
	if onlySeed > 0 && maxSeeds == 0 {
		count = 1
	}
	for i := range uint64(count) {
		seeds = append(seeds, first+i)
	}
	return seeds, length
}

// soakProcesses returns the number of processes of a run, from the command line and the limits for this machine.
func soakProcesses() (int, error) {
	most := min(soakMaxProcesses, soakProcessesPerCore*runtime.NumCPU(),
		memoryProcesses(soakMemoryShare, soakProcessMemory, soakCore+soakSidecars))
	switch soakProcessesFlag {
	case "":
		return min(soakCore+soakSidecars, most), nil
	case "max":
		return most, nil
	}
	n, err := strconv.Atoi(soakProcessesFlag)
	if err != nil || n <= soakCore {
		return 0, usageError{fmt.Sprintf("-processes %q: want \"max\" or a number above the %d core members",
			soakProcessesFlag, soakCore)}
	}
	if n > most {
		return 0, usageError{fmt.Sprintf("-processes %d: the limit for this machine is %d", n, most)}
	}
	return n, nil
}

// memoryProcesses returns how many processes of the given size in bytes fit into 1/share of the machine's memory, or
// unknown if the size of the memory can't be read.
func memoryProcesses(share, bytes, unknown int) int {
	raw, err := os.ReadFile("/proc/meminfo")
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return unknown
	}
	kilobytes, err := strconv.Atoi(fields[1])
	if err != nil {
		return unknown
	}
	return kilobytes << 10 / share / bytes
}

// runSoakSeed runs one seed.
func runSoakSeed(binary string, seed uint64, sidecars int, length time.Duration) (*soakReport, error) {
	c := newCleanups()
	defer c.end()
	r, err := startSoakRig(c, binary, seed, sidecars)
	if err != nil {
		return nil, err
	}
	report := &soakReport{Seed: seed, Sidecars: sidecars, Length: length, Schedule: soak.Draw(seed, length, sidecars)}
	if soakPausesFlag {
		report.Schedule = append(report.Schedule, soak.DrawPauses(seed, length, sidecars)...)
	}
	if soakDrainsFlag {
		report.Schedule = append(report.Schedule, soak.DrawDrains(seed, length, sidecars)...)
	}
	slices.SortStableFunc(report.Schedule, func(a, b soak.Event) int { return cmp.Compare(a.At, b.At) })
	report.PlayItAgain = fmt.Sprintf(
		"go run ./cmd/measure soak -seed %d -length %v -processes %d -quota %g -clients %d -pauses=%v -drains=%v "+
			"-early=%v",
		seed, length, sidecars+soakCore, soakQuotaFlag, soakClientsFlag, soakPausesFlag, soakDrainsFlag, soakEarlyFlag)
	r.startClients()
	r.play(report.Schedule, length)
	r.stopping.Store(true)
	r.clients.Wait()
	r.checkProcesses(report)
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Verdict, report.Faults, report.Counts = r.history.Check(soakRules), r.faults, r.counts
	report.Requests, report.Runs = len(r.history.Requests), len(r.history.Runs)
	for i := range r.history.Requests {
		if r.history.Requests[i].Left > 0 {
			report.Left++
		}
	}
	return report, nil
}

// checkProcesses records a fault for each sidecar that has exited unexpectedly or that holds too many file descriptors
// open after its clients have disconnected.
func (r *soakRig) checkProcesses(report *soakReport) {
	for _, m := range r.sidecars {
		pid := m.process.Load().cmd.Process.Pid
		_, memory, err := usage(pid)
		if err != nil {
			r.fault("sidecar %d has exited without a signal from the soak test", m.number)
			continue
		}
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		report.PeakFiles, report.PeakMemory = max(report.PeakFiles, len(entries)), max(report.PeakMemory, memory)
		if len(entries) > soakMaxFiles {
			r.fault("sidecar %d has %d file descriptors open after its clients disconnected", m.number, len(entries))
		}
	}
}

// problems returns a line for each violated guarantee and each process fault of the run.
func (r *soakReport) problems() (all []string) {
	for _, f := range r.Verdict.Findings {
		all = append(all, fmt.Sprintf("seed %d: %s at %v, request %s: %s (%s)",
			r.Seed, f.Promise, f.At.Round(time.Millisecond), f.Request, f.Text, r.PlayItAgain))
	}
	for _, fault := range r.Faults {
		all = append(all, fmt.Sprintf("seed %d: process %s (%s)", r.Seed, fault, r.PlayItAgain))
	}
	return all
}

// createReportFolder creates the folder for reports before the run starts: if the folder is missing, the report of the
// first failed run is lost.
func createReportFolder() error {
	if soakKeepFlag == "" {
		return nil
	}
	if err := os.MkdirAll(soakKeepFlag, 0o700); err != nil {
		return usageError{fmt.Sprintf("-keep: %v", err)}
	}
	return nil
}

// writeIfFailed writes the report of a failed run to the folder that the command line names.
func (r *soakReport) writeIfFailed() error {
	if soakKeepFlag == "" || !r.failed() {
		return nil
	}
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(soakKeepFlag, fmt.Sprintf("soak-%d.json", r.Seed)), raw, 0o600)
}

// add adds the counts of one run to the totals.
func (r *soakReport) add(one *soakReport) {
	r.Requests, r.Left, r.Runs = r.Requests+one.Requests, r.Left+one.Left, r.Runs+one.Runs
	for promise, n := range one.Verdict.Judged {
		r.Verdict.Judged[promise] += n
	}
	r.Counts.add(one.Counts)
}

func (r *soakReport) events() (n int) {
	for _, count := range r.Counts.Events {
		n += count
	}
	return n
}

// line returns the summary line of a run.
func (r *soakReport) line() string {
	return fmt.Sprintf("seed %d: %d sidecars, %v, %d events, %d requests, %d left, %d runs, %d findings, %d files, %.1f MB",
		r.Seed, r.Sidecars, r.Length, r.events(), r.Requests, r.Left, r.Runs, len(r.problems()), r.PeakFiles,
		float64(r.PeakMemory)/(1<<20))
}

// cases returns a table of the number of events, hard cases and checked cases. A case that never happened is marked.
func (r *soakReport) cases() string {
	all := make(map[string]int)
	for _, name := range hardCases {
		all[string(name)] = r.Counts.Cases[name]
	}
	for _, kind := range soak.Kinds() {
		all["event "+string(kind)] = r.Counts.Events[kind]
	}
	for _, promise := range soak.Promises {
		all["judged for "+string(promise)] = r.Verdict.Judged[promise]
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(&text, "%7d  %s", all[name], name)
		if all[name] == 0 {
			text.WriteString(": NEVER HAPPENED")
		}
		text.WriteString("\n")
	}
	return strings.TrimRight(text.String(), "\n")
}

// usageError is a command-line error. It is reported with exit code 2.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// exitCodeOf returns the exit code for an error: 2 for a usage error, 1 for any other error.
func exitCodeOf(err error) int {
	if errors.As(err, new(usageError)) {
		return 2
	}
	return 1
}
