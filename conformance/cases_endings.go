package conformance

import (
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// endings crosses every ending of a first attempt with every effect.
func endings(add func(string, func(*testing.T, *World))) {
	for effect, class := range classes {
		add("served/"+effect, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0)
			c, _ := w.Want(class, Served)
			if n := len(w.ArrivalLog.Of(c.ID)); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
		})
		add("turned away/"+effect, func(t *testing.T, w *World) { // it never ran: any may go elsewhere
			w.Start(nil, 0, 0, 0)
			w.Script(First(testbed.Reject))
			c, _ := w.Want(class, Served)
			if n := len(w.ArrivalLog.Of(c.ID)); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
		// it may have run
		for _, act := range []testbed.Act{testbed.Fail, testbed.Busy, testbed.Reset, testbed.Truncate, testbed.Garbage} {
			add(act.String()+"/"+effect, func(t *testing.T, w *World) {
				w.Start(nil, 0, 0, 0)
				w.Script(First(act))
				want, attempts := Served, 2
				if effect == "unsafe" {
					want, attempts = Failed, 1
				}
				c, a := w.Want(class, want)
				if n := len(w.ArrivalLog.Of(c.ID)); n != attempts {
					t.Errorf("%d attempts, want %d", n, attempts)
				}
				if a.Took > 5*time.Second {
					t.Errorf("answered after %v, the ending was known at once", a.Took)
				}
			})
		}
		add("hang/"+effect, func(t *testing.T, w *World) {
			w.Start(Brief, 0, 0, 0)
			w.Script(testbed.Always(testbed.Hang))
			kinds := []Kind{Failed}
			if effect == "safe" {
				kinds = []Kind{Refused, Failed}
			}
			c := w.Usable(class)
			c.Timeout = 1200 * time.Millisecond
			if a := w.Do(c); a.Kind != kinds[0] && a.Kind != kinds[len(kinds)-1] {
				t.Errorf("%+v, want %v", a, kinds)
			}
		})
	}
}

// allNodes is about a fleet in which every node gives the same ending.
func allNodes(add func(string, func(*testing.T, *World))) {
	for effect, class := range classes {
		add("every node fails/"+effect, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0, 0, 0)
			w.Script(testbed.Always(testbed.Fail))
			kinds := []Kind{Failed}
			if effect == "safe" {
				kinds = []Kind{Refused}
			}
			w.Want(class, kinds...)
		})
		add("every node turns away/"+effect, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0, 0, 0)
			w.Script(testbed.Always(testbed.Reject))
			c, a := w.Want(class, Refused)
			if n := len(w.ArrivalLog.Of(c.ID)); n < 2 || n > 3 {
				t.Errorf("%d attempts, want 2 or 3 of most_tries 3", n)
			}
			if a.RetryAfter <= 0 || a.RetryAfter > 1200*time.Millisecond {
				t.Errorf("retry after %v, want up to max_retry_after_ms", a.RetryAfter)
			}
		})
	}
}

// unreachable is about servers that nothing listens at any more: a call cannot have run there.
func unreachable(add func(string, func(*testing.T, *World))) {
	for effect, class := range classes {
		add("vanished/"+effect, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0)
			w.Want(class, Served)
			w.Nodes[0].Vanish()
			w.Nodes[1].Vanish()
			served := 0
			for range 8 { // each node has its turn; after failures the module may let in less for a while
				if _, a := w.Want(class, Served, Refused); a.Kind == Served {
					served++
				}
			}
			if served < 4 {
				t.Errorf("%d of 8 served, one node of three is there", served)
			}
		})
		add("reset between calls/"+effect, func(t *testing.T, w *World) { // on a connection that rests, nothing is lost
			w.Start(nil, 0)
			w.Want(class, Served)
			w.Nodes[0].BreakAll()
			testbed.Until(t, "the reset", func() bool { return w.Nodes[0].Open() == 0 })
			time.Sleep(20 * time.Millisecond) // it crosses the loopback
			w.Want(class, Served)
		})
	}
}

// prompt is about answers that must not be delayed.
func prompt(add func(string, func(*testing.T, *World))) {
	add("at once/failed", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0)
		w.Script(testbed.Always(testbed.Reset))
		if _, a := w.Want("entry", Failed); a.Took > 2*time.Second {
			t.Errorf("told after %v; it was known at once", a.Took)
		}
	})
	add("at once/refused", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0)
		w.Script(testbed.Always(testbed.Reject))
		if _, a := w.Want("entry", Refused); a.Took > 2*time.Second {
			t.Errorf("told after %v; it was known at once", a.Took)
		}
	})
	add("at once/no node listens", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0)
		for _, n := range w.Nodes {
			n.Vanish()
		}
		if _, a := w.Want("entry", Refused); a.Took > 5*time.Second {
			t.Errorf("told after %v, it had 15s", a.Took)
		}
	})
	add("in time/no node is listed", func(t *testing.T, w *World) {
		w.Start(Brief)
		c := w.Usable("entry")
		c.Timeout = time.Second
		if a := w.Do(c); a.Kind != Refused {
			t.Errorf("%+v, want refused", a)
		}
	})
}
