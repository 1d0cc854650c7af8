package replicatedstate_test

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/lab/replicatedstatesim"
)

var (
	seed      = flag.Uint64("seed", 0, "run only the history with this seed")
	histories = flag.Int("histories", 150, "number of histories to run")
)

// runPolicyHistory runs a fleet of five to nine sidecars through random faults while operators propose and
// abort policy changes. It reports whether the faults destroyed a majority of the voters, so that the log was
// lost.
func runPolicyHistory(seed uint64) (n *replicatedstatesim.Net, lost bool) {
	size := 5 + int(seed%5)
	n = replicatedstatesim.New(
		replicatedstatesim.Config{Size: size, Seed: seed, Lease: 3 * time.Second, Rate: 0.01, Disks: seed%3 == 0},
	)
	rng := n.Rng
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1); err != nil {
		n.Violations = append(n.Violations, err.Error())
	}
	n.StartChecks(20 * time.Millisecond)
	n.Run(20 * time.Second)
	for range rng.IntN(6) {
		at := time.Duration(rng.Int64N(int64(40 * time.Second)))
		length := time.Duration(rng.Int64N(int64(12 * time.Second)))
		who := rng.Perm(size)
		switch rng.IntN(7) {
		case 0:
			n.After(at, func() { n.Stop(who[0], length) })
		case 1, 2:
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
		case 6: // 70 % of the sidecars at once, so that a majority of the voters may be lost
			for _, i := range who[:size*7/10] {
				n.After(at, func() { n.Crash(i) })
				n.After(at+length, func() { n.Boot(i) })
			}
		}
	}
	for k := range 6 {
		m := n.Nodes[rng.IntN(size)]
		n.After(time.Duration(rng.Int64N(int64(45*time.Second))), func() {
			if !m.Running() {
				return
			}
			if rng.IntN(5) == 0 {
				n.RejectedPolicies[[2]int{rng.IntN(size), k}] = true
			}
			text := replicatedstatesim.Text(k)
			if rng.IntN(4) == 0 { // a long text, which is distributed before the change is proposed
				for len(text) < 2000 {
					text = append(text, fmt.Sprintf("# %x\n", rng.Uint64())...)
				}
			}
			if _, err := m.Propose(m.Time(), text, m.View(m.Time()).State.Current.Version); err != nil {
				n.Counts["not proposable"]++
			} else if rng.IntN(5) == 0 {
				n.After(time.Duration(rng.Int64N(int64(time.Second))), func() {
					if m.Running() {
						_, _ = m.Abort(m.Time())
					}
				})
			}
		})
	}
	n.Run(60 * time.Second)
	n.Partitioned, n.Loss, n.Duplicate, n.MaxDelay = nil, 0, 0, 10*time.Millisecond
	for at := range n.RejectedPolicies { // restart the sidecars that could not apply a policy, with corrected settings
		n.Crash(at[0])
	}
	n.RejectedPolicies = make(map[[2]int]bool)
	for i := range n.Nodes {
		n.Boot(i)
	}
	brokenOrConverged := func() bool { return n.Violations != nil || n.Converged() }
	if lost = n.LogLost(); lost && rng.IntN(2) == 0 {
		n.Run(time.Duration(rng.Int64N(int64(10 * time.Second))))
	}
	if lost && n.Disks {
		n.Violations = append(n.Violations, "the log is lost although all disks are intact:"+n.Text())
	}
	if lost {
		// An operator bootstraps a new log at any sidecar. No sidecar may apply the old log's policy alone
		// while another applies the new log's policy alone.
		m := n.Nodes[rng.IntN(size)]
		// for a short time some sidecars still believe in the lost leader
		if err := m.Bootstrap(m.Time(), 1<<40); err != nil && !errors.Is(err, raftlog.ErrLogExists) {
			n.Violations = append(n.Violations, err.Error())
		} else if err != nil {
			n.Run(10 * time.Second)
			_ = m.Bootstrap(m.Time(), 1<<40)
		}
	}
	// the offer of a text that no live sidecar has is aborted after a minute
	if !n.RunUntil(110*time.Second, brokenOrConverged) {
		n.Violations = append(n.Violations, "not converged 110 s after the last fault:"+n.Text())
	}
	for _, m := range n.Nodes {
		if m.OversizedMessages > 0 {
			n.Violations = append(n.Violations, fmt.Sprintf("%d oversized messages, want none", m.OversizedMessages))
		}
	}
	return n, lost
}

// Guards against sidecars that apply different policies alone at the same time, and against a fleet that does
// not converge on one policy after partitions, pauses, crashes, delays and message loss during policy
// changes.
func TestPolicyChangesUnderFaults(t *testing.T) {
	first, last := uint64(1), uint64(*histories)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	sum, lost, both, cut, longest := make(map[string]int), 0, 0, 0, 0
	for s := first; s <= last; s++ {
		n, logLost := runPolicyHistory(s)
		if n.Violations != nil {
			t.Fatalf("seed %d: %s", s, strings.Join(n.Violations, "\n"))
		}
		if logLost {
			lost++
		}
		for event, times := range n.Counts {
			sum[event] += times
		}
		both, cut, longest = both+n.BothSamples, cut+n.CutOffSamples, max(longest, n.LongestMessage)
	}
	t.Logf(
		"events %v; samples: %d apply both versions, %d cut off; logs lost: %d; longest message: %d bytes",
		sum, both, cut, lost, longest,
	)
	if *seed == 0 &&
		(sum["taken"] < *histories || sum["called off"] < *histories/10 ||
			sum["not proposable"] < *histories/10 || both == 0 || cut == 0) {
		t.Error("too few changes committed, aborted or rejected, or no sidecar applied both versions or was cut off")
	}
}
