package maintenance

import (
	"strings"
	"testing"
	"time"
)

const planText = "all = true\nbears = 10.0\ncut_off = \"awaited\"\nlongest = \"1m\"\nback = \"started\"\n[out]\nfleet = \"2\"\nzone = \"2\"\ncell = \"1\"\n"

// stage is a leader of eight machines with a plan under way.
type stage struct {
	t     *testing.T
	l     *Leader
	s     State
	w     Snapshot
	plan  *Plan
	clear bool
}

func newStage(t *testing.T) *stage {
	t.Helper()
	p, err := Parse([]byte(planText))
	if err != nil {
		t.Fatal(err)
	}
	g := &stage{t: t, l: NewLeader(1, 0), plan: p}
	g.w = Snapshot{
		Now: time.Hour, Current: true, Machines: machines(8), Traffic: 40, InTime: 1,
		Clear: func(uint32) bool { return g.clear },
		Plan:  func([32]byte) (*Plan, bool) { return g.plan, g.plan != nil },
	}
	g.enter(Step{Kind: Planned, Number: 1, Hash: [32]byte{1}, By: 1})
	g.next(LeaderStarted)
	return g
}

func (g *stage) enter(s Step) {
	g.t.Helper()
	if refused := g.s.Apply(s); refused != "" {
		g.t.Fatalf("%s: %s", s.Kind, refused)
	}
}

// next wants the leader's next decision to be of a kind, and enters it.
func (g *stage) next(want Kind) Step {
	g.t.Helper()
	s, due := g.l.Decide(&g.w, &g.s)
	if !due || s.Kind != want {
		g.t.Fatalf("decided %v %s, want %s; it waits for %q", due, s.Kind, want, g.l.WaitReason(1))
	}
	g.enter(s)
	return s
}

// nothing wants it to decide nothing, and to say why.
func (g *stage) nothing(why string) {
	g.t.Helper()
	if s, due := g.l.Decide(&g.w, &g.s); due {
		g.t.Fatalf("decided %s %d", s.Kind, s.Number)
	}
	if got := g.l.WaitReason(1); !strings.Contains(got, why) {
		g.t.Fatalf("it waits for %q, want something about %q", got, why)
	}
}

func (g *stage) after(d time.Duration) { g.w.Now += d }

// One turn from its beginning to its end, and what has to be there for each step.
func TestTurn(t *testing.T) {
	g := newStage(t)
	turn := g.next(Opened)
	g.nothing("just been given")
	g.after(10 * time.Second)
	g.nothing("") // somebody may still have something out there
	g.clear = true
	g.next(Released)
	m := find(g.w.Machines, turn.Machine)
	m.State = MachineDown
	g.next(Opened) // a second one may be out
	g.next(Released)
	g.nothing("would be out")
	m.State, m.Started, m.Warmth = MachineReady, g.w.Now+time.Minute, 0.3
	if done := g.next(Done); done.Number != turn.Number {
		t.Fatalf("turn %d is done, %d has started", done.Number, turn.Number)
	}
	g.nothing("would be out") // it is cold
	m.Warmth = 1
	g.w.InTime = 0.9
	g.nothing("in time")
	g.w.InTime = 1
	if over := g.next(Closed); over.Number != turn.Number {
		t.Fatalf("turn %d is over", over.Number)
	}
	if third := g.next(Opened); third.Machine == turn.Machine {
		t.Fatal("it has had its turn")
	}
}

