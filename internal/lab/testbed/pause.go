package testbed

import (
	"fmt"
	"syscall"
	"time"
)

// Pause plays the host that stops in mid-request: the process pid is under load on two nodes, is stopped for
// stop, in which discovery says that node 1 drains, and goes on. It returns what was broken. arrivals of
// unsafe requests are those of class entry; timeout is what each request has.
func Pause(t TB, pid int, d *Discovery, l *ArrivalLog, nodes []*Node, stop, timeout time.Duration) (broken []string) {
	t.Helper()
	Until(t, "load on both nodes", func() bool {
		seen := make(map[string]int)
		for _, a := range l.All() {
			seen[a.Node]++
		}
		return seen[nodes[0].ID] > 20 && seen[nodes[1].ID] > 20
	})
	// A good part of what is out must be in the nodes' hands while the process stands.
	for _, n := range nodes {
		n.Delay.Store(int64(100 * time.Millisecond))
		n.Do(Always(Slow))
	}
	mark := l.Len()
	Until(t, "slow requests", func() bool { return l.Len() > mark+4 })
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		t.Fatalf("stopping: %v", err)
	}
	d.Set(nodes[1], "draining")
	time.Sleep(stop)
	for _, n := range nodes {
		n.Do(Always(Serve))
	}
	before := l.Len()
	on := time.Now()
	if err := syscall.Kill(pid, syscall.SIGCONT); err != nil {
		t.Fatalf("going on: %v", err)
	}
	Until(t, "the drain to be announced", func() bool { return !d.NotifiedAt(nodes[1]).IsZero() })
	Until(t, "load again", func() bool { return l.Len() > before+50 })
	time.Sleep(2200 * time.Millisecond) // past the 2 s that a drain may take
	return judgePause(l.All(), nodes[1], on, timeout)
}

// judgePause looks through all arrivals for what a process must not do that went on at a moment, with one
// node draining.
func judgePause(all []Arrival, draining *Node, on time.Time, timeout time.Duration) (broken []string) {
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
			broken = append(broken, fmt.Sprintf("%s went out again %v after its first attempt, it had %v",
				a.ID, late, timeout))
		}
		if a.Node == draining.ID && a.At.After(on.Add(500*time.Millisecond)) {
			broken = append(broken, fmt.Sprintf("%s went to the draining node %v after the process went on",
				a.ID, a.At.Sub(on)))
		}
		if a.At.After(on) && a.At.Before(on.Add(100*time.Millisecond)) {
			early++
		}
	}
	for id, n := range runs {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
	if early > 400 {
		broken = append(broken, fmt.Sprintf("%d requests in the first 100 ms: a storm", early))
	}
	return broken
}
