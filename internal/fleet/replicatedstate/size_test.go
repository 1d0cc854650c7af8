package replicatedstate_test

import (
	"testing"
	"time"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/lab/replicatedstatesim"
)

// Checks the traffic and the duration of policy changes in a fleet of three hundred sidecars with a bandwidth
// budget: bytes per second without a change, and changes without faults, with 10 % message loss and with a
// tenth of the sidecars down.
func TestThreeHundredSidecars(t *testing.T) {
	const size, budget = 300, 1200.0 // bytes per second: what swim leaves of 2,048
	n := replicatedstatesim.New(
		replicatedstatesim.Config{Size: size, Seed: 3, Lease: 15 * time.Second, Rate: 0.001, BytesPerSecond: budget},
	)
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1<<56); err != nil {
		t.Fatal(err)
	}
	n.StartChecks(50 * time.Millisecond)
	if !n.RunUntil(2*time.Minute, n.Converged) {
		t.Fatalf("the fleet has not converged within 2 minutes: %s", n.Text())
	}
	t.Logf("all sidecars apply the log's policy %v after Bootstrap", n.Now-time.Hour-time.Second)
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
		"at rest, bytes per second: %.0f on average, leader %.0f, other voters up to %.0f; unsent messages: %d",
		sum, leader, voter, n.RateLimited,
	)
	if most > budget*0.9 || len(v.Voters) != raftlog.VotersFor(size) {
		t.Errorf("up to %.0f bytes/s, want 90 %% of the budget at most; voters %v, want VotersFor", most, v.Voters)
	}
	change := func(name string, number int, within time.Duration, maxCutOff int) {
		t.Helper()
		m, start, bytes, messages := n.Nodes[n.Rng.IntN(size)], n.Now, n.Bytes, n.Messages
		for !m.Running() {
			m = n.Nodes[n.Rng.IntN(size)]
		}
		ref, err := m.Propose(m.Time(), replicatedstatesim.Text(number), m.View(m.Time()).State.Current.Version)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		cut := 0
		applied := func() bool {
			cut = 0
			for _, m := range n.Nodes {
				switch active := m.Node.Active(m.Time()); {
				case !m.Running():
				case active.Mode == policyrollout.CutOff:
					cut++
				case active.Mode != policyrollout.OneVersion || active.New != ref:
					return false
				}
			}
			return cut <= maxCutOff
		}
		if !n.RunUntil(within, func() bool { return n.Violations != nil || applied() }) || n.Violations != nil {
			t.Fatalf("%s: new version not applied within %v, violations %v: %s", name, within, n.Violations, n.Text())
		}
		took := n.Now - start
		if !n.RunUntil(time.Minute, n.Converged) {
			t.Fatalf("%s: the fleet has not converged a minute after the change: %s", name, n.Text())
		}
		t.Logf(
			"%s: new version applied after %v, %d cut off then; converged after %v; sent %d messages, %d KiB",
			name, took, cut, n.Now-start, n.Messages-messages, (n.Bytes-bytes)>>10,
		)
	}
	change("no fault", 1, 3*time.Second, 0)
	n.Loss = 0.1
	change("10 % loss", 2, 15*time.Second, size/20)
	n.Loss = 0
	for i := range size / 10 {
		n.Crash(10*i + 5)
	}
	change("a tenth of the sidecars down", 3, 18*time.Second, 0)
}
