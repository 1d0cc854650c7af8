package conformance

import (
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// drains is about rule 3.
func drains(add func(string, func(*testing.T, *World))) {
	for _, lifecycle := range []string{"draining", "gone"} {
		add("drain/"+lifecycle, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0)
			load := w.Load(4, "look", "reading", "entry")
			testbed.Until(t, "calls on all nodes", func() bool {
				seen := make(map[string]bool)
				for _, a := range w.ArrivalLog.All() {
					seen[a.Node] = true
				}
				return len(seen) == 3
			})
			w.Drain(w.Nodes[1], lifecycle, time.Second) // the rule allows 2 s
			before := w.ArrivalLog.Len()
			time.Sleep(1300 * time.Millisecond)
			load()
			if after := w.ArrivalLog.Len(); after-before < 20 {
				t.Errorf("only %d calls since the drain: nothing is shown", after-before)
			}
		})
	}
	add("drain/what it has is finished", drainFinishesCalls)
	add("drain/no retry goes there", drainTakesNoRetry)
}

// drainFinishesCalls shows that a node that drains finishes what it has.
func drainFinishesCalls(t *testing.T, w *World) {
	w.Start(nil, 0, 0)
	w.Nodes[0].Do(testbed.Always(testbed.Reject)) // the call is on the other
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	w.Nodes[1].Do(func(testbed.Arrival) testbed.Act {
		arrived <- struct{}{}
		<-release
		return testbed.Serve
	})
	answered := make(chan Answer, 1)
	c := w.Usable("entry")
	go func() { answered <- w.Do(c) }()
	testbed.Wait(t, "the call", arrived)
	w.Drain(w.Nodes[1], "draining", time.Second)
	w.Nodes[0].Do(testbed.Always(testbed.Serve))
	w.Want("look", Served)
	close(release)
	if a := testbed.Wait(t, "its answer", answered); a.Kind != Served {
		t.Errorf("%+v, want served: a node that drains finishes what it has", a)
	}
}

// drainTakesNoRetry shows that a retry does not go to a node that drains.
func drainTakesNoRetry(t *testing.T, w *World) {
	w.Start(nil, 0, 0)
	arrived, release := make(chan struct{}, 4), make(chan struct{})
	w.Script(func(a testbed.Arrival) testbed.Act {
		arrived <- struct{}{}
		<-release
		return testbed.Fail
	})
	answered := make(chan Answer, 1)
	c := w.Usable("reading")
	go func() { answered <- w.Do(c) }()
	testbed.Wait(t, "the call", arrived)
	w.Drain(w.Nodes[0], "draining", time.Second)
	w.Drain(w.Nodes[1], "draining", time.Second)
	time.Sleep(1100 * time.Millisecond)
	close(release)
	if a := testbed.Wait(t, "its answer", answered); a.Kind != Failed {
		t.Errorf("%+v, want failed: both nodes drain", a)
	}
	if n := len(w.ArrivalLog.Of(c.ID)); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}
