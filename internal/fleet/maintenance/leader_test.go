package maintenance

import (
	"strings"
	"testing"
	"time"
)

const planText = `all = true
bears = 10.0
cut_off = "awaited"
longest = "1m"
back = "started"
[out]
fleet = "2"
zone = "2"
cell = "1"
`

// leaderTest is a leader with an active plan for eight machines of capacity 10 requests per second each. The
// fields of snapshot, plan and clear are what the leader is told.
type leaderTest struct {
	t        *testing.T
	leader   *Leader
	state    State
	snapshot Snapshot
	plan     *Plan // nil: the leader does not have the plan's text
	clear    bool  // whether all sidecars are clear of all windows
}

func newLeaderTest(t *testing.T) *leaderTest {
	t.Helper()
	parsed, err := Parse([]byte(planText))
	if err != nil {
		t.Fatal(err)
	}
	lt := &leaderTest{t: t, leader: NewLeader(1, 0), plan: parsed}
	lt.snapshot = Snapshot{
		Now: time.Hour, Current: true, Machines: machines(8), Traffic: 40, InTime: 1,
		Clear: func(uint32) bool { return lt.clear },
		Plan:  func([32]byte) (*Plan, bool) { return lt.plan, lt.plan != nil },
	}
	lt.apply(Step{Kind: Planned, Number: 1, Hash: [32]byte{1}, By: 1})
	lt.expect(LeaderStarted)
	return lt
}

// apply applies a step that has to be accepted.
func (lt *leaderTest) apply(step Step) {
	lt.t.Helper()
	if rejected := lt.state.Apply(step); rejected != "" {
		lt.t.Fatalf("%s was rejected: %s", step.Kind, rejected)
	}
}

// expect checks that the leader decides on a step of this kind next, and applies the step.
func (lt *leaderTest) expect(want Kind) Step {
	lt.t.Helper()
	step, due := lt.leader.Decide(&lt.snapshot, &lt.state)
	if !due || step.Kind != want {
		lt.t.Fatalf(
			"leader decided (due %v) on %s, want %s; plan 1 waits for %q", due, step.Kind, want,
			lt.leader.WaitReason(1),
		)
	}
	lt.apply(step)
	return step
}

// expectWait checks that the leader decides on nothing, and that the plan's wait reason contains a text.
func (lt *leaderTest) expectWait(reason string) {
	lt.t.Helper()
	if step, due := lt.leader.Decide(&lt.snapshot, &lt.state); due {
		lt.t.Fatalf("leader decided on %s of number %d, want no step", step.Kind, step.Number)
	}
	if got := lt.leader.WaitReason(1); !strings.Contains(got, reason) {
		lt.t.Fatalf("plan 1 waits for %q, want a reason that contains %q", got, reason)
	}
}

func (lt *leaderTest) advance(d time.Duration) { lt.snapshot.Now += d }

// A window goes through all phases from Opened to Closed, and each step waits for its condition.
func TestWindowPhases(t *testing.T) {
	lt := newLeaderTest(t)
	window := lt.expect(Opened)
	lt.expectWait("just been given")
	lt.advance(10 * time.Second)
	lt.expectWait("") // a sidecar may still have requests in flight to the machine
	lt.clear = true
	lt.expect(Released)
	m := findMachine(lt.snapshot.Machines, window.Machine)
	m.State = MachineDown
	lt.expect(Opened) // the plan allows two machines to be out
	lt.expect(Released)
	lt.expectWait("would be out")
	m.State, m.Started, m.Warmth = MachineReady, lt.snapshot.Now+time.Minute, 0.3
	if done := lt.expect(Done); done.Number != window.Number {
		t.Fatalf("window %d became done, but the machine of window %d has restarted", done.Number, window.Number)
	}
	lt.expectWait("would be out") // the restarted machine is not warm yet and still counts as out
	m.Warmth = 1
	lt.snapshot.InTime = 0.9
	lt.expectWait("in time")
	lt.snapshot.InTime = 1
	if closed := lt.expect(Closed); closed.Number != window.Number {
		t.Fatalf("window %d was closed, want the first window", closed.Number)
	}
	if third := lt.expect(Opened); third.Machine == window.Machine {
		t.Fatal("the plan opened a second window for the same machine")
	}
}

