package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// stressCopies is the default number of copies of the test binary that run in parallel, stressPlays the default
	// number of runs of each copy, and stressBusy the default number of busy processes that add load.
	stressCopies, stressPlays, stressBusy = 12, 5, 0
	// stressMaxProcesses limits a run to a few hundred processes, on machines of any size.
	stressMaxProcesses = 300
	// stressProcessMemory is the memory in bytes that a run reserves for each process. A run may use
	// 1/stressMemoryShare of the machine's memory.
	stressProcessMemory, stressMemoryShare = 128 << 20, 2
	// stressTimeout limits one run of the tests, in case a test hangs.
	stressTimeout = 10 * time.Minute
	// stressConfidence is the confidence level of the interval of the failure rate.
	stressConfidence = 0.95
	// busyRole is the role of a child process that only uses CPU time.
	busyRole = "busy"
)

// stressFlags are command-line flags. stressArguments are the arguments after the flags: a package and, optionally, a
// prefix of the names of the tests to run.
var (
	stressFlags = struct{ copies, plays, busy int }{stressCopies, stressPlays, stressBusy}

	stressArguments []string
)

// stressTest is a test binary to run.
type stressTest struct {
	binary, dir string // dir is the package's folder, where its tests run
	pattern     string // regular expression for the names of the tests to run
}

// stressTally counts the runs and their failures.
type stressTally struct {
	mu              sync.Mutex // guards the fields below
	plays, failures int
	failureFiles    []string // files with the output of failed runs
}

// measureStress runs tests repeatedly under a given load, and measures their failure rate. The output of each failed
// run is written to a file.
func measureStress(short bool) (string, []string, error) {
	plays := stressFlags.plays
	if short {
		plays = 1
	}
	if err := checkStressFlags(); err != nil {
		return "", nil, err
	}
	c := newCleanups()
	defer c.end()
	test, err := buildStressTest(c)
	if err != nil {
		return "", nil, err
	}
	folder, err := stressFolder()
	if err != nil {
		return "", nil, err
	}
	for range stressFlags.busy {
		p, err := startChild(nil, busyRole)
		if err != nil {
			return "", nil, err
		}
		c.Cleanup(p.kill)
	}
	tally := new(stressTally)
	var copies sync.WaitGroup
	for number := range stressFlags.copies {
		copies.Go(func() {
			for run := range plays {
				tally.add(test.run(c), filepath.Join(folder, fmt.Sprintf("%d-%d.log", number, run)))
			}
		})
	}
	copies.Wait()
	return tally.report()
}

// checkStressFlags checks the command line, and the number of processes against the limit for this machine.
func checkStressFlags() error {
	f := stressFlags
	maxProcesses := min(stressMaxProcesses, memoryProcesses(stressMemoryShare, stressProcessMemory, stressMaxProcesses))
	switch {
	case len(stressArguments) == 0 || len(stressArguments) > 2:
		return usageError{"usage: measure stress [-copies N] [-busy N] [-plays N] [-keep DIR] PACKAGE [TEST]"}
	case f.copies < 1 || f.plays < 1 || f.busy < 0:
		return usageError{fmt.Sprintf("-copies %d, -plays %d, -busy %d: want at least 1, 1 and 0",
			f.copies, f.plays, f.busy)}
	case f.copies+f.busy > maxProcesses:
		return usageError{fmt.Sprintf("%d processes: the limit for this machine is %d", f.copies+f.busy, maxProcesses)}
	}
	return nil
}

