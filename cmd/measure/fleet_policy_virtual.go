package main

import (
	"fmt"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/replicatedstatesim"
)

// virtualChange measures policy changes of size sidecars in virtual time. Each sidecar has a budget of 2,048 bytes per
// second.
func virtualChange(size int) string {
	lease := swim.LeaseFor(size)
	n := replicatedstatesim.New(replicatedstatesim.Config{Size: size, Seed: 1, Lease: lease, Rate: 0.001,
		BytesPerSecond: 2048})
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1<<56); err != nil {
		return err.Error()
	}
	one := func(version uint32) func(policyrollout.Active) bool {
		return func(goes policyrollout.Active) bool {
			return goes.Mode == policyrollout.OneVersion && goes.New.Version == version
		}
	}
	began, out := untilPolicy(n, 3*lease+time.Minute, one(0))
	if out > 0 {
		return fmt.Sprintf("virtual, %d sidecars: %v after the start %d of them do not apply the log's policy",
			size, began, out)
	}
	n.Run(lease)
	bytes := n.Bytes
	n.Run(lease)
	rest := float64(n.Bytes-bytes) / lease.Seconds() / float64(size)
	text := fmt.Sprintf("virtual, %d sidecars (lease %v): all apply the log's policy %v after its start, %.0f "+
		"bytes/s per sidecar without changes", size, lease, began.Round(time.Second), rest)
	for k, c := range []struct {
		name   string
		begin  func()
		within time.Duration
	}{
		{"calm", func() {}, lease + time.Minute},
		{"a tenth down", func() {
			for i := range size / 10 {
				n.Crash(10*i + 5)
			}
		}, 2*lease + time.Minute},
	} {
		c.begin()
		m := n.Nodes[1]
		if _, err := m.Propose(m.Time(), replicatedstatesim.Text(k), uint32(k)); err != nil {
			return text + "; " + c.name + ": " + err.Error()
		}
		took, out := untilPolicy(n, c.within, one(uint32(k+1)))
		text += fmt.Sprintf("; %s: in force at all but %d after %.1f s", c.name, out, took.Seconds())
		busy := func() bool { v := m.View(m.Time()); return v.State.InProgress() != 0 }
		for end := n.Now + lease; n.Now < end && busy(); {
			n.Run(time.Second)
		}
	}
	return text
}

// untilPolicy runs the simulation until a condition holds for the active policy of each living node. It returns the
// time that this took, and the number of nodes for which the condition did not hold in the end.
func untilPolicy(n *replicatedstatesim.Net, within time.Duration,
	holds func(goes policyrollout.Active) bool) (time.Duration, int) {
	begun := n.Now
	for {
		missing := 0
		for _, m := range n.Nodes {
			if m.Running() && !holds(m.Node.Active(m.Time())) {
				missing++
			}
		}
		if missing == 0 || n.Now-begun > within {
			return n.Now - begun, missing
		}
		n.Run(100 * time.Millisecond)
	}
}
