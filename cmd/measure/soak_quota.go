package main

import (
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// soakQuotaPeriod is the period of the CPU quota, and soakQuotaPoll the interval at which the rig checks whether a
	// process has used up its quota.
	soakQuotaPeriod, soakQuotaPoll = 100 * time.Millisecond, 4 * time.Millisecond
	// processCPUClock is the low bits of the Linux clock ID for the CPU time of a whole process; the upper bits hold
	// the inverted process ID.
	processCPUClock = 2
)

// cpuTime returns the CPU time that a process has used.
func cpuTime(p *os.Process) (time.Duration, error) {
	var used unix.Timespec
	if err := unix.ClockGettime(int32(^p.Pid<<3|processCPUClock), &used); err != nil {
		return 0, err
	}
	return time.Duration(used.Nano()), nil
}

// limitCPU limits the machine's process to its CPU quota until the process has exited, by stopping it with SIGSTOP for
// the rest of each period. Use beyond the quota is deducted from the quota of the next period.
func (m *soakMachine) limitCPU(p *process, share float64) {
	quota := time.Duration(share * float64(soakQuotaPeriod))
	used, err := cpuTime(p.cmd.Process)
	allowed := used
	for err == nil {
		allowed = max(allowed, used-quota) + quota
		end := time.Now().Add(soakQuotaPeriod)
		for err == nil && used < allowed && time.Now().Before(end) {
			time.Sleep(soakQuotaPoll)
			used, err = cpuTime(p.cmd.Process)
		}
		if err != nil || time.Now().After(end) {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Until(end))
		if m.frozen.Load() != p {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
}
