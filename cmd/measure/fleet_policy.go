package main

import (
	"fmt"
	"os/exec"
	"slices"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/testbed/fleet"
)

// Bounds that operators require of policy changes.
const (
	policyCalm = 3.0  // seconds from a proposal until the last of 300 sidecars applies it
	policyDown = 3.0  // the same in excess of a lease, with a tenth of the sidecars down
	policyP99  = 1.25 // ratio of the 99th percentiles of requests during and without changes
)

// measurePolicy measures the time and cost of policy changes, with real processes and with 1,000 sidecars in virtual
// time.
func measurePolicy(short bool) (string, []string, error) {
	real, virtual := []int{9, 100, 300}, []int{1000}
	if short {
		real, virtual = []int{9}, []int{1000}
	}
	var missed []string
	binary, end, err := tempDaemon()
	if err != nil {
		return "", nil, err
	}
	defer end()
	var last policyRun
	for _, size := range real {
		if last, err = realChanges(binary, size, short); err != nil {
			return "", nil, err
		}
		lease := swim.LeaseFor(size).Seconds()
		fmt.Printf("real, %d processes (lease %.0f s): a change is in force everywhere after %v s without faults, %v s "+
			"at 10%% loss, %v s with a tenth down; %.0f datagrams and %.0f KiB per change in the whole fleet; "+
			"first change in force %.1f s after a crash of the leader, %.1f s after a crash of two voters; p99 "+
			"during changes over p99 without %.2f, %d requests refused during %d changes\n",
			size, lease, last.calm, last.lossy, last.down, last.datagrams, last.bytes/1024, last.leader,
			last.voters, last.p99, last.refused, last.changes)
		if size == 300 && last.calm.at(1) > policyCalm {
			missed = append(missed, fmt.Sprintf("%d processes: a change without faults takes %v s, want at most %v",
				size, last.calm, policyCalm))
		}
		if last.down.at(1) > lease+policyDown {
			missed = append(missed, fmt.Sprintf("%d processes: a change with a tenth down takes %v s, want at most %v",
				size, last.down,
				lease+policyDown))
		}
	}
	for _, size := range virtual {
		fmt.Println(virtualChange(size))
	}
	if last.p99 > policyP99 {
		missed = append(missed, fmt.Sprintf("p99 during changes is %.2f times that without, want at most %v",
			last.p99, policyP99))
	}
	return fmt.Sprintf("processes=%d calm=%.2f lossy=%.2f down=%.2f kib=%.0f datagrams=%.0f p99_ratio=%.2f",
		real[len(real)-1], last.calm.at(1), last.lossy.at(1), last.down.at(1),
		last.bytes/1024, last.datagrams, last.p99), missed, nil
}

// policyRun holds the results of policy changes in one fleet. Times are in seconds, by round.
type policyRun struct {
	calm, lossy, down samples
	bytes, datagrams  float64 // per change without faults
	leader, voters    float64 // seconds from a crash of the leader or two voters until a change is in force
	p99               float64 // ratio of the 99th percentiles of requests during and without changes
	refused, changes  int
}

// policyFleet is a fleet of processes that change their policy, one change after the other.
type policyFleet struct {
	*fleet.Fleet
	size    int
	lease   time.Duration
	version int // newest proposed version
	by      int // number of the sidecar that proposes
}

// realChanges measures policy changes in a fleet of size processes.
func realChanges(binary string, size int, short bool) (r policyRun, err error) {
	t := newCleanups()
	defer t.end()
	p := &policyFleet{size: size, lease: swim.LeaseFor(size), by: 1}
	p.Fleet = fleet.New(t, fleet.Config{
		Size: size, Nodes: 4, Direct: true, CutOff: fleet.CutOffPolicy,
		Command: func() *exec.Cmd { return exec.Command(binary) },
	})
	if err := p.Sidecars[0].Bootstrap(); err != nil {
		return r, err
	}
	if at := awaitVersion(p.Fleet, 0, size, time.Time{}, 10*p.lease+30*time.Second); len(at) < size {
		return r, fmt.Errorf("only %d of %d processes apply the log's policy", len(at), size)
	}
	time.Sleep(p.lease)
	stop := p.Load(200)
	defer func() { stop() }()
	rounds := 5
	if short {
		rounds = 3
	}
	if err := p.calm(&r, rounds); err != nil {
		return r, err
	}
	if err := p.lossy(&r); err != nil {
		return r, err
	}
	if err := p.tenthDown(&r); err != nil {
		return r, err
	}
	return r, p.votersDown(&r)
}

// change proposes the next version, and adds the time in seconds until the last of the living processes applies it.
func (p *policyFleet) change(into *samples, live int, within time.Duration) error {
	for begun := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		err := p.Sidecars[p.by].Propose(fmt.Sprintf("[limits]\nopen = %d\n", 50+p.version))
		if err == nil {
			break
		}
		if time.Since(begun) > 2*p.lease+30*time.Second {
			return err
		}
	}
	proposed := time.Now()
	p.version++
	at := awaitVersion(p.Fleet, p.version, live, proposed, within)
	if len(at) < live {
		return fmt.Errorf("version %d is applied by only %d of %d processes after %v", p.version, len(at), live, within)
	}
	into.add(slices.MaxFunc(at, time.Time.Compare).Sub(proposed).Seconds())
	return nil
}

