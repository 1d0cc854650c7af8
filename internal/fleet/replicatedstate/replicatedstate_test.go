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

// founded is a fleet in which all go by a log that has just begun.
func founded(t *testing.T, size int, seed uint64) *replicatedstatesim.Net {
	t.Helper()
	n := replicatedstatesim.New(replicatedstatesim.Config{Size: size, Seed: seed, Lease: 3 * time.Second, Rate: 0.01})
	n.Run(time.Second)
	if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1); err != nil {
		t.Fatal(err)
	}
	n.Watch(20 * time.Millisecond)
	if !n.Until(30*time.Second, n.Converged) {
		t.Fatalf("seed %d: not all go by the log: %s", seed, n.Text())
	}
	return n
}

func holds(m *replicatedstatesim.Node) uint32 { return m.View(m.Time()).State.Current.Version }

// What is wrong with a proposal is told at once, and nothing is begun.
func TestRefused(t *testing.T) {
	n := founded(t, 5, 1)
	m, other := n.Nodes[3], n.Nodes[4]
	refused := func(name string, raw []byte, base uint32, want string) {
		t.Helper()
		if _, err := m.Propose(m.Time(), raw, base); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, %q is wanted", name, err, want)
		}
	}
	refused("65 KiB", bytes.Repeat([]byte("#"), 65<<10), 0, "65536 are possible")
	refused("an old base", replicatedstatesim.Text(1), 7, "it was made from version 7, version 0 holds")
	n.Cannot[[2]int{3, 9}] = true
	refused("it can't apply it itself", replicatedstatesim.Text(9), 0, "no such tenant")
	if _, err := m.Abort(m.Time()); err == nil {
		t.Error("nothing was called off")
	}
	if err := m.Bootstrap(m.Time(), 2); err == nil {
		t.Error("a new beginning while the log answers")
	}
	have := m.View(m.Time()).LastIndex
	if _, err := m.Propose(m.Time(), replicatedstatesim.Text(1), 0); err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		refused("a thousand more", replicatedstatesim.Text(2), 0, "a proposal of this sidecar has no outcome yet")
	}
	// Another's at the same moment: one is first, the other hears so.
	if _, err := other.Propose(other.Time(), replicatedstatesim.Text(2), 0); err != nil {
		t.Fatal(err)
	}
	if !n.Until(10*time.Second, func() bool { return n.Converged() && holds(m) == 1 }) {
		t.Fatal(n.Text())
	}
	a, b := m.View(m.Time()).Proposals[0].Outcome, other.View(other.Time()).Proposals[0].Outcome
	if (a == "taken") == (b == "taken") ||
		!strings.HasPrefix(a+b, "refused: ") && !strings.HasPrefix(b+a, "refused: ") {
		t.Errorf("outcomes %q and %q", a, b)
	}
	if grown := m.View(m.Time()).LastIndex - have; grown > 6 {
		t.Errorf("the log has grown by %d entries", grown)
	}
	raw, _ := m.Text(m.View(m.Time()).State.Current)
	refused("the same again", raw, 1, "holds already")
	n.Partitioned = func(from, to int) bool { return from == 3 || to == 3 }
	n.Run(4 * time.Second)
	if _, err := m.Propose(m.Time(), replicatedstatesim.Text(3), 1); !errors.Is(err, replicatedstate.ErrNoContact) {
		t.Errorf("out of contact: %v", err)
	}
	if n.Broken != nil {
		t.Error(n.Broken)
	}
}

