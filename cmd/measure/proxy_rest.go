package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	restCPU    = 0.01    // of a core, while nothing comes
	restWakes  = 150.0   // a second, over all threads, while nothing comes
	restGrowth = 1 << 20 // bytes of memory, from the end of the first quarter to that of the last
	seldom     = 10.0    // requests a second of a quiet sidecar
)

// atRest is what a process did in a stretch of time.
type atRest struct{ wakes, cpu float64 } // a second

// wakes are how often a process's threads were put on a core so far, of those that it has now.
func wakes(pid int) (sum int64, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil || len(tasks) == 0 {
		return 0, errors.Join(fmt.Errorf("process %d has no threads", pid), err)
	}
	for _, name := range tasks {
		file, err := os.Open(name)
		if err != nil {
			continue // it ended meanwhile
		}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			if key, value, _ := strings.Cut(lines.Text(), ":"); strings.HasSuffix(key, "ctxt_switches") {
				n, _ := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
				sum += n
			}
		}
		file.Close()
	}
	return sum, nil
}

// watch lets a process be for a while, and samples its memory a hundred times.
func watch(pid int, d time.Duration) (o atRest, memory []int64, err error) {
	before, err := wakes(pid)
	if err != nil {
		return o, nil, err
	}
	cpu, _, err := usage(pid)
	if err != nil {
		return o, nil, err
	}
	begun := time.Now()
	for range 100 {
		time.Sleep(d / 100)
		_, rss, err := usage(pid)
		if err != nil {
			return o, nil, err
		}
		memory = append(memory, rss)
	}
	after, err := wakes(pid)
	if err != nil {
		return o, nil, err
	}
	used, _, err := usage(pid)
	took := time.Since(begun).Seconds()
	return atRest{float64(after-before) / took, (used - cpu).Seconds() / took}, memory, err
}

// quarters are the greatest memory in each fourth of the time, in bytes.
func quarters(memory []int64) (most [4]int64) {
	for i, rss := range memory {
		most[4*i/len(memory)] = max(most[4*i/len(memory)], rss)
	}
	return most
}

// measureRest measures what a daemon does while nothing, or next to nothing, comes: a fleet of them
// pays it all the time. In its long form it is 45 minutes at ten requests a second. The daemon
// stands as it would in service: with an operators' address and a shared folder that it looks into.
func measureRest(short bool) (string, []string, error) {
	idle, quiet := 20*time.Second, 45*time.Minute
	if short {
		idle, quiet = 8*time.Second, 24*time.Second
	}
	b, err := newBenchOf("", 256, 200)
	if err != nil {
		return "", nil, err
	}
	defer b.close()
	s, err := newService(b)
	if err != nil {
		return "", nil, err
	}
	defer s.kill()
	pid := s.process.Process.Pid
	time.Sleep(time.Second) // what a start does is over
	still, _, err := watch(pid, idle)
	if err != nil {
		return "", nil, err
	}
	load := newSteady(s.listen, seldom)
	time.Sleep(time.Second)
	busy, memory, err := watch(pid, quiet)
	load.stop()
	load.done.Wait()
	if err != nil {
		return "", nil, err
	}
	most := quarters(memory)
	growth := max(0, slices.Max(most[1:])-most[0])
	const mib = 1 << 20
	fmt.Printf("nothing comes, %v: %.0f wakes a second, %.2f%% of a core\n", idle, still.wakes, 100*still.cpu)
	fmt.Printf("%.0f requests a second, %v: %.0f wakes a second, %.2f%% of a core; most memory by "+
		"quarters %.1f, %.1f, %.1f, %.1f MiB; %d sent, %d failed\n", seldom, quiet,
		busy.wakes, 100*busy.cpu, float64(most[0])/mib, float64(most[1])/mib, float64(most[2])/mib,
		float64(most[3])/mib, load.sent.Load(), load.failed.Load())
	var missed []string
	for _, bound := range []struct {
		what      string
		got, most float64
	}{
		{"share of a core while nothing comes", still.cpu, restCPU},
		{"wakes a second while nothing comes", still.wakes, restWakes},
		{"bytes that memory grew after the first quarter", float64(growth), restGrowth},
		{"requests failed", float64(load.failed.Load()), 0},
	} {
		if bound.got > bound.most {
			missed = append(missed, fmt.Sprintf("%s: %.4g, at most %.4g", bound.what, bound.got, bound.most))
		}
	}
	return fmt.Sprintf("idle_wakes=%.0f idle_cpu=%.4f quiet_wakes=%.0f quiet_cpu=%.4f growth_bytes=%d",
		still.wakes, still.cpu, busy.wakes, busy.cpu, growth), missed, nil
}
