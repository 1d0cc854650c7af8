package main

import (
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// soakQuotaPeriod is how often a process gets its processor quota, and soakQuotaPoll how often the rig looks
	// whether the quota is spent.
	soakQuotaPeriod, soakQuotaPoll = 100 * time.Millisecond, 4 * time.Millisecond
	// processCPUClock makes the number of the clock of a process's own processor time, as the kernel forms it.
	processCPUClock = 2
)

// processorTime is the processor time that a process has used.
func processorTime(p *os.Process) (time.Duration, error) {
	var used unix.Timespec
	if err := unix.ClockGettime(int32(^p.Pid<<3|processCPUClock), &used); err != nil {
		return 0, err
	}
	return time.Duration(used.Nano()), nil
}

// limitProcessor holds the process of a machine to its quota until it has ended. What it has used beyond that is
// taken off the next one.
func (m *soakMachine) limitProcessor(p *process, share float64) {
	quota := time.Duration(share * float64(soakQuotaPeriod))
	used, err := processorTime(p.cmd.Process)
	allowed := used
	for err == nil {
		allowed = max(allowed, used-quota) + quota
		end := time.Now().Add(soakQuotaPeriod)
		for err == nil && used < allowed && time.Now().Before(end) {
			time.Sleep(soakQuotaPoll)
			used, err = processorTime(p.cmd.Process)
		}
		if err != nil || time.Now().After(end) {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Until(end))
		if !m.frozen.Load() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
}