// When in doubt nobody goes next; a turn already given goes on.
func TestDoubt(t *testing.T) {
	for name, c := range map[string]struct {
		doubt func(g *stage)
		why   string
	}{
		"an old list":             {func(g *stage) { g.w.Current = false }, "old"},
		"sidecars out of contact": {func(g *stage) { g.w.Unreachable = 1 }, "out of contact"},
		"late answers":            {func(g *stage) { g.w.InTime = 0.94 }, "in time"},
		"no text":                 {func(g *stage) { g.plan = nil }, "text"},
		"three are down":          {func(g *stage) { g.downBut(&g.w.Machines[5], 3) }, "would be out"},
		"three are cold": {
			func(g *stage) { g.w.Machines[0].Warmth, g.w.Machines[4].Warmth, g.w.Machines[7].Warmth = 0.9, 0.9, 0.9 },
			"would be out",
		},
		"some drain, or are out by hand": {func(g *stage) {
			g.w.Machines[0].State, g.w.Machines[4].State, g.w.Machines[7].State = MachineDraining, MachineDraining, MachineDraining
		}, "would be out"},
		"too much traffic": {func(g *stage) { g.w.Traffic = 64 }, "the others carry 63"},
	} {
		t.Run(name, func(t *testing.T) {
			g := newStage(t)
			c.doubt(g)
			g.nothing(c.why)
			g = newStage(t)
			g.next(Opened)
			g.clear = true
			g.next(Released)
			c.doubt(g)
			g.after(time.Second)
			if s, due := g.l.Decide(&g.w, &g.s); due && s.Kind != Opened {
				t.Errorf("a turn that was free is %s", s.Kind)
			}
		})
	}
}

// Up to the moment at which somebody is told that it may be worked on, what has become of the
// others counts.
func TestWithdrawn(t *testing.T) {
	for name, change := range map[string]func(g *stage, m *Machine){
		"two others went down":     func(g *stage, m *Machine) { g.downBut(m, 2) },
		"traffic doubled":          func(g *stage, _ *Machine) { g.w.Traffic = 80 },
		"somebody sends on and on": func(g *stage, _ *Machine) { g.clear = false; g.after(61 * time.Second) },
		"its plan was cancelled":   func(g *stage, _ *Machine) { g.enter(Step{Kind: Cancelled, Number: 1, By: 1}) },
		"its cell's other went down": func(g *stage, m *Machine) {
			find(g.w.Machines, (m.ID-1)^1+1).State = MachineDown
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newStage(t)
			turn := g.next(Opened)
			g.clear = false
			if _, due := g.l.Decide(&g.w, &g.s); due {
				t.Fatal("it is not clear yet")
			}
			g.clear = true
			change(g, find(g.w.Machines, turn.Machine))
			if w := g.next(Withdrawn); w.Number != turn.Number {
				t.Errorf("turn %d was withdrawn", w.Number)
			}
			if len(g.s.MachinesOut()) != 0 {
				t.Errorf("out: %v", g.s.MachinesOut())
			}
		})
	}
}

func (g *stage) downBut(m *Machine, n int) {
	for i := range g.w.Machines {
		if o := &g.w.Machines[i]; o.ID != m.ID && n > 0 {
			o.State = MachineDown
			n--
		}
	}
}

// A plan stops, and says why, where a turn takes too long, a machine never comes back, or service
// gets worse; resumed, it goes on.
func TestPlanStops(t *testing.T) {
	for why, spoil := range map[string]func(g *stage, turn Step){
		"takes too long": func(g *stage, _ Step) { g.after(61 * time.Second) },
		"never came back": func(g *stage, turn Step) {
			g.enter(Step{Kind: Done, Number: turn.Number, By: 1})
			find(g.w.Machines, turn.Machine).State = MachineDown
			g.look()
			g.after(61 * time.Second)
		},
		"service got worse": func(g *stage, _ Step) {
			g.w.InTime = 0.5
			g.look()
			g.after(9 * time.Second)
			g.look()
			g.after(time.Second)
		},
	} {
		t.Run(why, func(t *testing.T) {
			g := newStage(t)
			turn := g.next(Opened)
			g.clear = true
			g.next(Released)
			g.w.Unreachable = 1 // nobody goes next
			g.look()
			spoil(g, turn)
			if s := g.next(Paused); !strings.Contains(s.Why, why) {
				t.Errorf("paused: %q", s.Why)
			}
			g.w.Unreachable, g.w.InTime = 0, 1
			g.nothing("paused")
			g.enter(Step{Kind: Resumed, Number: 1, By: 1})
		})
	}
}

// look has the leader look, and wants it to decide nothing.
func (g *stage) look() {
	g.t.Helper()
	if s, due := g.l.Decide(&g.w, &g.s); due {
		g.t.Fatalf("decided %s", s.Kind)
	}
}

