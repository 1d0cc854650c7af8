package raftlog_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/lab/raftlogsim"
)

var (
	seed      = flag.Uint64("seed", 0, "run only the history with this seed")
	histories = flag.Int("histories", 150, "number of histories to run")
)

// bootstrapped returns a fleet with a log that has all its voters.
func bootstrapped(t *testing.T, size int, seed uint64) *raftlogsim.Net {
	t.Helper()
	return bootstrap(t, raftlogsim.New(size, seed), seed)
}

// bootstrap starts a log in a fleet, and returns the fleet once the log has all its voters.
func bootstrap(t *testing.T, n *raftlogsim.Net, seed uint64) *raftlogsim.Net {
	t.Helper()
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Now, 1); err != nil {
		t.Fatal(err)
	}
	if !n.RunUntil(20*time.Second, func() bool { return converged(n) }) {
		t.Fatalf("seed %d: not converged after 20 s: %d voters, leader %d", seed, len(n.Nodes[0].Voters()), n.Leader())
	}
	return n
}

// converged reports whether all live sidecars have logs of the same length with the full number of voters,
// and one of them leads.
func converged(n *raftlogsim.Net) bool {
	have := uint64(0)
	for _, m := range n.Nodes {
		if !m.Running() {
			continue
		}
		if have == 0 {
			have = m.LastIndex()
		}
		if m.LastIndex() != have || m.Epoch() == 0 || len(m.Voters()) != raftlog.VotersFor(n.Size) {
			return false
		}
	}
	return n.Leader() >= 0
}

// Guards against a committed entry that does not reach all sidecars, and against messages that are too long
// for a datagram.
func TestEntryReachesAllSidecars(t *testing.T) {
	for _, size := range []int{1, 2, 3, 5, 9, 30} {
		n := bootstrapped(t, size, uint64(size))
		applied := 0
		for _, m := range n.Nodes {
			m.OnApplied = func(raftlog.Entry) { applied++ }
		}
		if err := n.Nodes[size-1].Propose(n.Now, []byte("first")); err != nil {
			t.Fatal(err)
		}
		start := n.Now
		if !n.RunUntil(20*time.Second, func() bool { return applied == size }) {
			t.Fatalf("%d of %d sidecars applied the entry within 20 s", applied, size)
		}
		t.Logf(
			"%d sidecars: applied by all after %v, %d messages in total, the longest about %d bytes",
			size, n.Now-start, n.Sent, n.LongestMessage,
		)
		if n.LongestMessage > 215 { // a datagram of 256 bytes without its envelope
			t.Errorf("a message has %d bytes, want at most 215", n.LongestMessage)
		}
	}
}

// operation is a compare-and-set operation of a sidecar: it sets the register to value if the register holds
// base.
type operation struct{ base, value int }

// register models the log as a compare-and-set register: an operation succeeds if the register holds its
// base.
var register = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		op, succeeded := in.(operation), out.(bool)
		if state.(int) == op.base {
			return succeeded, op.value
		}
		return !succeeded, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// runHistory runs a fleet of five to nine sidecars through random faults while sidecars propose
