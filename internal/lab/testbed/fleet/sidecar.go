package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"caperarch/internal/lab/testbed"
)

// Sidecar is a machine: its address, and its process if one is running.
type Sidecar struct {
	Number int
	Listen string
	f      *Fleet
	config string

	mu         sync.Mutex
	cmd        *exec.Cmd
	starts     int
	fleetEnded bool        // set at the end of the fleet, so that a fault plan that is still running starts no process
	startTimes []time.Time // when the machine's processes started
	stopped    bool
	log        *os.File
	unstable   []span // spans in which clients could not rely on the machine
	pauses     []span // spans in which the process was paused
	partitions []span // spans in which the machine was cut off from upstreams and discovery
}

// span is a time span. A zero end means that it has not ended.
type span struct{ from, to time.Time }

func (s *Sidecar) control() string { return fmt.Sprintf("%s:%d", s.f.ip(s.Number), controlPort) }

// Start starts the machine's process without memory.
func (s *Sidecar) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil || s.fleetEnded {
		return
	}
	cmd := s.f.Command()
	cmd.Args = append(cmd.Args, "-log-format", "text") // its times have a resolution of 1 ms
	if !s.f.Plain {
		cmd.Args = append(cmd.Args, "-fleet", s.f.fleetFile(s.Number))
	}
	tmp, err := os.MkdirTemp(s.f.dir, "tmp")
	if err != nil {
		s.f.t.Fatalf("fleet: %v", err)
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, "EDGE_CONFIG="+s.config, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = s.log, s.log
	if err := cmd.Start(); err != nil {
		s.f.t.Fatalf("fleet: start sidecar %d: %v", s.Number, err)
	}
	s.f.tcp.restore(s.Number)
	s.cmd = cmd
	s.starts++
	s.startTimes = append(s.startTimes, time.Now())
	s.markStable()
}

// waitUntilServing waits until the process answers health checks with 200.
func (s *Sidecar) waitUntilServing() {
	testbed.Until(s.f.t, fmt.Sprintf("sidecar %d to serve; its log: %s", s.Number, s.log.Name()), func() bool {
		response, err := testbed.Operate(s.control(), "health")
		if err != nil || !strings.HasPrefix(response, "200") {
			time.Sleep(20 * time.Millisecond)
			return false
		}
		return true
	})
}

// Crash kills the process and silences the machine: peers don't see its connections reset.
func (s *Sidecar) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	s.markUnstable()
	s.f.tcp.partition(s.Number)
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	s.cmd, s.stopped = nil, false
}

// End stops the process with SIGTERM and waits until it has exited.
func (s *Sidecar) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	s.markUnstable()
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	killTimer := time.AfterFunc(testbed.MaxWait, func() { _ = s.cmd.Process.Kill() })
	err := s.cmd.Wait()
	killTimer.Stop()
	if err != nil {
		s.f.t.Fatalf("fleet: sidecar %d exited with %v after SIGTERM", s.Number, err)
	}
	s.cmd = nil
}

// Stop pauses the process.
func (s *Sidecar) Stop() { s.signal(syscall.SIGSTOP) }

// Continue resumes the process.
func (s *Sidecar) Continue() { s.signal(syscall.SIGCONT) }

func (s *Sidecar) signal(which syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	stop := which == syscall.SIGSTOP
	if stop == s.stopped {
		return
	}
	if s.stopped = stop; stop {
		s.markUnstable()
		s.pauses = append(s.pauses, span{from: time.Now()})
	} else {
		s.markStable()
		s.pauses[len(s.pauses)-1].to = time.Now()
	}
	_ = s.cmd.Process.Signal(which)
}

// Partition cuts the machine off from upstreams and discovery, in both directions, until Heal.
func (s *Sidecar) Partition() {
	s.f.tcp.partition(s.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions = append(s.partitions, span{from: time.Now()})
}

// Heal ends a partition.
func (s *Sidecar) Heal() {
	if s.PID() != 0 {
		s.f.tcp.restore(s.Number)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.partitions); n > 0 && s.partitions[n-1].to.IsZero() {
		s.partitions[n-1].to = time.Now()
	}
}

// markUnstable records that clients can't rely on the machine from now on.
func (s *Sidecar) markUnstable() {
	if n := len(s.unstable); n == 0 || !s.unstable[n-1].to.IsZero() {
		s.unstable = append(s.unstable, span{from: time.Now()})
	}
}

// markStable records that clients can rely on the machine again.
func (s *Sidecar) markStable() {
	if n := len(s.unstable); n > 0 && s.unstable[n-1].to.IsZero() {
		s.unstable[n-1].to = time.Now()
	}
}

// stableThrough reports whether clients could rely on the machine during a whole span.
func (s *Sidecar) stableThrough(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !overlaps(s.unstable, from, to)
}

// reachableThrough reports whether the machine could reach upstreams and discovery during a whole span.
func (s *Sidecar) reachableThrough(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !overlaps(s.partitions, from, to)
}

// overlaps reports whether one of the spans overlaps the interval.
func overlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(b span) bool {
		return (b.to.IsZero() || b.to.After(from)) && b.from.Before(to)
	})
}

// startedWithin reports whether a process was started within the interval.
func (s *Sidecar) startedWithin(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.startTimes, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// Running reports whether the process exists and is not paused.
func (s *Sidecar) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd != nil && !s.stopped
}

// PID returns the ID of the process, or 0 if there is none.
func (s *Sidecar) PID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return 0
	}
	return s.cmd.Process.Pid
}

// Log returns the output of the machine's processes so far.
func (s *Sidecar) Log() string {
	raw, err := os.ReadFile(s.log.Name())
	if err != nil {
		s.f.t.Fatalf("fleet: %v", err)
	}
	return string(raw)
}
