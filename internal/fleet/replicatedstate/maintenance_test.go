package replicatedstate_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"caperarch/internal/fleet/maintenance"
	"caperarch/internal/lab/replicatedstatesim"
)

// machinesOf are some in cells of two.
func machinesOf(n int) (all []maintenance.Machine) {
	for i := range n {
		all = append(
			all,
			maintenance.Machine{
				ID: uint64(i + 1), Name: fmt.Sprintf("s-%d", i), Zone: "a", Cell: i / 2, Weight: 1,
				State: maintenance.MachineReady, Warmth: 1,
			},
		)
	}
	return all
}

const roundText = "all = true\nlongest = \"10m\"\ncut_off = %q\n[out]\nfleet = \"2\"\ncell = \"1\"\n"

// round has a fleet take all machines out, one plan, through faults; somebody works on each that is
// free and says that it is done.
func round(seed uint64) *replicatedstatesim.Net {
	size := 5 + int(seed%5)
	site := &replicatedstatesim.Site{
		Machines: machinesOf(6), Deadline: time.Duration(2+4*(seed%2)) * time.Second, Bound: 2,
		Returns: 2 * time.Second,
	}
	n := replicatedstatesim.New(
		replicatedstatesim.Config{
			Size: size, Seed: seed, Lease: 3 * time.Second, Rate: 0.01, Disks: seed%3 == 0,
			Site: site,
		},
	)
	rng := n.Rng
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1); err != nil {
		n.Broken = append(n.Broken, err.Error())
	}
	n.Run(15 * time.Second)
	planned := false
	var operate func()
	operate = func() {
		m := n.Nodes[rng.IntN(size)]
		if m.Lives() {
			if !planned {
				_, err := m.Plan(m.Time(), fmt.Appendf(nil, roundText, []string{"told", "awaited"}[seed/2%2]))
				planned = err == nil
			}
			for _, t := range m.MaintenanceView(m.Time()).State.Windows {
				if t.Phase == maintenance.Free && rng.IntN(4) == 0 {
					_ = m.Operate(m.Time(), maintenance.Done, t.Number)
				}
			}
			for _, w := range m.MaintenanceView(m.Time()).State.Plans {
				if w.Paused != "" {
					_ = m.Operate(m.Time(), maintenance.Resumed, w.Number)
				}
			}
		}
		n.After(500*time.Millisecond, operate)
	}
	operate()
	for range 20 * (seed % 2) { // processes that come back at once, having forgotten what they have out there
		n.After(time.Duration(rng.Int64N(int64(50*time.Second))), func() {
			i := rng.IntN(size)
			n.Crash(i)
			n.After(100*time.Millisecond, func() { n.Boot(i) })
		})
	}
	for range rng.IntN(6) {
		at := time.Duration(rng.Int64N(int64(40 * time.Second)))
		length := time.Duration(rng.Int64N(int64(12 * time.Second)))
		who := rng.Perm(size)
		switch rng.IntN(6) {
		case 0, 1: // the leader among them, often: it goes on thinking that it leads
			n.After(at, func() { n.Stop(max(0, n.Nodes[who[0]].View(0).Leader), length) })
		case 2:
			side := make(map[int]bool)
			for _, i := range who[:1+rng.IntN(size-1)] {
				side[i] = true
			}
			oneWay := rng.IntN(3) == 0
			n.After(at, func() {
				n.Partitioned = func(from, to int) bool { return side[from] != side[to] && (!oneWay || side[from]) }
				n.After(length, func() { n.Partitioned = nil })
			})
		case 3:
			n.After(at, func() { n.Loss, n.Duplicate, n.MaxDelay = 0.3*rng.Float64(), 0.3, 300*time.Millisecond })
			n.After(at+length, func() { n.Loss, n.Duplicate, n.MaxDelay = 0, 0, 10*time.Millisecond })
		case 4:
			n.After(at, func() { n.Crash(who[0]) })
			n.After(at+length, func() { n.Boot(who[0]) })
		case 5:
			n.After(at, func() { n.HoldUntil = n.Now + 3*time.Second })
		}
	}
	n.Run(55 * time.Second)
	n.Partitioned, n.Loss, n.Duplicate, n.MaxDelay = nil, 0, 0, 10*time.Millisecond
	for i := range n.Nodes {
		n.Boot(i)
	}
	if n.Lost() { // an operator begins anew, and plans anew
		planned = false
		site.Forget()
		// some hold on to a leader that is none for a moment
		if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1<<40); err != nil {
			n.Run(10 * time.Second)
			if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1<<40); err != nil {
				n.Broken = append(n.Broken, err.Error())
			}
		}
	}
	over := func() bool {
		if n.Broken != nil {
			return true
		}
		for _, m := range n.Nodes {
			if s := m.MaintenanceView(m.Time()).State; len(s.Ended) == 0 || len(s.Windows)+len(s.Plans) > 0 {
				return false
			}
		}
		return true
	}
	if !n.Until(5*time.Minute, over) {
		m := n.Nodes[0]
		n.Broken = append(
			n.Broken,
			fmt.Sprintf("5 minutes after all is well: %+v %s", m.MaintenanceView(m.Time()), n.Text()),
		)
	}
	for _, m := range n.Nodes {
		if m.TooLong > 0 {
			n.Broken = append(n.Broken, fmt.Sprintf("%d messages that were too long", m.TooLong))
		}
	}
	return n
}

