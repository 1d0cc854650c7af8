package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Guards against a repeat that arrives after the deduplication window and has an effect of its own. Servers drop
// repeats for 600 ms, and the module decides to repeat 100 ms after the first attempt was sent. The repeat must be
// written within three quarters of the window, also if the process is suspended in between. A repeat that was not
// written in time is not tried again: the request is answered as failed at once.
func TestRepeatIsWrittenWhileServersDropIt(t *testing.T) {
	class := policy.Class{Effect: policy.Deduplicated, Scope: policy.ScopeAll, DedupWindow: 600 * time.Millisecond}
	servers := call.ServerList{
		Full:      true,
		Servers:   []policy.Server{{ID: 1, State: policy.Ready, Weight: 1}, {ID: 2, State: policy.Ready, Weight: 1}},
		Addresses: map[policy.ServerID]string{1: "one", 2: "two"},
	}
	runSuspendableWithClass(t, class, servers, func(e *Engine, r *recordingTransport) {
		start := e.Clock.Now()
		reply := make(chan call.Answer, 2)
		e.Submit(policy.Request{}, &call.Message{}, start+2*time.Second, reply)
		synctest.Wait()
		first := r.all()[0]
		if first.limits.SendBy != first.limits.Until {
			t.Errorf("limits %+v of the first attempt, want SendBy equal to Until", first.limits)
		}
		time.Sleep(100 * time.Millisecond)
		first.done(call.Result{Ending: policy.Errored})
		synctest.Wait()
		sends := r.all()
		if len(sends) != 2 {
			t.Fatalf("%d sends, want 2: the first attempt and a repeat", len(sends))
		}
		if by := sends[1].limits.SendBy - start; by != 450*time.Millisecond {
			t.Errorf("the repeat may be written until %v after the start, want 450 ms: three quarters of the window", by)
		}
		e.Clock.Advance(time.Second) // the process is suspended before the repeat is written
		sends[1].done(call.Result{Ending: policy.NotSent})
		if a := <-reply; a.Kind != call.Failed {
			t.Errorf("answer %+v, want failed: the request may have run, and a repeat could have an effect of its own", a)
		}
		if n := e.RepeatsHeldBack(); n != 1 || len(r.all()) != 2 {
			t.Errorf("%d repeats held back, %d sends, want 1 and 2", n, len(r.all()))
		}
	})
}

// An attempt that is known not to have run does not limit the time of the next attempt.
func TestAttemptThatNeverRanDoesNotLimitTheNext(t *testing.T) {
	e := newTestEngine(t, "127.0.0.1:1")
	r, _ := e.openRequest(7)
	r.policy.Class = 0 // class reading: servers drop repeats for 600 ms
	r.attempts = []sentAttempt{{sentAt: e.now - time.Second, neverRan: true}}
	if by := e.repeatBy(r); by != noRepeatLimit {
		t.Errorf("the attempt may be written until %v, want no limit", by)
	}
	r.attempts = append(r.attempts, sentAttempt{sentAt: e.now})
	if by := e.repeatBy(r); by != e.now+450*time.Millisecond {
		t.Errorf("the attempt may be written for %v, want 450 ms: the attempt before it may have run", by-e.now)
	}
	host{e}.Send(7, call.ServerID("s-0"), 0)
	if len(e.unsent) != 0 {
		t.Fatalf("reported as not sent: %+v, want the repeat sent", e.unsent)
	}
	e.now += time.Second
	host{e}.Send(7, call.ServerID("s-0"), 0)
	if len(e.unsent) != 1 || e.unsent[0].Ending != policy.NotSent {
		t.Errorf("reported as not sent: %+v, want the late repeat", e.unsent)
	}
}