// One that is down does not hold a change up for longer than a lease; one that most never come to
// is called off; one that somebody can't apply is at once, and says by whom and why.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		begin   func(n *replicatedstatesim.Net, leader int)
		outcome string
		within  time.Duration
	}{
		{"calm", func(*replicatedstatesim.Net, int) {}, "taken", time.Second},
		{
			"one down", func(n *replicatedstatesim.Net, leader int) { n.Crash((leader + 1) % 5) },
			"taken", 5 * time.Second,
		},
		{
			"one can't",
			func(n *replicatedstatesim.Net, leader int) { n.Cannot[[2]int{(leader + 1) % 5, 1}] = true },
			"called off by %d: tenants.x: no such tenant", time.Second,
		},
		{"late", func(n *replicatedstatesim.Net, leader int) { // three of five never have the text
			n.Drop = func(to int, raw []byte) bool {
				m := new(accordpb.Message)
				return proto.Unmarshal(raw, m) == nil && m.Piece != nil && to != leader && to != (leader+4)%5
			}
		}, "called off by", 10 * time.Second},
		{"called off by hand", func(n *replicatedstatesim.Net, leader int) {
			n.Drop = func(to int, raw []byte) bool {
				m := new(accordpb.Message)
				return proto.Unmarshal(raw, m) == nil && m.Piece != nil && to != leader
			}
			n.After(200*time.Millisecond, func() {
				if _, err := n.Nodes[leader].Abort(n.Nodes[leader].Time()); err != nil {
					n.Broken = append(n.Broken, err.Error())
				}
			})
		}, "by hand", time.Second},
	} {
		n := founded(t, 5, 11)
		leader := n.Nodes[0].View(n.Nodes[0].Time()).Leader
		m, begun := n.Nodes[leader], n.Now
		c.begin(n, leader)
		if _, err := m.Propose(m.Time(), replicatedstatesim.Text(1), 0); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		got := func() string { return m.View(m.Time()).Proposals[0].Outcome }
		n.Until(c.within, func() bool { return got() != "" && got() != "under way" })
		want := strings.ReplaceAll(c.outcome, "%d", fmt.Sprint((leader+1)%5))
		if !strings.Contains(got(), want) || n.Broken != nil {
			t.Errorf("%s: %q after %v, %q is wanted; %v", c.name, got(), n.Now-begun, want, n.Broken)
		}
	}
}

func textOf(m *replicatedstatesim.Node) []byte {
	raw, _ := m.Text(m.View(m.Time()).State.Current)
	return raw
}

// A text of 64 KiB that can't be made smaller reaches all, also where much is lost; one that is
// spoilt on the way is not taken.
func TestLongTexts(t *testing.T) {
	n := founded(t, 5, 3)
	rng := rand.New(rand.NewPCG(1, 1))
	raw := []byte("# ")
	for len(raw) < policyrollout.MaxTextBytes {
		raw = append(raw, byte('!'+rng.IntN(90)))
	}
	m := n.Nodes[2]
	spoilt := 0

	n.Drop = func(to int, raw []byte) bool {
		p := new(accordpb.Message)
		if proto.Unmarshal(raw, p) != nil || p.Piece == nil || p.Piece.Index != 7 || spoilt > 2 || to == 2 {
			return false
		}
		spoilt++
		raw[len(raw)-1]++ // of its data
		return false
	}
	begun, cut := n.Now, n.CutOff
	if _, err := m.Propose(m.Time(), raw, 0); err != nil {
		t.Fatal(err)
	}
	for _, o := range n.Nodes {
		if !n.Until(2*time.Minute, func() bool {
			v := o.View(o.Time())
			return v.Active.Mode == policyrollout.One && v.State.Current.Version == 1 && bytes.Equal(textOf(o), raw)
		}) {
			t.Fatalf("it is not there: %s", n.Text())
		}
	}
	t.Logf("there after %v, %d looks at one that was cut off meanwhile", n.Now-begun, n.CutOff-cut)
	if spoilt == 0 || n.Broken != nil || n.CutOff > cut {
		t.Errorf("spoilt %d, cut off %d, %v", spoilt, n.CutOff-cut, n.Broken)
	}
}

// What another sends can't make a sidecar stumble, nor speak for a third.
func FuzzTake(f *testing.F) {
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

// With disks that last the fleet goes by its policy again after a stop of all at once, without an
// operator; without them it does not.
func TestAllStoppedAtOnce(t *testing.T) {
	for _, disks := range []bool{true, false} {
		n := replicatedstatesim.New(
			replicatedstatesim.Config{Size: 5, Seed: 2, Lease: 3 * time.Second, Rate: 0.01, Disks: disks},
		)
		n.Run(time.Second)
		if err := n.Nodes[0].Bootstrap(n.Nodes[0].Time(), 1); err != nil {
			t.Fatal(err)
		}
		n.Watch(20 * time.Millisecond)
		n.Until(30*time.Second, n.Converged)
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
			if goes := m.Node.Active(m.Time()); goes.Mode != policyrollout.CutOff {
				t.Errorf("n%d has just started and goes by %v", i, goes.Mode)
			}
		}
		again := n.Until(30*time.Second, func() bool { return n.Converged() && holds(n.Nodes[3]) == 1 })
		if again != disks || n.Broken != nil {
			t.Errorf("disks %v: by version 1 again %v; %v", disks, again, n.Broken)
		}
	}
}