// Whatever is cut, stopped, crashed, held and lost while machines take their turns: never more are
// out than may be, nobody in contact sends to one that is free or has anything out there, and the
// plan ends.
func TestRounds(t *testing.T) {
	first, last := uint64(1), uint64(*histories/3)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	given, freed, over, sent, astray, longest := 0, 0, 0, 0, 0, 0
	for s := first; s <= last; s++ {
		n := round(s)
		if n.Broken != nil {
			t.Fatalf("seed %d: %s", s, strings.Join(n.Broken[:min(3, len(n.Broken))], "\n"))
		}
		given, freed, over, sent, astray, longest = given+n.Site.Opened, freed+n.Site.Released, over+n.Site.Closed, sent+n.Site.Sent, astray+n.Site.Astray, max(longest, n.Longest)
	}
	t.Logf(
		"%d turns given, %d free, %d over; %d requests, %d to a free machine by one out of contact; the longest message %d bytes",
		given, freed, over, sent, astray, longest,
	)
	if *seed == 0 && (over < 6*int(last) || astray == 0) {
		t.Error("hardly anything happened")
	}
}

// A plan that is paused while the turn of the same number is out: what is told of the plan names no
// machine (the site looks for that), the turn goes on, and nobody goes next.
func TestPausedInATurn(t *testing.T) {
	site := &replicatedstatesim.Site{
		Machines: machinesOf(4), Deadline: 2 * time.Second, Bound: 2, Returns: time.Second,
	}
	n := replicatedstatesim.New(
		replicatedstatesim.Config{Size: 5, Seed: 1, Lease: 3 * time.Second, Rate: 0.01, Site: site},
	)
	n.Run(time.Second)
	m := n.Nodes[0]
	if err := m.Bootstrap(m.Time(), 1); err != nil {
		t.Fatal(err)
	}
	n.Run(15 * time.Second)
	if _, err := m.Plan(m.Time(), fmt.Appendf(nil, roundText, "told")); err != nil {
		t.Fatal(err)
	}
	if !n.Until(20*time.Second, func() bool { return m.MaintenanceState().Window(1) != nil }) {
		t.Fatalf("no turn: %+v", m.MaintenanceView(m.Time()))
	}
	if err := m.Operate(m.Time(), maintenance.Paused, 1); err != nil {
		t.Fatal(err)
	}
	n.Run(20 * time.Second)
	s := m.MaintenanceState()
	if n.Broken != nil || len(s.Plans) != 1 || s.Plans[0].Paused == "" || s.LastWindow != 1 ||
		s.Window(1).Phase != maintenance.Free {
		t.Errorf("%v, %+v", n.Broken, s)
	}
}
