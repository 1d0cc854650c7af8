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
	// stressCopies, stressPlays and stressBusy are how many copies of a test binary run at once, how often each plays
	// the test, and how many busy processes are beside them, where the command line does not say.
	stressCopies, stressPlays, stressBusy = 12, 5, 0
	// stressMaxProcesses bounds the processes of a run, however large the machine is: "a few hundred".
	stressMaxProcesses = 300
	// stressProcessMemory is what a process is counted with, and stressMemoryShare the part of the machine's memory
	// that a run may use, one in so many.
	stressProcessMemory, stressMemoryShare = 128 << 20, 2
	// stressTimeout bounds one play, against a test that hangs.
	stressTimeout = 10 * time.Minute
	// stressConfidence is that of the interval that a failure rate is given with.
	stressConfidence = 0.95
	// busyRole is the part of a process that only uses a processor.
	busyRole = "busy"
)

// stressFlags are the command line's; stressArguments are what stands behind its flags: a package, and the name of
// one of its tests or a part of that.
var (
	stressFlags = struct{ copies, plays, busy int }{stressCopies, stressPlays, stressBusy}

	stressArguments []string
)

// stressTest is a test binary that is played.
type stressTest struct {
	binary, dir string // dir is the package's folder, where its tests run
	pattern     string // of the names that are played
}

// stressTally is what the plays showed.
type stressTally struct {
	mu              sync.Mutex // guards the fields below
	plays, failures int
	kept            []string // files with the output of failures
}

// measureStress plays tests again and again beside stated load, and says how often they fail. The output of each
// failure is kept.
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
	keep, err := stressFolder()
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
			for play := range plays {
				tally.add(test.play(c), filepath.Join(keep, fmt.Sprintf("%d-%d.log", number, play)))
			}
		})
	}
	copies.Wait()
	return tally.report()
}

// checkStressFlags checks the counts of the command line against the machine.
func checkStressFlags() error {
	f := stressFlags
	most := min(stressMaxProcesses, memoryProcesses(stressMemoryShare, stressProcessMemory, stressMaxProcesses))
	switch {
	case len(stressArguments) == 0 || len(stressArguments) > 2:
		return usageError{"usage: measure stress [-copies N] [-busy N] [-plays N] [-keep DIR] PACKAGE [TEST]"}
	case f.copies < 1 || f.plays < 1 || f.busy < 0:
		return usageError{fmt.Sprintf("-copies %d, -plays %d, -busy %d: one copy, one play and no busy process at least",
			f.copies, f.plays, f.busy)}
	case f.copies+f.busy > most:
		return usageError{fmt.Sprintf("%d processes: this machine bears %d", f.copies+f.busy, most)}
	}
	return nil
}

// buildStressTest builds the package's tests and looks for those that are to be played.
func buildStressTest(c cleanups) (*stressTest, error) {
	listed, err := exec.Command("go", "list", "-f", "{{.Dir}}", stressArguments[0]).CombinedOutput()
	dir := strings.TrimSpace(string(listed))
	if err != nil || strings.Contains(dir, "\n") {
		return nil, usageError{fmt.Sprintf("%s is not one package: %s", stressArguments[0], dir)}
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
		return nil, fmt.Errorf("building the tests of %s: %w\n%s", stressArguments[0], err, out)
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

// stressFolder is the folder for the output of failures: the command line's, or a new one.
func stressFolder() (string, error) {
	if soakKeepFlag == "" {
		return os.MkdirTemp("", "stress-failures")
	}
	return soakKeepFlag, createReportFolder()
}

// play plays the test once, and returns its output if it failed, else nil.
func (t *stressTest) play(c cleanups) (failure []byte) {
	cmd := exec.Command(t.binary, "-test.run", t.pattern, "-test.count=1", "-test.v",
		"-test.timeout", stressTimeout.String())
	cmd.Dir = t.dir
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		return []byte(err.Error())
	}
	c.Cleanup(func() { _ = cmd.Process.Kill() }) // one that has ended is not found
	if err := cmd.Wait(); err != nil {
		return append(out.Bytes(), ("\n" + err.Error() + "\n")...)
	}
	return nil
}

// add counts a play, and writes the output of one that failed to a file.
func (t *stressTally) add(failure []byte, path string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plays++
	if failure == nil {
		return
	}
	t.failures++
	if err := os.WriteFile(path, failure, 0o600); err != nil {
		path = fmt.Sprintf("not kept: %v", err)
	}
	t.kept = append(t.kept, path)
	fmt.Println("failed:", path) // at once: a long run may not come to its end
}

// report is the rate of failure with its interval.
func (t *stressTally) report() (string, []string, error) {
	low, high := binomialInterval(t.failures, t.plays, stressConfidence)
	result := fmt.Sprintf("package=%s plays=%d failures=%d rate=%.4f low=%.4f high=%.4f copies=%d busy=%d load=%s",
		stressArguments[0], t.plays, t.failures, float64(t.failures)/float64(t.plays), low, high,
		stressFlags.copies, stressFlags.busy, loadAverage())
	if t.failures == 0 {
		return result, nil, nil
	}
	return result, []string{fmt.Sprintf("%d of %d plays failed: %s", t.failures, t.plays, strings.Join(t.kept, " "))}, nil
}

// binomialInterval is the Clopper-Pearson interval of a rate: what it may be, where so many of all plays failed.
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

// busy uses a processor until it is ended. Its parent ends it; one that is orphaned ends by itself.
func busy([]string) error {
	parent := os.Getppid()
	for os.Getppid() == parent {
		for begun := time.Now(); time.Since(begun) < time.Second; {
			continue
		}
	}
	return errors.New("its parent has ended")
}
