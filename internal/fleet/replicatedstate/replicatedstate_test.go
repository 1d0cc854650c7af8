package replicatedstate_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/policyrollout"
	"caperarch/internal/fleet/replicatedstate"
	"caperarch/internal/fleet/replicatedstate/accordpb"
	"caperarch/internal/lab/replicatedstatesim"
)

// bootstrapped returns a fleet in which all sidecars apply the policy of a log that has just started.
func bootstrapped(t *testing.T, size int, seed uint64) *replicatedstatesim.Net {
	t.Helper()
	n := replicatedstatesim.New(replicatedstatesim.Config{Size: size, Seed: seed, Lease: 3 * time.Second, Rate: 0.01})
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1); err != nil {
		t.Fatal(err)
	}
	n.StartChecks(20 * time.Millisecond)
	if !n.RunUntil(30*time.Second, n.Converged) {
		t.Fatalf("seed %d: the fleet has not converged within 30 s: %s", seed, n.Text())
	}
	return n
}

func currentVersion(m *replicatedstatesim.Node) uint32 { return m.View(m.Time()).State.Current.Version }

// Guards against invalid proposals that are accepted or that add entries to the log: the caller gets the
// reason at once.
func TestInvalidProposalsAreRejected(t *testing.T) {
	n := bootstrapped(t, 5, 1)
	m, other := n.Nodes[3], n.Nodes[4]
	wantRejected := func(name string, raw []byte, base uint32, want string) {
		t.Helper()
		if _, err := m.Propose(m.Time(), raw, base); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want an error that contains %q", name, err, want)
		}
	}
	wantRejected("text of 65 KiB", bytes.Repeat([]byte("#"), 65<<10), 0, "65536 are possible")
	wantRejected("outdated base version", replicatedstatesim.Text(1), 7, "it was made from version 7, version 0 holds")
	n.RejectedPolicies[[2]int{3, 9}] = true
	wantRejected("policy that the proposer can't apply", replicatedstatesim.Text(9), 0, "no such tenant")
	if _, err := m.Abort(m.Time()); err == nil {
		t.Error("Abort without a change in progress succeeded, want an error")
	}
	if err := m.Bootstrap(m.Time(), 2); err == nil {
		t.Error("Bootstrap while the log has a leader succeeded, want an error")
	}
	have := m.View(m.Time()).LastIndex
	if _, err := m.Propose(m.Time(), replicatedstatesim.Text(1), 0); err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		wantRejected("further proposal", replicatedstatesim.Text(2), 0, "a proposal of this sidecar has no outcome yet")
	}
	// Another sidecar proposes at the same time: one proposal is committed, the other is rejected.
	if _, err := other.Propose(other.Time(), replicatedstatesim.Text(2), 0); err != nil {
		t.Fatal(err)
	}
	if !n.RunUntil(10*time.Second, func() bool { return n.Converged() && currentVersion(m) == 1 }) {
		t.Fatal(n.Text())
	}
	a, b := m.View(m.Time()).Proposals[0].Outcome, other.View(other.Time()).Proposals[0].Outcome
	if (a == "taken") == (b == "taken") ||
		!strings.HasPrefix(a+b, "refused: ") && !strings.HasPrefix(b+a, "refused: ") {
		t.Errorf("outcomes are %q and %q, want one \"taken\" and one \"refused: ...\"", a, b)
	}
	if grown := m.View(m.Time()).LastIndex - have; grown > 6 {
		t.Errorf("the log has grown by %d entries, want at most 6", grown)
	}
	raw, _ := m.Text(m.View(m.Time()).State.Current)
	wantRejected("text of the current version", raw, 1, "holds already")
	n.Partitioned = func(from, to int) bool { return from == 3 || to == 3 }
	n.Run(4 * time.Second)
	if _, err := m.Propose(m.Time(), replicatedstatesim.Text(3), 1); !errors.Is(err, replicatedstate.ErrNoContact) {
		t.Errorf("Propose without a grant: got error %v, want ErrNoContact", err)
	}
	if n.Violations != nil {
		t.Error(n.Violations)
	}
}

