package swim_test

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"caperarch/internal/fleet/swim"
	"caperarch/internal/lab/swimsim"
)

var (
	seed      = flag.Uint64("seed", 0, "run only the history of this `seed`; 0: run all")
	histories = flag.Int("histories", 400, "number of random histories to run")
)

// runHistory simulates a random history of faults among 3 to 7 processes with a lease of 3 s. It
// checks that no session that a member counts as over is in contact, and that all views are equal
// 20 s after the last fault has been removed.
func runHistory(seed uint64) (plan *swimsim.Plan, violations []string) {
	size := 3 + int(seed%5)
	plan = swimsim.Draw(seed, size, 25*time.Second)
	net := swimsim.New(swimsim.Config{Size: size, Seed: seed, Rate: plan.Rate})
	if violations = net.RunChecked(6*time.Second, 100*time.Millisecond); violations != nil {
		return plan, violations
	}
	net.Play(plan)
	if violations = net.RunChecked(40*time.Second, 50*time.Millisecond); violations != nil {
		return plan, violations
	}
	net.Heal()
	if violations = net.RunChecked(20*time.Second, 100*time.Millisecond); violations != nil {
		return plan, violations
	}
	if !net.Converged() || net.InContact() != size {
		violations = append(
			violations,
			"20 s after the last fault, views differ or "+strconv.Itoa(size-net.InContact())+" members are out of contact",
		)
	}
	return plan, violations
}

func TestHistories(t *testing.T) {
	first, last := uint64(1), uint64(*histories)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	for number := first; number <= last; number++ {
		if plan, violations := runHistory(number); violations != nil {
			t.Fatalf("seed %d: %v: %v", number, plan, violations)
		}
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

var depth = flag.Int("depth", 3, "number of consecutive time slots over which all faults are enumerated")

// Enumerates every schedule in which at most one fault occurs in each of *depth slots of 1.5 s,
// among three processes that are in contact and have a lease of 3 s. A fault cuts off one process,
// drops its outgoing messages, stops it, or crashes and restarts it without its state.
func TestAllFaultSchedules(t *testing.T) {
	const size, slot = 3, 1500 * time.Millisecond
	faults := []string{swimsim.Split, swimsim.OneWay, swimsim.Stop, swimsim.Crash}
	choices := 1 + size*len(faults)
	scheduleCount := 1
	for range *depth {
		scheduleCount *= choices
	}
	for number := range scheduleCount {
		plan := &swimsim.Plan{MaxDelay: 10 * time.Millisecond}
		for k, remaining := 0, number; k < *depth; k, remaining = k+1, remaining/choices {
			if choice := remaining % choices; choice > 0 {
				step := swimsim.Step{
					At: time.Duration(k) * slot, For: slot, Kind: faults[(choice-1)/size],
					Members: []int{(choice - 1) % size},
				}
				if step.Kind == swimsim.Crash {
					step.For = 100 * time.Millisecond
				}
				plan.Steps = append(plan.Steps, step)
			}
		}
		net := swimsim.New(swimsim.Config{Size: size, Seed: 1, Rate: 0.01})
		net.Run(8 * time.Second)
		net.Play(plan)
		violations := net.RunChecked(time.Duration(*depth)*slot+4*time.Second, 100*time.Millisecond)
		if net.Heal(); violations == nil {
			violations = net.RunChecked(8*time.Second, 500*time.Millisecond)
		}
		if violations == nil && (!net.Converged() || net.InContact() != size) {
			violations = []string{"8 s after the faults ended, views differ or members are out of contact"}
		}
		if violations != nil {
			t.Fatalf("schedule %d: %v: %v", number, plan, violations)
		}
	}
}

// Rate limits are divided by FleetSize. Members that left do not count, members that crashed or are
// unreachable do. A size that other members claim counts only if three members claim it, and at
// most up to four times the configured size, so that false claims have little effect.
func TestFleetSize(t *testing.T) {
	node := newTestNode(t, 10)
	if size := node.FleetSize(node.now); size != 1 {
		t.Errorf("fleet size is %d at the start, want 1", size)
	}
	for i := 1; i < 8; i++ {
		node.pingFrom(i, swim.Session{Incarnation: 10})
	}
	node.receiveRumour(1, swim.Rumour{Member: 2, Session: swim.Session{Incarnation: 10}, State: swim.Dead, Accuser: 1})
	node.receiveRumour(1, swim.Rumour{Member: 3, Session: swim.Session{Incarnation: 10}, State: swim.Left, Accuser: 3})
	if size := node.FleetSize(node.now); size != 7 {
		t.Errorf("fleet size is %d with eight members, of which one is gone and one left, want 7", size)
	}
	claim := func(from, count int) {
		message := node.newMessage(from, swim.Ping)
		message.MemberCount = count
		node.Receive(node.now, &message)
	}
	claim(4, 1<<30)
	claim(5, 1<<30)
	if size := node.FleetSize(node.now); size != 7 {
		t.Errorf("fleet size is %d after false claims of two members, want 7", size)
	}
	claim(6, 20)
	if size := node.FleetSize(node.now); size != 20 {
		t.Errorf("fleet size is %d after three members claimed at least 20, want 20", size)
	}
	claim(6, 1000)
	if size := node.FleetSize(node.now); size != 40 {
		t.Errorf("fleet size is %d after false claims of three members, want four times the configured size, 40", size)
	}
	node.now += 2 * time.Minute
	if size := node.FleetSize(node.now); size != 7 {
		t.Errorf("fleet size is %d two minutes after the claims, want 7", size)
	}
}
