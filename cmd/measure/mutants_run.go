package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
)

// mutant is a fault that is planted in a file, by replacing the text old with new, to check that the tests find it.
type mutant struct{ file, old, new, description string }

// batch lists the faults in one package. The field where names the package whose tests run random histories that may
// find the faults, if that is another package.
type batch struct {
	in, where   string
	noHistories bool // the package's tests run no random histories
	faults      []mutant
}

var (
	failedSeed = regexp.MustCompile(`seed (\d+)`)
	failedTest = regexp.MustCompile(`(?m)^--- FAIL: (\w+)`)
)

// checkPlace returns an error unless the text to replace occurs exactly once in the text of the file.
func (m mutant) checkPlace(text string) error {
	if n := strings.Count(text, m.old); n != 1 {
		return fmt.Errorf("%s: %q occurs %d times, want once", m.file, m.old, n)
	}
	return nil
}

// find runs the tests with the fault planted. It returns the seed of the random history that found the fault, 0 if a
// test without histories found it, or -1 if no test failed; and the names of all tests that failed.
func (m mutant) find(b batch, dir string, number, maxHistories int) (seed int, tests []string, err error) {
	in, where := b.in, b.where
	path, err := filepath.Abs(filepath.Join(in, m.file))
	if err != nil {
		return 0, nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, nil, err
	}
	if err := m.checkPlace(string(text)); err != nil {
		return 0, nil, err
	}
	planted := filepath.Join(dir, fmt.Sprintf("%s-%d.go", filepath.Base(in), number))
	if err := os.WriteFile(planted, []byte(strings.Replace(string(text), m.old, m.new, 1)), 0o600); err != nil {
		return 0, nil, err
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: planted}})
	if err != nil {
		return 0, nil, err
	}
	list := filepath.Join(dir, fmt.Sprintf("%s-%d.json", filepath.Base(in), number))
	if err := os.WriteFile(list, overlay, 0o600); err != nil {
		return 0, nil, err
	}
	args := []string{"test", "-overlay", list, "-vet=off", "caperarch/" + in}
	if where != "" { // the fault's own package first, whose tests run no histories
		if out, err := exec.Command("go", args...).CombinedOutput(); err != nil &&
			!strings.Contains(string(out), "build failed") {
			return 0, testsFailed(out), nil
		}
		args[len(args)-1] = "caperarch/" + where
	}
	if !b.noHistories {
		args = append(args, "-histories", strconv.Itoa(maxHistories))
	}
	out, err := exec.Command("go", args...).CombinedOutput()
	if err == nil {
		return -1, nil, nil
	}
	if strings.Contains(string(out), "build failed") {
		return 0, nil, fmt.Errorf("%s: build with the fault failed: %s", m.description, out)
	}
	if found := failedSeed.FindSubmatch(out); found != nil {
		seed, err = strconv.Atoi(string(found[1]))
		return seed, testsFailed(out), err
	}
	return 0, testsFailed(out), nil
}

// testsFailed returns the names of the failed tests from the output of go test.
func testsFailed(out []byte) []string {
	var names []string
	for _, found := range failedTest.FindAllSubmatch(out, -1) {
		names = append(names, string(found[1]))
	}
	return names
}

// measureMutants plants each fault in turn, up to three at the same time, and runs the tests that should find it.
func measureMutants(short bool) (string, []string, error) {
	maxHistories := 4000
	if short {
		maxHistories = 400
	}
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return "", nil, err
	}
	defer os.RemoveAll(dir)
	var mu sync.Mutex
	var missed []string
	var errs []error
	needed, found, all := samples(nil), 0, 0
	slots, done := make(chan struct{}, 3), new(sync.WaitGroup)
	for _, b := range planted {
		if !strings.Contains(b.in, nameFilter) {
			continue
		}
		for _, m := range b.faults {
			in, number := b.in, all
			all++
			done.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				seed, tests, err := m.find(b, dir, number, maxHistories)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					errs = append(errs, fmt.Errorf("%s: %s: %w", in, m.description, err))
					return
				case seed < 0:
					fmt.Printf("%s: not found in %d histories: %s\n", in, maxHistories, m.description)
					missed = append(missed, in+": "+m.description)
					return
				case seed == 0:
					fmt.Printf("%s: found by %v, which run no random histories: %s\n", in, tests, m.description)
				default:
					fmt.Printf("%s: found at seed %d and by %v: %s\n", in, seed, tests, m.description)
					needed.add(float64(seed))
				}
				found++
			})
		}
	}
	done.Wait()
	return fmt.Sprintf("planted=%d found=%d seeds_needed_quartiles=%.0f/%.0f/%.0f", all, found,
		needed.at(0.25), needed.at(0.5), needed.at(0.75)), missed, errors.Join(errs...)
}