// compare-and-set operations based on their local value of the register. porcupine checks that the history is
// linearizable.
func runHistory(t *testing.T, seed uint64) (broken []string, sum tally) {
	size := 5 + int(seed%5)
	n := raftlogsim.New(size, seed)
	if seed%3 == 0 { // the sidecars have persistent disks
		n.NewDisks()
	}
	bootstrap(t, n, seed)
	rng := rand.New(rand.NewPCG(seed, 6))
	value := make([]int, size)
	var ops []porcupine.Operation
	last := 0
	watch := func(i int, own *operation, done func(succeeded bool)) func(raftlog.Entry) {
		return func(e raftlog.Entry) {
			var op operation
			_, _ = fmt.Sscanf(string(e.Data), "%d %d", &op.base, &op.value)
			succeeded := op.base == value[i]
			if succeeded {
				value[i] = op.value
			}
			if own != nil && op == *own {
				done(succeeded)
				own = nil
			}
		}
	}
	for i, m := range n.Nodes {
		m.OnApplied = watch(i, nil, nil)
	}
	// Random faults. If they destroy a majority of the voters before these are replaced, the log is lost,
	// which its guarantees allow.
	for range 1 + rng.IntN(5) {
		at := time.Duration(rng.Int64N(int64(20 * time.Second)))
		length := time.Duration(rng.Int64N(int64(8 * time.Second)))
		who := rng.Perm(size)
		switch rng.IntN(4) {
		case 0:
			n.After(at, func() { n.Stop(who[0], length) })
		case 1:
			side := make(map[int]bool)
			for _, i := range who[:1+rng.IntN(size-1)] {
				side[i] = true
			}
			oneWay := rng.IntN(2) == 0
			n.After(at, func() {
				n.Partitioned = func(from, to int) bool { return side[from] != side[to] && (!oneWay || side[from]) }
				n.After(length, func() { n.Partitioned = nil })
			})
		case 2:
			n.After(at, func() { n.Loss, n.Duplicate, n.MaxDelay = 0.3*rng.Float64(), 0.3, 300*time.Millisecond })
			n.After(at+length, func() { n.Loss, n.Duplicate, n.MaxDelay = 0, 0, 10*time.Millisecond })
		case 3:
			i := who[0]
			n.After(at, func() { n.Crash(i) })
			n.After(at+length, func() {
				if !n.Nodes[i].Down {
					return // the end of another fault has already restarted it
				}
				value[i] = 0 // the process starts with no state and applies the log from its beginning
				n.Boot(i)
				n.Nodes[i].OnApplied = watch(i, nil, nil)
			})
		}
	}
	for k := range 12 {
		i := rng.IntN(size)
		n.After(time.Duration(rng.Int64N(int64(25*time.Second))), func() {
			m := n.Nodes[i]
			if !m.Running() {
				return
			}
			last++
			op := operation{value[i], 100*valueOffset(seed) + last}
			if m.Propose(n.Now, fmt.Appendf(nil, "%d %d", op.base, op.value)) != nil {
				return
			}
			at := len(ops)
			ops = append(
				ops,
				porcupine.Operation{ClientId: k, Input: op, Call: int64(n.Now), Output: true, Return: -1},
			)
			m.OnApplied = watch(i, &op, func(succeeded bool) { ops[at].Output, ops[at].Return = succeeded, int64(n.Now) })
		})
	}
	n.Run(35 * time.Second)
	n.Partitioned, n.Loss, n.Duplicate, n.MaxDelay = nil, 0, 0, 10*time.Millisecond
	hasConverged := n.RunUntil(30*time.Second, func() bool { return converged(n) })
	lost := !hasConverged && n.LogLost()
	if !hasConverged && !lost {
		text := ""
		for i, m := range n.Nodes {
			text += fmt.Sprintf(
				" n%d alive %v, last index %d of epoch %d, leads %v, votes %v, voters %v;", i, m.Running(),
				m.LastIndex(), m.Epoch(), m.IsLeader(), m.IsVoter(), m.Voters(),
			)
		}
		broken = append(broken, "logs or voters differ 30 s after the last fault:"+text)
	}
	var known []porcupine.Operation
	for _, op := range ops {
		if op.Return >= 0 {
			known = append(known, op)
		}
	}
	// An operation without an answer may have taken effect at any time or not at all. Those that the final
	// log applies are included with an open end.
	for _, op := range ops {
		if op.Return < 0 && committed(n, op.Input.(operation)) {
			op.Return, op.Output = int64(n.Now)+1, true
			known = append(known, op)
		}
	}
	if !porcupine.CheckOperations(register, known) {
		broken = append(broken, fmt.Sprintf("not linearizable: %+v", known))
	}
	sum.proposed = len(ops)
	for _, op := range ops {
		if op.Return >= 0 && op.Output.(bool) {
			sum.succeeded++
		} else if op.Return >= 0 {
			sum.rejected++
		}
	}
	if lost {
		sum.lost = 1
	}
	return append(broken, n.Violations...), sum
}

