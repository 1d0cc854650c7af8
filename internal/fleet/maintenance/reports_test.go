package maintenance

import (
	"slices"
	"testing"
	"time"
)

// Who has a grant has to tell; behind its end the longest deadline has to be over.
func TestBookWaits(t *testing.T) {
	b := Reports{Size: 3, Deadline: 10 * time.Second}
	until := func(i int) time.Duration {
		return []time.Duration{100 * time.Second, 100 * time.Second, 95 * time.Second}[i]
	}
	want := func(now time.Duration, all ...int) {
		t.Helper()
		if got := b.WaitingFor(now, 4, until); !slices.Equal(got, all) {
			t.Errorf("at %v it waits for %v, want %v", now, got, all)
		}
	}
	want(99*time.Second, 0, 1, 2)
	b.Receive(0, 7, 2, Report{ClearUpTo: 4})
	b.Receive(0, 7, 1, Report{ClearUpTo: 3}) // overtaken on the way
	b.Receive(1, 7, 1, Report{ClearUpTo: 3})
	want(99*time.Second, 1, 2)
	b.Receive(1, 8, 1, Report{ClearUpTo: 0}) // another process, which has forgotten
	b.Receive(1, 7, 9, Report{ClearUpTo: 9}) // and the last word of the one before it
	want(99*time.Second, 1, 2)
	want(101*time.Second, 0, 1, 2) // its word does not count without a grant
	want(106*time.Second, 0, 1)
	want(110 * time.Second)
	b.Receive(9, 1, 1, Report{}) // nobody
}

// Who is away is taken to have as much traffic as the others; nobody's word is waited for who may
// have none.
func TestBookSum(t *testing.T) {
	b := Reports{Size: 4}
	until := func(i int) time.Duration { return []time.Duration{100, 100, 100, 50}[i] }
	b.Receive(0, 1, 1, Report{Rate: 30, InTime: 1})
	b.Receive(1, 1, 1, Report{Rate: 10, InTime: 0.5})
	if s := b.Summarize(60, until); s.Complete || !slices.Equal(s.Unreachable, []int{3}) {
		t.Errorf("%+v", s)
	}
	b.Receive(2, 1, 1, Report{Rate: 20, InTime: 1})
	if s := b.Summarize(60, until); !s.Complete || s.Traffic != 80 || s.InTime != 55.0/60 {
		t.Errorf("%+v", s)
	}
	if s := b.Summarize(200, until); len(s.Unreachable) != 4 || s.Traffic != 0 || s.InTime != 1 {
		t.Errorf("%+v", s)
	}
}

// A machine that leaves the list is down for a while, then gone for good; the counters' rate is of
// the last seconds.
func TestRollAndLoad(t *testing.T) {
	var r MachineList
	two := machines(2)
	r.Update(time.Hour, two)
	r.Update(time.Hour, two[:1])
	if all := r.All(time.Hour + downTime/2); len(all) != 2 || all[1].State != MachineDown {
		t.Errorf("%+v", all)
	}
	if all := r.All(time.Hour + downTime); len(all) != 1 {
		t.Errorf("%+v", all)
	}
	var l Load
	if rate, served := l.Recent(); rate != 0 || served != 1 || !l.Due(0) {
		t.Errorf("%v %v", rate, served)
	}
	for i := range 20 {
		now := time.Duration(i) * time.Second
		if !l.Due(now) || i > 0 && l.Due(now-time.Millisecond) {
			t.Errorf("due at %v", now)
		}
		l.Count(now, uint64(100*i), uint64(90*i))
	}
	if rate, served := l.Recent(); rate != 100 || served != 0.9 {
		t.Errorf("%v %v", rate, served)
	}
}

// A sidecar is clear up to the first turn of whose machine it is not known that nothing is out
// there; a process younger than the longest deadline is clear of nothing; another log's turn of the
// same number is another one.
func TestOwn(t *testing.T) {
	var o LocalClearance
	s := &State{LastWindow: 5, Windows: []Window{{Number: 3, Machine: 30}, {Number: 5, Machine: 50}}}
	const old, deadline = time.Hour, time.Minute
	want := func(clear uint32, asks int) {
		t.Helper()
		if got := o.ClearUpTo(old, deadline, s); got != clear || len(o.Unconfirmed(s)) != asks {
			t.Errorf("clear up to %d, %d asked of; want %d and %d", got, len(o.Unconfirmed(s)), clear, asks)
		}
	}
	want(2, 2)
	o.MarkClear(5, 50)
	want(2, 1)
	o.MarkClear(3, 30)
	want(5, 0)
	if got := o.ClearUpTo(deadline-1, deadline, s); got != 0 {
		t.Errorf("a process that has just begun is clear up to %d", got)
	}
	s.Windows[0].Phase = Returning
	want(5, 0)
	s.Windows = []Window{{Number: 5, Machine: 51}}
	want(4, 1)
}
