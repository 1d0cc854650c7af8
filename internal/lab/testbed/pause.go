package testbed

import (
	"fmt"
	"syscall"
	"time"
)

// Pause tests a host that pauses in mid-request. The process pid is under load with two nodes and is stopped for the
// duration stop; meanwhile discovery lists node 1 as draining. Unsafe requests have the class entry; timeout is the
// time-out of every request. Pause returns the violations that checkPause finds.
func Pause(
	t TB, pid int, d *Discovery, l *ArrivalLog, nodes []*Node, stop, timeout time.Duration,
) (violations []string) {
	t.Helper()
	Until(t, "load on both nodes", func() bool {
		seen := make(map[string]int)
		for _, a := range l.All() {
			seen[a.Node]++
		}
		return seen[nodes[0].ID] > 20 && seen[nodes[1].ID] > 20
	})
	// Slow nodes make sure that many requests are in progress at the nodes during the pause.
	for _, n := range nodes {
		n.Delay.Store(int64(100 * time.Millisecond))
		n.Do(Always(Slow))
	}
	mark := l.Len()
	Until(t, "slow requests", func() bool { return l.Len() > mark+4 })
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		t.Fatalf("send SIGSTOP: %v", err)
	}
	d.Set(nodes[1], "draining")
	time.Sleep(stop)
	for _, n := range nodes {
		n.Do(Always(Serve))
	}
	before := l.Len()
	resumed := time.Now()
	if err := syscall.Kill(pid, syscall.SIGCONT); err != nil {
		t.Fatalf("send SIGCONT: %v", err)
	}
	Until(t, "the drain to be announced", func() bool { return !d.NotifiedAt(nodes[1]).IsZero() })
	Until(t, "load again", func() bool { return l.Len() > before+50 })
	time.Sleep(2200 * time.Millisecond) // longer than the 2 s that a drain may take to apply
	return checkPause(l.All(), nodes[1], resumed, timeout)
}

// checkPause checks what a process sent after it had resumed at a moment, with one node draining: no request is sent
// again after its time-out or to the draining node, no unsafe request runs twice, and there is no burst of requests.
func checkPause(all []Arrival, draining *Node, resumed time.Time, timeout time.Duration) (violations []string) {
	runs := make(map[string]int)
	first := make(map[string]time.Time)
	early := 0
	for _, a := range all {
		if a.Ran && a.Class == "entry" {
			runs[a.ID]++
		}
		if _, known := first[a.ID]; !known {
			first[a.ID] = a.At
		} else if late := a.At.Sub(first[a.ID]); late > timeout+100*time.Millisecond {
			violations = append(violations,
				fmt.Sprintf("%s was sent again %v after its first attempt, want at most its time-out %v",
					a.ID, late, timeout))
		}
		if a.Node == draining.ID && a.At.After(resumed.Add(500*time.Millisecond)) {
			violations = append(violations, fmt.Sprintf("%s was sent to the draining node %v after the process resumed",
				a.ID, a.At.Sub(resumed)))
		}
		if a.At.After(resumed) && a.At.Before(resumed.Add(100*time.Millisecond)) {
			early++
		}
	}
	for id, n := range runs {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("unsafe request %s ran %d times", id, n))
		}
	}
	if early > 400 {
		violations = append(violations,
			fmt.Sprintf("%d requests in the first 100 ms after the process resumed, want at most 400", early))
	}
	return violations
}