// Checks the outcome of a change: a sidecar that is down delays the change by at most a lease, a change that
// a majority does not reach is aborted, and a change that a sidecar can't apply is aborted at once with that
// sidecar's number and reason.
func TestChangeOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		begin   func(n *replicatedstatesim.Net, leader int)
		outcome string
		within  time.Duration
	}{
		{"no fault", func(*replicatedstatesim.Net, int) {}, "taken", time.Second},
		{
			"one sidecar down", func(n *replicatedstatesim.Net, leader int) { n.Crash((leader + 1) % 5) },
			"taken", 5 * time.Second,
		},
		{
			"one sidecar can't apply the policy",
			func(n *replicatedstatesim.Net, leader int) { n.RejectedPolicies[[2]int{(leader + 1) % 5, 1}] = true },
			"called off by %d: tenants.x: no such tenant", time.Second,
		},
		{"three of five sidecars without the text", func(n *replicatedstatesim.Net, leader int) {
			n.Drop = func(to int, raw []byte) bool {
				m := new(accordpb.Message)
				return proto.Unmarshal(raw, m) == nil && m.Piece != nil && to != leader && to != (leader+4)%5
			}
		}, "called off by", 10 * time.Second},
		{"aborted by an operator", func(n *replicatedstatesim.Net, leader int) {
			n.Drop = func(to int, raw []byte) bool {
				m := new(accordpb.Message)
				return proto.Unmarshal(raw, m) == nil && m.Piece != nil && to != leader
			}
			n.After(200*time.Millisecond, func() {
				if _, err := n.Nodes[leader].Abort(n.Nodes[leader].Time()); err != nil {
					n.Violations = append(n.Violations, err.Error())
				}
			})
		}, "by hand", time.Second},
	} {
		n := bootstrapped(t, 5, 11)
		leader := n.Nodes[0].View(n.Nodes[0].Time()).Leader
		m, start := n.Nodes[leader], n.Now
		c.begin(n, leader)
		if _, err := m.Propose(m.Time(), replicatedstatesim.Text(1), 0); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		got := func() string { return m.View(m.Time()).Proposals[0].Outcome }
		n.RunUntil(c.within, func() bool { return got() != "" && got() != "under way" })
		want := strings.ReplaceAll(c.outcome, "%d", fmt.Sprint((leader+1)%5))
		if !strings.Contains(got(), want) || n.Violations != nil {
			t.Errorf("%s: outcome %q after %v, want %q; violations %v", c.name, got(), n.Now-start, want, n.Violations)
		}
	}
}

// textOf returns the text of the current version at a sidecar.
func textOf(m *replicatedstatesim.Node) []byte {
	raw, _ := m.Text(m.View(m.Time()).State.Current)
	return raw
}

// Guards against an incompressible text of 64 KiB, the largest allowed, that does not reach all sidecars, and
// against accepting a text with corrupted chunks.
func TestLongTextReachesAllSidecars(t *testing.T) {
	n := bootstrapped(t, 5, 3)
	rng := rand.New(rand.NewPCG(1, 1))
	raw := []byte("# ")
	for len(raw) < policyrollout.MaxTextBytes {
		raw = append(raw, byte('!'+rng.IntN(90)))
	}
	m := n.Nodes[2]
	corrupted := 0

	n.Drop = func(to int, raw []byte) bool {
		p := new(accordpb.Message)
		if proto.Unmarshal(raw, p) != nil || p.Piece == nil || p.Piece.Index != 7 || corrupted > 2 || to == 2 {
			return false
		}
		corrupted++
		raw[len(raw)-1]++ // last byte of the chunk's data
		return false
	}
	start, cut := n.Now, n.CutOffSamples
	if _, err := m.Propose(m.Time(), raw, 0); err != nil {
		t.Fatal(err)
	}
	for _, o := range n.Nodes {
		if !n.RunUntil(2*time.Minute, func() bool {
			v := o.View(o.Time())
			return v.Active.Mode == policyrollout.OneVersion && v.State.Current.Version == 1 &&
				bytes.Equal(textOf(o), raw)
		}) {
			t.Fatalf("a sidecar does not apply the text within 2 minutes: %s", n.Text())
		}
	}
	t.Logf("text applied by all after %v; samples of a cut-off sidecar: %d", n.Now-start, n.CutOffSamples-cut)
	if corrupted == 0 || n.Violations != nil || n.CutOffSamples > cut {
		t.Errorf(
			"corrupted chunks %d, want some; samples of a cut-off sidecar %d, want 0; violations %v",
			corrupted, n.CutOffSamples-cut, n.Violations,
		)
	}
}