// calm makes changes without faults, and measures their effect on request durations and their traffic.
func (p *policyFleet) calm(r *policyRun, rounds int) error {
	time.Sleep(5 * time.Second)
	calm := p.Latencies(time.Now().Add(-4 * time.Second))
	from := time.Now()
	beforeBytes, beforeSent, begun := p.Peers.PassedBytes.Load(), p.Peers.Passed.Load(), time.Now()
	for range rounds {
		if err := p.change(&r.calm, p.size, p.lease+20*time.Second); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	spent := time.Since(begun).Seconds()
	bytes, sent := float64(p.Peers.PassedBytes.Load()-beforeBytes), float64(p.Peers.Passed.Load()-beforeSent)
	during := p.Latencies(from)
	r.p99 = quantile(during, 0.99) / quantile(calm, 0.99)
	r.refused, r.changes = p.Refused(from), rounds
	time.Sleep(3 * time.Second)
	// The traffic without changes, which is subtracted.
	beforeBytes, beforeSent, begun = p.Peers.PassedBytes.Load(), p.Peers.Passed.Load(), time.Now()
	time.Sleep(10 * time.Second)
	rest := time.Since(begun).Seconds()
	r.bytes = (bytes - float64(p.Peers.PassedBytes.Load()-beforeBytes)/rest*spent) / float64(rounds)
	r.datagrams = (sent - float64(p.Peers.Passed.Load()-beforeSent)/rest*spent) / float64(rounds)
	return nil
}

// lossy makes changes while a tenth of the datagrams is lost.
func (p *policyFleet) lossy(r *policyRun) error {
	p.Peers.Break(fleet.Faults{Loss: 0.1}, 1)
	for range 2 {
		// At any time a few processes are out of contact for a moment, so the change waits for all but one in fifty.
		if err := p.change(&r.lossy, p.size-p.size/50, 2*p.lease+30*time.Second); err != nil {
			return fmt.Errorf("at 10%% loss: %w", err)
		}
	}
	p.Peers.Break(fleet.Faults{}, 1)
	time.Sleep(p.lease)
	return nil
}

// tenthDown makes a change while a tenth of the processes have crashed, and starts them again.
func (p *policyFleet) tenthDown(r *policyRun) error {
	view, _ := p.Sidecars[p.by].Policy()
	down := 0
	for i := 2; i < p.size && down < max(1, p.size/10); i += max(1, p.size/max(1, p.size/10)) {
		if i != p.by && i != view.Leader {
			p.Sidecars[i].Crash()
			down++
		}
	}
	if err := p.change(&r.down, p.size-down, 2*p.lease+30*time.Second); err != nil {
		writeLogs(p.Fleet, uint64(p.size))
		v, _ := p.Sidecars[p.by].Policy()
		return fmt.Errorf("with %d down: %w; %s", down, err, v.Text)
	}
	for _, s := range p.Sidecars {
		s.Start()
	}
	time.Sleep(p.lease)
	return nil
}

// votersDown crashes the leader, then two voters, and measures each time how long a change takes from the crash on.
func (p *policyFleet) votersDown(r *policyRun) (err error) {
	view, _ := p.Sidecars[p.by].Policy()
	if view.Leader >= 0 {
		if r.leader, err = p.changeWithout(view.Leader); err != nil {
			return fmt.Errorf("with the leader down: %w", err)
		}
	}
	view, _ = p.Sidecars[p.by].Policy()
	if voters := view.Voters(); len(voters) >= 5 {
		voters = slices.DeleteFunc(voters, func(v int) bool { return v == view.Leader })
		if r.voters, err = p.changeWithout(voters[:2]...); err != nil {
			return fmt.Errorf("with two voters down: %w", err)
		}
	}
	return nil
}

// changeWithout crashes some processes, makes a change at another process and starts the crashed processes again. It
// returns the seconds from the crash until the change was in force.
func (p *policyFleet) changeWithout(victims ...int) (float64, error) {
	for _, v := range victims {
		p.Sidecars[v].Crash()
	}
	died := time.Now()
	var took samples
	p.by = 0
	for slices.Contains(victims, p.by) {
		p.by++
	}
	if err := p.change(&took, p.size-len(victims), 3*p.lease+60*time.Second); err != nil {
		return 0, err
	}
	all := time.Since(died).Seconds()
	for _, v := range victims {
		p.Sidecars[v].Start()
	}
	time.Sleep(p.lease)
	return all, nil
}

// awaitVersion waits until a number of processes have logged that a version is their only active one, and returns the
// times at which they did.
func awaitVersion(f *fleet.Fleet, version, live int, since time.Time, within time.Duration) (at []time.Time) {
	for end := time.Now().Add(within); ; time.Sleep(200 * time.Millisecond) {
		if at = f.ActiveAt(version, since); len(at) >= live || time.Now().After(end) {
			return at
		}
	}
}
