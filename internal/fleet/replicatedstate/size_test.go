package replicatedstate_test

import (
	"testing"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/lab/replicatedstatesim"
)

// Three hundred, each with the bytes that the link lets it send: what a change takes, calm, with
// loss, and with a tenth down; and what all cost at rest.
func TestThreeHundred(t *testing.T) {
	const size, budget = 300, 1200.0 // of 2,048 a second: what swim leaves
	n := replicatedstatesim.New(
		replicatedstatesim.Config{Size: size, Seed: 3, Lease: 15 * time.Second, Rate: 0.001, BytesPerSecond: budget},
	)
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1<<56); err != nil {
		t.Fatal(err)
	}
	n.Watch(50 * time.Millisecond)
	if !n.Until(2*time.Minute, n.Converged) {
		t.Fatalf("not all go by the log: %s", n.Text())
	}
	t.Logf("all go by the log %v after it was founded", n.Now-time.Hour-time.Second)
	n.Run(time.Minute)
	before := make([]int, size)
	for i, m := range n.Nodes {
		before[i] = m.Bytes
	}
	n.Run(time.Minute)
	leader, voter, most, sum := 0.0, 0.0, 0.0, 0.0
	v := n.Nodes[0].View(n.Nodes[0].Time())
	for i, m := range n.Nodes {
		rate := float64(m.Bytes-before[i]) / 60
		sum += rate / size
		most = max(most, rate)
		if i == v.Leader {
			leader = rate
		}
		for _, s := range v.Voters {
			if s.Number == i && i != v.Leader {
				voter = max(voter, rate)
			}
		}
	}
	t.Logf(
		"at rest, bytes a second: %.0f on average, the leader %.0f, a voter up to %.0f; spared %d",
		sum, leader, voter, n.Spared,
	)
	if most > budget*0.9 || len(v.Voters) != raftlog.VotersFor(size) {
		t.Errorf("%.0f bytes a second, voters %v", most, v.Voters)
	}
	change := func(name string, number int, within time.Duration, cutMost int) {
		t.Helper()
		m, begun, bytes, messages := n.Nodes[n.Rng.IntN(size)], n.Now, n.Bytes, n.Messages
		for !m.Lives() {
			m = n.Nodes[n.Rng.IntN(size)]
		}
		ref, err := m.Propose(m.Time(), replicatedstatesim.Text(number), m.View(m.Time()).State.Current.Version)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		cut := 0
		by := func() bool {
			cut = 0
			for _, m := range n.Nodes {
				switch goes := m.Node.Active(m.Time()); {
				case !m.Lives():
				case goes.Mode == policyrollout.CutOff:
					cut++
				case goes.Mode != policyrollout.One || goes.New != ref:
					return false
				}
			}
			return cut <= cutMost
		}
		if !n.Until(within, func() bool { return n.Broken != nil || by() }) || n.Broken != nil {
			t.Fatalf("%s: not within %v: %v %s", name, within, n.Broken, n.Text())
		}
		took := n.Now - begun
		if !n.Until(time.Minute, n.Converged) {
			t.Fatalf("%s: it does not settle: %s", name, n.Text())
		}
		t.Logf("%s: all by the new one after %v, %d cut off then; nothing under way and nobody cut off after %v; %d messages, %d KiB over the fleet", name, took, cut, n.Now-begun,
			n.Messages-messages, (n.Bytes-bytes)>>10)
	}
	change("calm", 1, 3*time.Second, 0)
	n.Loss = 0.1
	change("a tenth lost", 2, 15*time.Second, size/20)
	n.Loss = 0
	for i := range size / 10 {
		n.Crash(10*i + 5)
	}
	change("a tenth down", 3, 18*time.Second, 0)
}
