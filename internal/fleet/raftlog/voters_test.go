package raftlog_test

import (
	"slices"
	"testing"
	"time"

	"caperarch/internal/fleet/raftlog"
)

// A leader that the log takes its seat from stands down: it can add nothing any more, and as long
// as it is heard nobody else stands for election.
func TestLeaderWithoutSeat(t *testing.T) {
	tried := 0
	for s := range uint64(40) {
		n := founded(t, 5, s)
		n.Run(3 * time.Second)
		first := n.Leader()
		next := (first + 1 + int(s)%4) % 5
		// what it sends arrives, what it is answered does not
		n.Partitioned = func(_, to int) bool { return to == first }
		n.Nodes[first].UpdateVoters(n.Now, func(seat raftlog.Voter) bool { return seat.Number == next }, nil)
		n.Run(50 * time.Millisecond)
		n.Crash(first)
		n.Partitioned = nil
		if !n.Until(20*time.Second, func() bool { return n.Leader() >= 0 }) {
			t.Fatalf("seed %d: nobody leads", s)
		}
		if n.Leader() != next {
			continue
		}
		tried++
		n.Run(10 * time.Second)
		if leader := n.Leader(); leader < 0 || !n.Nodes[leader].IsVoter() {
			t.Fatalf("seed %d: %d leads, its seat was taken", s, leader)
		}
		if err := n.Nodes[next].Propose(n.Now, []byte("beyond")); err != nil {
			t.Fatal(err)
		}
		n.Run(10 * time.Second)
		if all := n.Agreed(1); !slices.Contains(all, "beyond") {
			t.Fatalf("seed %d: nothing can be added: %q", s, all)
		}
	}
	if tried < 3 {
		t.Errorf("it came to it %d times", tried)
	}
}

// Guards against a change that leaves the leader's side of a partition without a quorum, whatever is taken for lost.
func TestNoVoterChangeWithoutQuorumInContact(t *testing.T) {
	for seed := range uint64(20) {
		n := founded(t, 5, seed)
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
