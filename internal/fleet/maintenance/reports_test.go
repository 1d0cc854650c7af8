package maintenance

import (
	"slices"
	"testing"
	"time"
)

// The leader waits for each sidecar's report while the sidecar may hold a grant, and after the grant's expiry until
// the longest request deadline has passed.
func TestWaitingFor(t *testing.T) {
	reports := Reports{Size: 3, Deadline: 10 * time.Second}
	grantExpiry := func(i int) time.Duration {
		return []time.Duration{100 * time.Second, 100 * time.Second, 95 * time.Second}[i]
	}
	expect := func(now time.Duration, want ...int) {
		t.Helper()
		if got := reports.WaitingFor(now, 4, grantExpiry); !slices.Equal(got, want) {
			t.Errorf("at %v the leader waits for sidecars %v, want %v", now, got, want)
		}
	}
	expect(99*time.Second, 0, 1, 2)
	reports.Receive(0, 7, 2, Report{ClearUpTo: 4})
	reports.Receive(0, 7, 1, Report{ClearUpTo: 3}) // arrives after the later report of sequence 2
	reports.Receive(1, 7, 1, Report{ClearUpTo: 3})
	expect(99*time.Second, 1, 2)
	reports.Receive(1, 8, 1, Report{ClearUpTo: 0}) // a new process, which is clear of no window yet
	reports.Receive(1, 7, 9, Report{ClearUpTo: 9}) // a delayed report of the previous process
	expect(99*time.Second, 1, 2)
	expect(101*time.Second, 0, 1, 2) // reports don't count once the grant has expired
	expect(106*time.Second, 0, 1)
	expect(110 * time.Second)
	reports.Receive(9, 1, 1, Report{}) // a number that no sidecar has
}

// An unreachable sidecar is assumed to have the average traffic of the others, and its report is not required for a
// complete summary.
func TestSummarize(t *testing.T) {
	reports := Reports{Size: 4}
	grantExpiry := func(i int) time.Duration { return []time.Duration{100, 100, 100, 50}[i] }
	reports.Receive(0, 1, 1, Report{Rate: 30, InTime: 1})
	reports.Receive(1, 1, 1, Report{Rate: 10, InTime: 0.5})
	if summary := reports.Summarize(60, grantExpiry); summary.Complete || !slices.Equal(summary.Unreachable, []int{3}) {
		t.Errorf("summary without sidecar 2's report: %+v, want it incomplete and sidecar 3 unreachable", summary)
	}
	reports.Receive(2, 1, 1, Report{Rate: 20, InTime: 1})
	if summary := reports.Summarize(60, grantExpiry); !summary.Complete || summary.Traffic != 80 ||
		summary.InTime != 55.0/60 {
		t.Errorf("summary %+v, want it complete with traffic 80 and 55/60 in time", summary)
	}
	if summary := reports.Summarize(200, grantExpiry); len(summary.Unreachable) != 4 || summary.Traffic != 0 ||
		summary.InTime != 1 {
		t.Errorf("summary after all grants expired: %+v, want 4 unreachable, no traffic, all in time", summary)
	}
}

// A machine that discovery stops listing is down for downTime and then removed. The load is the counters' rate over
// the last seconds.
func TestMachineListAndLoad(t *testing.T) {
	var list MachineList
	two := machines(2)
	list.Update(time.Hour, two)
	list.Update(time.Hour, two[:1])
	if all := list.All(time.Hour + downTime/2); len(all) != 2 || all[1].State != MachineDown {
		t.Errorf("machines within downTime: %+v, want two, the second one down", all)
	}
	if all := list.All(time.Hour + downTime); len(all) != 1 {
		t.Errorf("machines after downTime: %+v, want one", all)
	}
	var load Load
	if rate, served := load.Recent(); rate != 0 || served != 1 || !load.Due(0) {
		t.Errorf("new load: rate %v, share served %v, want 0 and 1, and a sample due", rate, served)
	}
	for i := range 20 {
		now := time.Duration(i) * time.Second
		if !load.Due(now) || i > 0 && load.Due(now-time.Millisecond) {
			t.Errorf("a sample is not due at %v, or is due 1 ms earlier", now)
		}
		load.Record(now, uint64(100*i), uint64(90*i))
	}
	if rate, served := load.Recent(); rate != 100 || served != 0.9 {
		t.Errorf("rate %v, share served %v, want 100 and 0.9", rate, served)
	}
}

// A sidecar is clear up to the first window to whose machine it may still have requests in flight. A process younger
// than the longest deadline is clear of no window. After a change of the log, a window of the same number with
// another machine is another window.
func TestLocalClearance(t *testing.T) {
	var clearance LocalClearance
	state := &State{LastWindow: 5, Windows: []Window{{Number: 3, Machine: 30}, {Number: 5, Machine: 50}}}
	const age, deadline = time.Hour, time.Minute
	expect := func(clearUpTo uint32, unconfirmed int) {
		t.Helper()
		if got := clearance.ClearUpTo(age, deadline, state); got != clearUpTo ||
			len(clearance.Unconfirmed(state)) != unconfirmed {
			t.Errorf(
				"clear up to window %d, %d windows unconfirmed; want %d and %d",
				got, len(clearance.Unconfirmed(state)), clearUpTo, unconfirmed,
			)
		}
	}
	expect(2, 2)
	clearance.MarkClear(5, 50)
	expect(2, 1)
	clearance.MarkClear(3, 30)
	expect(5, 0)
	if got := clearance.ClearUpTo(deadline-1, deadline, state); got != 0 {
		t.Errorf("a process younger than the longest deadline is clear up to window %d, want 0", got)
	}
	state.Windows[0].Phase = Returning
	expect(5, 0)
	state.Windows = []Window{{Number: 5, Machine: 51}}
	expect(4, 1)
}
