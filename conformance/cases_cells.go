package conformance

import (
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// cells is about where and how long a keyed call that may have run may be sent again.
func cells(add func(string, func(*testing.T, *World))) {
	add("keyed/not to another cell", func(t *testing.T, w *World) {
		w.Start(nil, 0, 1, 2)
		w.Script(First(testbed.Fail))
		c, _ := w.Want("reading", Failed)
		if n := len(w.ArrivalLog.Of(c.ID)); n != 1 {
			t.Errorf("%d attempts, no other node is in the cell", n)
		}
	})
	add("keyed/to the same cell only", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 1, 1)
		w.Script(First(testbed.Reset))
		c, _ := w.Want("reading", Served)
		arrivals := w.ArrivalLog.Of(c.ID)
		if len(arrivals) != 2 || arrivals[0].Cell != arrivals[1].Cell || arrivals[0].Node == arrivals[1].Node {
			t.Errorf("attempts %+v, want two nodes of one cell", arrivals)
		}
	})
	add("keyed/anywhere if it never ran", func(t *testing.T, w *World) {
		w.Start(nil, 0, 1)
		w.Script(First(testbed.Reject))
		w.Want("reading", Served)
	})
	add("keyed/not after the window", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0)
		w.Script(func(testbed.Arrival) testbed.Act {
			time.Sleep(window + 50*time.Millisecond)
			return testbed.Fail
		})
		c, _ := w.Want("reading", Failed)
		if n := len(w.ArrivalLog.Of(c.ID)); n != 1 {
			t.Errorf("%d attempts, repeats are no longer dropped", n)
		}
	})
	add("safe/to any cell", func(t *testing.T, w *World) {
		w.Start(nil, 0, 1, 2)
		w.Script(First(testbed.Fail))
		w.Want("look", Served)
	})
}