// Cells are spread, strained machines go first, then those that carry most; the same inputs give
// the same order.
func TestOrder(t *testing.T) {
	order := func() (ids []uint64) {
		g := newStage(t)
		g.clear = true
		g.w.Machines[6].Overloaded, g.w.Machines[2].Weight = true, 2
		for len(ids) < 8 {
			turn := g.next(Opened)
			ids = append(ids, turn.Machine)
			g.next(Released)
			g.enter(Step{Kind: Done, Number: turn.Number, By: 1})
			g.next(Closed)
		}
		g.next(Finished)
		return ids
	}
	ids := order()
	if ids[0] != 7 || ids[1] != 3 {
		t.Errorf("order %v: the strained one first, then the heaviest of the other cell", ids)
	}
	for i := range ids[1:] {
		if (ids[i]-1)/4 == (ids[i+1]-1)/4 {
			t.Errorf("order %v: two of one cell, one behind the other", ids)
		}
	}
	if again := order(); len(again) != len(ids) || again[5] != ids[5] {
		t.Errorf("another order: %v", again)
	}
}

// A plan that waits for sidecars out of contact has no turn become free while there are any, and
// one that waits too long is withdrawn; what leases and deadlines take is not too long.
func TestAwaitedBeforeFree(t *testing.T) {
	g := newStage(t)
	g.w.Slack = 30 * time.Second
	g.next(Opened)
	g.clear, g.w.Unreachable = true, 1
	g.nothing("out of contact")
	g.after(drainTimeout + g.w.Slack)
	g.nothing("out of contact")
	g.after(time.Second)
	if s := g.next(Withdrawn); s.Why == "" {
		t.Error("withdrawn with no word on why")
	}
	g.nothing("out of contact")
	g.w.Unreachable = 0
	g.next(Opened)
	g.w.Unreachable = 1
	g.nothing("out of contact")
	g.w.Unreachable = 0
	g.next(Released)
}

// A turn's entries fit one phase each, whoever puts them into the log and however late.
func TestEntriesFitPhases(t *testing.T) {
	g := newStage(t)
	turn := g.next(Opened)
	step := func(k Kind) Step { return Step{Kind: k, Number: turn.Number, Term: g.l.Term, By: 0} }
	refused := func(k Kind) {
		t.Helper()
		if g.s.Apply(step(k)) == "" {
			t.Errorf("%s was taken", k)
		}
	}
	for _, k := range []Kind{Done, Closed} {
		refused(k)
	}
	g.enter(step(Released))
	for _, k := range []Kind{Released, Withdrawn, Closed} { // somebody works on it
		refused(k)
	}
	if len(g.s.MachinesOut()) != 1 {
		t.Errorf("out: %v", g.s.MachinesOut())
	}
	// one that came late, one that overtook another
	for _, number := range []uint32{turn.Number, turn.Number + 2} {
		other := Step{Kind: Opened, Number: number, Plan: 1, LastPlan: 1, Machine: g.w.Machines[7].ID, Term: g.l.Term}
		if g.s.Apply(other) == "" {
			t.Errorf("turn %d was taken behind turn %d", number, turn.Number)
		}
	}
	g.enter(step(Done))
	for _, k := range []Kind{Released, Withdrawn, Done} {
		refused(k)
	}
	g.enter(step(Closed))
	for _, k := range []Kind{Released, Withdrawn, Done, Closed} {
		refused(k)
	}
}

// A bound by zone holds where the fleet's would allow more: with one out in each zone nobody goes.
func TestBoundByZone(t *testing.T) {
	g := newStage(t)
	p, err := Parse([]byte("all = true\n[out]\nfleet = 8\nzone = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	g.plan, g.clear = p, true
	zones := make(map[string]bool)
	for _, m := range g.w.Machines {
		zones[m.Zone] = true
	}
	for range zones {
		turn := g.next(Opened)
		zone := find(g.w.Machines, turn.Machine).Zone
		if !zones[zone] {
			t.Fatalf("a second one of zone %s", zone)
		}
		zones[zone] = false
		g.next(Released)
	}
	g.nothing("would be out in zone")
}
