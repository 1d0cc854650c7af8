package conformance

import (
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// drains tests rule 3: a draining node receives no new calls and no retries.
func drains(add func(string, func(*testing.T, *Fixture))) {
	for _, lifecycle := range []string{"draining", "gone"} {
		add("drain/"+lifecycle, func(t *testing.T, f *Fixture) {
			f.Start(nil, 0, 0, 0)
			stopLoad := f.StartLoad(4, "look", "reading", "entry")
			testbed.Until(t, "a call on each node", func() bool {
				seen := make(map[string]bool)
				for _, a := range f.ArrivalLog.All() {
					seen[a.Node] = true
				}
				return len(seen) == 3
			})
			f.Drain(f.Nodes[1], lifecycle, time.Second) // rule 3 allows 2 s
			before := f.ArrivalLog.Len()
			time.Sleep(1300 * time.Millisecond)
			stopLoad()
			if after := f.ArrivalLog.Len(); after-before < 20 {
				t.Errorf("got %d calls after the drain, want at least 20 to test the rule", after-before)
			}
		})
	}
	add("drain/calls in flight finish", drainFinishesCalls)
	add("drain/no retry to draining node", drainTakesNoRetry)
}

// drainFinishesCalls checks that a draining node finishes its call in flight.
func drainFinishesCalls(t *testing.T, f *Fixture) {
	f.Start(nil, 0, 0)
	f.Nodes[0].Do(testbed.Always(testbed.Reject)) // so that the call is sent to the other node
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	f.Nodes[1].Do(func(testbed.Arrival) testbed.Act {
		arrived <- struct{}{}
		<-release
		return testbed.Serve
	})
	answered := make(chan Answer, 1)
	c := f.NewCall("entry")
	go func() { answered <- f.Do(c) }()
	testbed.Wait(t, "the call to arrive", arrived)
	f.Drain(f.Nodes[1], "draining", time.Second)
	f.Nodes[0].Do(testbed.Always(testbed.Serve))
	f.Expect("look", Served)
	close(release)
	if a := testbed.Wait(t, "the answer of the call", answered); a.Kind != Served {
		t.Errorf("answer %+v, want served: a draining node finishes its calls in flight", a)
	}
}

// drainTakesNoRetry checks that a call is not retried on a draining node.
func drainTakesNoRetry(t *testing.T, f *Fixture) {
	f.Start(nil, 0, 0)
	arrived, release := make(chan struct{}, 4), make(chan struct{})
	f.Script(func(a testbed.Arrival) testbed.Act {
		arrived <- struct{}{}
		<-release
		return testbed.Fail
	})
	answered := make(chan Answer, 1)
	c := f.NewCall("reading")
	go func() { answered <- f.Do(c) }()
	testbed.Wait(t, "the call to arrive", arrived)
	f.Drain(f.Nodes[0], "draining", time.Second)
	f.Drain(f.Nodes[1], "draining", time.Second)
	time.Sleep(1100 * time.Millisecond)
	close(release)
	if a := testbed.Wait(t, "the answer of the call", answered); a.Kind != Failed {
		t.Errorf("answer %+v, want failed: both nodes drain", a)
	}
	if n := len(f.ArrivalLog.Of(c.ID)); n != 1 {
		t.Errorf("call had %d attempts, want 1", n)
	}
}