// buildStressTest builds the package's tests and checks that the pattern matches at least one of them.
func buildStressTest(c cleanups) (*stressTest, error) {
	listed, err := exec.Command("go", "list", "-f", "{{.Dir}}", stressArguments[0]).CombinedOutput()
	dir := strings.TrimSpace(string(listed))
	if err != nil || strings.Contains(dir, "\n") {
		return nil, usageError{fmt.Sprintf("%s: want exactly one package, got: %s", stressArguments[0], dir)}
	}
	test := &stressTest{dir: dir, pattern: ".*"}
	if len(stressArguments) == 2 {
		test.pattern = "^" + strings.TrimPrefix(stressArguments[1], "^")
	}
	temp, err := os.MkdirTemp("", "stress")
	if err != nil {
		return nil, err
	}
	c.Cleanup(func() { os.RemoveAll(temp) })
	test.binary = filepath.Join(temp, "test")
	if out, err := exec.Command("go", "test", "-c", "-o", test.binary, stressArguments[0]).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build the tests of %s: %w\n%s", stressArguments[0], err, out)
	}
	topLevel, _, _ := strings.Cut(test.pattern, "/")
	names := exec.Command(test.binary, "-test.list", topLevel)
	names.Dir = dir
	out, err := names.Output()
	if err != nil || !regexp.MustCompile(`(?m)^(Test|Fuzz|Example)`).Match(out) {
		return nil, usageError{fmt.Sprintf("%s has no test %s", stressArguments[0], test.pattern)}
	}
	return test, nil
}

// stressFolder returns the folder for the output of failed runs: the folder from the command line, or a new folder.
func stressFolder() (string, error) {
	if soakKeepFlag == "" {
		return os.MkdirTemp("", "stress-failures")
	}
	return soakKeepFlag, createReportFolder()
}

// run runs the tests once. It returns their output if they failed, otherwise nil.
func (t *stressTest) run(c cleanups) (failure []byte) {
	cmd := exec.Command(t.binary, "-test.run", t.pattern, "-test.count=1", "-test.v",
		"-test.timeout", stressTimeout.String())
	cmd.Dir = t.dir
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		return []byte(err.Error())
	}
	c.Cleanup(func() { _ = cmd.Process.Kill() }) // an error means that the process has already exited
	if err := cmd.Wait(); err != nil {
		return append(out.Bytes(), ("\n" + err.Error() + "\n")...)
	}
	return nil
}

// add counts a run, and writes the output of a failed run to a file.
func (t *stressTally) add(failure []byte, path string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plays++
	if failure == nil {
		return
	}
	t.failures++
	if err := os.WriteFile(path, failure, 0o600); err != nil {
		path = fmt.Sprintf("output not written: %v", err)
	}
	t.failureFiles = append(t.failureFiles, path)
	fmt.Println("failed:", path) // printed at once, as a long measurement may be interrupted
}

// report returns the failure rate with its confidence interval.
func (t *stressTally) report() (string, []string, error) {
	low, high := binomialInterval(t.failures, t.plays, stressConfidence)
	result := fmt.Sprintf("package=%s plays=%d failures=%d rate=%.4f low=%.4f high=%.4f copies=%d busy=%d load=%s",
		stressArguments[0], t.plays, t.failures, float64(t.failures)/float64(t.plays), low, high,
		stressFlags.copies, stressFlags.busy, loadAverage())
	if t.failures == 0 {
		return result, nil, nil
	}
	return result, []string{fmt.Sprintf("%d of %d runs failed: %s", t.failures, t.plays,
		strings.Join(t.failureFiles, " "))}, nil
}

// binomialInterval returns the Clopper-Pearson confidence interval of a failure rate.
func binomialInterval(failures, plays int, confidence float64) (low, high float64) {
	failed, passed, tail := float64(failures), float64(plays-failures), (1-confidence)/2
	low, high = 0, 1
	if failures > 0 {
		low = distuv.Beta{Alpha: failed, Beta: passed + 1}.Quantile(tail)
	}
	if failures < plays {
		high = distuv.Beta{Alpha: failed + 1, Beta: passed}.Quantile(1 - tail)
	}
	return low, high
}

// busy uses CPU time until its parent process kills it or has exited.
func busy([]string) error {
	parent := os.Getppid()
	for os.Getppid() == parent {
		for begun := time.Now(); time.Since(begun) < time.Second; {
			continue
		}
	}
	return errors.New("parent process has exited")
}
