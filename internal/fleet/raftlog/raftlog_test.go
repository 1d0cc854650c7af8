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
	seed      = flag.Uint64("seed", 0, "play the history of this seed alone")
	histories = flag.Int("histories", 150, "how many are played")
)

// founded is a fleet whose log has all its voters.
func founded(t *testing.T, size int, seed uint64) *raftlogsim.Net {
	t.Helper()
	return foundedOn(t, raftlogsim.New(size, seed), seed)
}

func foundedOn(t *testing.T, n *raftlogsim.Net, seed uint64) *raftlogsim.Net {
	t.Helper()
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Now, 1); err != nil {
		t.Fatal(err)
	}
	if !n.Until(20*time.Second, func() bool { return complete(n) }) {
		t.Fatalf("seed %d: after 20 s %d seats, leader %d", seed, len(n.Nodes[0].Voters()), n.Leader())
	}
	return n
}

// complete says whether all that run have the same log with all its voters, which run.
func complete(n *raftlogsim.Net) bool {
	have := uint64(0)
	for _, m := range n.Nodes {
		if !m.Lives() {
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

func TestFoundedAndFollowed(t *testing.T) {
	for _, size := range []int{1, 2, 3, 5, 9, 30} {
		n := founded(t, size, uint64(size))
		heard := 0
		for _, m := range n.Nodes {
			m.Heard = func(raftlog.Entry) { heard++ }
		}
		if err := n.Nodes[size-1].Propose(n.Now, []byte("first")); err != nil {
			t.Fatal(err)
		}
		begun := n.Now
		if !n.Until(20*time.Second, func() bool { return heard == size }) {
			t.Fatalf("%d of %d have it", heard, size)
		}
		t.Logf(
			"%d sidecars: known to all after %v, %d messages in all, the longest of some %d bytes",
			size, n.Now-begun, n.Sent, n.Longest,
		)
		if n.Longest > 215 { // of 256, less what stands round it
			t.Errorf("a message of %d bytes", n.Longest)
		}
	}
}

// operation is a sidecar's compare and set: a new value where the last one is as it says.
type operation struct{ base, value int }

// register is what the log makes of them: of entries in their order, those whose base is the last
// one's value hold.
var register = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		op, held := in.(operation), out.(bool)
		if state.(int) == op.base {
			return held, op.value
		}
		return !held, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// history has a fleet of five to nine live through faults while its sidecars set a register, each
// by what it has itself; the whole is checked by porcupine.
func history(t *testing.T, seed uint64) (broken []string, sum sums) {
	size := 5 + int(seed%5)
	n := raftlogsim.New(size, seed)
	if seed%3 == 0 { // machines have disks that last
		n.NewDisks()
	}
	foundedOn(t, n, seed)
	rng := rand.New(rand.NewPCG(seed, 6))
	value := make([]int, size)
	var ops []porcupine.Operation
	last := 0
	watch := func(i int, mine *operation, done func(held bool)) func(raftlog.Entry) {
		return func(e raftlog.Entry) {
			var op operation
			_, _ = fmt.Sscanf(string(e.Data), "%d %d", &op.base, &op.value)
			held := op.base == value[i]
			if held {
				value[i] = op.value
			}
			if mine != nil && op == *mine {
				done(held)
				mine = nil
			}
		}
	}
	for i, m := range n.Nodes {
		m.Heard = watch(i, nil, nil)
	}
	// Faults: at most a minority of the voters is lost within the time that it takes to replace
	// them, else the log is lost by its own promise.
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
					return // another fault's end came first
				}
				value[i] = 0 // it has forgotten all, and hears the log from its beginning
				n.Boot(i)
				n.Nodes[i].Heard = watch(i, nil, nil)
			})
		}
	}
	for k := range 12 {
		i := rng.IntN(size)
		n.After(time.Duration(rng.Int64N(int64(25*time.Second))), func() {
			m := n.Nodes[i]
			if !m.Lives() {
				return
			}
			last++
			op := operation{value[i], 100*seed2(seed) + last}
			if m.Propose(n.Now, fmt.Appendf(nil, "%d %d", op.base, op.value)) != nil {
				return
			}
			at := len(ops)
			ops = append(
				ops,
				porcupine.Operation{ClientId: k, Input: op, Call: int64(n.Now), Output: true, Return: -1},
			)
			m.Heard = watch(i, &op, func(held bool) { ops[at].Output, ops[at].Return = held, int64(n.Now) })
		})
	}
	n.Run(35 * time.Second)
	n.Partitioned, n.Loss, n.Duplicate, n.MaxDelay = nil, 0, 0, 10*time.Millisecond
	settled := n.Until(30*time.Second, func() bool { return complete(n) })
	lost := !settled && n.Lost()
	if !settled && !lost {
		text := ""
		for i, m := range n.Nodes {
			text += fmt.Sprintf(
				" n%d lives %v has %d of epoch %d, leads %v, votes %v, seats %v;", i, m.Lives(),
				m.LastIndex(), m.Epoch(), m.IsLeader(), m.IsVoter(), m.Voters(),
			)
		}
		broken = append(broken, "30 s after all is well logs or voters differ:"+text)
	}
	var known []porcupine.Operation
	for _, op := range ops {
		if op.Return >= 0 {
			known = append(known, op)
		}
	}
	// What has not come back may hold at any time, or never: both are tried with porcupine's
	// partial histories by leaving it open to the end.
	for _, op := range ops {
		if op.Return < 0 && taken(n, op.Input.(operation)) {
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
			sum.held++
		} else if op.Return >= 0 {
			sum.refused++
		}
	}
	if lost {
		sum.lost = 1
	}
	return append(broken, n.Broken...), sum
}

