package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"syscall"
	"time"
)

const (
	// quotaSidecars and quotaCore are the numbers of sidecars and core machines, as in a small deployment.
	quotaSidecars, quotaCore = 12, 3
	// quotaRate is the limit of the measured tenant, both its rate in requests per second and its burst. quotaHighRate
	// and quotaLowRate are the limits that it is changed to. The tenant sends quotaSurge times quotaRate.
	quotaRate, quotaHighRate, quotaLowRate, quotaSurge = 130, 312, 56, 12
	// quotaWindow, quotaOverage and quotaSlack are the bounds of the quota guarantee, as meshCore sets them.
	quotaWindow                = 5 * time.Second
	quotaOverage, quotaSlack   = 0.1, 20
	quotaProcessors            = 4 // GOMAXPROCS of each process
	quotaPhase, quotaPhaseFast = 16 * time.Second, 7 * time.Second
	// quotaShortPause is the shortest time between the end of sidecars and their restart.
	quotaShortPause = 50 * time.Millisecond
)

// quotaFault is a fault that is injected while the tenant sends more than its limit.
type quotaFault struct {
	name string
	key  string
	run  func(r *quotaRig, length time.Duration) error
}

// quotaFaults are injected one after the other, each for the length of a phase.
var quotaFaults = []quotaFault{
	{"no fault", "none", func(_ *quotaRig, length time.Duration) error {
		time.Sleep(length)
		return nil
	}},
	{"all sidecars killed repeatedly", "killed", func(r *quotaRig, length time.Duration) error {
		return r.repeat(length, 3*time.Second, func() error { return r.restart(r.all(), syscall.SIGKILL) })
	}},
	{"sidecars stopped and started in turn", "rolled", func(r *quotaRig, length time.Duration) error {
		number := 0
		return r.repeat(length, 700*time.Millisecond, func() error {
			number++
			return r.restart([]int{number % quotaSidecars}, syscall.SIGTERM)
		})
	}},
	{"half of the sidecars and a core machine frozen", "frozen", func(r *quotaRig, length time.Duration) error {
		return r.repeat(length, 4*time.Second, r.freeze)
	}},
	{"all processes killed at once", "all", func(r *quotaRig, length time.Duration) error {
		return r.repeat(length, 8*time.Second, r.restartAll)
	}},
	{"limit raised, then all sidecars killed each second", "often", func(r *quotaRig, length time.Duration) error {
		if err := r.setRate(quotaHighRate); err != nil {
			return err
		}
		return r.repeat(length, time.Second, func() error {
			return r.restartAfter(quotaShortPause, r.all(), syscall.SIGKILL)
		})
	}},
	{"limit lowered, then all sidecars killed", "lowered", func(r *quotaRig, length time.Duration) error {
		if err := r.setRate(quotaLowRate); err != nil {
			return err
		}
		return r.repeat(length, 3*time.Second, func() error { return r.restart(r.all(), syscall.SIGKILL) })
	}},
}

