package conformance

import (
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// attemptOutcomes tests every outcome of a first attempt with every effect.
func attemptOutcomes(add func(string, func(*testing.T, *Fixture))) {
	for effect, class := range classes {
		add("served/"+effect, func(t *testing.T, f *Fixture) {
			f.Start(nil, 0, 0, 0)
			c, _ := f.Expect(class, Served)
			if n := len(f.ArrivalLog.Of(c.ID)); n != 1 {
				t.Errorf("call had %d attempts, want 1", n)
			}
		})
		// A rejected call has not run, so a call of any effect may be retried.
		add("first node rejects/"+effect, func(t *testing.T, f *Fixture) {
			f.Start(nil, 0, 0, 0)
			f.Script(OnFirstArrival(testbed.Reject))
			c, _ := f.Expect(class, Served)
			if n := len(f.ArrivalLog.Of(c.ID)); n != 2 {
				t.Errorf("call had %d attempts, want 2", n)
			}
		})
		// After these outcomes, the call may have run.
		for _, act := range []testbed.Act{testbed.Fail, testbed.Busy, testbed.Reset, testbed.Truncate, testbed.Garbage} {
			add(act.String()+"/"+effect, func(t *testing.T, f *Fixture) {
				f.Start(nil, 0, 0, 0)
				f.Script(OnFirstArrival(act))
				want, attempts := Served, 2
				if effect == "unsafe" {
					want, attempts = Failed, 1
				}
				c, a := f.Expect(class, want)
				if n := len(f.ArrivalLog.Of(c.ID)); n != attempts {
					t.Errorf("call had %d attempts, want %d", n, attempts)
				}
				if a.Took > 5*time.Second {
					t.Errorf("answered after %v, want at most 5 s: the outcome of the attempt was known at once", a.Took)
				}
			})
		}
		add("hang/"+effect, func(t *testing.T, f *Fixture) {
			f.Start(ShortDeadlines, 0, 0, 0)
			f.Script(testbed.Always(testbed.Hang))
			kinds := []Kind{Failed}
			if effect == "safe" {
				kinds = []Kind{Refused, Failed}
			}
			c := f.NewCall(class)
			c.Timeout = 1200 * time.Millisecond
			if a := f.Do(c); a.Kind != kinds[0] && a.Kind != kinds[len(kinds)-1] {
				t.Errorf("answer %+v, want one of the kinds %v", a, kinds)
			}
		})
	}
}

// sameOutcomeOnAllNodes tests calls to nodes that all fail, or all reject.
func sameOutcomeOnAllNodes(add func(string, func(*testing.T, *Fixture))) {
	for effect, class := range classes {
		add("every node fails/"+effect, func(t *testing.T, f *Fixture) {
			f.Start(nil, 0, 0, 0, 0, 0)
			f.Script(testbed.Always(testbed.Fail))
			kinds := []Kind{Failed}
			if effect == "safe" {
				kinds = []Kind{Refused}
			}
			f.Expect(class, kinds...)
		})
		add("every node rejects/"+effect, func(t *testing.T, f *Fixture) {
			f.Start(nil, 0, 0, 0, 0, 0)
			f.Script(testbed.Always(testbed.Reject))
			c, a := f.Expect(class, Refused)
			if n := len(f.ArrivalLog.Of(c.ID)); n < 2 || n > 3 {
				t.Errorf("call had %d attempts, want 2 or 3: most_tries is 3", n)
			}
			if a.RetryAfter <= 0 || a.RetryAfter > 1200*time.Millisecond {
				t.Errorf("RetryAfter %v, want above 0 and at most max_retry_after_ms, 1.2 s", a.RetryAfter)
			}
		})
	}
}

// unreachableNodes tests nodes that refuse connections, or reset idle ones: a call can't have run there.
func unreachableNodes(add func(string, func(*testing.T, *Fixture))) {
	for effect, class := range classes {
		add("vanished/"+effect, func(t *testing.T, f *Fixture) {
			f.Start(nil, 0, 0, 0)
			f.Expect(class, Served)
			f.Nodes[0].Vanish()
			f.Nodes[1].Vanish()
			served := 0
			for range 8 { // enough to select each node; after failures the policy may admit fewer calls for a while
				if _, a := f.Expect(class, Served, Refused); a.Kind == Served {
					served++
				}
			}
			if served < 4 {
				t.Errorf("%d of 8 calls were served, want at least 4: one of three nodes is reachable", served)
			}
		})
		// The reset of an idle connection loses no call.
		add("reset between calls/"+effect, func(t *testing.T, f *Fixture) {
			f.Start(nil, 0)
			f.Expect(class, Served)
			f.Nodes[0].BreakAll()
			testbed.Until(t, "the connections to be reset", func() bool { return f.Nodes[0].Open() == 0 })
			time.Sleep(20 * time.Millisecond) // time for the reset to reach the subject over the loopback
			f.Expect(class, Served)
		})
	}
}

// promptAnswers tests that a call is answered without delay once its outcome is known, and within its time-out.
func promptAnswers(add func(string, func(*testing.T, *Fixture))) {
	add("answered at once/failed", func(t *testing.T, f *Fixture) {
		f.Start(nil, 0, 0, 0)
		f.Script(testbed.Always(testbed.Reset))
		if _, a := f.Expect("entry", Failed); a.Took > 2*time.Second {
			t.Errorf("answered after %v, want at most 2 s: the outcome was known at once", a.Took)
		}
	})
	add("answered at once/refused", func(t *testing.T, f *Fixture) {
		f.Start(nil, 0, 0, 0)
		f.Script(testbed.Always(testbed.Reject))
		if _, a := f.Expect("entry", Refused); a.Took > 2*time.Second {
			t.Errorf("answered after %v, want at most 2 s: the outcome was known at once", a.Took)
		}
	})
	add("answered at once/no node listens", func(t *testing.T, f *Fixture) {
		f.Start(nil, 0, 0, 0)
		for _, n := range f.Nodes {
			n.Vanish()
		}
		if _, a := f.Expect("entry", Refused); a.Took > 5*time.Second {
			t.Errorf("answered after %v, want at most 5 s of the time-out of 15 s", a.Took)
		}
	})
	add("answered in time/no node is listed", func(t *testing.T, f *Fixture) {
		f.Start(ShortDeadlines)
		c := f.NewCall("entry")
		c.Timeout = time.Second
		if a := f.Do(c); a.Kind != Refused {
			t.Errorf("answer %+v, want refused", a)
		}
	})
}
