package main

import (
	"fmt"
	"os/exec"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/testbed/fleet"
)

// Bounds that operators require of membership.
const (
	peersKnown  = 3.0     // seconds until a crash is known to 95% of 300 sidecars
	peersBytes  = 1024.0  // bytes sent per second and sidecar, with 300 sidecars and no faults
	peersCPU    = 0.01    // cores in excess of a sidecar without membership
	peersMemory = 3 << 20 // bytes in excess of a sidecar without membership
	// peersP99 is the largest ratio of the 99th percentiles of requests with and without membership. It allows for the
	// variation of the ratio on a shared machine.
	peersP99 = 1.25
)

// measurePeers measures the cost of membership, and how fast and how correctly sidecars detect crashes.
func measurePeers(short bool) (string, []string, error) {
	sizes, quiet, real, settle := []int{10, 100, 300, 1000}, time.Hour, []int{10, 100, 300}, 20*time.Second
	if short {
		sizes, quiet, real, settle = []int{10, 100}, 2*time.Minute, []int{10}, 6*time.Second
	}
	missed := virtualCrashes(sizes)
	missed = append(missed, virtualQuiet(sizes[min(2, len(sizes)-1)], quiet)...)
	binary, end, err := tempDaemon()
	if err != nil {
		return "", nil, err
	}
	defer end()
	last := peersRun{}
	for _, size := range real {
		if last, err = realPeers(binary, size, settle); err != nil {
			return "", nil, err
		}
		fmt.Printf("real, %d processes: all in contact after %.1f s and in agreement a lease later; a crash "+
			"known to 95%% after %v s; %.0f bytes/s, %.2f%% of a core and %.1f MiB per process, "+
			"%.2f%% and %.1f MiB without membership\n",
			size, last.contact, last.known, last.bytes, 100*last.cpu, last.rss/(1<<20), 100*last.plainCPU,
			last.plainRSS/(1<<20))
		missed = append(missed, last.missed(size)...)
	}
	p99, err := peersLatency(binary, short)
	if err != nil {
		return "", nil, err
	}
	fmt.Printf("p99 of requests with membership over p99 without, by round: %v\n", p99)
	if p99.median() > peersP99 {
		missed = append(missed, fmt.Sprintf("p99 is %v times that without membership, want at most %v", p99, peersP99))
	}
	return fmt.Sprintf("processes=%d contact=%.1f known=%.2f bytes=%.0f cpu=%.4f cpu_off=%.4f "+
		"rss_mib=%.1f rss_off_mib=%.1f p99_ratio=%.2f",
		real[len(real)-1], last.contact, last.known.max(), last.bytes, last.cpu, last.plainCPU,
		last.rss/(1<<20), last.plainRSS/(1<<20), p99.median()), missed, nil
}

// virtualCrashes measures in virtual time, for fleets of several sizes, the time until the members are in contact
// and the time until a crash is known.
func virtualCrashes(sizes []int) (missed []string) {
	for _, size := range sizes {
		n := virtualFleet(size, 1, 0)
		known := crashKnown(n, 5)
		fmt.Printf("virtual, %d sidecars: lease %v; in contact %v after a start of all; a crash known "+
			"to 95%% after %v s\n",
			size, swim.LeaseFor(size), contactAfterStart(size, 2).Round(100*time.Millisecond), known)
		if size <= 300 && (known.max() > peersKnown || known.at(0) < 0) {
			missed = append(missed, fmt.Sprintf("virtual, %d: a crash known after %v s, want at most %v",
				size, known, peersKnown))
		}
	}
	return missed
}

// virtualQuiet counts false alarms in virtual time while all members are alive, with lost datagrams or with members
// that are denied CPU time, and measures the bytes and datagrams sent.
func virtualQuiet(size int, quiet time.Duration) (missed []string) {
	for _, c := range []struct {
		loss    float64
		starved bool
		time    time.Duration
	}{{0, false, quiet}, {0.05, false, quiet}, {0.3, false, quiet / 30}, {0, true, quiet / 10}} {
		suspected, gone, lapsed, bytes, datagrams := quietHour(virtualFleet(size, 3, c.loss), c.time, c.starved)
		fmt.Printf("virtual, %d sidecars for %v, loss %.2f, one in ten denied CPU time %v: %d suspicions, %d "+
			"false alarms, %d losses of contact; %.0f bytes in %.1f datagrams per second and member\n",
			size, c.time, c.loss, c.starved, suspected, gone, lapsed, bytes, datagrams)
		switch {
		case c.loss <= 0.05 && !c.starved && gone > 0:
			missed = append(missed, fmt.Sprintf("%d false alarms at loss %.2f in %v", gone, c.loss, c.time))
		case c.loss == 0 && !c.starved && bytes > peersBytes:
			missed = append(missed, fmt.Sprintf("%.0f bytes/s per member, want at most %.0f", bytes, peersBytes))
		}
	}
	return missed
}

// peersRun holds the results of a fleet of real processes, and of a few processes without membership.
type peersRun struct {
	contact                             float64 // seconds until all processes were in contact
	known                               samples // seconds until a crash was known to 95%
	bytes, cpu, rss, plainCPU, plainRSS float64 // per process; plain: without membership
}

