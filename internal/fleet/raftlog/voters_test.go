package raftlog_test

import (
	"slices"
	"testing"
	"time"

	"caperarch/internal/fleet/raftlog"
)

// Guards against a leader that is removed from the voters but keeps leading: it can't commit entries, and its
// heartbeats would prevent an election.
func TestRemovedLeaderStepsDown(t *testing.T) {
	elected := 0
	for s := range uint64(40) {
		n := bootstrapped(t, 5, s)
		n.Run(3 * time.Second)
		first := n.Leader()
		next := (first + 1 + int(s)%4) % 5
		// messages of the first leader arrive, the answers to it are lost
		n.Partitioned = func(_, to int) bool { return to == first }
		n.Nodes[first].UpdateVoters(n.Now, func(voter raftlog.Voter) bool { return voter.Number == next }, nil)
		n.Run(50 * time.Millisecond)
		n.Crash(first)
		n.Partitioned = nil
		if !n.RunUntil(20*time.Second, func() bool { return n.Leader() >= 0 }) {
			t.Fatalf("seed %d: no leader 20 s after the crash of the first one", s)
		}
		if n.Leader() != next {
			continue
		}
		elected++
		n.Run(10 * time.Second)
		if leader := n.Leader(); leader < 0 || !n.Nodes[leader].IsVoter() {
			t.Fatalf("seed %d: %d still leads after its removal from the voters", s, leader)
		}
		if err := n.Nodes[next].Propose(n.Now, []byte("beyond")); err != nil {
			t.Fatal(err)
		}
		n.Run(10 * time.Second)
		if all := n.AppliedEntries(1); !slices.Contains(all, "beyond") {
			t.Fatalf("seed %d: an entry was not committed within 10 s, the log is %q", s, all)
		}
	}
	if elected < 3 {
		t.Errorf("the removed voter was elected in %d of 40 runs, want at least 3", elected)
	}
}

// Guards against a voter change that leaves the leader's side of a partition without a quorum, whichever
// voters are assumed to be lost.
func TestNoVoterChangeWithoutQuorumInContact(t *testing.T) {
	for seed := range uint64(20) {
		n := bootstrapped(t, 5, seed)
		leader := n.Leader()
		smaller := map[int]bool{(leader + 1) % 5: true, (leader + 2) % 5: true}
		n.Partitioned = func(from, to int) bool { return smaller[from] != smaller[to] }
		n.Run(5 * time.Second)
		ownSide := func(voter raftlog.Voter) bool { return voter.Number == (leader+3)%5 }
		n.Nodes[leader].UpdateVoters(n.Now, ownSide, nil)
		n.Run(5 * time.Second)
		if voters := n.Nodes[leader].Voters(); len(voters) != 5 {
			t.Errorf("seed %d: leader %d, cut off from %v, changed the voters to %v", seed, leader, smaller, voters)
		}
	}
}