// measureQuota runs a small deployment as processes on loopback addresses, with one tenant that sends many times its
// limit. For each fault it counts, at the upstreams, the most requests of the tenant that ran in any window.
func measureQuota(short bool) (string, []string, error) {
	phase := quotaPhase
	if short {
		phase = quotaPhaseFast
	}
	binary, end, err := tempMeshd()
	if err != nil {
		return "", nil, err
	}
	defer end()
	c := newCleanups()
	defer c.end()
	rig, err := startQuotaRig(c, binary)
	if err != nil {
		return "", nil, err
	}
	fmt.Printf("%s, %d cores, %d for each process, load average %s\n\n",
		time.Now().Format(time.DateOnly), runtime.NumCPU(), quotaProcessors, loadAverage())
	fmt.Println("| fault | s | sent | run | fullest window | allowed |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	var keys, missed []string
	for _, fault := range quotaFaults {
		if !strings.Contains(fault.key, nameFilter) {
			continue
		}
		row, err := rig.runPhase(fault, phase)
		if err != nil {
			return "", nil, fmt.Errorf("%s: %w", fault.name, err)
		}
		fmt.Printf("| %s | %.0f | %d | %d | %d | %.0f |\n",
			fault.name, phase.Seconds(), row.sent, row.ran, row.maxInWindow, row.allowed)
		keys = append(keys, fmt.Sprintf("%s=%d/%.0f", fault.key, row.maxInWindow, row.allowed))
		if float64(row.maxInWindow) > row.allowed {
			missed = append(missed, fmt.Sprintf("%s: %d requests ran in a window, %.0f are allowed",
				fault.name, row.maxInWindow, row.allowed))
		}
	}
	return strings.Join(keys, " "), missed, nil
}

// quotaRow is the result of a phase.
type quotaRow struct {
	sent, ran, maxInWindow int
	allowed                float64
}

// runPhase injects a fault for a phase, and evaluates the windows that begin in the phase.
func (r *quotaRig) runPhase(fault quotaFault, phase time.Duration) (row quotaRow, err error) {
	from, sentBefore, rateBefore := time.Now(), r.sent.Load(), r.rate
	if err := fault.run(r, phase); err != nil {
		return row, err
	}
	row.sent = int(r.sent.Load() - sentBefore)
	row.ran, row.maxInWindow = r.ledger.count(from, quotaWindow)
	// A lowered limit is guaranteed one window after it is in force, so only windows that begin after that are checked
	// against it.
	if r.rate < rateBefore {
		_, row.maxInWindow = r.ledger.count(from.Add(quotaWindow+2*time.Second), quotaWindow)
	}
	rate := float64(r.rate)
	row.allowed = (rate*quotaWindow.Seconds()+rate)*(1+quotaOverage) + quotaSlack
	return row, nil
}

// repeat calls do at once and then after each interval, until length has passed.
func (r *quotaRig) repeat(length, interval time.Duration, do func() error) error {
	for end := time.Now().Add(length); time.Now().Before(end); {
		if err := do(); err != nil {
			return err
		}
		time.Sleep(min(interval, time.Until(end)))
	}
	return nil
}

func (r *quotaRig) all() (numbers []int) {
	for i := range r.sidecars {
		numbers = append(numbers, i)
	}
	return numbers
}

// restart ends sidecars by a signal, and starts them again 100 ms to 400 ms later.
func (r *quotaRig) restart(numbers []int, signal syscall.Signal) error {
	return r.restartAfter(time.Duration(100+rand.IntN(300))*time.Millisecond, numbers, signal)
}

// restartAfter ends sidecars by a signal, and starts them again after a pause.
func (r *quotaRig) restartAfter(pause time.Duration, numbers []int, signal syscall.Signal) error {
	for _, number := range numbers {
		if err := r.sidecars[number].end(signal); err != nil {
			return err
		}
	}
	time.Sleep(pause)
	for _, number := range numbers {
		if err := r.startSidecar(number); err != nil {
			return err
		}
	}
	return nil
}

// restartAll kills all processes, and starts them again. The core members keep their disks.
func (r *quotaRig) restartAll() error {
	for _, member := range r.core.members {
		if err := member.end(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for i, host := range r.core.hosts {
		member, err := r.core.startMember(r.cleanups, host, i, false)
		if err != nil {
			return err
		}
		r.core.members[i] = member
	}
	return r.restart(r.all(), syscall.SIGKILL)
}

// freeze stops half of the sidecars and a core member with SIGSTOP, and resumes one after the other.
func (r *quotaRig) freeze() error {
	frozen := []*process{r.core.members[rand.IntN(quotaCore)]}
	for _, number := range rand.Perm(quotaSidecars)[:quotaSidecars/2] {
		frozen = append(frozen, r.sidecars[number])
	}
	for _, p := range frozen {
		if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	for _, p := range frozen {
		time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
		if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	return nil
}

// setRate changes the rate and the burst of the tenant's limit.
func (r *quotaRig) setRate(rate int) error {
	r.rate = rate
	_, _, _, err := r.core.replace(append(r.core.resources[:len(r.core.resources)-1:len(r.core.resources)-1],
		quotaTenantResource(rate)))
	return err
}

// quotaTenantResource returns the configuration of the measured tenant.
func quotaTenantResource(rate int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"resourceType":"tenants","metadata":{"name":"%s"},`+
		`"specification":{"apiKeys":["%s"],"priority":1,"ratePerS":%d,"burstLimit":%d}}`,
		quotaTenant, quotaKey, rate, rate))
}
