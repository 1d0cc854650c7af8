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
	seed      = flag.Uint64("seed", 0, "play the history of this seed alone")
	histories = flag.Int("histories", 400, "how many are played")
)

// history plays one, of 3 to 7 processes with a lease of 3 s. Whatever goes wrong, no session that
// somebody counts as over may be in contact; and once all is well again all views have to be equal.
func history(seed uint64) (plan *swimsim.Plan, broken []string) {
	size := 3 + int(seed%5)
	plan = swimsim.Draw(seed, size, 25*time.Second)
	n := swimsim.New(swimsim.Config{Size: size, Seed: seed, Rate: plan.Rate})
	if broken = n.RunChecked(6*time.Second, 100*time.Millisecond); broken != nil {
		return plan, broken
	}
	n.Play(plan)
	if broken = n.RunChecked(40*time.Second, 50*time.Millisecond); broken != nil {
		return plan, broken
	}
	n.Heal()
	if broken = n.RunChecked(20*time.Second, 100*time.Millisecond); broken != nil {
		return plan, broken
	}
	if !n.Converged() || n.InContact() != size {
		broken = append(
			broken,
			"20 s after all is well, views differ or "+strconv.Itoa(size-n.InContact())+" are out of contact",
		)
	}
	return plan, broken
}

func TestHistories(t *testing.T) {
	first, last := uint64(1), uint64(*histories)
	if *seed != 0 {
		first, last = *seed, *seed
	}
	for s := first; s <= last; s++ {
		if plan, broken := history(s); broken != nil {
			t.Fatalf("seed %d: %v: %v", s, plan, broken)
		}
	}
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

var depth = flag.Int("depth", 3, "slots that faults are enumerated over")

// Every way to have one fault, or none, in each of some slots of a second and a half befall three
// processes with a lease of 3 s, once they are in contact: one is cut off, one is not heard, one
// stands still, or one crashes and comes back at once, having forgotten.
func TestEveryScheduleOfFaults(t *testing.T) {
	const size, slot = 3, 1500 * time.Millisecond
	whats := []string{swimsim.Split, swimsim.OneWay, swimsim.Stop, swimsim.Crash}
	ways := 1 + size*len(whats)
	all := 1
	for range *depth {
		all *= ways
	}
	for number := range all {
		plan := &swimsim.Plan{MaxDelay: 10 * time.Millisecond}
		for k, rest := 0, number; k < *depth; k, rest = k+1, rest/ways {
			if way := rest % ways; way > 0 {
				s := swimsim.Step{
					At: time.Duration(k) * slot, For: slot, Kind: whats[(way-1)/size],
					Members: []int{(way - 1) % size},
				}
				if s.Kind == swimsim.Crash {
					s.For = 100 * time.Millisecond
				}
				plan.Steps = append(plan.Steps, s)
			}
		}
		n := swimsim.New(swimsim.Config{Size: size, Seed: 1, Rate: 0.01})
		n.Run(8 * time.Second)
		n.Play(plan)
		broken := n.RunChecked(time.Duration(*depth)*slot+4*time.Second, 100*time.Millisecond)
		if n.Heal(); broken == nil {
			broken = n.RunChecked(8*time.Second, 500*time.Millisecond)
		}
		if broken == nil && (!n.Converged() || n.InContact() != size) {
			broken = []string{"8 s after all is well views differ, or some are out of contact"}
		}
		if broken != nil {
			t.Fatalf("schedule %d: %v: %v", number, plan, broken)
		}
	}
}

// Budgets are divided by the sidecars seen: those that left count no more, those that crashed or
// can't be reached do, and what others claim is believed of three and only up to four times the
// configured number.
func TestSidecarsSeen(t *testing.T) {
	l := newLone(t, 10)
	if n := l.FleetSize(l.now); n != 1 {
		t.Errorf("%d at the start", n)
	}
	for i := 1; i < 8; i++ {
		l.ping(i, swim.Session{Incarnation: 10})
	}
	l.say(1, swim.Rumour{Member: 2, Session: swim.Session{Incarnation: 10}, State: swim.Dead, Accuser: 1})
	l.say(1, swim.Rumour{Member: 3, Session: swim.Session{Incarnation: 10}, State: swim.Left, Accuser: 3})
	if n := l.FleetSize(l.now); n != 7 {
		t.Errorf("%d of eight, of which one is gone and one left; want 7", n)
	}
	claim := func(from, count int) {
		m := l.message(from, swim.Ping)
		m.MemberCount = count
		l.Receive(l.now, &m)
	}
	claim(4, 1<<30)
	claim(5, 1<<30)
	if n := l.FleetSize(l.now); n != 7 {
		t.Errorf("two that lie make it %d", n)
	}
	claim(6, 20)
	if n := l.FleetSize(l.now); n != 20 {
		t.Errorf("three say at least 20, it takes %d", n)
	}
	claim(6, 1000)
	if n := l.FleetSize(l.now); n != 40 {
		t.Errorf("three that lie make it %d, more than four times what is configured", n)
	}
	l.now += 2 * time.Minute
	if n := l.FleetSize(l.now); n != 7 {
		t.Errorf("two minutes later %d", n)
	}
}
