package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Servers drop the repeats of a key for 600 ms. A repeat is decided 100 ms after the first attempt was sent. It must be
// written within three quarters of the window, whatever happens to this process or to the connection until then; where
// it was not, its caller is told at once that the call may have run.
func TestRepeatIsWrittenWhileServersDropIt(t *testing.T) {
	class := policy.Class{Effect: policy.Deduplicated, Scope: policy.ScopeAll, DedupWindow: 600 * time.Millisecond}
	servers := call.ServerList{
		Full:      true,
		Servers:   []policy.Server{{ID: 1, State: policy.Ready, Weight: 1}, {ID: 2, State: policy.Ready, Weight: 1}},
		Addresses: map[policy.ServerID]string{1: "one", 2: "two"},
	}
	runStallableClass(t, class, servers, func(e *Engine, r *recorder) {
		begun := e.Clock.Now()
		reply := make(chan call.Answer, 2)
		e.Submit(policy.Request{}, &call.Message{}, begun+2*time.Second, reply)
		synctest.Wait()
		first := r.all()[0]
		if first.limits.SendBy != first.limits.Until {
			t.Errorf("limits %+v of a first attempt, want it written at any time", first.limits)
		}
		time.Sleep(100 * time.Millisecond)
		first.done(call.Result{Ending: policy.Errored})
		synctest.Wait()
		sends := r.all()
		if len(sends) != 2 {
			t.Fatalf("%d sends, want a repeat", len(sends))
		}
		if by := sends[1].limits.SendBy - begun; by != 450*time.Millisecond {
			t.Errorf("the repeat may be written for %v, want 450 ms: three quarters of the window", by)
		}
		e.Clock.Advance(time.Second) // the process is stopped before it is written
		sends[1].done(call.Result{Ending: policy.NotSent})
		if a := <-reply; a.Kind != call.Failed {
			t.Errorf("answer %+v, want failed: it may have run, and a repeat would have another effect", a)
		}
		if n := e.RepeatsHeldBack(); n != 1 || len(r.all()) != 2 {
			t.Errorf("%d repeats held back, %d sends, want 1 and 2", n, len(r.all()))
		}
	})
}

// An attempt that is known not to have run does not bind the next one.
func TestAttemptThatNeverRanLimitsNoOther(t *testing.T) {
	e := newTestEngine(t, "127.0.0.1:1")
	r, _ := e.openRequest(7)
	r.policy.Class = 0 // reading: repeats are dropped for 600 ms
	r.attempts = []sentAttempt{{sentAt: e.now - time.Second, neverRan: true}}
	if by := e.repeatBy(r); by != noRepeatLimit {
		t.Errorf("by %v, want no limit", by)
	}
	r.attempts = append(r.attempts, sentAttempt{sentAt: e.now})
	if by := e.repeatBy(r); by != e.now+450*time.Millisecond {
		t.Errorf("by %v after now, want 450 ms: the other may have run", by-e.now)
	}
	host{e}.Send(7, call.ServerID("s-0"), 0)
	if len(e.unsent) != 0 {
		t.Fatalf("%+v, want it sent", e.unsent)
	}
	e.now += time.Second
	host{e}.Send(7, call.ServerID("s-0"), 0)
	if len(e.unsent) != 1 || e.unsent[0].Ending != policy.NotSent {
		t.Errorf("%+v, want a late repeat reported as not sent", e.unsent)
	}
}