// missed returns a line for each bound that a fleet of size processes missed.
func (r *peersRun) missed(size int) (missed []string) {
	miss := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	switch {
	case r.known.max() > peersKnown:
		miss("real, %d: a crash known after %v s, want at most %v", size, r.known, peersKnown)
	case r.bytes > peersBytes:
		miss("real, %d: %.0f bytes/s per process, want at most %.0f", size, r.bytes, peersBytes)
	}
	if r.cpu-r.plainCPU > peersCPU {
		miss("real, %d: %.4f cores more than without membership, want at most %.4f", size, r.cpu-r.plainCPU, peersCPU)
	}
	if r.rss-r.plainRSS > peersMemory {
		miss("real, %d: %.1f MiB more than without membership, want at most %d",
			size, (r.rss-r.plainRSS)/(1<<20), peersMemory>>20)
	}
	return missed
}

// realPeers measures a fleet of processes with membership, and five processes without.
func realPeers(binary string, size int, settle time.Duration) (r peersRun, err error) {
	t := newCleanups()
	defer t.end()
	command := func() *exec.Cmd { return exec.Command(binary) }
	f := fleet.New(t, fleet.Config{Size: size, Nodes: 2, Direct: true, Command: command})
	off := fleet.New(t, fleet.Config{Size: 5, Nodes: 2, Direct: true, Plain: true, Command: command})
	// Contact is read from the logs, because repeated requests would make the processes hold tens of MiB of responses.
	begun, lease := time.Now(), swim.LeaseFor(size)
	for f.Logged("peers: in contact") < size {
		if time.Since(begun) > 6*lease+10*time.Second {
			return r, fmt.Errorf("after %v only %d of %d processes were ever in contact", time.Since(begun),
				f.Logged("peers: in contact"), size)
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.contact = time.Since(begun).Seconds()
	time.Sleep(lease)
	before := f.Peers.PassedBytes.Load()
	from := time.Now()
	on, err := usages(f, settle)
	if err != nil {
		return r, err
	}
	r.bytes = float64(f.Peers.PassedBytes.Load()-before) / time.Since(from).Seconds() / float64(size)
	plain, err := usages(off, settle)
	if err != nil {
		return r, err
	}
	r.cpu, r.rss, r.plainCPU, r.plainRSS = on[0], on[1], plain[0], plain[1]
	if took, why := f.WaitForAgreement(2 * lease); why != "" {
		return r, fmt.Errorf("%d processes do not agree on the members after %v: %s", size, took, why)
	}
	for n, victim := range []int{size / 2, size - 1, 1} {
		need := (size - 1 - n) * 95 / 100 // 95% of the living processes
		crashed := time.Now()
		f.Sidecars[victim].Crash()
		for end := crashed.Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if at := f.MemberGoneAt(victim, crashed); len(at) >= need {
				var all samples
				for _, moment := range at {
					all.add(moment.Sub(crashed).Seconds())
				}
				r.known.add(all.at(float64(need-1) / float64(len(at))))
				break
			}
		}
	}
	if len(r.known) < 3 {
		return r, fmt.Errorf("only %d of 3 crashes were known to 95%% of the processes within 20 s", len(r.known))
	}
	return r, nil
}

// usages returns the mean CPU use in cores over a period, and the mean memory in bytes, of a fleet's processes.
func usages(f *fleet.Fleet, d time.Duration) (mean [2]float64, err error) {
	before := make(map[int]time.Duration)
	for _, s := range f.Sidecars {
		if before[s.PID()], _, err = usage(s.PID()); err != nil {
			return mean, err
		}
	}
	time.Sleep(d)
	for _, s := range f.Sidecars {
		cpu, rss, err := usage(s.PID())
		if err != nil {
			return mean, err
		}
		mean[0] += (cpu - before[s.PID()]).Seconds() / d.Seconds() / float64(len(f.Sidecars))
		mean[1] += float64(rss) / float64(len(f.Sidecars))
	}
	return mean, nil
}

// peersLatency alternately sends the same load to processes with and without membership, and returns the ratio of the
// 99th percentiles for each round.
func peersLatency(binary string, short bool) (samples, error) {
	rounds, each := 9, 6*time.Second
	if short {
		rounds, each = 3, 2*time.Second
	}
	t := newCleanups()
	defer t.end()
	command := func() *exec.Cmd { return exec.Command(binary) }
	on := fleet.New(t, fleet.Config{Size: 8, Nodes: 4, Direct: true, Command: command})
	off := fleet.New(t, fleet.Config{Size: 8, Nodes: 4, Direct: true, Plain: true, Command: command})
	if took, why := on.WaitForAgreement(30 * time.Second); why != "" {
		return nil, fmt.Errorf("8 processes do not agree on the members after %v: %s", took, why)
	}
	var ratio samples
	for range rounds {
		var p99 [2]float64
		for i, f := range []*fleet.Fleet{on, off} {
			begun := time.Now()
			stop := f.Load(400)
			time.Sleep(each)
			stop()
			p99[i] = quantile(f.Latencies(begun), 0.99)
		}
		ratio.add(p99[0] / p99[1])
	}
	return ratio, nil
}
