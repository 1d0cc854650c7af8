package replicatedstate_test

import (
	"testing"
	"time"

	"caperarch/internal/lab/replicatedstatesim"
)

// Guards against a leader that removes a live voter on its own side of a partition because the voter's
// reports are sent by way of relays on the other side: the three of five sidecars on the leader's side then
// have no quorum.
func TestPartitionLeavesLargerSideItsQuorum(t *testing.T) {
	for seed := range uint64(60) {
		n := bootstrapped(t, 5, seed)
		leader := n.Nodes[0].View(n.Nodes[0].Time()).Leader
		smaller := map[int]bool{(leader + 1) % 5: true, (leader + 2) % 5: true}
		n.Loss, n.MaxDelay = 0.1, 200*time.Millisecond
		n.Partitioned = func(from, to int) bool { return smaller[from] != smaller[to] }
		n.Run(12 * time.Second)
		m := n.Nodes[leader]
		before := m.View(m.Time()).LastIndex
		proposed := func() bool {
			_, err := m.Propose(m.Time(), replicatedstatesim.Text(1), 0)
			return err == nil
		}
		committed := func() bool { return m.View(m.Time()).LastIndex > before }
		if !n.RunUntil(15*time.Second, proposed) || !n.RunUntil(15*time.Second, committed) || n.Violations != nil {
			t.Errorf("seed %d: three of five sidecars commit nothing, violations %v%s", seed, n.Violations, n.Text())
		}
	}
}

// Guards against removing a voter before a replacement exists: four voters tolerate no more losses than five
// voters of which one is silent, and a later partition can leave three of five processes with two of four
// voters.
func TestSilentVoterStaysUntilReplaced(t *testing.T) {
	for seed := range uint64(30) {
		n := bootstrapped(t, 5, seed)
		silent := int(seed % 5)
		n.Stop(silent, 5*time.Second)
		n.Run(5 * time.Second)
		other := n.Nodes[(silent+1)%5]
		if voters := other.View(other.Time()).Voters; len(voters) != 5 {
			t.Errorf("seed %d: while sidecar %d was silent the voters became %v, want all five", seed, silent, voters)
		}
	}
}
