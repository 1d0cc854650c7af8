package conformance

import (
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// retriesAcrossCells tests where and for how long a deduplicated call that may have run may be retried.
func retriesAcrossCells(add func(string, func(*testing.T, *Fixture))) {
	add("keyed/no retry in another cell", func(t *testing.T, f *Fixture) {
		f.Start(nil, 0, 1, 2)
		f.Script(OnFirstArrival(testbed.Fail))
		c, _ := f.Expect("reading", Failed)
		if n := len(f.ArrivalLog.Of(c.ID)); n != 1 {
			t.Errorf("call had %d attempts, want 1: the cell has no other node", n)
		}
	})
	add("keyed/retry in the same cell", func(t *testing.T, f *Fixture) {
		f.Start(nil, 0, 0, 1, 1)
		f.Script(OnFirstArrival(testbed.Reset))
		c, _ := f.Expect("reading", Served)
		arrivals := f.ArrivalLog.Of(c.ID)
		if len(arrivals) != 2 || arrivals[0].Cell != arrivals[1].Cell || arrivals[0].Node == arrivals[1].Node {
			t.Errorf("attempts %+v, want two attempts on different nodes of one cell", arrivals)
		}
	})
	add("keyed/retry anywhere if not run", func(t *testing.T, f *Fixture) {
		f.Start(nil, 0, 1)
		f.Script(OnFirstArrival(testbed.Reject))
		f.Expect("reading", Served)
	})
	add("keyed/no retry after dedup window", func(t *testing.T, f *Fixture) {
		f.Start(nil, 0, 0, 0)
		f.Script(func(testbed.Arrival) testbed.Act {
			time.Sleep(dedupWindow + 50*time.Millisecond)
			return testbed.Fail
		})
		c, _ := f.Expect("reading", Failed)
		if n := len(f.ArrivalLog.Of(c.ID)); n != 1 {
			t.Errorf("call had %d attempts, want 1: the nodes no longer drop repeats of its key", n)
		}
	})
	add("safe/retry in any cell", func(t *testing.T, f *Fixture) {
		f.Start(nil, 0, 1, 2)
		f.Script(OnFirstArrival(testbed.Fail))
		f.Expect("look", Served)
	})
}