// sums say whether histories were worth looking at.
type sums struct{ proposed, held, refused, lost int }

func seed2(seed uint64) int { return int(seed % 1000) }

// taken replays the log as the register that it is, and says whether an operation held in it.
func taken(n *raftlogsim.Net, op operation) bool {
	value := 0
	for _, e := range n.Agreed(1) {
		var x operation
		if c, _ := fmt.Sscanf(e, "%d %d", &x.base, &x.value); c == 2 && x.base == value {
			if value = x.value; x == op {
				return true
			}
		}
	}
	return false
}

func TestHistories(t *testing.T) {
	first, last := uint64(1), uint64(*histories)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	var all sums
	for s := first; s <= last; s++ {
		broken, sum := history(t, s)
		if broken != nil {
			t.Fatalf("seed %d: %v", s, broken)
		}
		all = sums{all.proposed + sum.proposed, all.held + sum.held, all.refused + sum.refused, all.lost + sum.lost}
	}
	if t.Logf("%+v", all); *seed == 0 && (all.held < *histories || all.refused < *histories/4) {
		t.Error("hardly anything was agreed on")
	}
}

// A leader is confirmed within a second and a half, and every second sidecar knows who leads.
func TestConfirmed(t *testing.T) {
	n := founded(t, 9, 4)
	n.Run(1500 * time.Millisecond)
	leader := n.Nodes[n.Leader()]
	if at, index := leader.LastQuorumAck(); at < n.Now-1500*time.Millisecond || index == 0 {
		t.Errorf("confirmed %v ago, %d entries", n.Now-at, index)
	}
	for i, m := range n.Nodes {
		if m.Leader() != n.Leader() {
			t.Errorf("n%d takes %d for the leader, it is %d", i, m.Leader(), n.Leader())
		}
	}
	lone := n.Leader()
	n.Partitioned = func(from, to int) bool { return from == lone || to == lone }
	n.Run(10 * time.Second)
	if at, _ := leader.LastQuorumAck(); n.Now-at < 8*time.Second && at > 0 {
		t.Errorf("cut off from all for 10 s it was confirmed %v ago", n.Now-at)
	}
}

// One who hears nothing proposes: it stands in the log once, however often it is proposed again.
func TestProposedAgainStandsOnce(t *testing.T) {
	for _, votes := range []bool{true, false} {
		proposedAgain(t, votes)
	}
}

func proposedAgain(t *testing.T, votes bool) {
	n := founded(t, 9, 2)
	deaf := 0
	for n.Nodes[deaf].IsVoter() != votes || deaf == n.Leader() {
		deaf++
	}
	n.Partitioned = func(_, to int) bool { return to == deaf }
	before := n.Nodes[n.Leader()].LastIndex()
	if err := n.Nodes[deaf].Propose(n.Now, []byte("again")); err != nil {
		t.Fatal(err)
	}
	n.Run(40 * time.Second)
	again := 0
	for _, e := range n.Agreed(1) {
		if e == "again" {
			again++
		}
	}
	if grown := n.Nodes[n.Leader()].LastIndex() - before; again != 1 || grown > 8 {
		t.Errorf("it stands there %d times, the log has grown by %d", again, grown)
	}
}
