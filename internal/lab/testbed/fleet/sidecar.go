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

// Sidecar is one machine: its address, and the process on it if there is one.
type Sidecar struct {
	Number int
	Listen string
	f      *Fleet
	config string

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	over    bool        // the fleet is: a plan that still plays must leave no process behind
	began   []time.Time // when its processes did
	stopped bool
	log     *os.File
	broken  []span // when no client could count on it
	stalls  []span // when it stood still
	cuts    []span // when it reached neither upstreams nor discovery
}

// span is a stretch of time; an end of zero: not over yet.
type span struct{ from, to time.Time }

func (s *Sidecar) control() string { return fmt.Sprintf("%s:%d", s.f.ip(s.Number), controlPort) }

// Start starts the machine's process, which remembers nothing.
func (s *Sidecar) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil || s.over {
		return
	}
	cmd := s.f.Command()
	cmd.Args = append(cmd.Args, "-log-format", "text") // its times are to the millisecond
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
		s.f.t.Fatalf("fleet: sidecar %d: %v", s.Number, err)
	}
	s.f.tcp.restore(s.Number)
	s.cmd = cmd
	s.starts++
	s.began = append(s.began, time.Now())
	s.markStable()
}

// await waits until it serves.
func (s *Sidecar) await() {
	testbed.Until(s.f.t, fmt.Sprintf("sidecar %d to serve; its log: %s", s.Number, s.log.Name()), func() bool {
		answer, err := testbed.Operate(s.control(), "health")
		if err != nil || !strings.HasPrefix(answer, "200") {
			time.Sleep(20 * time.Millisecond)
			return false
		}
		return true
	})
}

// Crash kills the process. Its machine says nothing any more: no connection of its that others hold is reset.
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

// End has the process end in order, and waits for that.
func (s *Sidecar) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	s.markUnstable()
	_ = s.cmd.Process.Signal(syscall.SIGTERM)
	stuck := time.AfterFunc(testbed.MaxWait, func() { _ = s.cmd.Process.Kill() })
	err := s.cmd.Wait()
	stuck.Stop()
	if err != nil {
		s.f.t.Fatalf("fleet: sidecar %d ended with %v", s.Number, err)
	}
	s.cmd = nil
}

// Stop has the process stand still, Continue go on.
func (s *Sidecar) Stop() { s.signal(syscall.SIGSTOP) }

// Continue has it go on.
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
		s.stalls = append(s.stalls, span{from: time.Now()})
	} else {
		s.markStable()
		s.stalls[len(s.stalls)-1].to = time.Now()
	}
	_ = s.cmd.Process.Signal(which)
}

// Partition has nothing of the machine's reach upstreams and discovery any more, nor theirs the
// machine. Heal ends that.
func (s *Sidecar) Partition() {
	s.f.tcp.partition(s.Number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts = append(s.cuts, span{from: time.Now()})
}

// Heal has it reach them again.
func (s *Sidecar) Heal() {
	if s.PID() != 0 {
		s.f.tcp.restore(s.Number)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.cuts); n > 0 && s.cuts[n-1].to.IsZero() {
		s.cuts[n-1].to = time.Now()
	}
}

// markUnstable notes that from now on no client can count on the machine.
func (s *Sidecar) markUnstable() {
	if n := len(s.broken); n == 0 || !s.broken[n-1].to.IsZero() {
		s.broken = append(s.broken, span{from: time.Now()})
	}
}

// markStable notes that clients can count on it again.
func (s *Sidecar) markStable() {
	if n := len(s.broken); n > 0 && s.broken[n-1].to.IsZero() {
		s.broken[n-1].to = time.Now()
	}
}

// stableThrough says whether a client could count on the machine through all of a stretch.
func (s *Sidecar) stableThrough(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !overlaps(s.broken, from, to)
}

// reachableThrough says whether it could be told of all through a stretch.
func (s *Sidecar) reachableThrough(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !overlaps(s.cuts, from, to)
}

// overlaps says whether one of some spans has part of a stretch.
func overlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(b span) bool {
		return (b.to.IsZero() || b.to.After(from)) && b.from.Before(to)
	})
}

// startedWithin says whether a process began in a stretch.
func (s *Sidecar) startedWithin(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.began, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// Runs says whether the process lives and does not stand still.
func (s *Sidecar) Runs() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd != nil && !s.stopped
}

// PID is that of the process; 0: there is none.
func (s *Sidecar) PID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return 0
	}
	return s.cmd.Process.Pid
}

// Log is what the machine's processes have written so far.
func (s *Sidecar) Log() string {
	raw, err := os.ReadFile(s.log.Name())
	if err != nil {
		s.f.t.Fatalf("fleet: %v", err)
	}
	return string(raw)
}