// While the state of the fleet is uncertain or bad, no window opens; a window that was released already goes on.
func TestNoWindowOpensInDoubt(t *testing.T) {
	for name, c := range map[string]struct {
		change func(lt *leaderTest)
		reason string
	}{
		"list of machines may be old": {func(lt *leaderTest) { lt.snapshot.Current = false }, "old"},
		"sidecar unreachable":         {func(lt *leaderTest) { lt.snapshot.Unreachable = 1 }, "out of contact"},
		"requests late":               {func(lt *leaderTest) { lt.snapshot.InTime = 0.94 }, "in time"},
		"text of the plan missing":    {func(lt *leaderTest) { lt.plan = nil }, "text"},
		"three machines down": {
			func(lt *leaderTest) { lt.markDownExcept(&lt.snapshot.Machines[5], 3) }, "would be out",
		},
		"three machines warming up": {
			func(lt *leaderTest) {
				lt.snapshot.Machines[0].Warmth, lt.snapshot.Machines[4].Warmth,
					lt.snapshot.Machines[7].Warmth = 0.9, 0.9, 0.9
			},
			"would be out",
		},
		"three machines draining": {func(lt *leaderTest) {
			lt.snapshot.Machines[0].State, lt.snapshot.Machines[4].State,
				lt.snapshot.Machines[7].State = MachineDraining, MachineDraining, MachineDraining
		}, "would be out"},
		"more traffic than the reserve allows": {func(lt *leaderTest) { lt.snapshot.Traffic = 64 }, "the others carry 63"},
	} {
		t.Run(name, func(t *testing.T) {
			lt := newLeaderTest(t)
			c.change(lt)
			lt.expectWait(c.reason)
			lt = newLeaderTest(t)
			lt.expect(Opened)
			lt.clear = true
			lt.expect(Released)
			c.change(lt)
			lt.advance(time.Second)
			if step, due := lt.leader.Decide(&lt.snapshot, &lt.state); due && step.Kind != Opened {
				t.Errorf("leader decided on %s for a released window, want no step or Opened", step.Kind)
			}
		})
	}
}

// A window is withdrawn if, before its release, the remaining machines can't do without the machine any more, the
// plan ends, or the draining takes too long.
func TestWindowIsWithdrawnBeforeRelease(t *testing.T) {
	for name, change := range map[string]func(lt *leaderTest, m *Machine){
		"two other machines went down": func(lt *leaderTest, m *Machine) { lt.markDownExcept(m, 2) },
		"traffic doubled":              func(lt *leaderTest, _ *Machine) { lt.snapshot.Traffic = 80 },
		"a sidecar never becomes clear": func(lt *leaderTest, _ *Machine) {
			lt.clear = false
			lt.advance(61 * time.Second)
		},
		"plan cancelled": func(lt *leaderTest, _ *Machine) {
			lt.apply(Step{Kind: Cancelled, Number: 1, By: 1})
		},
		"other machine of its cell went down": func(lt *leaderTest, m *Machine) {
			findMachine(lt.snapshot.Machines, (m.ID-1)^1+1).State = MachineDown
		},
	} {
		t.Run(name, func(t *testing.T) {
			lt := newLeaderTest(t)
			window := lt.expect(Opened)
			lt.clear = false
			if _, due := lt.leader.Decide(&lt.snapshot, &lt.state); due {
				t.Fatal("leader decided on a step while sidecars are not clear of the window")
			}
			lt.clear = true
			change(lt, findMachine(lt.snapshot.Machines, window.Machine))
			if withdrawn := lt.expect(Withdrawn); withdrawn.Number != window.Number {
				t.Errorf("window %d was withdrawn, want the first window", withdrawn.Number)
			}
			if len(lt.state.MachinesOut()) != 0 {
				t.Errorf("machines %v are out after the withdrawal, want none", lt.state.MachinesOut())
			}
		})
	}
}

// markDownExcept marks machines as down, as many as count says and never the one given.
func (lt *leaderTest) markDownExcept(machine *Machine, count int) {
	for i := range lt.snapshot.Machines {
		if other := &lt.snapshot.Machines[i]; other.ID != machine.ID && count > 0 {
			other.State = MachineDown
			count--
		}
	}
}

// A plan is paused with a reason if a window takes too long, a machine does not return to service, or too few
// requests are served in time. A paused plan can be resumed.
func TestPlanIsPaused(t *testing.T) {
	for reason, change := range map[string]func(lt *leaderTest, window Step){
		"takes too long": func(lt *leaderTest, _ Step) { lt.advance(61 * time.Second) },
		"never came back": func(lt *leaderTest, window Step) {
			lt.apply(Step{Kind: Done, Number: window.Number, By: 1})
			findMachine(lt.snapshot.Machines, window.Machine).State = MachineDown
			lt.expectNoStep()
			lt.advance(61 * time.Second)
		},
		"service got worse": func(lt *leaderTest, _ Step) {
			lt.snapshot.InTime = 0.5
			lt.expectNoStep()
			lt.advance(9 * time.Second)
			lt.expectNoStep()
			lt.advance(time.Second)
		},
	} {
		t.Run(reason, func(t *testing.T) {
			lt := newLeaderTest(t)
			window := lt.expect(Opened)
			lt.clear = true
			lt.expect(Released)
			lt.snapshot.Unreachable = 1 // keeps a second window from opening
			lt.expectNoStep()
			change(lt, window)
			if step := lt.expect(Paused); !strings.Contains(step.Why, reason) {
				t.Errorf("plan was paused with reason %q, want the reason in the subtest's name", step.Why)
			}
			lt.snapshot.Unreachable, lt.snapshot.InTime = 0, 1
			lt.expectWait("paused")
			lt.apply(Step{Kind: Resumed, Number: 1, By: 1})
		})
	}
}

