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
	restCPU          = 0.01    // cores, without requests
	restWakes        = 150.0   // context switches per second of all threads, without requests
	restGrowth       = 1 << 20 // bytes of memory growth after the first quarter of the time
	quietRequestRate = 10.0    // requests per second of a quiet sidecar
)

// activity is the activity of a process: context switches per second, and CPU use in cores.
type activity struct{ contextSwitches, cpu float64 }

// contextSwitches returns the number of context switches so far of the threads that a process has now.
func contextSwitches(pid int) (sum int64, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", pid))
	if err != nil || len(tasks) == 0 {
		return 0, errors.Join(fmt.Errorf("process %d has no threads", pid), err)
	}
	for _, name := range tasks {
		file, err := os.Open(name)
		if err != nil {
			continue // the thread has exited
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

// watch measures the activity of a process over a period, and samples its memory 100 times.
func watch(pid int, d time.Duration) (o activity, memory []int64, err error) {
	before, err := contextSwitches(pid)
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
	after, err := contextSwitches(pid)
	if err != nil {
		return o, nil, err
	}
	used, _, err := usage(pid)
	took := time.Since(begun).Seconds()
	return activity{float64(after-before) / took, (used - cpu).Seconds() / took}, memory, err
}

// quarterMaxima returns the largest memory sample in each quarter of the time, in bytes.
func quarterMaxima(memory []int64) (most [4]int64) {
	for i, rss := range memory {
		most[4*i/len(memory)] = max(most[4*i/len(memory)], rss)
	}
	return most
}

// measureRest measures the resource use of a daemon with no or few requests, which every daemon of a fleet has all the
// time. The long form takes 45 minutes at ten requests per second. The daemon is configured as in production, with a
// control address and a shared folder that it polls.
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
	time.Sleep(time.Second) // until the work at the start is done
	still, _, err := watch(pid, idle)
	if err != nil {
		return "", nil, err
	}
	load := newSteady(s.listen, quietRequestRate)
	time.Sleep(time.Second)
	busy, memory, err := watch(pid, quiet)
	load.stop()
	load.done.Wait()
	if err != nil {
		return "", nil, err
	}
	most := quarterMaxima(memory)
	growth := max(0, slices.Max(most[1:])-most[0])
	const mib = 1 << 20
	fmt.Printf("no requests, %v: %.0f context switches/s, %.2f%% of a core\n", idle, still.contextSwitches, 100*still.cpu)
	fmt.Printf("%.0f requests/s, %v: %.0f context switches/s, %.2f%% of a core; largest memory by "+
		"quarters %.1f, %.1f, %.1f, %.1f MiB; %d sent, %d failed\n", quietRequestRate, quiet,
		busy.contextSwitches, 100*busy.cpu, float64(most[0])/mib, float64(most[1])/mib, float64(most[2])/mib,
		float64(most[3])/mib, load.sent.Load(), load.failed.Load())
	var missed []string
	for _, bound := range []struct {
		what      string
		got, most float64
	}{
		{"cores used without requests", still.cpu, restCPU},
		{"context switches per second without requests", still.contextSwitches, restWakes},
		{"bytes that memory grew after the first quarter", float64(growth), restGrowth},
		{"requests failed", float64(load.failed.Load()), 0},
	} {
		if bound.got > bound.most {
			missed = append(missed, fmt.Sprintf("%s: %.4g, want at most %.4g", bound.what, bound.got, bound.most))
		}
	}
	return fmt.Sprintf("idle_wakes=%.0f idle_cpu=%.4f quiet_wakes=%.0f quiet_cpu=%.4f growth_bytes=%d",
		still.contextSwitches, still.cpu, busy.contextSwitches, busy.cpu, growth), missed, nil
}