// tally counts the outcomes of operations, to check that the histories exercise the log.
type tally struct{ proposed, succeeded, rejected, lost int }

// valueOffset keeps the values of different seeds apart.
func valueOffset(seed uint64) int { return int(seed % 1000) }

// committed replays the log on the register model, and reports whether an operation succeeded.
func committed(n *raftlogsim.Net, op operation) bool {
	value := 0
	for _, e := range n.AppliedEntries(1) {
		var x operation
		if c, _ := fmt.Sscanf(e, "%d %d", &x.base, &x.value); c == 2 && x.base == value {
			if value = x.value; x == op {
				return true
			}
		}
	}
	return false
}

// Guards against histories that are not linearizable, and against logs that do not converge after the last
// fault.
func TestHistories(t *testing.T) {
	first, last := uint64(1), uint64(*histories)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	var all tally
	for s := first; s <= last; s++ {
		broken, sum := runHistory(t, s)
		if broken != nil {
			t.Fatalf("seed %d: %v", s, broken)
		}
		all = tally{
			all.proposed + sum.proposed, all.succeeded + sum.succeeded, all.rejected + sum.rejected,
			all.lost + sum.lost,
		}
	}
	if t.Logf("%+v", all); *seed == 0 && (all.succeeded < *histories || all.rejected < *histories/4) {
		t.Error("too few operations succeeded or were rejected to exercise the log")
	}
}

// Guards against a leader that is not confirmed within 1.5 s, against sidecars that do not learn who leads,
// and against confirmations of a leader without a quorum.
func TestLeaderConfirmation(t *testing.T) {
	n := bootstrapped(t, 9, 4)
	n.Run(1500 * time.Millisecond)
	leader := n.Nodes[n.Leader()]
	if at, index := leader.LastQuorumAck(); at < n.Now-1500*time.Millisecond || index == 0 {
		t.Errorf("leader confirmed %v ago at index %d, want at most 1.5 s and an index above 0", n.Now-at, index)
	}
	for i, m := range n.Nodes {
		if m.Leader() != n.Leader() {
			t.Errorf("n%d reports %d as the leader, want %d", i, m.Leader(), n.Leader())
		}
	}
	isolated := n.Leader()
	n.Partitioned = func(from, to int) bool { return from == isolated || to == isolated }
	n.Run(10 * time.Second)
	if at, _ := leader.LastQuorumAck(); n.Now-at < 8*time.Second && at > 0 {
		t.Errorf("a leader without contact for 10 s was confirmed %v ago, want at least 8 s", n.Now-at)
	}
}

// Guards against duplicate entries: the proposal of a sidecar that receives nothing is repeated, but must be
// in the log once.
func TestRepeatedProposalIsCommittedOnce(t *testing.T) {
	for _, votes := range []bool{true, false} {
		checkRepeatedProposal(t, votes)
	}
}

// checkRepeatedProposal cuts off the messages to a sidecar, a voter or not, and has the sidecar propose an
// entry.
func checkRepeatedProposal(t *testing.T, votes bool) {
	n := bootstrapped(t, 9, 2)
	proposer := 0
	for n.Nodes[proposer].IsVoter() != votes || proposer == n.Leader() {
		proposer++
	}
	n.Partitioned = func(_, to int) bool { return to == proposer }
	before := n.Nodes[n.Leader()].LastIndex()
	if err := n.Nodes[proposer].Propose(n.Now, []byte("again")); err != nil {
		t.Fatal(err)
	}
	n.Run(40 * time.Second)
	times := 0
	for _, e := range n.AppliedEntries(1) {
		if e == "again" {
			times++
		}
	}
	if grown := n.Nodes[n.Leader()].LastIndex() - before; times != 1 || grown > 8 {
		t.Errorf("entry committed %d times, want once; the log has grown by %d, want at most 8", times, grown)
	}
}