// expectNoStep lets the leader observe the snapshot, and checks that it decides on nothing.
func (lt *leaderTest) expectNoStep() {
	lt.t.Helper()
	if step, due := lt.leader.Decide(&lt.snapshot, &lt.state); due {
		lt.t.Fatalf("leader decided on %s, want no step", step.Kind)
	}
}

// Consecutive windows are in different cells; among the machines of one cell, overloaded ones come first, then
// those of the highest weight. The same inputs give the same order.
func TestOrder(t *testing.T) {
	order := func() (ids []uint64) {
		lt := newLeaderTest(t)
		lt.clear = true
		lt.snapshot.Machines[6].Overloaded, lt.snapshot.Machines[2].Weight = true, 2
		for len(ids) < 8 {
			window := lt.expect(Opened)
			ids = append(ids, window.Machine)
			lt.expect(Released)
			lt.apply(Step{Kind: Done, Number: window.Number, By: 1})
			lt.expect(Closed)
		}
		lt.expect(Finished)
		return ids
	}
	ids := order()
	if ids[0] != 7 || ids[1] != 3 {
		t.Errorf("order %v, want machine 7 (overloaded) first, then machine 3 (the other cell's heaviest)", ids)
	}
	for i := range ids[1:] {
		if (ids[i]-1)/4 == (ids[i+1]-1)/4 {
			t.Errorf("order %v has two consecutive machines of the same cell", ids)
		}
	}
	if repeated := order(); len(repeated) != len(ids) || repeated[5] != ids[5] {
		t.Errorf("the same inputs gave another order the second time: %v", repeated)
	}
}

// With cut_off = "awaited", a window is not released while a sidecar is unreachable. It is withdrawn after
// drainTimeout plus Slack, the time that leases and request deadlines may take in normal operation.
func TestReleaseAwaitsUnreachableSidecars(t *testing.T) {
	lt := newLeaderTest(t)
	lt.snapshot.Slack = 30 * time.Second
	lt.expect(Opened)
	lt.clear, lt.snapshot.Unreachable = true, 1
	lt.expectWait("out of contact")
	lt.advance(drainTimeout + lt.snapshot.Slack)
	lt.expectWait("out of contact")
	lt.advance(time.Second)
	if step := lt.expect(Withdrawn); step.Why == "" {
		t.Error("the window was withdrawn without a reason")
	}
	lt.expectWait("out of contact")
	lt.snapshot.Unreachable = 0
	lt.expect(Opened)
	lt.snapshot.Unreachable = 1
	lt.expectWait("out of contact")
	lt.snapshot.Unreachable = 0
	lt.expect(Released)
}

// A window's entries are accepted in one phase each and rejected in all others, so that delayed and duplicated
// entries change nothing.
func TestEntriesAreRejectedInOtherPhases(t *testing.T) {
	lt := newLeaderTest(t)
	window := lt.expect(Opened)
	step := func(kind Kind) Step {
		return Step{Kind: kind, Number: window.Number, Term: lt.leader.Term, By: 0}
	}
	expectRejected := func(kind Kind) {
		t.Helper()
		if lt.state.Apply(step(kind)) == "" {
			t.Errorf("entry %s was accepted, want it rejected", kind)
		}
	}
	for _, kind := range []Kind{Done, Closed} {
		expectRejected(kind)
	}
	lt.apply(step(Released))
	for _, kind := range []Kind{Released, Withdrawn, Closed} { // an operator may be working on the machine
		expectRejected(kind)
	}
	if len(lt.state.MachinesOut()) != 1 {
		t.Errorf("machines %v are out, want the window's machine", lt.state.MachinesOut())
	}
	// a duplicate of the Opened entry, and an Opened entry that overtook the one before it
	for _, number := range []uint32{window.Number, window.Number + 2} {
		other := Step{
			Kind: Opened, Number: number, Plan: 1, LastPlan: 1, Machine: lt.snapshot.Machines[7].ID,
			Term: lt.leader.Term,
		}
		if lt.state.Apply(other) == "" {
			t.Errorf("window %d opened after window %d, want the entry rejected", number, window.Number)
		}
	}
	lt.apply(step(Done))
	for _, kind := range []Kind{Released, Withdrawn, Done} {
		expectRejected(kind)
	}
	lt.apply(step(Closed))
	for _, kind := range []Kind{Released, Withdrawn, Done, Closed} {
		expectRejected(kind)
	}
}

// The bound by zone is enforced even where the fleet's bound allows more machines out: with one machine out in each
// zone no further window opens.
func TestZoneBoundIsEnforced(t *testing.T) {
	lt := newLeaderTest(t)
	plan, err := Parse([]byte("all = true\n[out]\nfleet = 8\nzone = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	lt.plan, lt.clear = plan, true
	zones := make(map[string]bool)
	for _, machine := range lt.snapshot.Machines {
		zones[machine.Zone] = true
	}
	for range zones {
		window := lt.expect(Opened)
		zone := findMachine(lt.snapshot.Machines, window.Machine).Zone
		if !zones[zone] {
			t.Fatalf("a second window opened in zone %s", zone)
		}
		zones[zone] = false
		lt.expect(Released)
	}
	lt.expectWait("would be out in zone")
}