// Guards against a panic on any message of another sidecar.
func FuzzReceive(f *testing.F) {
	for _, m := range []*accordpb.Message{
		{Log: []byte{1, 2}},
		{Epoch: 1, Report: []*accordpb.Report{{Number: 1, Life: 2, Stamp: 3, Mode: 1, Have: 9}}},
		{Epoch: 1, Batch: 4, Report: []*accordpb.Report{{Number: 9}}},
		{Epoch: 1, Granted: []*accordpb.Granted{{Batch: 1, Which: 7}}, Index: 1},
		{Epoch: 1, Grant: &accordpb.Grant{Stamp: 1 << 62, Life: 1}},
		{Want: make([]byte, 32), Pieces: []uint32{1, 2, 1 << 31}},
		{Piece: &accordpb.Piece{Text: 1, Index: 1, Count: 1 << 31}},
		{Piece: &accordpb.Piece{Text: 1, Count: 1, Data: []byte{3, 0}}},
		{Epoch: 1, Who: true},
		{Epoch: 1, Count: 3, Ask: true, Index: 1 << 62},
	} {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		n := replicatedstatesim.New(replicatedstatesim.Config{Size: 3, Seed: 1, Lease: 3 * time.Second, Rate: 0.01})
		n.Run(500 * time.Millisecond)
		if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1); err != nil {
			t.Fatal(err)
		}
		n.Run(3 * time.Second)
		for _, m := range n.Nodes {
			_ = m.Receive(m.Time(), (m.View(m.Time()).Self+1)%3, raw)
		}
		n.Run(time.Second)
	})
}

// Guards against losing the policy when all sidecars restart at once: with persistent disks the fleet applies
// its policy again without an operator; without disks it must not.
func TestRestartOfAllSidecars(t *testing.T) {
	for _, disks := range []bool{true, false} {
		n := replicatedstatesim.New(
			replicatedstatesim.Config{Size: 5, Seed: 2, Lease: 3 * time.Second, Rate: 0.01, Disks: disks},
		)
		n.Run(time.Second)
		if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1); err != nil {
			t.Fatal(err)
		}
		n.StartChecks(20 * time.Millisecond)
		n.RunUntil(30*time.Second, n.Converged)
		if _, err := n.Nodes[1].Propose(n.Nodes[1].Time(), replicatedstatesim.Text(1), 0); err != nil {
			t.Fatal(err)
		}
		n.Run(5 * time.Second)
		for i := range n.Nodes {
			n.Crash(i)
		}
		n.Run(time.Minute)
		for i, m := range n.Nodes {
			n.Boot(i)
			if active := m.Node.Active(m.Time()); active.Mode != policyrollout.CutOff {
				t.Errorf("n%d has just started and applies %v, want cut off", i, active.Mode)
			}
		}
		again := n.RunUntil(30*time.Second, func() bool { return n.Converged() && currentVersion(n.Nodes[3]) == 1 })
		if again != disks || n.Violations != nil {
			t.Errorf("with disks: %v; the fleet applies version 1 again: %v; violations %v", disks, again, n.Violations)
		}
	}
}
