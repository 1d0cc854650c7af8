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

// mutant is a fault that is planted to see whether a checker finds it.
type mutant struct{ file, old, new, what string }

// batch is faults in one package, and where histories are played that may find them, where that is
// not the package itself.
type batch struct {
	in, where   string
	noHistories bool // the package's tests play none
	faults      []mutant
}

var (
	failedSeed = regexp.MustCompile(`seed (\d+)`)
	failedTest = regexp.MustCompile(`(?m)^--- FAIL: (\w+)`)
)

// fits says whether there is one place in a file's text where it can be planted.
func (m mutant) fits(text string) error {
	if n := strings.Count(text, m.old); n != 1 {
		return fmt.Errorf("%s: %q stands there %d times, once is needed", m.file, m.old, n)
	}
	return nil
}

// find plays histories with a fault planted, and says at which seed it was found, 0: by tests alone that play
// none, -1: not at all; and the names of all tests that failed.
func (m mutant) find(b batch, dir string, number, most int) (seed int, tests []string, err error) {
	in, where := b.in, b.where
	path, err := filepath.Abs(filepath.Join(in, m.file))
	if err != nil {
		return 0, nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, nil, err
	}
	if err := m.fits(string(text)); err != nil {
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
	if where != "" { // first what needs no histories
		if out, err := exec.Command("go", args...).CombinedOutput(); err != nil &&
			!strings.Contains(string(out), "build failed") {
			return 0, testsFailed(out), nil
		}
		args[len(args)-1] = "caperarch/" + where
	}
	if !b.noHistories {
		args = append(args, "-histories", strconv.Itoa(most))
	}
	out, err := exec.Command("go", args...).CombinedOutput()
	if err == nil {
		return -1, nil, nil
	}
	if strings.Contains(string(out), "build failed") {
		return 0, nil, fmt.Errorf("%s: it does not build: %s", m.what, out)
	}
	if found := failedSeed.FindSubmatch(out); found != nil {
		seed, err = strconv.Atoi(string(found[1]))
		return seed, testsFailed(out), err
	}
	return 0, testsFailed(out), nil
}

// testsFailed are the names of the tests that failed by their output.
func testsFailed(out []byte) []string {
	var names []string
	for _, found := range failedTest.FindAllSubmatch(out, -1) {
		names = append(names, string(found[1]))
	}
	return names
}

// measureMutants plants faults, one after the other, and has the tests of their package look for each.
func measureMutants(short bool) (string, []string, error) {
	most := 4000
	if short {
		most = 400
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
	places, done := make(chan struct{}, 3), new(sync.WaitGroup)
	for _, b := range planted {
		if !strings.Contains(b.in, nameFilter) {
			continue
		}
		for _, m := range b.faults {
			in, number := b.in, all
			all++
			done.Go(func() {
				places <- struct{}{}
				defer func() { <-places }()
				seed, tests, err := m.find(b, dir, number, most)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					errs = append(errs, fmt.Errorf("%s: %s: %w", in, m.what, err))
					return
				case seed < 0:
					fmt.Printf("%s: not found in %d histories: %s\n", in, most, m.what)
					missed = append(missed, in+": "+m.what)
					return
				case seed == 0:
					fmt.Printf("%s: found by %v, which play no histories: %s\n", in, tests, m.what)
				default:
					fmt.Printf("%s: found at seed %d and by %v: %s\n", in, seed, tests, m.what)
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
